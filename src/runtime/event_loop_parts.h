// The parts that the libevent making is put together from; internal to the runtime package.
#pragma once
#include "runtime/backend.h"

struct event_base;
struct sockaddr_storage;

namespace herontally::runtime {

using after_function = std::function<std::uint64_t(microseconds, std::function<void()>)>;
using cancel_function = std::function<void(std::uint64_t)>;

struct channel_part;
std::shared_ptr<channel_part> make_channels(event_base* base, after_function after, cancel_function cancel);
void bind_channels(const std::shared_ptr<channel_part>& part, backend& table);

struct http_server_part;
std::shared_ptr<http_server_part> make_http_server(event_base* base);
void bind_http_server(const std::shared_ptr<http_server_part>& part, backend& table);

struct http_client_part;
std::shared_ptr<http_client_part> make_http_client(event_base* base, const backend& table);
void bind_http_client(const std::shared_ptr<http_client_part>& part, backend& table);

void bind_files(std::string folder, backend& table);

// False when the text is no address of the form host:port.
bool find_address(const std::string& text, sockaddr_storage& out, int& length);
// TCP_NODELAY and TCP_USER_TIMEOUT; what a listener is given its accepted connections inherit.
void tune_connection(int descriptor);

// TCP_NODELAY alone: a client may read as slowly as it likes.
void tune_listener(int descriptor);

constexpr std::size_t largest_frame = 16u << 20;
constexpr std::size_t largest_http_body = 4u << 20;

}  // namespace herontally::runtime
