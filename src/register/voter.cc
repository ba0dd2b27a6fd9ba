#include "register/voter.h"

#include "register/voter_state.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::task;

// Two voters agree on a record when they hold the same content, or accepted the same ballot. What was only
// promised, and what is a voter's own, doesn't count.
static std::uint64_t fingerprint_of(const std::string& key, std::string_view value) {
  if (key[0] == '@') return 0;
  std::uint64_t hash = 1469598103934665603ull;
  auto mix = [&hash](std::uint64_t part) { hash = (hash ^ part) * 1099511628211ull ^ (hash >> 29); };
  for (unsigned char letter : key) mix(letter);
  if (key[0] == 'k') {
    auto accepted = cell::unpack_ballots(value).accepted;
    if (accepted.counter == 0) return 0;
    mix(static_cast<std::uint64_t>(accepted.counter));
    mix(static_cast<std::uint64_t>(accepted.proposer));
  }
  return hash;
}

// Contents make up most of the bytes and are read seldom; what is voted on has to be at hand.
static bool stays_in_memory(const std::string& key, std::size_t bytes) {
  constexpr std::size_t small = 64;
  return key[0] != 'c' || bytes <= small;
}

voter::voter(wire::port port, voter_options choice)
    : state_(std::make_shared<state>(std::move(port), choice)) {
  for (int number = 0; number < choice.buckets; ++number) {
    disk::options options;
    options.prefix = choice.group + "-" + std::to_string(number);
    options.limit_bytes = choice.limit_bytes / choice.buckets;
    options.fingerprint = fingerprint_of;
    options.attribute = choice.attribute;
    options.in_memory = stays_in_memory;
    options.log_bytes_before_fold = std::max<std::int64_t>(1 << 20, options.limit_bytes / 16);
    auto runtime = state_->port.runtime();
    state_->buckets.push_back(
        std::make_unique<bucket>(disk::store(runtime, options, state_->port.journal()), runtime));
  }
  // Commands that wait hold the voter, whose buckets hold them.
  state_->port.runtime().on_stop([weak = std::weak_ptr<state>(state_)] {
    auto here = weak.lock();
    if (!here) return;
    for (auto& each : here->buckets) each->queue = runtime::mailbox<command>(here->port.runtime());
  });
}

const std::string& voter::id() const { return state_->id; }
const view& voter::current() const { return state_->current; }
void voter::on_view(std::function<void(const view&)> handler) { state_->view_handler = std::move(handler); }
void voter::on_accepted(std::function<void(const std::string&, const std::string&)> handler) {
  state_->accepted_handler = std::move(handler);
}

std::optional<std::string> voter::state::read(const std::string& record) const {
  auto& holder = const_cast<state*>(this)->bucket_of(record);
  return holder.read({}, record);
}

bool voter::state::holds(const std::string& record) const {
  auto& holder = const_cast<state*>(this)->bucket_of(record);
  return holder.holds({}, record);
}

task<bool> voter::state::begin_bucket(bucket* which, std::string identity) {
  auto failed = co_await which->store.wipe();
  if (failed) co_return false;
  std::vector<disk::change> changes;
  changes.push_back({identity_key, identity});
  failed = co_await which->store.commit(std::move(changes), true);
  co_return !failed;
}

task<bool> voter::state::begin_anew() {
  auto self = shared_from_this();
  current = view{};
  filled = {};
  turn_places.clear();
  id = broken("identity") ? port.sender() : port.runtime().random_name();
  bool all = true;
  for (auto& each : buckets) {
    auto* which = each.get();
    if (!opened) {
      bool done = co_await begin_bucket(which, id);
      all = all && done;
      continue;
    }
    // Once the owners run, a wipe is a command like any other.
    runtime::slot<bool> finished(port.runtime());
    command work;
    work.alone = [self, which, finished]() -> task<> {
      bool done = co_await self->begin_bucket(which, self->id);
      finished.set(done);
    };
    which->queue.push(std::move(work));
    bool done = co_await finished.wait();
    all = all && done;
  }
  port.journal().info("voter begins empty", {{"group", choice.group}, {"voter", id}});
  co_return all;
}

task<std::optional<voter_fault>> voter::open() {
  auto self = state_;
  bool corrupt = false;
  std::set<std::string> identities;
  for (auto& each : self->buckets) {
    auto fault = each->store.recover();
    if (fault == disk::error::failed) co_return voter_fault::failed;
    if (fault == disk::error::corrupt) corrupt = true;
    identities.insert(each->store.read(identity_key).value_or(""));
    auto seen = each->store.read(view_key);
    if (!seen) continue;
    auto stored = view_from(*seen);
    if (stored.number > self->current.number) self->current = stored;
  }
  // A bucket without the others' identity was lost while they were kept: that is a loss, too. The one
  // exception is a first start that was cut off before any view could have named this voter.
  bool cut_off = identities.count("") && self->current.number == 0;
  if (identities.size() > 1 && !cut_off) corrupt = true;
  if (corrupt)
    self->port.journal().error("disk is corrupt; beginning empty under a new identity",
                               {{"group", self->choice.group}});
  if (corrupt || cut_off) {
    bool begun = co_await self->begin_anew();
    if (!begun) co_return voter_fault::failed;
  } else {
    self->id = *identities.begin();
  }
  for (auto& each : self->buckets) self->port.runtime().spawn(self->own(each.get()));
  self->opened = true;
  self->serve();
  if (corrupt) co_return voter_fault::corrupt;
  co_return std::nullopt;
}

std::optional<std::string> voter::accepted_value(const std::string& key) const {
  auto bytes = state_->read("k/" + key);
  if (!bytes) return std::nullopt;
  auto content = cell::unpack(*bytes);
  if (content.accepted.counter == 0) return std::nullopt;
  return content.value;
}

std::optional<std::string> voter::content(const std::string& digest) const {
  return state_->read("c/" + digest);
}

std::vector<std::string> voter::keys_with_prefix(const std::string& prefix) const {
  std::vector<std::string> found;
  auto take = [&found, &prefix](const disk::listed_record& record) {
    if (record.key.compare(0, prefix.size(), prefix) != 0) return false;
    found.push_back(record.key);
    return true;
  };
  for (auto& each : state_->buckets) each->store.list_from(prefix, take);
  return found;
}

std::int64_t voter::live_bytes() const {
  std::int64_t total = 0;
  for (auto& each : state_->buckets) total += each->store.live_bytes();
  return total;
}

std::size_t voter::key_count() const {
  std::size_t total = 0;
  for (auto& each : state_->buckets) total += each->store.record_count();
  return total;
}

task<bool> voter::install(view chosen) { return state_->install(std::move(chosen)); }

}  // namespace herontally::reg
