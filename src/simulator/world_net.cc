// Simulated links: latency, cuts, loss and duplication; and the messages between nodes that they carry.
#include "simulator/world_state.h"

namespace simulator {

microseconds world::state::draw_latency() {
  auto span = static_cast<std::uint64_t>(net.max_latency - net.min_latency + 1);
  auto time = net.min_latency + static_cast<microseconds>(random() % span);
  if (net.slow > 0 && static_cast<double>(random() % 10000) < net.slow * 10000)
    time += static_cast<microseconds>(random() % static_cast<std::uint64_t>(net.most_extra));
  return time;
}

bool world::state::draw_loss() {
  return net.lost > 0 && static_cast<double>(random() % 10000) < net.lost * 10000;
}

struct machine* world::state::listener_at(const std::string& address) {
  auto found = listeners.find(address);
  if (found == listeners.end()) return nullptr;
  auto& host = *machines.at(found->second);
  return host.up ? &host : nullptr;
}

void world::state::transmit(const std::string& from, const std::string& to, std::uint64_t to_life,
                            std::function<void()> work, std::size_t bytes, microseconds not_before) {
  net.messages += 1;
  net.bytes += static_cast<std::int64_t>(bytes);
  std::weak_ptr<state> weak = shared_from_this();
  auto arrive = [weak, to, to_life, work] {
    if (auto world = weak.lock()) world->schedule(0, to, to_life, work);
  };
  // TCP retransmits what it can't deliver, so it arrives late, once the link is healed.
  if (cuts.contains({from, to})) {
    held_messages[{from, to}].push_back(arrive);
    return;
  }
  // The caller of an ordered stream has already drawn the arrival time.
  auto delay = not_before > now ? not_before - now : draw_latency();
  auto slow_link = net.link_delays.find({from, to});
  if (slow_link != net.link_delays.end()) delay += slow_link->second;
  // Keeps the order of the link: nothing overtakes messages that were held back by a cut.
  auto earliest = earliest_arrivals.find({from, to});
  if (earliest != earliest_arrivals.end() && earliest->second >= now + delay)
    delay = ++earliest->second - now;
  schedule(delay, to, to_life, work);
}

// A message between nodes and its pending answer.
struct message_call {
  std::string caller, callee;
  std::uint64_t caller_life = 0, callee_life = 0;
  std::function<void(rt::call_outcome)> done;
  bool ended = false;
  void end(rt::call_outcome outcome) {
    if (std::exchange(ended, true)) return;
    auto work = std::move(done);
    work(std::move(outcome));
  }
};

// Sends the callee's answer to the caller; an empty answer closes the channel.
static void send_answer(const std::weak_ptr<world::state>& weak, const std::shared_ptr<message_call>& call,
                        std::string answer) {
  auto world = weak.lock();
  if (!world || world->draw_loss()) return;
  auto bytes = answer.size();
  auto arrive = [call, answer = std::move(answer)] {
    if (answer.empty())
      call->end(rt::channel_error::closed);
    else
      call->end(answer);
  };
  world->transmit(call->callee, call->caller, call->caller_life, std::move(arrive), bytes);
}

// Hands the message to the handler of the callee, if that still runs and serves the address.
static void deliver(const std::weak_ptr<world::state>& weak, const std::shared_ptr<message_call>& call,
                    const std::string& address, const std::string& payload) {
  auto world = weak.lock();
  if (!world || !world->is_running(call->callee, call->callee_life)) return;
  auto& host = *world->machines.at(call->callee);
  auto handler = host.inner.find(address);
  if (handler == host.inner.end()) return;
  handler->second(payload, [weak, call](std::string answer) { send_answer(weak, call, std::move(answer)); });
}

// Counts the sender's messages to storage nodes and freezes it at the one that a fault has chosen.
static void freeze_if_due(struct machine& sender, const std::string& callee) {
  bool counted = sender.sends_until_freeze > 0 && callee.rfind("store", 0) == 0;
  if (counted && --sender.sends_until_freeze == 0) sender.frozen = true;
}

static void track_call(world::state& world, const std::shared_ptr<message_call>& call) {
  constexpr std::size_t max_tracked_calls = 4000;
  if (world.calls.size() > max_tracked_calls)
    std::erase_if(world.calls, [](auto& each) { return each.expired(); });
  world.calls.push_back(call);
}

static void send_call(const std::shared_ptr<world::state>& world, const std::shared_ptr<message_call>& call,
                      const std::string& address, const std::string& payload) {
  std::weak_ptr<world::state> weak = world;
  auto* target = world->listener_at(address);
  if (!target) {
    // Connection refused: the caller learns of it after one round trip.
    world->schedule(2 * world->draw_latency(), call->caller, call->caller_life,
                    [call] { call->end(rt::channel_error::unreachable); });
    return;
  }
  call->callee = target->name;
  call->callee_life = target->life;
  freeze_if_due(*world->machines.at(call->caller), call->callee);
  track_call(*world, call);
  auto arrive = [weak, call, address, payload] { deliver(weak, call, address, payload); };
  if (world->net.twice > 0 && static_cast<double>(world->random() % 10000) < world->net.twice * 10000) {
    // Models a sender that reconnects and sends again while the first copy is still delivered.
    auto late = static_cast<microseconds>(world->random() % (2 * rt::second));
    world->schedule(late, "", 0, [weak, call, arrive] {
      if (auto world = weak.lock()) world->transmit(call->caller, call->callee, call->callee_life, arrive, 0);
    });
  }
  if (world->draw_loss()) return;
  world->transmit(call->caller, call->callee, call->callee_life, std::move(arrive), payload.size());
}

void world::state::bind_messages(struct machine* self, rt::backend& backend) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  backend.serve = [weak, name](std::string address, rt::message_handler handler) {
    auto world = weak.lock();
    if (!world) return false;
    world->machines.at(name)->inner[address] = std::move(handler);
    world->listeners[address] = name;
    return true;
  };
  backend.call = [weak, name, life](std::string to, std::string payload, microseconds timeout,
                                    std::function<void(rt::call_outcome)> done) {
    auto world = weak.lock();
    if (!world) return;
    auto call = std::make_shared<message_call>();
    call->caller = name;
    call->caller_life = life;
    call->done = std::move(done);
    world->schedule(timeout, name, life, [call] { call->end(rt::channel_error::timed_out); });
    send_call(world, call, to, payload);
  };
}

// A process that ends closes its channels, which fails the calls that its peers have open to it.
void world::state::close_channels(const std::string& name) {
  for (auto& weak_call : calls) {
    auto call = weak_call.lock();
    if (!call || call->ended || call->callee != name || !is_running(name, call->callee_life)) continue;
    transmit(
        name, call->caller, call->caller_life, [call] { call->end(rt::channel_error::closed); }, 0);
  }
}

}  // namespace simulator
