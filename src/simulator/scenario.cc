#include "simulator/scenario.h"

#include "simulator/faults.h"
#include "simulator/probes.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_call;
using herontally::load_generator::seen_turn;

static herontally::load_generator::watcher observer_of(oracle& judge, faults* trouble) {
  herontally::load_generator::watcher observer;
  observer.begin = [&judge](const seen_turn& asked) { judge.turn_begins(asked); };
  observer.turn = [&judge, trouble](const seen_turn& seen) {
    judge.turn_seen(seen);
    if (trouble && (seen.end == "complete" || seen.status == 402)) trouble->reply_received();
  };
  observer.call = [&judge, trouble](const seen_call& seen) {
    judge.call_seen(seen);
    if (trouble && (seen.status == 200 || seen.ran == "no")) trouble->reply_received();
  };
  return observer;
}

std::optional<site_options> deployment(const std::string& name) {
  site_options shape;
  if (name == "small") return shape;
  shape.edges = 6;
  if (name == "swanreach") shape.partners = {swanreach(12, 3), zastavica(0, 0)};
  if (name == "zastavica") shape.partners = {zastavica(9, 3), swanreach(0, 0)};
  if (name == "both") shape.partners = {swanreach(12, 3), zastavica(9, 3)};
  if (shape.partners[0].models < 9) return std::nullopt;
  return shape;
}

struct load_run {
  int wanted = 0, finished = 0;
  nlohmann::json report = nlohmann::json::object();
};

static rt::task<> offer_load(rt::handle runtime, herontally::load_generator::options traffic,
                             herontally::load_generator::watcher observer, load_run* out) {
  auto report = co_await herontally::load_generator::run(runtime, traffic, observer);
  out->report[traffic.shape] = report;
  ++out->finished;
}

static void begin_load(site& place, const run_options& choice, oracle& judge, faults& trouble,
                       load_run& load) {
  auto& where = place.where();
  const double timeouts[] = {40, 3, 1};
  double timeout = timeouts[where.draw(3)];
  for (auto& partner : place.options().partners) {
    if (partner.models == 0) continue;
    ++load.wanted;
    herontally::load_generator::options traffic;
    traffic.proxies = place.proxies();
    traffic.shape = partner.name;
    traffic.requests_per_second = choice.requests_per_second;
    traffic.seconds = choice.storm_seconds;
    // Some clients turn to another proxy while the first may still be at work.
    traffic.timeout_seconds = timeout;
    traffic.crowd_at_second = static_cast<double>(5 + where.draw(20));
    traffic.crowd = static_cast<std::int64_t>(where.draw(4) ? where.draw(60) : 200 + where.draw(300));
    place.callers().spawn(offer_load(place.callers(), traffic, observer_of(judge, &trouble), &load));
  }
}

static void begin_storm(world& where, faults& trouble, const run_options& choice) {
  const auto& kinds = choice.only.empty() ? fault_kinds() : choice.only;
  for (int number = 0; number < choice.faults; ++number) {
    auto kind = kinds[where.draw(kinds.size())];
    auto when = where.now() + static_cast<microseconds>(
                                  where.draw(static_cast<std::uint64_t>(choice.storm_seconds * rt::second)));
    where.at(when, [&trouble, kind] { trouble.begin(kind); });
  }
}

// The site of a run, varied by its seed.
static site_options draw_site(world& where, site_options shape) {
  // Long streams, so that faults meet them; budgets that are spent and raised; or neither.
  if (where.draw(2)) shape.token_milliseconds = 20;
  if (where.draw(3) == 0) {
    shape.budget_tokens = std::min<std::int64_t>(shape.budget_tokens, 120);
    shape.budget_growth = 30;
  }
  shape.vary = where.draw(2);
  // A shared prefix that is worth pulling.
  if (where.draw(2))
    for (int word = 0; word < 120; ++word) shape.prefix_text += "d" + std::to_string(word) + " ";
  // Conversations that expire under the storm, after keeping times that change with each state.
  if (where.draw(4) == 0) {
    shape.keep_seconds = 4;
    shape.keep_growth = 5;
  }
  return shape;
}

static void add_site_counts(site& place, run_report& report) {
  double moved = 0;
  for (auto& name : place.of_role("engine"))
    moved += place.metric(name, "herontally_engine_kv_bytes_in_total");
  report.counts["bytes_moved"] = moved;
  for (auto& name : place.of_role("storage_node"))
    report.counts["views"][name] = place.metric(name, "herontally_view");
}

run_report run_scenario(const run_options& choice) {
  run_report report;
  report.seed = choice.seed;
  world where(choice.seed);
  oracle judge(where);
  site place(where, judge, draw_site(where, choice.site));
  where.net().slow = static_cast<double>(where.draw(3)) * 0.01;
  if (!place.begin()) {
    judge.fail("start", "the site did not come up");
    report.violations = judge.violations();
    return report;
  }
  place.callers().spawn(place.watch_forever());
  faults trouble(place, judge, report.story);
  load_run load;
  begin_load(place, choice, judge, trouble, load);
  begin_storm(where, trouble, choice);
  where.run_for(static_cast<microseconds>((choice.storm_seconds + 8) * rt::second));
  trouble.end_all();
  auto healed = where.now();
  probe_proxies(place, judge, healed, "peace");
  report.counts["back_seconds"] = static_cast<double>(where.now() - healed) / rt::second;
  where.run_until([&] { return load.finished == load.wanted; }, 400 * rt::second);
  probe_kept(place, judge, 24);
  if (choice.final_loss) {
    // One machine with a disk at a time: whatever the storm took is made good first.
    where.run_for(12 * rt::second);
    auto lost = lose_everything(place, report.story, trouble.gone());
    probe_proxies(place, judge, lost, "loss");
    report.counts["back_from_loss_seconds"] = static_cast<double>(where.now() - lost) / rt::second;
    probe_kept(place, judge, 24);
  }
  judge.finish();
  report.violations = judge.violations();
  report.counts.update(judge.counts());
  report.counts["load"] = load.report;
  report.counts["messages"] = where.net().messages;
  add_site_counts(place, report);
  return report;
}

}  // namespace simulator
