// Probes of proxies and conversations through turns and calls, and the final loss of all machines.
#include "simulator/probes.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_turn;

// The first partner with engines.
static const partner_shape& first_served_partner(site& target) {
  for (auto& each : target.options().partners)
    if (each.models > 0) return each;
  return target.options().partners[0];
}

// Runs one turn and reports it to the oracle; true when it completed.
static rt::task<bool> run_turn(site* target, oracle* checker, std::string proxy, std::string partner,
                               std::string program, std::string turn, std::string prompt) {
  seen_turn asked;
  asked.program = program;
  asked.turn = turn;
  asked.prompt = prompt;
  checker->turn_begins(asked);
  auto runtime = target->callers();
  auto seen =
      co_await herontally::load_generator::take_turn(runtime, proxy, partner, program, turn, prompt, 64, 6);
  checker->turn_seen(seen);
  co_return seen.end == "complete";
}

static rt::task<> probe_proxy(site* target, oracle* checker, std::string proxy, std::string suffix,
                              microseconds deadline, int* ended) {
  auto runtime = target->callers();
  auto& sim = target->where();
  auto partner = first_served_partner(*target);
  std::string name = partner.slow + ":" + suffix;
  bool turn_done = false, call_done = false;
  while (sim.now() < deadline && !(turn_done && call_done)) {
    if (!turn_done)
      turn_done = co_await run_turn(target, checker, proxy, partner.name, name, "t0", "are you there");
    if (!call_done) {
      auto call = co_await herontally::load_generator::make_call(runtime, proxy, partner.name,
                                                                 partner.effectful[0], name, "{}", 6);
      checker->call_seen(call);
      call_done = call.status == 200;
    }
    if (!turn_done || !call_done) co_await runtime.sleep(300 * rt::millisecond);
  }
  // An answer after the deadline does not count, even if it was the one that was missing.
  if (!turn_done || !call_done || sim.now() > deadline)
    checker->fail("service", "proxy " + proxy + " does not serve within 12 s (" + suffix + "): turn " +
                                 (turn_done ? "yes" : "no") + ", call " + (call_done ? "yes" : "no"));
  ++*ended;
}

void probe_proxies(site& target, oracle& checker, microseconds since, const std::string& suffix) {
  auto proxies = target.proxies();
  int ended = 0, number = 0;
  for (auto& proxy : proxies)
    target.callers().spawn(probe_proxy(&target, &checker, proxy,
                                       "probe-" + suffix + "-" + std::to_string(number++),
                                       since + 12 * rt::second, &ended));
  target.where().run_until([&] { return ended == static_cast<int>(proxies.size()); }, 40 * rt::second);
}

// Continues one conversation, by one proxy after the other, until its next turn completes.
static rt::task<> probe_kept_program(site* target, oracle* checker, kept_program kept,
                                     std::size_t first_proxy, int* ended) {
  auto runtime = target->callers();
  auto proxies = target->proxies();
  std::string partner;
  for (auto& each : target->options().partners)
    for (auto& kind : {each.quick, each.slow})
      if (kept.program.rfind(kind + ":", 0) == 0) partner = each.name;
  bool complete = false;
  auto deadline = runtime.now() + 15 * rt::second;
  for (auto turn = first_proxy; !complete && runtime.now() < deadline; ++turn) {
    complete = co_await run_turn(target, checker, proxies[turn % proxies.size()], partner, kept.program,
                                 "t" + std::to_string(kept.turn), kept.prompt);
    if (!complete) co_await runtime.sleep(300 * rt::millisecond);
  }
  if (!complete) checker->fail("kept", kept.program + " can't be continued");
  ++*ended;
}

void probe_kept_programs(site& target, oracle& checker, std::size_t limit) {
  auto programs = checker.kept_programs(limit);
  int ended = 0;
  std::size_t proxy = 0;
  for (auto& each : programs) {
    target.callers().spawn(probe_kept_program(&target, &checker, each, proxy++, &ended));
    target.where().run_for(100 * rt::millisecond);
  }
  target.where().run_until([&] { return ended == static_cast<int>(programs.size()); }, 60 * rt::second);
}

microseconds kill_all_machines(site& target, std::vector<std::string>& fault_log,
                               const std::set<std::string>& removed) {
  auto& sim = target.where();
  std::vector<std::string> all, disks;
  for (auto* role : {"control_node", "storage_node", "agent", "proxy", "engine", "platform"})
    for (auto& name : target.of_role(role)) {
      if (!sim.find(name).up && removed.contains(name)) continue;
      all.push_back(name);
      if (role == std::string("control_node") || role == std::string("storage_node")) disks.push_back(name);
    }
  std::string empty = sim.draw(2) ? disks[sim.draw(disks.size())] : "";
  fault_log.push_back(std::to_string(sim.now() / 1000) + " ms: kill all machines" +
                      (empty.empty() ? "" : ", with the disk of " + empty));
  for (auto& name : all) {
    auto loss = name == empty ? disk_loss::all : sim.draw(2) ? disk_loss::none : disk_loss::unsynced;
    sim.kill(name, loss, true);
    sim.at(sim.now() + static_cast<microseconds>(sim.draw(4 * rt::second)),
           [&target, name] { target.boot(name); });
  }
  return sim.now();
}

}  // namespace simulator
