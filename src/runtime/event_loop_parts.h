// The components that implement the runtime's function table over libevent; internal to the runtime. Each
// make_* function creates a component and each bind_* function sets its entries of the table.
#pragma once
#include "runtime/backend.h"

struct event_base;
struct sockaddr_storage;

namespace herontally::runtime {

using after_function = std::function<std::uint64_t(microseconds, std::function<void()>)>;
using cancel_function = std::function<void(std::uint64_t)>;

class overload_manager;

// Without an overload manager these two use one of their own, with the default limits.
struct rpc_transport;
std::shared_ptr<rpc_transport> make_channels(event_base* base, after_function after, cancel_function cancel,
                                             std::shared_ptr<overload_manager> overload = nullptr);
void bind_channels(const std::shared_ptr<rpc_transport>& transport, backend& table);

struct http_server;
std::shared_ptr<http_server> make_http_server(event_base* base,
                                              std::shared_ptr<overload_manager> overload = nullptr);
void bind_http_server(const std::shared_ptr<http_server>& owner, backend& table);

struct http_client;
std::shared_ptr<http_client> make_http_client(event_base* base, const backend& table);
void bind_http_client(const std::shared_ptr<http_client>& client, backend& table);

void bind_files(std::string directory, backend& table);

// Parses or looks up an address of the form host:port; false when it has another form or the name is unknown.
bool resolve_address(const std::string& text, sockaddr_storage& out, int& length);
// Sets TCP_NODELAY, TCP_USER_TIMEOUT and SO_REUSEADDR; accepted connections inherit the options of their
// listener.
void set_connection_options(int descriptor);

// Sets TCP_NODELAY alone, for HTTP listeners: a client may read as slowly as it likes.
void set_no_delay(int descriptor);

// Limits of a message's payload between nodes, and of an HTTP request's body.
constexpr std::size_t max_frame_bytes = 16u << 20;
constexpr std::size_t max_http_body_bytes = 4u << 20;

}  // namespace herontally::runtime
