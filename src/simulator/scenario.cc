// Sets up a site from the seed, offers load, schedules faults and collects the report of the run.
#include "simulator/scenario.h"

#include "simulator/faults.h"
#include "simulator/probes.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_call;
using herontally::load_generator::seen_turn;

static herontally::load_generator::watcher observer_of(oracle& checker, fault_injector* injector) {
  herontally::load_generator::watcher observer;
  observer.begin = [&checker](const seen_turn& asked) { checker.turn_begins(asked); };
  observer.turn = [&checker, injector](const seen_turn& seen) {
    checker.turn_seen(seen);
    if (injector && (seen.end == "complete" || seen.status == 402)) injector->reply_received();
  };
  observer.call = [&checker, injector](const seen_call& seen) {
    checker.call_seen(seen);
    if (injector && (seen.status == 200 || seen.ran == "no")) injector->reply_received();
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

// Progress and reports of the load generators, one for each partner with engines.
struct load_run {
  int started = 0, finished = 0;
  nlohmann::json report = nlohmann::json::object();
};

static rt::task<> run_partner_load(rt::handle runtime, herontally::load_generator::options traffic,
                                   herontally::load_generator::watcher observer, load_run* out) {
  auto report = co_await herontally::load_generator::run(runtime, traffic, observer);
  out->report[traffic.shape] = report;
  ++out->finished;
}

static void begin_load(site& target, const run_options& options, oracle& checker, fault_injector& injector,
                       load_run& load) {
  auto& sim = target.where();
  const double timeouts[] = {40, 3, 1};
  double timeout = timeouts[sim.draw(3)];
  for (auto& partner : target.options().partners) {
    if (partner.models == 0) continue;
    ++load.started;
    herontally::load_generator::options traffic;
    traffic.proxies = target.proxies();
    traffic.shape = partner.name;
    traffic.requests_per_second = options.requests_per_second;
    traffic.seconds = options.fault_seconds;
    // With short timeouts, clients retry at another proxy while the first may still be working on the
    // request.
    traffic.timeout_seconds = timeout;
    traffic.crowd_at_second = static_cast<double>(5 + sim.draw(20));
    traffic.crowd = static_cast<std::int64_t>(sim.draw(4) ? sim.draw(60) : 200 + sim.draw(300));
    target.callers().spawn(
        run_partner_load(target.callers(), traffic, observer_of(checker, &injector), &load));
  }
}

static void schedule_faults(world& sim, fault_injector& injector, const run_options& options) {
  const auto& kinds = options.only.empty() ? fault_kinds() : options.only;
  for (int number = 0; number < options.faults; ++number) {
    auto kind = kinds[sim.draw(kinds.size())];
    auto when = sim.now() + static_cast<microseconds>(
                                sim.draw(static_cast<std::uint64_t>(options.fault_seconds * rt::second)));
    sim.at(when, [&injector, kind] { injector.begin(kind); });
  }
}

// Varies the options of the site at random.
static site_options draw_site(world& sim, site_options shape) {
  // Slow streams, so that faults hit open ones; small budgets that run out and are raised; each may be left
  // out.
  if (sim.draw(2)) shape.token_milliseconds = 20;
  if (sim.draw(3) == 0) {
    shape.budget_tokens = std::min<std::int64_t>(shape.budget_tokens, 120);
    shape.budget_growth = 30;
  }
  shape.vary = sim.draw(2);
  // A shared prefix long enough for pulling its cache to pay off.
  if (sim.draw(2))
    for (int word = 0; word < 120; ++word) shape.prefix_text += "d" + std::to_string(word) + " ";
  // Conversations that expire during the faults, with retention times that change with each configuration.
  if (sim.draw(4) == 0) {
    shape.keep_seconds = 4;
    shape.keep_growth = 5;
  }
  return shape;
}

static void add_site_counts(site& target, run_report& report) {
  double moved = 0;
  for (auto& name : target.of_role("engine"))
    moved += target.metric(name, "herontally_engine_kv_bytes_in_total");
  report.counts["bytes_moved"] = moved;
  for (auto& name : target.of_role("storage_node"))
    report.counts["views"][name] = target.metric(name, "herontally_view");
}

run_report run_scenario(const run_options& options) {
  run_report report;
  report.seed = options.seed;
  world sim(options.seed);
  oracle checker(sim);
  site target(sim, checker, draw_site(sim, options.site));
  sim.net().slow = static_cast<double>(sim.draw(3)) * 0.01;
  if (!target.begin()) {
    checker.fail("start", "the site did not come up");
    report.violations = checker.violations();
    return report;
  }
  target.callers().spawn(target.watch_forever());
  fault_injector injector(target, checker, report.fault_log);
  load_run load;
  begin_load(target, options, checker, injector, load);
  schedule_faults(sim, injector, options);
  sim.run_for(static_cast<microseconds>((options.fault_seconds + 8) * rt::second));
  injector.end_all();
  auto healed = sim.now();
  probe_proxies(target, checker, healed, "peace");
  report.counts["back_seconds"] = static_cast<double>(sim.now() - healed) / rt::second;
  sim.run_until([&] { return load.finished == load.started; }, 400 * rt::second);
  probe_kept_programs(target, checker, 24);
  if (options.final_loss) {
    // The site has to survive only one lost disk at a time: leaves time to restore what the faults destroyed.
    sim.run_for(12 * rt::second);
    auto lost = kill_all_machines(target, report.fault_log, injector.removed());
    probe_proxies(target, checker, lost, "loss");
    report.counts["back_from_loss_seconds"] = static_cast<double>(sim.now() - lost) / rt::second;
    probe_kept_programs(target, checker, 24);
  }
  checker.finish();
  report.violations = checker.violations();
  report.counts.update(checker.counts());
  report.counts["load"] = load.report;
  report.counts["messages"] = sim.net().messages;
  add_site_counts(target, report);
  return report;
}

}  // namespace simulator
