#include "model/shrink.h"

#include <numeric>

namespace herontally::model {

namespace {

constexpr int max_attempts = 400;
// Each reduced plan is run with a few variations of the message order.
constexpr std::uint64_t variations_per_plan = 3;

class shrinker {
 public:
  shrinker(const run_options& failing, const run_result& result) : best_{failing, result, 0} {
    kind_ = result.failure->kind;
    auto plan = make_plan(failing);
    if (failing.all_faults) {
      best_.options.only_faults.resize(plan.faults.size());
      std::iota(best_.options.only_faults.begin(), best_.options.only_faults.end(), 0);
      best_.options.all_faults = false;
    }
    best_.options.span = plan.span;
  }

  shrunk_run run() {
    bool progress = true;
    while (progress && best_.attempts < max_attempts) {
      bool fewer = remove_faults();
      bool sooner = shorten_span();
      progress = fewer || sooner;
    }
    return best_;
  }

 private:
  bool still_fails(run_options options) {
    for (std::uint64_t change = 0; change < variations_per_plan && best_.attempts < max_attempts; ++change) {
      options.variation = best_.options.variation + change;
      best_.attempts += 1;
      auto result = run_once(options);
      if (!result.failure || result.failure->kind != kind_) continue;
      best_.options = options;
      best_.result = result;
      return true;
    }
    return false;
  }

  // Removes halves of the plan first, then quarters, down to single faults.
  bool remove_faults() {
    bool removed = false;
    for (std::size_t size = best_.options.only_faults.size() / 2; size > 0; size /= 2) {
      for (std::size_t first = 0; first < best_.options.only_faults.size();) {
        auto shorter = best_.options;
        auto& faults = shorter.only_faults;
        auto last = std::min(first + size, faults.size());
        faults.erase(faults.begin() + static_cast<std::ptrdiff_t>(first),
                     faults.begin() + static_cast<std::ptrdiff_t>(last));
        bool fails = still_fails(shorter);
        removed = removed || fails;
        if (!fails) first += size;
      }
    }
    return removed;
  }

  bool shorten_span() {
    auto shorter = best_.options;
    shorter.span = *shorter.span * 3 / 4;
    return still_fails(shorter);
  }

  shrunk_run best_;
  violation_kind kind_;
};

}  // namespace

shrunk_run shrink(const run_options& failing, const run_result& result) {
  return shrinker(failing, result).run();
}

static std::string joined_names(const std::vector<fault_kind>& kinds) {
  std::string names;
  for (auto kind : kinds) names += (names.empty() ? "" : ",") + name_of(kind);
  return names;
}

std::string command_of(const run_options& options) {
  auto seed = std::to_string(options.seed);
  std::string command = "register_model --seeds " + seed + ".." + seed;
  command += " --voters " + std::to_string(options.voters) + " --spares " + std::to_string(options.spares);
  if (!options.kinds.empty()) command += " --only '" + joined_names(options.kinds) + "'";
  if (options.variation > 0) command += " --variation " + std::to_string(options.variation);
  if (options.span) command += " --span_ms " + std::to_string(*options.span / 1000);
  if (options.all_faults) return command;
  command += " --faults ";
  for (int position : options.only_faults) command += std::to_string(position) + ",";
  if (options.only_faults.empty()) command += "none";
  return command;
}

}  // namespace herontally::model
