// The client's side of HTTP exchanges in the world: requests on their way to a server.
#include "simulator/world_http.h"

namespace simulator {

static bool is_over(const http_exchange& exchange) { return exchange.client_closed || exchange.ended; }

// Ends an exchange of which the server has heard nothing.
static void fail_unsent(world::state& world, const std::shared_ptr<http_exchange>& exchange) {
  exchange->ended = true;
  world.exchanges.erase(exchange->number);
  auto notify_once = std::move(exchange->notify);
  notify_once(rt::http_failure{false});
}

static rt::inbound_request inbound_of(const rt::http_request& request, const std::string& client,
                                      microseconds now) {
  rt::inbound_request incoming;
  incoming.method = request.method;
  incoming.target = request.path;
  auto query = request.path.find('?');
  incoming.path = request.path.substr(0, query);
  if (query != std::string::npos) incoming.query = request.path.substr(query + 1);
  incoming.body = request.body;
  incoming.peer = client + ":1";
  for (auto& [header, value] : request.headers) {
    std::string lower = header;
    for (auto& letter : lower) letter = static_cast<char>(std::tolower(letter));
    incoming.headers[lower] = value;
  }
  // For the oracle: when the request left its sender.
  incoming.headers["x-sim-sent"] = std::to_string(now);
  return incoming;
}

// The request arrives and is handled there.
static void deliver(const std::weak_ptr<world::state>& weak, const std::shared_ptr<http_exchange>& exchange,
                    const rt::inbound_request& incoming) {
  auto world = weak.lock();
  // Bytes follow the handshake: a request that was given up before it got through never arrives.
  if (!world || is_over(*exchange)) return;
  exchange->arrived = true;
  auto& place = *world->machines.at(exchange->server);
  auto handler = place.http.find(exchange->address);
  if (handler != place.http.end()) handler->second(incoming, make_writer(weak, exchange));
}

// A connection that isn't made in time is given up, and with it the request that it was for.
static void end_unconnected(const std::weak_ptr<world::state>& weak,
                            const std::shared_ptr<http_exchange>& exchange) {
  auto world = weak.lock();
  if (!world || exchange->arrived || is_over(*exchange)) return;
  auto& place = *world->machines.at(exchange->server);
  // A frozen machine's kernel still takes the connection.
  bool taken = place.up && place.life == exchange->server_life && place.frozen &&
               !world->cuts.contains({exchange->client, exchange->server});
  if (!taken) fail_unsent(*world, exchange);
}

static std::shared_ptr<http_exchange> make_exchange(world::state& world, const std::string& client,
                                                    std::uint64_t life, const std::string& address,
                                                    const rt::http_request& request) {
  auto exchange = std::make_shared<http_exchange>();
  exchange->number = world.next++;
  exchange->client = client;
  exchange->client_life = life;
  exchange->address = address;
  exchange->pooled = request.pooled;
  exchange->echo_name = request.echo_name;
  exchange->echo_value = request.echo_value;
  return exchange;
}

// Sends the request on its way, or has it refused.
static void begin_exchange(const std::shared_ptr<world::state>& here,
                           const std::shared_ptr<http_exchange>& exchange, const rt::http_request& request) {
  std::weak_ptr<world::state> weak = here;
  const auto& client = exchange->client;
  bool full = request.pooled && here->open_to(client, exchange->address) >= request.most_connections;
  here->exchanges[exchange->number] = exchange;
  auto* target = full ? nullptr : here->listening(exchange->address);
  if (!target) {
    here->schedule(2 * here->latency(), client, exchange->client_life, [weak, exchange] {
      auto world = weak.lock();
      if (world && !is_over(*exchange)) fail_unsent(*world, exchange);
    });
    return;
  }
  exchange->server = target->name;
  exchange->server_life = target->life;
  auto arrive = [weak, exchange, incoming = inbound_of(request, client, here->now)] {
    deliver(weak, exchange, incoming);
  };
  constexpr std::size_t head_bytes = 200;
  here->carry(client, exchange->server, exchange->server_life, std::move(arrive),
              request.body.size() + head_bytes);
  here->schedule(request.connect_timeout, client, exchange->client_life,
                 [weak, exchange] { end_unconnected(weak, exchange); });
}

static void cancel_exchange(world::state& world, std::uint64_t number) {
  auto found = world.exchanges.find(number);
  if (found == world.exchanges.end()) return;
  auto exchange = found->second;
  world.exchanges.erase(found);
  exchange->client_closed = true;
  exchange->notify = nullptr;
  if (exchange->server.empty()) return;
  world.carry(
      exchange->client, exchange->server, exchange->server_life, [exchange] { tell_gone(exchange); }, 0);
}

std::size_t world::state::open_to(const std::string& client, const std::string& address) const {
  std::size_t count = 0;
  for (auto& [number, exchange] : exchanges)
    count += exchange->pooled && exchange->client == client && exchange->address == address;
  return count;
}

static void bind_http_server(const std::weak_ptr<world::state>& weak, const std::string& name,
                             rt::backend& table) {
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
}

static void bind_http_drain(const std::weak_ptr<world::state>& weak, const std::string& name,
                            rt::backend& table) {
  table.http_drain = [weak, name](std::string address) {
    if (auto here = weak.lock()) here->machines.at(name)->draining_http.insert(address);
  };
  // Each exchange has a connection of its own, which ends with it or rests.
  table.http_connections = [weak, name](std::string address) -> rt::connection_counts {
    auto here = weak.lock();
    if (!here) return {};
    auto life = here->machines.at(name)->life;
    std::size_t open = 0;
    for (auto& [number, exchange] : here->exchanges) {
      bool at_server =
          exchange->server == name && exchange->server_life == life && exchange->address == address;
      open += at_server && exchange->arrived && !exchange->replied ? 1 : 0;
    }
    auto& resting = here->machines.at(name)->resting_connections;
    auto kept = resting.find(address);
    return {open + (kept == resting.end() ? 0 : kept->second), open};
  };
}

void world::state::bind_http(struct machine* self, rt::backend& table) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  bind_http_server(weak, name, table);
  bind_http_drain(weak, name, table);
  table.http_open = [weak, name, life](std::string address, rt::http_request request,
                                       std::function<void(rt::http_event)> notify) -> std::uint64_t {
    auto here = weak.lock();
    if (!here) return 0;
    auto exchange = make_exchange(*here, name, life, address, request);
    exchange->notify = std::move(notify);
    begin_exchange(here, exchange, request);
    return exchange->number;
  };
  table.http_cancel = [weak](std::uint64_t number) {
    if (auto here = weak.lock()) cancel_exchange(*here, number);
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

}  // namespace simulator
