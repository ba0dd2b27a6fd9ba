// Internal to simulator: one HTTP exchange between two machines of the world.
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
  bool pooled = false, passed_over = false;  // the answer is another request's
  bool last = false;                         // the server wants no further request on this connection
  bool client_closed = false, server_knows = false, ended = false, head_sent = false, replied = false,
       arrived = false;
  std::size_t unread_bytes = 0;   // what a stalled client leaves lying
  microseconds last_arrival = 0;  // pieces arrive in the order they were sent in
};

// The client's end has come through to the server.
void tell_gone(const std::shared_ptr<http_exchange>& exchange);
// One event on its way to the client.
void to_client(const std::shared_ptr<world::state>& world, const std::shared_ptr<http_exchange>& exchange,
               rt::http_event event, std::size_t bytes);
// The server's side of the exchange.
std::shared_ptr<rt::http_writer> make_writer(std::weak_ptr<world::state> weak,
                                             std::shared_ptr<http_exchange> exchange);

}  // namespace simulator
