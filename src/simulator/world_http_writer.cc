// The server's side of HTTP exchanges in the world: answers on their way to the client.
#include "simulator/world_http.h"

namespace simulator {

void tell_gone(const std::shared_ptr<http_exchange>& exchange) {
  exchange->server_knows = true;
  if (auto work = std::exchange(exchange->on_gone, nullptr)) work();
}

void to_client(const std::shared_ptr<world::state>& world, const std::shared_ptr<http_exchange>& exchange,
               rt::http_event event, std::size_t bytes) {
  exchange->last_arrival = std::max(exchange->last_arrival + 1, world->now + world->latency());
  std::weak_ptr<world::state> weak = world;
  auto arrive = [weak, exchange, event = std::move(event), bytes] {
    auto here = weak.lock();
    if (!here || exchange->client_closed || exchange->ended) return;
    auto& reader = *here->machines.at(exchange->client);
    if (reader.stalled && !std::holds_alternative<rt::http_failure>(event)) {
      exchange->unread_bytes += bytes;
      return;
    }
    // An answer without the asked-for value is another request's; the client goes on waiting for its own.
    if (auto* head = std::get_if<rt::http_head>(&event); head && !exchange->echo_name.empty()) {
      auto echo = head->headers.find(exchange->echo_name);
      exchange->passed_over = echo == head->headers.end() || echo->second != exchange->echo_value;
    }
    if (exchange->passed_over && !std::holds_alternative<rt::http_failure>(event)) return;
    bool last =
        std::holds_alternative<rt::http_end>(event) || std::holds_alternative<rt::http_failure>(event);
    exchange->ended = last;
    if (last) here->exchanges.erase(exchange->number);
    auto notify = exchange->notify;
    if (last) exchange->notify = nullptr;
    notify(event);
  };
  world->carry(exchange->server, exchange->client, exchange->client_life, std::move(arrive), bytes,
               exchange->last_arrival);
}

static bool is_last_on_connection(const std::weak_ptr<world::state>& weak, const http_exchange& exchange) {
  auto here = weak.lock();
  return exchange.last ||
         (here && here->machines.at(exchange.server)->draining_http.contains(exchange.address));
}

// Whoever receives a head finds its names in lower case, as over a real connection.
static rt::http_head head_of(int status, const std::map<std::string, std::string>& headers, bool last) {
  rt::http_head head{status, {}};
  if (last) head.headers["connection"] = "close";
  for (auto& [name, value] : headers) {
    std::string lower = name;
    for (auto& letter : lower) letter = static_cast<char>(std::tolower(letter));
    head.headers[lower] = value;
  }
  return head;
}

std::shared_ptr<rt::http_writer> make_writer(std::weak_ptr<world::state> weak,
                                             std::shared_ptr<http_exchange> exchange) {
  auto writer = std::make_shared<rt::http_writer>();
  auto send = [weak, exchange](rt::http_event event, std::size_t bytes) {
    auto here = weak.lock();
    if (here) to_client(here, exchange, std::move(event), bytes);
  };
  writer->reply = [send, weak, exchange](rt::http_response response) {
    if (std::exchange(exchange->replied, true)) return;
    exchange->on_gone = nullptr;
    if (exchange->head_sent) return send(rt::http_failure{true}, 0);
    send(head_of(response.status, response.headers, is_last_on_connection(weak, *exchange)), 100);
    if (!response.body.empty()) send(rt::http_piece{response.body}, response.body.size());
    send(rt::http_end{}, 0);
  };
  writer->start = [send, weak, exchange](int status, std::map<std::string, std::string> headers) {
    exchange->head_sent = true;
    send(head_of(status, headers, is_last_on_connection(weak, *exchange)), 100);
  };
  writer->piece = [send](std::string bytes) {
    auto size = bytes.size();
    send(rt::http_piece{std::move(bytes)}, size);
  };
  writer->finish = [send, exchange] {
    exchange->on_gone = nullptr;
    if (!std::exchange(exchange->replied, true)) send(rt::http_end{}, 0);
  };
  writer->closed = [exchange] { return exchange->server_knows; };
  writer->backlog = [exchange] { return exchange->unread_bytes; };
  writer->cut = [send, exchange] {
    exchange->on_gone = nullptr;
    if (!std::exchange(exchange->replied, true)) send(rt::http_failure{true}, 0);
  };
  // Each exchange has a connection of its own here; who keeps one for several requests gets on_gone.
  writer->last_on_connection = [exchange] { exchange->last = true; };
  writer->on_gone = [weak, exchange](std::function<void()> work) {
    exchange->on_gone = std::move(work);
    auto here = weak.lock();
    if (here && exchange->server_knows)
      here->schedule(0, exchange->server, exchange->server_life, [exchange] { tell_gone(exchange); });
  };
  return writer;
}

}  // namespace simulator
