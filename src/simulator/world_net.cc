// Links, and inner messages over them.
#include "simulator/world_state.h"

namespace simulator {

microseconds world::state::latency() {
  auto span = static_cast<std::uint64_t>(net.most - net.least + 1);
  auto time = net.least + static_cast<microseconds>(random() % span);
  if (net.slow > 0 && static_cast<double>(random() % 10000) < net.slow * 10000)
    time += static_cast<microseconds>(random() % static_cast<std::uint64_t>(net.most_extra));
  return time;
}

bool world::state::is_lost() {
  return net.lost > 0 && static_cast<double>(random() % 10000) < net.lost * 10000;
}

struct machine* world::state::listening(const std::string& address) {
  auto found = by_address.find(address);
  if (found == by_address.end()) return nullptr;
  auto& place = *machines.at(found->second);
  return place.up ? &place : nullptr;
}

void world::state::carry(const std::string& from, const std::string& to, std::uint64_t to_life,
                         std::function<void()> work, std::size_t bytes, microseconds not_before) {
  net.messages += 1;
  net.bytes += static_cast<std::int64_t>(bytes);
  std::weak_ptr<state> weak = shared_from_this();
  auto arrive = [weak, to, to_life, work] {
    if (auto here = weak.lock()) here->schedule(0, to, to_life, work);
  };
  // TCP holds on to what it can't deliver and delivers it late.
  if (cuts.contains({from, to})) {
    held[{from, to}].push_back(arrive);
    return;
  }
  // An ordered stream has chosen its moment of arrival already.
  auto delay = not_before > now ? not_before - now : latency();
  auto slow_link = net.link_delays.find({from, to});
  if (slow_link != net.link_delays.end()) delay += slow_link->second;
  // Nothing overtakes what was held back on the same link.
  auto floor = floors.find({from, to});
  if (floor != floors.end() && floor->second >= now + delay) delay = ++floor->second - now;
  schedule(delay, to, to_life, work);
}

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

// The callee's answer on its way back.
static void send_answer(const std::weak_ptr<world::state>& weak, const std::shared_ptr<message_call>& call,
                        std::string answer) {
  auto here = weak.lock();
  if (!here || here->is_lost()) return;
  auto bytes = answer.size();
  auto arrive = [call, answer = std::move(answer)] {
    if (answer.empty())
      call->end(rt::channel_error::closed);
    else
      call->end(answer);
  };
  here->carry(call->callee, call->caller, call->caller_life, std::move(arrive), bytes);
}

// The message arrives and is handled there.
static void deliver(const std::weak_ptr<world::state>& weak, const std::shared_ptr<message_call>& call,
                    const std::string& address, const std::string& payload) {
  auto here = weak.lock();
  if (!here || !here->lives(call->callee, call->callee_life)) return;
  auto& place = *here->machines.at(call->callee);
  auto handler = place.inner.find(address);
  if (handler == place.inner.end()) return;
  handler->second(payload, [weak, call](std::string answer) { send_answer(weak, call, std::move(answer)); });
}

// Counts the sender's messages to storage machines down to the one at which it freezes.
static void freeze_if_due(struct machine& sender, const std::string& callee) {
  bool aimed = sender.sends_until_freeze > 0 && callee.rfind("store", 0) == 0;
  if (aimed && --sender.sends_until_freeze == 0) sender.frozen = true;
}

static void remember_call(world::state& world, const std::shared_ptr<message_call>& call) {
  constexpr std::size_t most_calls = 4000;
  if (world.calls.size() > most_calls) std::erase_if(world.calls, [](auto& each) { return each.expired(); });
  world.calls.push_back(call);
}

static void send_call(const std::shared_ptr<world::state>& here, const std::shared_ptr<message_call>& call,
                      const std::string& address, const std::string& payload) {
  std::weak_ptr<world::state> weak = here;
  auto* target = here->listening(address);
  if (!target) {
    // Nobody listens there: the refusal comes back as fast as any answer.
    here->schedule(2 * here->latency(), call->caller, call->caller_life,
                   [call] { call->end(rt::channel_error::unreachable); });
    return;
  }
  call->callee = target->name;
  call->callee_life = target->life;
  freeze_if_due(*here->machines.at(call->caller), call->callee);
  remember_call(*here, call);
  auto arrive = [weak, call, address, payload] { deliver(weak, call, address, payload); };
  if (here->net.twice > 0 && static_cast<double>(here->random() % 10000) < here->net.twice * 10000) {
    // A sender that was cut off sends again on a new channel, and the first copy arrives after all.
    auto late = static_cast<microseconds>(here->random() % (2 * rt::second));
    here->schedule(late, "", 0, [weak, call, arrive] {
      if (auto world = weak.lock()) world->carry(call->caller, call->callee, call->callee_life, arrive, 0);
    });
  }
  if (here->is_lost()) return;
  here->carry(call->caller, call->callee, call->callee_life, std::move(arrive), payload.size());
}

void world::state::bind_inner(struct machine* self, rt::backend& table) {
  std::weak_ptr<state> weak = shared_from_this();
  std::string name = self->name;
  std::uint64_t life = self->life;
  table.serve = [weak, name](std::string address, rt::message_handler handler) {
    auto here = weak.lock();
    if (!here) return false;
    here->machines.at(name)->inner[address] = std::move(handler);
    here->by_address[address] = name;
    return true;
  };
  table.call = [weak, name, life](std::string to, std::string payload, microseconds timeout,
                                  std::function<void(rt::call_outcome)> done) {
    auto here = weak.lock();
    if (!here) return;
    auto call = std::make_shared<message_call>();
    call->caller = name;
    call->caller_life = life;
    call->done = std::move(done);
    here->schedule(timeout, name, life, [call] { call->end(rt::channel_error::timed_out); });
    send_call(here, call, to, payload);
  };
}

// A process that ends closes its channels; those on the other side hear of it.
void world::state::break_inner(const std::string& name) {
  for (auto& weak_call : calls) {
    auto call = weak_call.lock();
    if (!call || call->ended || call->callee != name || !lives(name, call->callee_life)) continue;
    carry(
        name, call->caller, call->caller_life, [call] { call->end(rt::channel_error::closed); }, 0);
  }
}

}  // namespace simulator
