// One run of the site: faults at drawn moments, perhaps a closing fault, and the reading back at the end.
#include <algorithm>

#include "platform_site_faults.h"

namespace herontally::platform_simulator {

bool is_closing(const std::string& kind) {
  return kind == "all_power" || kind == "all_kill" || kind == "disk_lost";
}
// How long a fault may last until the next one may strike a core or store: its time, and to become whole.
static bool holds_data(const std::string& kind) {
  return kind == "zone_power" || kind.compare(0, 4, "core") == 0 || kind.compare(0, 5, "store") == 0 ||
         kind == "acknowledged_power";
}

// Where two losses are to be borne, another one follows at any moment of the first one's repair.
static void strike_again(site& place, const std::string& first) {
  static const std::vector<std::string> more{"kill", "power", "freeze", "cut", "wipe", "replace"};
  bool machine_fault = std::any_of(more.begin(), more.end(), [&](auto& what) {
    return first == "core_" + what || first == "store_" + what;
  });
  if (!machine_fault) return;
  auto& where = place.where();
  std::string role = where.draw(3) ? first.substr(0, first.find('_')) : where.draw(2) ? "core" : "store";
  std::string kind = role + "_" + more[where.draw(more.size())];
  where.at(where.now() + static_cast<microseconds>(where.draw(4 * second)), [&place, kind] {
    place.tell(kind);
    strike(place, kind);
  });
}

static microseconds time_to_be_whole(const std::string& kind) {
  if (kind == "core_isolated") return isolation + 14 * second;
  return (kind == "store_retire" ? 20 : 14) * second;
}

// One fault after another; those of machines that keep data wait until the last one is made good.
static void strike_in_turn(site& place, const run_options& choice, const std::vector<std::string>& kinds) {
  auto& world = place.where();
  microseconds free = world.now();
  for (int number = 0; number < choice.faults && !kinds.empty(); ++number) {
    auto kind = kinds[world.draw(kinds.size())];
    bool data = holds_data(kind);
    if (data && world.now() < free) world.run_for(free - world.now());
    place.tell(kind);
    strike(place, kind);
    if (data && choice.shape.losses > 1) strike_again(place, kind);
    if (data) free = world.now() + time_to_be_whole(kind);
    world.run_for((300 + static_cast<microseconds>(world.draw(3500))) * millisecond);
  }
  if (world.now() < free) world.run_for(free - world.now());
}

run_report run_scenario(const run_options& choice) {
  simulator::world world(choice.seed);
  oracle judge(world);
  site place(world, judge, choice.shape);
  if (choice.long_requests) place.offer_long_requests();
  run_report report;
  if (!place.begin()) judge.violations.push_back({"BEGIN", "the site does not come up", world.now()});
  std::vector<std::string> kinds, closing;
  auto drawn = choice.only.empty() ? fault_kinds() : choice.only;
  if (choice.only.empty() && choice.long_day > 0)
    drawn.insert(drawn.end(), named_fault_kinds().begin(), named_fault_kinds().end());
  for (auto& kind : drawn) (is_closing(kind) ? closing : kinds).push_back(kind);
  bool always = !choice.only.empty() || choice.long_day > 0;
  bool closes = !closing.empty() && (always || world.draw(2));
  auto end = world.now() + 300 * second;
  place.offer(end, choice.pause);
  world.run_for(4 * second);
  if (choice.long_day > 0)
    play_long_day(place, choice, kinds);
  else
    strike_in_turn(place, choice, kinds);
  world.run_for(8 * second);
  if (closes) {
    // An acknowledgement just before must outlast it.
    change(place, "change");
    auto before = place.current;
    world.run_until([&] { return place.current > before; }, 5 * second);
    closing_fault(place, closing[world.draw(closing.size())], choice.shape.losses);
    world.run_for(recovery + 8 * second);
    judge.judge_recovery();
  }
  std::string body;
  auto status = std::make_shared<int>(-1);
  world.runtime_of("operator").spawn([](site* self, std::string* body, std::shared_ptr<int> out) -> task<> {
    *out = co_await self->call("GET", "/-/config/read", "", "", body, 8 * second);
  }(&place, &body, status));
  world.run_until([&] { return *status >= 0; }, 20 * second);
  judge.read_back(body, *status);
  report.violations = judge.violations;
  report.story = place.story;
  report.counts = judge.counts;
  return report;
}

}  // namespace herontally::platform_simulator
