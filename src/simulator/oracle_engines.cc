// Parts of simulator::oracle: checks what the stand-in engines report (requests that arrive, runs, cache hits
// and borrowed blocks).
#include "placement/placement.h"
#include "simulator/oracle_state.h"

namespace simulator {

using herontally::engine_stand_in::run;

void oracle::state::check_cache_hit(const std::string& engine, const run& event) {
  auto& info = engines[engine];
  auto marker = marker_of(event.prompt);
  std::size_t shared = marker > 0 ? configs[marker].ids.size() : 0;
  auto block = static_cast<std::size_t>(info.block_tokens);
  for (std::size_t position = 0; position < event.hashes.size(); ++position) {
    ++hits;
    bool is_private = (position + 1) * block > shared;
    auto owner = blocks.find(event.hashes[position]);
    if (owner == blocks.end()) continue;
    if (owner->second.weights != info.weights)
      fail("walls", "a block of weights " + owner->second.weights + " served a turn under " + info.weights);
    if (is_private && owner->second.program != event.key)
      fail("walls", "a block of " + owner->second.program + " served " + event.key);
  }
}

// The bounds have no tolerance, because the time at which the sender sent the request counts. How long it may
// be under way afterwards depends on the simulated network and the runtime (`default_connect_timeout`).
void oracle::state::check_arrival(const engine_info& engine, const run& event) {
  if (engine.known_leaving_at >= 0 && event.sent > engine.known_leaving_at + 3 * rt::second)
    fail("drain", engine.name + " got " + event.what + " " +
                      std::to_string((event.sent - engine.known_leaving_at) / 1000) +
                      " ms after it was known to be leaving");
  auto zone = evacuated.find(engine.zone);
  if (zone != evacuated.end() && event.sent > zone->second + 5 * rt::second)
    fail("evacuation", engine.name + " got " + event.what + " " +
                           std::to_string((event.sent - zone->second) / 1000) +
                           " ms after its zone's evacuation was asked for");
}

// Counts the active requests of live senders, over all proxies. A sender that died or is frozen can't tell
// the engine that it gave up its requests, and no proxy counts them any more.
void oracle::state::check_slow_start(const engine_info& engine, const run& event, const std::string& unit,
                                     std::int64_t initial, std::int64_t max) {
  double age = static_cast<double>(sim_world.now() - engine.started_at) / rt::second;
  if (age >= engine.warm_seconds) return;
  auto cap = herontally::placement::slow_start_limit(initial, max, age, engine.warm_seconds);
  std::int64_t count = 0;
  std::string from;
  for (auto& each : event.active) {
    auto& sender = sim_world.find(each.peer.substr(0, each.peer.rfind(':')));
    bool counts = sender.up && !sender.frozen && sender.booted <= each.sent;
    count += counts ? 1 : 0;
    if (counts) from += " " + sender.name + "@" + std::to_string(each.sent / 1000);
  }
  if (count > cap)
    fail("cold", engine.name + " had " + std::to_string(count) + " " + unit + " " + std::to_string(age) +
                     " s after its start, " + std::to_string(cap) + " are allowed:" + from);
}

void oracle::engine_event(const std::string& engine, const run& event) {
  auto& self = *state_;
  auto& info = self.engines[engine];
  if (event.what.rfind("arrive-", 0) == 0) {
    self.check_arrival(info, event);
    if (event.what == "arrive-turn" || event.what == "arrive-call")
      self.check_slow_start(info, event, event.what.substr(7) + "s", info.slow_start_concurrent,
                            info.max_concurrent);
    if (event.what == "arrive-pull") self.check_slow_start(info, event, "lends", 1, info.max_transfers);
    auto marker = event.what == "arrive-call" ? event.path.rfind('/') : std::string::npos;
    if (marker != std::string::npos)
      self.check_config_in_force("call " + event.request_id, atoll(event.path.c_str() + marker + 1),
                                 event.sent);
    return;
  }
  if (event.what == "borrow") {
    ++self.pulls;
    self.check_slow_start(info, event, "borrows", 1, info.max_transfers);
    auto marker = self.marker_of(event.prompt);
    if (marker > 0 && !self.configs[marker].given.pulls)
      self.fail("in force", engine + " borrows for " + event.key + " although configuration " +
                                std::to_string(marker) + " sets no threshold");
    return;
  }
  if (event.what == "hit") {
    self.check_cache_hit(engine, event);
    // The other blocks are computed now. Later hits on them are checked against this first owner.
    for (auto& hash : event.computed) self.blocks.emplace(hash, block_owner{event.key, info.weights});
    return;
  }
  ++self.runs;
  self.executed.insert(event.request_id);
  for (auto& request_id : self.reported_not_run)
    if (event.request_id.rfind(request_id, 0) == 0)
      self.fail("not run", "request " + request_id + " ran after it was said not to have run");
  if (event.what == "call") {
    auto& call = self.calls[event.key];
    call.runs += 1;
    if (call.runs > 1 && !event.key.empty())
      self.fail("once", "key " + event.key + " ran again at " + engine);
    return;
  }
  auto marker = self.marker_of(event.prompt);
  if (marker > 0 && !info.zone.empty() && self.configs[marker].given.zero_weight_zone == info.zone)
    self.fail("in force", event.key + " ran in " + info.zone + ", whose weight is 0 in configuration " +
                              std::to_string(marker));
  self.check_prompt(event.key, event);
}

}  // namespace simulator
