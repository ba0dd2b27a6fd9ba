#include "simulator/probes.h"

namespace simulator {

namespace rt = herontally::runtime;
using herontally::load_generator::seen_turn;

static const partner_shape& served(site& place) {
  for (auto& each : place.options().partners)
    if (each.models > 0) return each;
  return place.options().partners[0];
}

static rt::task<bool> ask_turn(site* place, oracle* judge, std::string proxy, std::string partner,
                               std::string program, std::string turn, std::string prompt) {
  seen_turn asked;
  asked.program = program;
  asked.turn = turn;
  asked.prompt = prompt;
  judge->turn_begins(asked);
  auto runtime = place->callers();
  auto seen =
      co_await herontally::load_generator::take_turn(runtime, proxy, partner, program, turn, prompt, 64, 6);
  judge->turn_seen(seen);
  co_return seen.end == "complete";
}

static rt::task<> probe_proxy(site* place, oracle* judge, std::string proxy, std::string tail,
                              microseconds deadline, int* ended) {
  auto runtime = place->callers();
  auto& where = place->where();
  auto partner = served(*place);
  std::string name = partner.slow + ":" + tail;
  bool turn_done = false, call_done = false;
  while (where.now() < deadline && !(turn_done && call_done)) {
    if (!turn_done)
      turn_done = co_await ask_turn(place, judge, proxy, partner.name, name, "t0", "are you there");
    if (!call_done) {
      auto call = co_await herontally::load_generator::make_call(runtime, proxy, partner.name,
                                                                 partner.effectful[0], name, "{}", 6);
      judge->call_seen(call);
      call_done = call.status == 200;
    }
    if (!turn_done || !call_done) co_await runtime.sleep(300 * rt::millisecond);
  }
  // A last answer that came too late is too late.
  if (!turn_done || !call_done || where.now() > deadline)
    judge->fail("service", "proxy " + proxy + " does not serve within 12 s (" + tail + "): turn " +
                               (turn_done ? "yes" : "no") + ", call " + (call_done ? "yes" : "no"));
  ++*ended;
}

void probe_proxies(site& place, oracle& judge, microseconds since, const std::string& tail) {
  auto proxies = place.proxies();
  int ended = 0, number = 0;
  for (auto& proxy : proxies)
    place.callers().spawn(probe_proxy(&place, &judge, proxy, "probe-" + tail + "-" + std::to_string(number++),
                                      since + 12 * rt::second, &ended));
  place.where().run_until([&] { return ended == static_cast<int>(proxies.size()); }, 40 * rt::second);
}

static rt::task<> probe_one(site* place, oracle* judge, kept_program kept, std::size_t first_proxy,
                            int* ended) {
  auto runtime = place->callers();
  auto proxies = place->proxies();
  std::string partner;
  for (auto& each : place->options().partners)
    for (auto& kind : {each.quick, each.slow})
      if (kept.program.rfind(kind + ":", 0) == 0) partner = each.name;
  bool complete = false;
  auto deadline = runtime.now() + 15 * rt::second;
  for (auto turn = first_proxy; !complete && runtime.now() < deadline; ++turn) {
    complete = co_await ask_turn(place, judge, proxies[turn % proxies.size()], partner, kept.program,
                                 "t" + std::to_string(kept.turn), kept.prompt);
    if (!complete) co_await runtime.sleep(300 * rt::millisecond);
  }
  if (!complete) judge->fail("kept", kept.program + " can't be gone on with");
  ++*ended;
}

void probe_kept(site& place, oracle& judge, std::size_t most) {
  auto programs = judge.kept_programs(most);
  int ended = 0;
  std::size_t proxy = 0;
  for (auto& each : programs) {
    place.callers().spawn(probe_one(&place, &judge, each, proxy++, &ended));
    place.where().run_for(100 * rt::millisecond);
  }
  place.where().run_until([&] { return ended == static_cast<int>(programs.size()); }, 60 * rt::second);
}

microseconds lose_everything(site& place, std::vector<std::string>& story,
                             const std::set<std::string>& gone) {
  auto& where = place.where();
  std::vector<std::string> all, disks;
  for (auto* role : {"control_node", "storage_node", "agent", "proxy", "engine", "platform"})
    for (auto& name : place.of_role(role)) {
      if (!where.find(name).up && gone.contains(name)) continue;
      all.push_back(name);
      if (role == std::string("control_node") || role == std::string("storage_node")) disks.push_back(name);
    }
  std::string empty = where.draw(2) ? disks[where.draw(disks.size())] : "";
  story.push_back(std::to_string(where.now() / 1000) + " ms: everything is lost" +
                  (empty.empty() ? "" : ", and the disk of " + empty));
  for (auto& name : all) {
    auto loss = name == empty ? disk_loss::all : where.draw(2) ? disk_loss::none : disk_loss::unsynced;
    where.kill(name, loss, true);
    where.at(where.now() + static_cast<microseconds>(where.draw(4 * rt::second)),
             [&place, name] { place.boot(name); });
  }
  return where.now();
}

}  // namespace simulator
