#include "singleton/singleton_role.h"

#include "runtime/breaks.h"

namespace herontally::singleton {

using runtime::microseconds;
using runtime::second;
using runtime::task;

namespace {

constexpr microseconds claim_timeout = 2 * second;

// What the role's register holds.
struct ownership {
  std::int64_t epoch = 0;
  std::string claim_id;  // the owner's name, its incarnation and a random part: unique to one claim

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&ownership::epoch, "epoch"),
                           json_field(&ownership::claim_id, "holder"));
  }
};

ownership ownership_from_text(const std::optional<std::string>& text) {
  auto document = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json();
  return document.is_object() ? document.get<ownership>() : ownership{};
}

// Gives the next epoch to this claim, unless the register has the claim already.
consensus::mutator increment_epoch_for(const std::string& claim_id) {
  return [claim_id](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto current = ownership_from_text(text);
    if (current.claim_id == claim_id) return std::nullopt;
    return nlohmann::json(ownership{current.epoch + 1, claim_id}).dump();
  };
}

}  // namespace

struct singleton_role::state : std::enable_shared_from_this<singleton_role::state> {
  membership::member_list members;
  consensus::proposer catalog;
  std::string name;
  rpc::node_role candidate_role;
  bool owned = false;
  bool epoch_refused = false;  // a receiver has refused the current epoch
  std::int64_t epoch = 0;
  std::string claim_id;           // id of this node's last successful claim
  microseconds confirmed_at = 0;  // when the claim was written, or the last read that found it began

  state(membership::member_list list, consensus::proposer proposer, std::string role_name,
        rpc::node_role role)
      : members(std::move(list)),
        catalog(std::move(proposer)),
        name(std::move(role_name)),
        candidate_role(role) {}
  bool is_first_candidate() const {
    auto live = members.live(candidate_role);
    return !live.empty() && live.front().name == members.self().name;
  }
  task<> claim();
  bool is_confirmation_due() const;
  task<> confirm();
  void release(const std::string& why);
  void on_epoch_refused(const std::string& why);
  void update_gauges() const;
  task<> run();
};

task<> singleton_role::state::claim() {
  auto self = shared_from_this();
  auto runtime = self->catalog.endpoint().runtime();
  auto& node = self->members.self();
  std::string claim_id = node.name + "/" + std::to_string(node.incarnation) + "/" + runtime.random_name();
  auto result = co_await self->catalog.change("duty/" + self->name, increment_epoch_for(claim_id),
                                              runtime.now() + claim_timeout, true);
  if (!result.known()) co_return;
  auto current = ownership_from_text(result.value);
  if (current.claim_id != claim_id) co_return;
  self->epoch = current.epoch;
  self->claim_id = claim_id;
  self->confirmed_at = runtime.now();
  self->owned = true;
  self->epoch_refused = false;
  self->update_gauges();
  self->catalog.endpoint().logger().info("singleton role claimed",
                                         {{"role", self->name}, {"epoch", self->epoch}});
}

bool singleton_role::state::is_confirmation_due() const {
  if (broken("confirmation")) return false;
  return owned && catalog.endpoint().runtime().now() - confirmed_at >= confirmation_period;
}

// Checks in the register that this node's claim still stands. Being the first candidate is no proof of that:
// another node may have claimed the role while this node was unreachable, or after a start before it knew
// this node. Receivers refuse the lower epoch from then on.
task<> singleton_role::state::confirm() {
  auto self = shared_from_this();
  auto runtime = self->catalog.endpoint().runtime();
  auto read_started_at = runtime.now();
  auto result = co_await self->catalog.read("duty/" + self->name, read_started_at + confirmation_timeout);
  // While the register can't be read, no other node can claim the role either.
  if (!result.known()) co_return;
  auto current = ownership_from_text(result.value);
  if (current.claim_id == self->claim_id)
    self->confirmed_at = read_started_at;
  else if (current.epoch > self->epoch)
    self->release("superseded by epoch " + std::to_string(current.epoch));
}

void singleton_role::state::update_gauges() const {
  auto logger = catalog.endpoint().logger();
  logger.gauge("herontally_role_owned{role=\"" + name + "\"}", owned ? 1 : 0);
  logger.gauge("herontally_role_epoch{role=\"" + name + "\"}", static_cast<double>(epoch));
}

void singleton_role::state::release(const std::string& why) {
  if (!owned) return;
  owned = false;
  update_gauges();
  catalog.endpoint().logger().info("singleton role given up",
                                   {{"role", name}, {"epoch", epoch}, {"why", why}});
}

void singleton_role::state::on_epoch_refused(const std::string& why) {
  epoch_refused = true;
  if (!broken("step_down")) release(why);
}

task<> singleton_role::state::run() {
  auto self = shared_from_this();
  auto runtime = self->catalog.endpoint().runtime();
  while (true) {
    bool is_first = self->is_first_candidate();
    if (!is_first) self->release("another node is the first candidate");
    if (is_first && self->is_confirmation_due()) co_await self->confirm();
    if (is_first && !self->owned) co_await self->claim();
    co_await runtime.sleep(review_period);
  }
}

singleton_role::singleton_role(membership::member_list members, consensus::proposer catalog, std::string name,
                               rpc::node_role candidate_role)
    : state_(
          std::make_shared<state>(std::move(members), std::move(catalog), std::move(name), candidate_role)) {}
void singleton_role::start() { state_->catalog.endpoint().runtime().spawn(state_->run()); }
bool singleton_role::is_owner() const { return state_->owned; }
std::int64_t singleton_role::epoch() const { return state_->epoch; }
role_status singleton_role::status() const {
  return {state_->name, state_->owned, state_->epoch, state_->epoch_refused};
}
void singleton_role::step_down(std::int64_t seen_epoch) {
  if (seen_epoch > state_->epoch)
    state_->on_epoch_refused("superseded by epoch " + std::to_string(seen_epoch));
}
void singleton_role::step_down() { state_->on_epoch_refused("superseded"); }

bool epoch_fence::admit(const std::string& role, std::int64_t epoch) {
  auto& highest = highest_[role];
  if (epoch < highest) return false;
  highest = epoch;
  return true;
}
std::int64_t epoch_fence::highest(const std::string& role) const {
  auto found = highest_.find(role);
  return found == highest_.end() ? 0 : found->second;
}

}  // namespace herontally::singleton
