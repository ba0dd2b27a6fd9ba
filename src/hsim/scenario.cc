#include "hsim/scenario.h"

#include "hsim/faults.h"

namespace hsim {

namespace rt = herontally::runtime;
using herontally::simcaller::seen_call;
using herontally::simcaller::seen_turn;

static herontally::simcaller::watcher eyes_of(oracle& judge) {
  herontally::simcaller::watcher eyes;
  eyes.begin = [&judge](const seen_turn& asked) { judge.turn_begins(asked); };
  eyes.turn = [&judge](const seen_turn& seen) { judge.turn_seen(seen); };
  eyes.call = [&judge](const seen_call& seen) { judge.call_seen(seen); };
  return eyes;
}

// After peace: a turn and a call must be served by every door within the time that the brief allows.
static rt::task<> probe_doors(site* place, oracle* judge, int* served, std::string tail) {
  auto runtime = place->callers();
  auto eyes = eyes_of(*judge);
  for (auto& door : place->doors()) {
    auto deadline = runtime.now() + 12 * rt::second;
    bool turn_done = false, call_done = false;
    std::string name = "exchange:probe-" + tail + "-" + std::to_string(*served);
    for (int attempt = 0; runtime.now() < deadline && !(turn_done && call_done); ++attempt) {
      seen_turn asked;
      asked.program = name;
      asked.turn = "t0";
      asked.prompt = "are you there";
      eyes.begin(asked);
      auto seen = co_await herontally::simcaller::take_turn(runtime, door, "swanreach", name, "t0",
                                                            asked.prompt, 64, 10);
      eyes.turn(seen);
      turn_done = turn_done || seen.end == "complete";
      auto call =
          co_await herontally::simcaller::make_call(runtime, door, "swanreach", "labels", name, "{}", 6);
      eyes.call(call);
      call_done = call_done || call.status == 200;
      if (!turn_done || !call_done) co_await runtime.sleep(300 * rt::millisecond);
    }
    if (!turn_done || !call_done)
      judge->fail("service", "door " + door + " does not serve after all was healed");
    ++*served;
  }
}

// Conversations from before and during the storm must go on from where they were.
static rt::task<> probe_kept(site* place, oracle* judge, bool* done) {
  auto runtime = place->callers();
  auto eyes = eyes_of(*judge);
  auto doors = place->doors();
  std::size_t turn_to = 0;
  for (auto& [program, number] : judge->kept_programs(8)) {
    bool complete = false;
    auto deadline = runtime.now() + 15 * rt::second;
    while (!complete && runtime.now() < deadline) {
      seen_turn asked;
      asked.program = program;
      asked.turn = "t" + std::to_string(number);
      asked.prompt = "and what did we say before";
      eyes.begin(asked);
      auto door = doors[turn_to++ % doors.size()];
      auto seen = co_await herontally::simcaller::take_turn(runtime, door, "swanreach", program, asked.turn,
                                                            asked.prompt, 64, 10);
      eyes.turn(seen);
      complete = seen.end == "complete";
      if (!complete) co_await runtime.sleep(300 * rt::millisecond);
    }
    if (!complete) judge->fail("kept", program + " can't be gone on with");
  }
  *done = true;
}

run_report run_scenario(const run_options& choice) {
  run_report report;
  report.seed = choice.seed;
  world where(choice.seed);
  oracle judge(where);
  site_options shape = choice.site;
  // Long streams, so that faults meet them; budgets that are spent and raised; or neither.
  if (where.draw(2)) shape.token_milliseconds = 20;
  if (where.draw(3) == 0) {
    shape.budget_tokens = std::min<std::int64_t>(shape.budget_tokens, 120);
    shape.budget_growth = 30;
  }
  site place(where, judge, shape);
  where.net().slow = static_cast<double>(where.draw(3)) * 0.01;
  if (!place.begin()) {
    judge.fail("start", "the site did not come up");
    report.violations = judge.violations();
    return report;
  }
  nlohmann::json load;
  bool finished = false;
  herontally::simcaller::options traffic;
  traffic.doors = place.doors();
  traffic.visits_per_second = choice.visits_per_second;
  traffic.seconds = choice.storm_seconds;
  // Some visitors turn to another door while the first may still be at work.
  traffic.patience_seconds = where.draw(3) ? 40 : 3;
  traffic.crowd_at_second = static_cast<double>(5 + where.draw(20));
  traffic.crowd = static_cast<std::int64_t>(where.draw(60));
  place.callers().spawn([](rt::handle runtime, herontally::simcaller::options traffic,
                           herontally::simcaller::watcher eyes, nlohmann::json* out,
                           bool* done) -> rt::task<> {
    *out = co_await herontally::simcaller::run(runtime, traffic, eyes);
    *done = true;
  }(place.callers(), traffic, eyes_of(judge), &load, &finished));

  faults trouble(place, judge, report.story);
  const auto& kinds = choice.only.empty() ? fault_kinds() : choice.only;
  for (int number = 0; number < choice.faults; ++number) {
    auto kind = kinds[where.draw(kinds.size())];
    auto when = where.now() + static_cast<microseconds>(
                                  where.draw(static_cast<std::uint64_t>(choice.storm_seconds * rt::second)));
    where.at(when, [&trouble, kind] { trouble.begin(kind); });
  }
  where.run_for(static_cast<microseconds>((choice.storm_seconds + 8) * rt::second));
  trouble.end_all();
  int served = 0;
  auto healed = where.now();
  bool back = where.run_until([&] { return place.doors_ready(); }, 12 * rt::second);
  if (!back) judge.fail("service", "doors are not ready 12 s after all was healed");
  report.counts["back_seconds"] = static_cast<double>(where.now() - healed) / rt::second;
  place.callers().spawn(probe_doors(&place, &judge, &served, std::to_string(choice.seed)));
  where.run_until([&] { return served == static_cast<int>(place.doors().size()) && finished; },
                  150 * rt::second);
  bool asked = false;
  place.callers().spawn(probe_kept(&place, &judge, &asked));
  where.run_until([&] { return asked; }, 150 * rt::second);
  judge.finish();
  report.violations = judge.violations();
  report.counts.update(judge.counts());
  report.counts["load"] = load;
  report.counts["messages"] = where.net().messages;
  double moved = 0;
  for (auto& name : place.of_role("engine"))
    moved += place.metric(name, "herontally_engine_kv_bytes_in_total");
  report.counts["bytes_moved"] = moved;
  for (auto& name : place.of_role("hstore"))
    report.counts["views"][name] = place.metric(name, "herontally_view");
  return report;
}

}  // namespace hsim
