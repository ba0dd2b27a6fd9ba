// One run of a site: faults at random times, possibly a closing fault, and a read of the configuration at the
// end.
#include <algorithm>

#include "platform_site_faults.h"

namespace herontally::platform_simulator {

bool is_closing_fault(const std::string& kind) {
  return kind == "all_power" || kind == "all_kill" || kind == "disk_lost";
}
// Whether a fault concerns machines that keep data. The next such fault waits until they have recovered.
static bool concerns_data(const std::string& kind) {
  return kind == "zone_power" || kind.compare(0, 4, "core") == 0 || kind.compare(0, 5, "store") == 0 ||
         kind == "acknowledged_power";
}

// If two losses must be tolerated, a second one follows at a random time during the repair of the first.
static void inject_second_loss(site& target, const std::string& first) {
  static const std::vector<std::string> more{"kill", "power", "freeze", "cut", "wipe", "replace"};
  bool machine_fault = std::any_of(more.begin(), more.end(), [&](auto& what) {
    return first == "core_" + what || first == "store_" + what;
  });
  if (!machine_fault) return;
  auto& world = target.world();
  std::string role = world.draw(3) ? first.substr(0, first.find('_')) : world.draw(2) ? "core" : "store";
  std::string kind = role + "_" + more[world.draw(more.size())];
  world.at(world.now() + static_cast<microseconds>(world.draw(4 * second)), [&target, kind] {
    target.log_event(kind);
    inject_fault(target, kind);
  });
}

// How long the next fault of a machine that keeps data waits for the recovery from this one.
static microseconds recovery_time(const std::string& kind) {
  if (kind == "core_isolated") return isolation + 14 * second;
  return (kind == "store_retire" ? 20 : 14) * second;
}

// Injects one fault after another; those of machines that keep data wait for the recovery from the one
// before.
static void inject_faults_in_sequence(site& target, const run_options& options,
                                      const std::vector<std::string>& kinds) {
  auto& world = target.world();
  microseconds next_data_fault = world.now();
  for (int number = 0; number < options.faults && !kinds.empty(); ++number) {
    auto kind = kinds[world.draw(kinds.size())];
    bool data = concerns_data(kind);
    if (data && world.now() < next_data_fault) world.run_for(next_data_fault - world.now());
    target.log_event(kind);
    inject_fault(target, kind);
    if (data && options.shape.losses > 1) inject_second_loss(target, kind);
    if (data) next_data_fault = world.now() + recovery_time(kind);
    world.run_for((300 + static_cast<microseconds>(world.draw(3500))) * millisecond);
  }
  if (world.now() < next_data_fault) world.run_for(next_data_fault - world.now());
}

run_report run_scenario(const run_options& options) {
  simulator::world world(options.seed);
  oracle rule_oracle(world);
  site target(world, rule_oracle, options.shape);
  if (options.long_requests) target.enable_long_requests();
  run_report report;
  if (!target.begin())
    rule_oracle.violations.push_back({"BEGIN", "the site does not become ready", world.now()});
  std::vector<std::string> kinds, closing;
  auto drawn = options.only.empty() ? fault_kinds() : options.only;
  if (options.only.empty() && options.long_day > 0)
    drawn.insert(drawn.end(), named_fault_kinds().begin(), named_fault_kinds().end());
  for (auto& kind : drawn) (is_closing_fault(kind) ? closing : kinds).push_back(kind);
  bool always = !options.only.empty() || options.long_day > 0;
  bool has_closing_fault = !closing.empty() && (always || world.draw(2));
  auto end = world.now() + 300 * second;
  target.start_clients(end, options.pause);
  world.run_for(4 * second);
  if (options.long_day > 0)
    run_long_day(target, options, kinds);
  else
    inject_faults_in_sequence(target, options, kinds);
  world.run_for(8 * second);
  if (has_closing_fault) {
    // A change that is acknowledged right before the closing fault must survive it.
    change(target, "change");
    auto before = target.acknowledged_version;
    world.run_until([&] { return target.acknowledged_version > before; }, 5 * second);
    inject_closing_fault(target, closing[world.draw(closing.size())], options.shape.losses);
    world.run_for(recovery + 8 * second);
    rule_oracle.check_recovery();
  }
  std::string body;
  auto status = std::make_shared<int>(-1);
  world.runtime_of("operator").spawn([](site* self, std::string* body, std::shared_ptr<int> out) -> task<> {
    *out = co_await self->call("GET", "/-/config/read", "", "", body, 8 * second);
  }(&target, &body, status));
  world.run_until([&] { return *status >= 0; }, 20 * second);
  rule_oracle.final_configuration_read(body, *status);
  report.violations = rule_oracle.violations;
  report.event_log = target.event_log;
  report.counts = rule_oracle.counts;
  return report;
}

}  // namespace herontally::platform_simulator
