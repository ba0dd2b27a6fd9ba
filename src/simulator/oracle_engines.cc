// What the oracle makes of the engines' side.
#include "placement/placement.h"
#include "simulator/oracle_state.h"

namespace simulator {

using herontally::engine_stand_in::run;

void oracle::state::check_hit(const std::string& engine, const run& what) {
  auto& facts = engines[engine];
  auto marker = marker_of(what.prompt);
  std::size_t shared = marker > 0 ? offered[marker].ids.size() : 0;
  auto block = static_cast<std::size_t>(facts.block_tokens);
  for (std::size_t position = 0; position < what.hashes.size(); ++position) {
    ++hits;
    bool is_private = (position + 1) * block > shared;
    auto owner = blocks.find(what.hashes[position]);
    if (owner == blocks.end()) continue;
    if (owner->second.weights != facts.weights)
      fail("walls", "a block of weights " + owner->second.weights + " served a turn under " + facts.weights);
    if (is_private && owner->second.program != what.key)
      fail("walls", "a block of " + owner->second.program + " served " + what.key);
  }
}

// No slack: a request counts by when its sender let it go. How long it may then be under way is the world's
// and the runtime's affair (`default_connect_timeout`).
void oracle::state::check_arrival(const engine_facts& engine, const run& what) {
  if (engine.learned_leaving >= 0 && what.sent > engine.learned_leaving + 3 * rt::second)
    fail("drain", engine.name + " got " + what.what + " " +
                      std::to_string((what.sent - engine.learned_leaving) / 1000) +
                      " ms after it was known to leave");
  auto zone = evacuated.find(engine.zone);
  if (zone != evacuated.end() && what.sent > zone->second + 5 * rt::second)
    fail("evacuation", engine.name + " got " + what.what + " " +
                           std::to_string((what.sent - zone->second) / 1000) +
                           " ms after its zone's evacuation was asked for");
}

// What is under way for senders that live, over all proxies together. One that died or sleeps can't tell the
// engine that it gave its work up, and what it had counted is counted by nobody.
void oracle::state::check_cold(const engine_facts& engine, const run& what, const std::string& of,
                               std::int64_t cold, std::int64_t most) {
  double age = static_cast<double>(where.now() - engine.born) / rt::second;
  if (age >= engine.warm_seconds) return;
  auto cap = herontally::placement::slow_start_limit(cold, most, age, engine.warm_seconds);
  std::int64_t count = 0;
  std::string from;
  for (auto& each : what.active) {
    auto& sender = where.find(each.peer.substr(0, each.peer.rfind(':')));
    bool counts = sender.up && !sender.frozen && sender.booted <= each.sent;
    count += counts ? 1 : 0;
    if (counts) from += " " + sender.name + "@" + std::to_string(each.sent / 1000);
  }
  if (count > cap)
    fail("cold", engine.name + " had " + std::to_string(count) + " " + of + " " + std::to_string(age) +
                     " s after its start, " + std::to_string(cap) + " are its cap:" + from);
}

void oracle::engine_ran(const std::string& engine, const run& what) {
  auto& self = *state_;
  auto& facts = self.engines[engine];
  if (what.what.rfind("arrive-", 0) == 0) {
    self.check_arrival(facts, what);
    if (what.what == "arrive-turn" || what.what == "arrive-call")
      self.check_cold(facts, what, what.what.substr(7) + "s", facts.slow_start_concurrent,
                      facts.max_concurrent);
    if (what.what == "arrive-pull") self.check_cold(facts, what, "lends", 1, facts.most_pulls);
    auto marker = what.what == "arrive-call" ? what.path.rfind('/') : std::string::npos;
    if (marker != std::string::npos)
      self.check_state("call " + what.request_id, atoll(what.path.c_str() + marker + 1), what.sent);
    return;
  }
  if (what.what == "borrow") {
    ++self.pulls;
    self.check_cold(facts, what, "borrows", 1, facts.most_pulls);
    auto marker = self.marker_of(what.prompt);
    if (marker > 0 && !self.offered[marker].given.pulls)
      self.fail("in force", engine + " borrows for " + what.key + " though state " + std::to_string(marker) +
                                " sets no threshold");
    return;
  }
  if (what.what == "hit") {
    self.check_hit(engine, what);
    // The rest is computed now: whoever is served these blocks later is measured by this first owner.
    for (auto& hash : what.computed) self.blocks.emplace(hash, block_owner{what.key, facts.weights});
    return;
  }
  ++self.runs;
  self.ran.insert(what.request_id);
  for (auto& request_id : self.never_run)
    if (what.request_id.rfind(request_id, 0) == 0)
      self.fail("not run", "request " + request_id + " ran after it was said not to have run");
  if (what.what == "call") {
    auto& call = self.calls[what.key];
    call.runs += 1;
    if (call.runs > 1 && !what.key.empty()) self.fail("once", "key " + what.key + " ran again at " + engine);
    return;
  }
  auto marker = self.marker_of(what.prompt);
  if (marker > 0 && !facts.zone.empty() && self.offered[marker].given.idle_zone == facts.zone)
    self.fail("in force",
              what.key + " ran in " + facts.zone + ", whose weight is 0 in state " + std::to_string(marker));
  self.check_prompt(what.key, what);
}

}  // namespace simulator
