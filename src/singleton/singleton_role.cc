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
  std::string owner;  // name, incarnation and a random part: unique to one claim

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&ownership::epoch, "epoch"), json_field(&ownership::owner, "holder"));
  }
};

ownership ownership_from_text(const std::optional<std::string>& text) {
  auto document = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json();
  return document.is_object() ? document.get<ownership>() : ownership{};
}

// The next epoch for this owner, unless the claim has been written already.
consensus::mutator claim_for(const std::string& owner) {
  return [owner](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto current = ownership_from_text(text);
    if (current.owner == owner) return std::nullopt;
    return nlohmann::json(ownership{current.epoch + 1, owner}).dump();
  };
}

}  // namespace

struct singleton_role::state : std::enable_shared_from_this<singleton_role::state> {
  membership::member_list members;
  consensus::proposer catalog;
  std::string name;
  rpc::node_role candidates;
  bool owned = false;
  bool refused = false;  // under this epoch
  std::int64_t epoch = 0;
  std::string claimed_as;      // the owner's name in the register, by our last claim
  microseconds confirmed = 0;  // when the register named us last

  state(membership::member_list list, consensus::proposer from, std::string role_name, rpc::node_role role)
      : members(std::move(list)), catalog(std::move(from)), name(std::move(role_name)), candidates(role) {}
  bool is_first() const {
    auto live = members.live(candidates);
    return !live.empty() && live.front().name == members.self().name;
  }
  task<> claim();
  bool is_confirmation_due() const;
  task<> confirm();
  void give_up(const std::string& why);
  void refuse(const std::string& why);
  void report() const;
  task<> review_forever();
};

task<> singleton_role::state::claim() {
  auto self = shared_from_this();
  auto runtime = self->catalog.endpoint().runtime();
  auto& node = self->members.self();
  std::string owner = node.name + "/" + std::to_string(node.incarnation) + "/" + runtime.random_name();
  auto result = co_await self->catalog.change("duty/" + self->name, claim_for(owner),
                                              runtime.now() + claim_timeout, true);
  if (!result.known()) co_return;
  auto current = ownership_from_text(result.value);
  if (current.owner != owner) co_return;
  self->epoch = current.epoch;
  self->claimed_as = owner;
  self->confirmed = runtime.now();
  self->owned = true;
  self->refused = false;
  self->report();
  self->catalog.endpoint().logger().info("singleton role claimed",
                                         {{"role", self->name}, {"epoch", self->epoch}});
}

bool singleton_role::state::is_confirmation_due() const {
  if (broken("confirmation")) return false;
  return owned && catalog.endpoint().runtime().now() - confirmed >= confirmation_period;
}

// Being the first in order is no proof of owning the role: while this node was away, or unknown to a node
// that had just started, another one may have claimed it, and receivers refuse the lower epoch from then on.
task<> singleton_role::state::confirm() {
  auto self = shared_from_this();
  auto runtime = self->catalog.endpoint().runtime();
  auto asked = runtime.now();
  auto result = co_await self->catalog.read("duty/" + self->name, asked + confirmation_timeout);
  // Without the register nobody else can claim either.
  if (!result.known()) co_return;
  auto current = ownership_from_text(result.value);
  if (current.owner == self->claimed_as)
    self->confirmed = asked;
  else if (current.epoch > self->epoch)
    self->give_up("superseded by epoch " + std::to_string(current.epoch));
}

void singleton_role::state::report() const {
  auto logger = catalog.endpoint().logger();
  logger.gauge("herontally_role_owned{role=\"" + name + "\"}", owned ? 1 : 0);
  logger.gauge("herontally_role_epoch{role=\"" + name + "\"}", static_cast<double>(epoch));
}

void singleton_role::state::give_up(const std::string& why) {
  if (!owned) return;
  owned = false;
  report();
  catalog.endpoint().logger().info("singleton role given up",
                                   {{"role", name}, {"epoch", epoch}, {"why", why}});
}

void singleton_role::state::refuse(const std::string& why) {
  refused = true;
  if (!broken("step_down")) give_up(why);
}

task<> singleton_role::state::review_forever() {
  auto self = shared_from_this();
  auto runtime = self->catalog.endpoint().runtime();
  while (true) {
    bool first = self->is_first();
    if (!first) self->give_up("another node is first");
    if (first && self->is_confirmation_due()) co_await self->confirm();
    if (first && !self->owned) co_await self->claim();
    co_await runtime.sleep(review_period);
  }
}

singleton_role::singleton_role(membership::member_list members, consensus::proposer catalog, std::string name,
                               rpc::node_role candidates)
    : state_(std::make_shared<state>(std::move(members), std::move(catalog), std::move(name), candidates)) {}
void singleton_role::start() { state_->catalog.endpoint().runtime().spawn(state_->review_forever()); }
bool singleton_role::is_owner() const { return state_->owned; }
std::int64_t singleton_role::epoch() const { return state_->epoch; }
role_status singleton_role::status() const {
  return {state_->name, state_->owned, state_->epoch, state_->refused};
}
void singleton_role::step_down(std::int64_t seen_epoch) {
  if (seen_epoch > state_->epoch) state_->refuse("superseded by epoch " + std::to_string(seen_epoch));
}
void singleton_role::step_down() { state_->refuse("superseded"); }

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
