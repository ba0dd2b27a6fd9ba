// SWIM's failure detector: direct probes in turn, indirect ones before a member is suspected, and a full
// exchange with some node now and then.
#include <algorithm>

#include "membership/member_list_state.h"

namespace herontally::membership {

using rpc::member;

namespace {

constexpr microseconds full_probe_period = 2 * second;
// Updates alone reach a newcomer slowly: at first it asks for everything more often.
constexpr microseconds newcomer_time = 5 * second;
constexpr microseconds newcomer_full_probe_period = 400 * millisecond;
constexpr microseconds jitter = 40 * millisecond;
// How much longer than its own timeout a third party's answer is waited for.
constexpr microseconds reply_grace = 50 * millisecond;

task<> ask_third_party(rpc::endpoint endpoint, std::string address, std::string target, microseconds timeout,
                       runtime::mailbox<bool> answers) {
  rpc::probe_request request{std::move(target), false, {}, 0};
  auto result = co_await endpoint.call(std::move(address), std::move(request), timeout);
  auto* reply = std::get_if<rpc::probe_reply>(&result);
  answers.push(reply && reply->reached);
}

}  // namespace

std::optional<member> member_list::state::next_target() {
  // Every member once in a turn, each turn in an order of its own.
  for (int turn = 0; turn < 2; ++turn) {
    while (!probe_order.empty()) {
      auto name = probe_order.back();
      probe_order.pop_back();
      auto found = entries.find(name);
      // An entry that an agent keeps for its proxy is reached at the agent's own address.
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
  // Equal lists are not sent: they are nearly always equal.
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
  // We have applied all that it knows, so that it lacks something of ours.
  rpc::probe_request rest{"", false, here->updates_beyond(reply->updates), 0};
  if (rest.updates.empty()) co_return true;
  auto taken = co_await here->endpoint.call(std::move(address), std::move(rest), timeout);
  co_return std::holds_alternative<rpc::probe_reply>(taken);
}

// Perhaps only our own way to it is cut: others are asked before it is suspected.
task<bool> member_list::state::probe_indirectly(member target) {
  auto here = shared_from_this();
  auto runtime = here->endpoint.runtime();
  auto limit = static_cast<std::size_t>(here->options.indirect_probes);
  auto third_parties = here->draw_alive(limit, target.name);
  runtime::mailbox<bool> answers(runtime);
  auto timeout = here->options.indirect_timeout;
  for (auto& address : third_parties)
    runtime.spawn(ask_third_party(here->endpoint, address, target.inner, timeout, answers));
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

// Seeds and the dead are tried too, so that two halves of a partition find together again.
task<> member_list::state::probe_someone_fully(std::optional<member> target) {
  auto here = shared_from_this();
  auto runtime = here->endpoint.runtime();
  std::string address = here->seeds[here->next_seed_ % here->seeds.size()];
  bool draws_seed = target && runtime.draw(here->seeds.size() + here->names.size()) < here->seeds.size();
  if (!target || draws_seed)
    ++here->next_seed_;
  else
    address = here->draw_address();
  if (address.empty()) co_return;
  if (address != here->self.inner) co_await here->probe(address, true, here->options.direct_timeout);
}

task<> member_list::state::probe_forever() {
  auto here = shared_from_this();
  auto runtime = here->endpoint.runtime();
  microseconds next_full = 0, begun = runtime.now();
  while (!here->leaving) {
    here->expire();
    auto target = here->next_target();
    if (target) runtime.spawn(here->probe_member(*target));
    auto now = runtime.now();
    if (!target || now >= next_full) {
      next_full = now + (now - begun < newcomer_time ? newcomer_full_probe_period : full_probe_period);
      co_await here->probe_someone_fully(target);
    }
    here->count_examined();
    auto drawn = static_cast<microseconds>(runtime.draw(jitter));
    co_await runtime.sleep(here->options.period - jitter / 2 + drawn);
  }
}

}  // namespace herontally::membership
