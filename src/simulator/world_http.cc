// The client's side of simulated HTTP exchanges: connecting, sending requests, cancelling them. Responses are
// in world_http_writer.cc.
#include "simulator/world_http.h"

namespace simulator {

static bool is_over(const http_exchange& exchange) { return exchange.client_closed || exchange.ended; }

// Ends an exchange whose request never reached the server.
static void fail_unsent(world::state& world, const std::shared_ptr<http_exchange>& exchange) {
  exchange->ended = true;
  world.exchanges.erase(exchange->number);
  auto notify_once = std::move(exchange->notify);
  notify_once(rt::http_failure{false});
}

static rt::inbound_request make_inbound(const rt::http_request& request, const std::string& client,
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
  // The virtual time at which the request was sent; the stand-in engines report it to the oracle.
  incoming.headers["x-sim-sent"] = std::to_string(now);
  return incoming;
}

// Hands the request to the handler of the server, if that still serves the address.
static void deliver(const std::weak_ptr<world::state>& weak, const std::shared_ptr<http_exchange>& exchange,
                    const rt::inbound_request& incoming) {
  auto world = weak.lock();
  // The request is sent after the TCP handshake: one that the client gave up before that never arrives.
  if (!world || is_over(*exchange)) return;
  exchange->arrived = true;
  auto& host = *world->machines.at(exchange->server);
  auto handler = host.http.find(exchange->address);
  if (handler != host.http.end()) handler->second(incoming, make_writer(weak, exchange));
}

// The connect timeout has passed: fails the exchange unless a connection was made.
static void time_out_connect(const std::weak_ptr<world::state>& weak,
                             const std::shared_ptr<http_exchange>& exchange) {
  auto world = weak.lock();
  if (!world || exchange->arrived || is_over(*exchange)) return;
  auto& host = *world->machines.at(exchange->server);
  // The kernel of a machine whose process is frozen still accepts the connection.
  bool accepted = host.up && host.life == exchange->server_life && host.frozen &&
                  !world->cuts.contains({exchange->client, exchange->server});
  if (!accepted) fail_unsent(*world, exchange);
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

// Sends the request. It fails after a round trip if nothing listens at the address or the client's connection
// pool for it is full.
static void begin_exchange(const std::shared_ptr<world::state>& world,
                           const std::shared_ptr<http_exchange>& exchange, const rt::http_request& request) {
  std::weak_ptr<world::state> weak = world;
  const auto& client = exchange->client;
  bool full = request.pooled && world->open_exchanges(client, exchange->address) >= request.most_connections;
  world->exchanges[exchange->number] = exchange;
  auto* target = full ? nullptr : world->listener_at(exchange->address);
  if (!target) {
    world->schedule(2 * world->draw_latency(), client, exchange->client_life, [weak, exchange] {
      auto world = weak.lock();
      if (world && !is_over(*exchange)) fail_unsent(*world, exchange);
    });
    return;
  }
  exchange->server = target->name;
  exchange->server_life = target->life;
  auto arrive = [weak, exchange, incoming = make_inbound(request, client, world->now)] {
    deliver(weak, exchange, incoming);
  };
  constexpr std::size_t head_bytes = 200;
  world->transmit(client, exchange->server, exchange->server_life, std::move(arrive),
                  request.body.size() + head_bytes);
  world->schedule(request.connect_timeout, client, exchange->client_life,
                  [weak, exchange] { time_out_connect(weak, exchange); });
}

static void cancel_exchange(world::state& world, std::uint64_t number) {
  auto found = world.exchanges.find(number);
  if (found == world.exchanges.end()) return;
  auto exchange = found->second;
  world.exchanges.erase(found);
  exchange->client_closed = true;
  exchange->notify = nullptr;
  if (exchange->server.empty()) return;
  world.transmit(
      exchange->client, exchange->server, exchange->server_life, [exchange] { notify_client_gone(exchange); },
      0);
}

std::size_t world::state::open_exchanges(const std::string& client, const std::string& address) const {
  std::size_t count = 0;
  for (auto& [number, exchange] : exchanges)
    count += exchange->pooled && exchange->client == client && exchange->address == address;
  return count;
}

static void bind_http_server(const std::weak_ptr<world::state>& weak, const std::string& name,
                             rt::backend& backend) {
  backend.http_serve = [weak, name](std::string address, rt::http_handler handler) {
    auto world = weak.lock();
    if (!world) return false;
    world->machines.at(name)->http[address] = std::move(handler);
    world->listeners[address] = name;
    return true;
  };
  backend.http_stop_listening = [weak, name](std::string address) {
    auto world = weak.lock();
    if (!world) return;
    world->machines.at(name)->http.erase(address);
    auto found = world->listeners.find(address);
    if (found != world->listeners.end() && found->second == name) world->listeners.erase(found);
  };
}

static void bind_http_drain(const std::weak_ptr<world::state>& weak, const std::string& name,
                            rt::backend& backend) {
  backend.http_drain = [weak, name](std::string address) {
    if (auto world = weak.lock()) world->machines.at(name)->draining_http.insert(address);
  };
  // Each exchange has a connection of its own; idle ones that clients keep are counted separately.
  backend.http_connections = [weak, name](std::string address) -> rt::connection_counts {
    auto world = weak.lock();
    if (!world) return {};
    auto life = world->machines.at(name)->life;
    std::size_t open = 0;
    for (auto& [number, exchange] : world->exchanges) {
      bool at_server =
          exchange->server == name && exchange->server_life == life && exchange->address == address;
      open += at_server && exchange->arrived && !exchange->replied ? 1 : 0;
    }
    auto& resting = world->machines.at(name)->resting_connections;
    auto kept = resting.find(address);
    return {open + (kept == resting.end() ? 0 : kept->second), open};
  };
}

void world::state::bind_http(struct machine* self, rt::backend& backend) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  bind_http_server(weak, name, backend);
  bind_http_drain(weak, name, backend);
  backend.http_open = [weak, name, life](std::string address, rt::http_request request,
                                         std::function<void(rt::http_event)> notify) -> std::uint64_t {
    auto world = weak.lock();
    if (!world) return 0;
    auto exchange = make_exchange(*world, name, life, address, request);
    exchange->notify = std::move(notify);
    begin_exchange(world, exchange, request);
    return exchange->number;
  };
  backend.http_cancel = [weak](std::uint64_t number) {
    if (auto world = weak.lock()) cancel_exchange(*world, number);
  };
}

void world::state::close_http_exchanges(const std::string& name) {
  std::vector<std::shared_ptr<http_exchange>> open;
  for (auto& [number, exchange] : exchanges) open.push_back(exchange);
  for (auto& exchange : open) {
    if (exchange->server == name && is_running(name, exchange->server_life) && !exchange->replied) {
      exchange->replied = true;
      send_to_client(shared_from_this(), exchange, rt::http_failure{true}, 0);
    }
    if (exchange->client == name && is_running(name, exchange->client_life)) {
      exchange->client_closed = true;
      exchange->notify = nullptr;
      exchanges.erase(exchange->number);
      if (!exchange->server.empty())
        transmit(
            name, exchange->server, exchange->server_life, [exchange] { notify_client_gone(exchange); }, 0);
    }
  }
}

}  // namespace simulator
