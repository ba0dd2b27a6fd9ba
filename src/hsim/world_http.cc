// HTTP exchanges between machines of the world.
#include "hsim/world_state.h"

namespace hsim {

struct http_exchange {
  std::uint64_t number = 0;
  std::string client, server;
  std::uint64_t client_life = 0, server_life = 0;
  std::function<void(rt::http_event)> notify;
  std::function<void()> on_gone;
  std::string address, echo_name, echo_value;
  bool pooled = false, passed_over = false;  // the answer is another request's
  bool last = false;                         // the server wants no further request on this connection
  bool client_closed = false, server_knows = false, ended = false, replied = false, arrived = false;
  std::size_t unread_bytes = 0;   // what a stalled client leaves lying
  microseconds last_arrival = 0;  // pieces arrive in the order they were sent in
};

// The client's end has come through to the server.
static void tell_gone(const std::shared_ptr<http_exchange>& exchange) {
  exchange->server_knows = true;
  if (auto work = std::exchange(exchange->on_gone, nullptr)) work();
}

// One event on its way to the client.
static void to_client(const std::shared_ptr<world::state>& world,
                      const std::shared_ptr<http_exchange>& exchange, rt::http_event event,
                      std::size_t bytes) {
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

// Whoever receives a head finds its names in lower case, as over a real connection.
static rt::http_head head_of(const http_exchange& exchange, int status,
                             const std::map<std::string, std::string>& headers) {
  rt::http_head head{status, {}};
  if (exchange.last) head.headers["connection"] = "close";
  for (auto& [name, value] : headers) {
    std::string lower = name;
    for (auto& letter : lower) letter = static_cast<char>(std::tolower(letter));
    head.headers[lower] = value;
  }
  return head;
}

static std::shared_ptr<rt::http_writer> make_writer(std::weak_ptr<world::state> weak,
                                                    std::shared_ptr<http_exchange> exchange) {
  auto writer = std::make_shared<rt::http_writer>();
  auto send = [weak, exchange](rt::http_event event, std::size_t bytes) {
    auto here = weak.lock();
    if (here) to_client(here, exchange, std::move(event), bytes);
  };
  writer->reply = [send, exchange](rt::http_receipt receipt) {
    if (std::exchange(exchange->replied, true)) return;
    exchange->on_gone = nullptr;
    send(head_of(*exchange, receipt.status, receipt.headers), 100);
    if (!receipt.body.empty()) send(rt::http_piece{receipt.body}, receipt.body.size());
    send(rt::http_end{}, 0);
  };
  writer->start = [send, exchange](int status, std::map<std::string, std::string> headers) {
    send(head_of(*exchange, status, headers), 100);
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
  // Each exchange has a connection of its own here; who keeps one for several requests is told.
  writer->last_on_connection = [exchange] { exchange->last = true; };
  writer->on_gone = [weak, exchange](std::function<void()> work) {
    exchange->on_gone = std::move(work);
    auto here = weak.lock();
    if (here && exchange->server_knows)
      here->schedule(0, exchange->server, exchange->server_life, [exchange] { tell_gone(exchange); });
  };
  return writer;
}

std::size_t world::state::open_to(const std::string& client, const std::string& address) const {
  std::size_t count = 0;
  for (auto& [number, exchange] : exchanges)
    count += exchange->pooled && exchange->client == client && exchange->address == address;
  return count;
}

void world::state::bind_http(struct machine* self, rt::backend& table) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  table.http_serve = [weak, name](std::string address, rt::http_handler handler) {
    auto here = weak.lock();
    if (!here) return false;
    here->machines.at(name)->http[address] = std::move(handler);
    here->by_address[address] = name;
    return true;
  };
  table.http_stop_listening = [weak, name](std::string address) {
    auto here = weak.lock();
    if (!here) return;
    here->machines.at(name)->http.erase(address);
    auto found = here->by_address.find(address);
    if (found != here->by_address.end() && found->second == name) here->by_address.erase(found);
  };
  table.http_open = [weak, name, life](std::string address, rt::http_request request,
                                       std::function<void(rt::http_event)> notify) -> std::uint64_t {
    auto here = weak.lock();
    if (!here) return 0;
    auto exchange = std::make_shared<http_exchange>();
    exchange->number = here->next++;
    exchange->client = name;
    exchange->client_life = life;
    exchange->notify = std::move(notify);
    exchange->address = address;
    exchange->pooled = request.pooled;
    exchange->echo_name = request.echo_name;
    exchange->echo_value = request.echo_value;
    bool full = request.pooled && here->open_to(name, address) >= request.most_connections;
    here->exchanges[exchange->number] = exchange;
    auto* target = full ? nullptr : here->listening(address);
    if (!target) {
      here->schedule(2 * here->latency(), name, life, [weak, exchange] {
        auto world = weak.lock();
        if (!world || exchange->client_closed || exchange->ended) return;
        exchange->ended = true;
        world->exchanges.erase(exchange->number);
        auto notify_once = std::move(exchange->notify);
        // Refused before a byte was sent.
        notify_once(rt::http_failure{false});
      });
      return exchange->number;
    }
    exchange->server = target->name;
    exchange->server_life = target->life;
    rt::inbound_request incoming;
    incoming.method = request.method;
    incoming.target = request.path;
    auto query = request.path.find('?');
    incoming.path = request.path.substr(0, query);
    if (query != std::string::npos) incoming.query = request.path.substr(query + 1);
    incoming.body = request.body;
    incoming.peer = name + ":1";
    for (auto& [header, value] : request.headers) {
      std::string lower = header;
      for (auto& letter : lower) letter = static_cast<char>(std::tolower(letter));
      incoming.headers[lower] = value;
    }
    // For the oracle: when the request left its sender.
    incoming.headers["x-sim-sent"] = std::to_string(here->now);
    auto bytes = request.body.size() + 200;
    auto deliver = [weak, exchange, address, incoming] {
      auto world = weak.lock();
      // Bytes follow the handshake: a request that was given up before it got through never arrives.
      if (!world || exchange->client_closed || exchange->ended) return;
      exchange->arrived = true;
      auto& place = *world->machines.at(exchange->server);
      auto handler = place.http.find(address);
      if (handler != place.http.end()) handler->second(incoming, make_writer(weak, exchange));
    };
    here->carry(name, exchange->server, exchange->server_life, std::move(deliver), bytes);
    // A channel that isn't made within this time is given up, and with it the request that it was for.
    here->schedule(request.patience, name, life, [weak, exchange] {
      auto world = weak.lock();
      if (!world || exchange->arrived || exchange->ended || exchange->client_closed) return;
      auto& place = *world->machines.at(exchange->server);
      // A frozen machine's kernel still takes the channel.
      bool taken = place.up && place.life == exchange->server_life && place.frozen &&
                   !world->cuts.count({exchange->client, exchange->server});
      if (taken) return;
      exchange->ended = true;
      world->exchanges.erase(exchange->number);
      auto notify_once = std::move(exchange->notify);
      notify_once(rt::http_failure{false});
    });
    return exchange->number;
  };
  table.http_cancel = [weak](std::uint64_t number) {
    auto here = weak.lock();
    if (!here || !here->exchanges.count(number)) return;
    auto exchange = here->exchanges[number];
    here->exchanges.erase(number);
    exchange->client_closed = true;
    exchange->notify = nullptr;
    if (exchange->server.empty()) return;
    here->carry(
        exchange->client, exchange->server, exchange->server_life, [exchange] { tell_gone(exchange); }, 0);
  };
}

void world::state::break_http(const std::string& name) {
  std::vector<std::shared_ptr<http_exchange>> touched;
  for (auto& [number, exchange] : exchanges) touched.push_back(exchange);
  for (auto& exchange : touched) {
    if (exchange->server == name && lives(name, exchange->server_life) && !exchange->replied) {
      exchange->replied = true;
      to_client(shared_from_this(), exchange, rt::http_failure{true}, 0);
    }
    if (exchange->client == name && lives(name, exchange->client_life)) {
      exchange->client_closed = true;
      exchange->notify = nullptr;
      exchanges.erase(exchange->number);
      if (!exchange->server.empty())
        carry(
            name, exchange->server, exchange->server_life, [exchange] { tell_gone(exchange); }, 0);
    }
  }
}

}  // namespace hsim
