// The server's side of simulated HTTP exchanges: sending responses, and noticing that the client has closed.
#include "simulator/world_http.h"

namespace simulator {

void notify_client_gone(const std::shared_ptr<http_exchange>& exchange) {
  exchange->server_notified = true;
  if (auto work = std::exchange(exchange->on_gone, nullptr)) work();
}

void send_to_client(const std::shared_ptr<world::state>& world,
                    const std::shared_ptr<http_exchange>& exchange, rt::http_event event, std::size_t bytes) {
  exchange->last_arrival = std::max(exchange->last_arrival + 1, world->now + world->draw_latency());
  std::weak_ptr<world::state> weak = world;
  auto arrive = [weak, exchange, event = std::move(event), bytes] {
    auto world = weak.lock();
    if (!world || exchange->client_closed || exchange->ended) return;
    auto& reader = *world->machines.at(exchange->client);
    if (reader.stalled && !std::holds_alternative<rt::http_failure>(event)) {
      exchange->unread_bytes += bytes;
      return;
    }
    // A response without the expected echo header belongs to another request and is skipped; the client keeps
    // waiting for its own.
    if (auto* head = std::get_if<rt::http_head>(&event); head && !exchange->echo_name.empty()) {
      auto echo = head->headers.find(exchange->echo_name);
      exchange->echo_mismatch = echo == head->headers.end() || echo->second != exchange->echo_value;
    }
    if (exchange->echo_mismatch && !std::holds_alternative<rt::http_failure>(event)) return;
    bool last =
        std::holds_alternative<rt::http_end>(event) || std::holds_alternative<rt::http_failure>(event);
    exchange->ended = last;
    if (last) world->exchanges.erase(exchange->number);
    auto notify = exchange->notify;
    if (last) exchange->notify = nullptr;
    notify(event);
  };
  world->transmit(exchange->server, exchange->client, exchange->client_life, std::move(arrive), bytes,
                  exchange->last_arrival);
}

static bool is_last_on_connection(const std::weak_ptr<world::state>& weak, const http_exchange& exchange) {
  auto world = weak.lock();
  return exchange.closes_connection ||
         (world && world->machines.at(exchange.server)->draining_http.contains(exchange.address));
}

// Header names are delivered in lower case, as the real HTTP client does.
static rt::http_head make_head(int status, const std::map<std::string, std::string>& headers, bool close) {
  rt::http_head head{status, {}};
  if (close) head.headers["connection"] = "close";
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
    auto world = weak.lock();
    if (world) send_to_client(world, exchange, std::move(event), bytes);
  };
  writer->reply = [send, weak, exchange](rt::http_response response) {
    if (std::exchange(exchange->replied, true)) return;
    exchange->on_gone = nullptr;
    if (exchange->head_sent) return send(rt::http_failure{true}, 0);
    send(make_head(response.status, response.headers, is_last_on_connection(weak, *exchange)), 100);
    if (!response.body.empty()) send(rt::http_piece{response.body}, response.body.size());
    send(rt::http_end{}, 0);
  };
  writer->start = [send, weak, exchange](int status, std::map<std::string, std::string> headers) {
    exchange->head_sent = true;
    send(make_head(status, headers, is_last_on_connection(weak, *exchange)), 100);
  };
  writer->piece = [send](std::string bytes) {
    auto size = bytes.size();
    send(rt::http_piece{std::move(bytes)}, size);
  };
  writer->finish = [send, exchange] {
    exchange->on_gone = nullptr;
    if (!std::exchange(exchange->replied, true)) send(rt::http_end{}, 0);
  };
  writer->closed = [exchange] { return exchange->server_notified; };
  writer->backlog = [exchange] { return exchange->unread_bytes; };
  writer->cut = [send, exchange] {
    exchange->on_gone = nullptr;
    if (!std::exchange(exchange->replied, true)) send(rt::http_failure{true}, 0);
  };
  // Each exchange has a connection of its own, so this only adds "connection: close" to the response head.
  writer->last_on_connection = [exchange] { exchange->closes_connection = true; };
  writer->on_gone = [weak, exchange](std::function<void()> work) {
    exchange->on_gone = std::move(work);
    auto world = weak.lock();
    if (world && exchange->server_notified)
      world->schedule(0, exchange->server, exchange->server_life,
                      [exchange] { notify_client_gone(exchange); });
  };
  return writer;
}

}  // namespace simulator
