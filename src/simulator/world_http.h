// Internal to simulator: the state of one HTTP exchange between two machines, shared by its client side
// (world_http.cc) and its server side (world_http_writer.cc).
#pragma once
#include "simulator/world_state.h"

namespace simulator {

struct http_exchange {
  std::uint64_t number = 0;
  std::string client, server;
  std::uint64_t client_life = 0, server_life = 0;
  std::function<void(rt::http_event)> notify;
  std::function<void()> on_gone;
  std::string address, echo_name, echo_value;
  bool pooled = false, echo_mismatch = false;  // echo_mismatch: the response belongs to another request
  bool closes_connection = false;              // the server accepts no further request on this connection
  // `server_notified`: the server has seen that the client closed. `replied`: the server's part is complete.
  bool client_closed = false, server_notified = false, ended = false, head_sent = false, replied = false,
       arrived = false;
  std::size_t unread_bytes = 0;   // sent to a stalled client and not read by it
  microseconds last_arrival = 0;  // of an event at the client; later ones arrive after it
};

// Tells the server that the client has closed the connection.
void notify_client_gone(const std::shared_ptr<http_exchange>& exchange);
// Sends one event of the response to the client; `bytes` is its size on the wire.
void send_to_client(const std::shared_ptr<world::state>& world,
                    const std::shared_ptr<http_exchange>& exchange, rt::http_event event, std::size_t bytes);
// Makes the writer with which the server's handler answers the exchange.
std::shared_ptr<rt::http_writer> make_writer(std::weak_ptr<world::state> weak,
                                             std::shared_ptr<http_exchange> exchange);

}  // namespace simulator
