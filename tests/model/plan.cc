#include "model/plan.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace herontally::model {

namespace {

constexpr std::int64_t millisecond = 1000;
constexpr std::int64_t min_span = 2000 * millisecond, max_span = 5000 * millisecond;
constexpr std::int64_t min_duration = 20 * millisecond;
// A fault lasts between min_duration << n and twice that, with n from 0 to max_duration_shift.
constexpr std::int64_t max_duration_shift = 6;
constexpr std::int64_t min_pause_limit = 30 * millisecond, max_pause_shift = 7;
constexpr int max_keys = 3;
constexpr int min_faults = 4, max_faults = 20;

// A kind that is listed several times is drawn as many times as often: those that test the protocol most come
// most.
constexpr fault_kind weighted_kinds[] = {
    fault_kind::crash,         fault_kind::power_loss,
    fault_kind::power_loss,    fault_kind::power_at_write,
    fault_kind::disk_loss,     fault_kind::disk_loss,
    fault_kind::disk_loss,     fault_kind::freeze_voter,
    fault_kind::freeze_client, fault_kind::freeze_client,
    fault_kind::freeze_sender, fault_kind::freeze_sender,
    fault_kind::freeze_sender, fault_kind::crash_client,
    fault_kind::isolate_voter, fault_kind::cut_link,
    fault_kind::cut_link,      fault_kind::clock_step,
    fault_kind::clock_step,    fault_kind::slow_network,
    fault_kind::slow_network,  fault_kind::duplicate_messages,
    fault_kind::lose_messages, fault_kind::slow_links,
    fault_kind::slow_links,    fault_kind::slow_links,
    fault_kind::slow_links,
};

// Each run has about half of the kinds, so that a failure that one kind always prevents is found by the runs
// without it.
std::vector<fault_kind> draw_kinds(std::mt19937_64& random) {
  std::map<fault_kind, bool> chosen;
  for (auto kind : weighted_kinds) chosen.try_emplace(kind, random() % 2 == 0);
  std::vector<fault_kind> kinds;
  for (auto kind : weighted_kinds)
    if (chosen[kind]) kinds.push_back(kind);
  if (kinds.empty()) kinds.assign(std::begin(weighted_kinds), std::end(weighted_kinds));
  return kinds;
}

}  // namespace

run_plan make_plan(const run_options& options) {
  std::mt19937_64 random(options.seed * 2654435761u + static_cast<std::uint64_t>(options.voters));
  auto draw = [&random](std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most - least + 1));
  };
  run_plan plan;
  plan.writers = static_cast<int>(draw(2, 3));
  plan.movers = static_cast<int>(draw(1, 2));
  plan.keys = static_cast<int>(draw(1, max_keys));
  // Writers with short pauses race; with long pauses a value has to survive several faults before the next
  // write.
  plan.max_pause = min_pause_limit << draw(0, max_pause_shift);
  std::int64_t span = draw(min_span, max_span);
  auto kinds = draw_kinds(random);
  if (!options.kinds.empty()) kinds = options.kinds;
  auto count = draw(min_faults, max_faults);
  for (std::int64_t number = 0; number < count; ++number) {
    fault each;
    each.kind = kinds[random() % kinds.size()];
    each.at = draw(0, span);
    // Short faults are drawn as often as long ones, since each step of the protocol has its own timeout.
    auto shortest = min_duration << draw(0, max_duration_shift);
    each.duration = draw(shortest, 2 * shortest);
    each.target_seed = random();
    each.at_move = random() % 3 == 0;
    each.until_move_ends = random() % 2 == 0;
    plan.faults.push_back(each);
  }
  auto earlier = [](const fault& left, const fault& right) { return left.at < right.at; };
  std::stable_sort(plan.faults.begin(), plan.faults.end(), earlier);
  if (!options.all_faults) {
    std::vector<fault> kept;
    for (int position : options.only_faults)
      if (position >= 0 && position < count) kept.push_back(plan.faults[static_cast<std::size_t>(position)]);
    plan.faults = std::move(kept);
  }
  plan.span = options.span.value_or(span);
  return plan;
}

std::vector<fault_kind> kinds_named(const std::string& name) {
  std::set<fault_kind> found;
  for (auto kind : weighted_kinds)
    if (name_of(kind) == name) found.insert(kind);
  return {found.begin(), found.end()};
}

std::string name_of(fault_kind kind) {
  switch (kind) {
    case fault_kind::crash:
      return "crash";
    case fault_kind::power_loss:
      return "power loss";
    case fault_kind::power_at_write:
      return "power loss at a write";
    case fault_kind::disk_loss:
      return "disk loss";
    case fault_kind::freeze_voter:
    case fault_kind::freeze_client:
      return "freeze";
    case fault_kind::freeze_sender:
      return "freeze after a message";
    case fault_kind::crash_client:
      return "client crash";
    case fault_kind::isolate_voter:
      return "isolation";
    case fault_kind::cut_link:
      return "link cut";
    case fault_kind::slow_links:
      return "slow links";
    case fault_kind::clock_step:
      return "clock step";
    case fault_kind::slow_network:
      return "slow network";
    case fault_kind::duplicate_messages:
      return "duplicated messages";
    case fault_kind::lose_messages:
      return "lost messages";
  }
  return "";
}

}  // namespace herontally::model
