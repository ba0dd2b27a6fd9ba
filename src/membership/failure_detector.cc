// The failure detector of SWIM: probes one member per period, probes it indirectly through other members
// before it is suspected, and periodically exchanges the whole member list with a random node. It doesn't
// decide which updates win; see member_list.cc.
#include <algorithm>

#include "membership/member_list_state.h"

namespace herontally::membership {

using rpc::member;

namespace {

constexpr microseconds full_probe_period = 2 * second;
// Piggybacked updates alone reach a node that has just started slowly, so it runs full exchanges more often
// at first.
constexpr microseconds startup_duration = 5 * second;
constexpr microseconds startup_full_probe_period = 400 * millisecond;
constexpr microseconds jitter = 40 * millisecond;
// How much longer than the timeout of an indirect probe request its result is waited for.
constexpr microseconds reply_grace = 50 * millisecond;

task<> request_indirect_probe(rpc::endpoint endpoint, std::string address, std::string target,
                              microseconds timeout, runtime::mailbox<bool> answers) {
  rpc::probe_request request{std::move(target), false, {}, 0};
  auto result = co_await endpoint.call(std::move(address), std::move(request), timeout);
  auto* reply = std::get_if<rpc::probe_reply>(&result);
  answers.push(reply && reply->reached);
}

}  // namespace

std::optional<member> member_list::state::next_probe_target() {
  // Round-robin: every member once per round, each round in a new random order.
  for (int round = 0; round < 2; ++round) {
    while (!probe_order.empty()) {
      auto name = probe_order.back();
      probe_order.pop_back();
      auto found = entries.find(name);
      // An agent's entry for its proxy has the agent's own address, so probing it would probe this node.
      bool other = found != entries.end() && found->second.member.inner != self.inner;
      if (other && found->second.member.is_live()) return found->second.member;
    }
    examined += entries.size();
    for (auto& [name, each] : entries) probe_order.push_back(name);
    std::shuffle(probe_order.begin(), probe_order.end(), endpoint.runtime().random());
  }
  return std::nullopt;
}

task<rpc::probe_reply> member_list::state::serve_probe(rpc::probe_request request) {
  auto here = shared_from_this();
  rpc::probe_reply reply;
  here->apply_all(request.updates);
  if (!request.target.empty()) {
    bool reached = co_await here->probe(request.target, false, here->options.direct_timeout);
    reply.reached = reached;
  }
  // The lists are nearly always equal, so the whole list is sent only if the checksums differ.
  reply.checksum = here->checksum();
  reply.updates = here->choose_updates(request.full && request.checksum != reply.checksum);
  co_return reply;
}

task<bool> member_list::state::probe(std::string address, bool full, microseconds timeout) {
  auto here = shared_from_this();
  rpc::probe_request request{"", full, here->choose_updates(false), full ? here->checksum() : 0};
  auto result = co_await here->endpoint.call(address, std::move(request), timeout);
  auto* reply = std::get_if<rpc::probe_reply>(&result);
  if (!reply) co_return false;
  here->apply_all(reply->updates);
  if (!full || reply->checksum == here->checksum()) co_return true;
  // All of the peer's updates are applied here, so a remaining difference is something that the peer lacks.
  rpc::probe_request remaining{"", false, here->updates_beyond(reply->updates), 0};
  if (remaining.updates.empty()) co_return true;
  auto delivery = co_await here->endpoint.call(std::move(address), std::move(remaining), timeout);
  co_return std::holds_alternative<rpc::probe_reply>(delivery);
}

// The path between this node and the target may be the only one that fails, so other members probe the target
// before it is suspected.
task<bool> member_list::state::probe_indirectly(member target) {
  auto here = shared_from_this();
  auto runtime = here->endpoint.runtime();
  auto limit = static_cast<std::size_t>(here->options.indirect_probes);
  auto third_parties = here->random_alive_addresses(limit, target.name);
  runtime::mailbox<bool> answers(runtime);
  auto timeout = here->options.indirect_timeout;
  for (auto& address : third_parties)
    runtime.spawn(request_indirect_probe(here->endpoint, address, target.inner, timeout, answers));
  for (std::size_t received = 0; received < third_parties.size(); ++received) {
    auto reached = co_await answers.pop(timeout + reply_grace);
    if (reached && *reached) co_return true;
  }
  co_return false;
}

task<> member_list::state::probe_member(member target) {
  auto here = shared_from_this();
  bool reached = co_await here->probe(target.inner, false, here->options.direct_timeout);
  if (!reached) reached = co_await here->probe_indirectly(target);
  if (!reached) here->suspect(target.name, target.incarnation);
}

// Seeds and dead members are tried too, so that the two sides of a partition merge once it heals.
task<> member_list::state::exchange_with_random_peer(std::optional<member> target) {
  auto here = shared_from_this();
  auto runtime = here->endpoint.runtime();
  auto& seeds = here->seeds;
  bool use_seed =
      !seeds.empty() && (!target || runtime.draw(seeds.size() + here->names.size()) < seeds.size());
  std::string address = use_seed ? seeds[here->next_seed_++ % seeds.size()] : here->random_address();
  if (address.empty()) co_return;
  if (address != here->self.inner) co_await here->probe(address, true, here->options.direct_timeout);
}

task<> member_list::state::run_failure_detector() {
  auto here = shared_from_this();
  auto runtime = here->endpoint.runtime();
  microseconds next_full_probe = 0, started_at = runtime.now();
  while (!here->leaving) {
    here->expire_members();
    auto target = here->next_probe_target();
    if (target) runtime.spawn(here->probe_member(*target));
    auto now = runtime.now();
    if (!target || now >= next_full_probe) {
      next_full_probe =
          now + (now - started_at < startup_duration ? startup_full_probe_period : full_probe_period);
      co_await here->exchange_with_random_peer(target);
    }
    here->count_examined();
    auto random_delay = static_cast<microseconds>(runtime.draw(jitter));
    co_await runtime.sleep(here->options.period - jitter / 2 + random_delay);
  }
}

}  // namespace herontally::membership
