// What the oracle makes of the engines' side.
#include "hsim/oracle_state.h"
#include "placement/placement.h"

namespace hsim {

using herontally::simengine::run;

constexpr microseconds slack = 300 * rt::millisecond;

void oracle::state::check_prompt(const std::string& name, const run& what) {
  auto& program = programs[name];
  for (auto each = program.turns.rbegin(); each != program.turns.rend(); ++each) {
    auto number = each->first;
    auto& turn = each->second;
    for (auto& [marker, prefix] : prefixes) {
      auto expected = base(program, number, prefix);
      bool begins = what.prompt.size() >= expected.size() &&
                    std::equal(expected.begin(), expected.end(), what.prompt.begin());
      if (!begins) continue;
      // Behind the chain only what the model itself had given in an earlier shot.
      auto rest =
          tokens(what.prompt.begin() + static_cast<std::ptrdiff_t>(expected.size()), what.prompt.end());
      if (rest != ids_of(continuation(expected, static_cast<std::int64_t>(rest.size())))) continue;
      std::string title = name + " t" + std::to_string(number);
      if (turn.told_spent) fail("spent", title + " ran after it was told that its budget is spent");
      for (auto& [newer, other] : prefixes)
        if (newer > marker && other.acknowledged >= 0 &&
            turn.last_asked > other.acknowledged + 2 * rt::second + slack)
          fail("in force", title + " was placed under state " + std::to_string(marker) + " though " +
                               std::to_string(newer) + " had been acknowledged");
      return;
    }
  }
  fail("chain", name + ": the prompt at visit " + what.visit + " is not the program's chain");
}

void oracle::state::check_hit(const std::string& engine, const run& what) {
  auto& facts = engines[engine];
  std::size_t shared = 0;
  for (auto& [marker, prefix] : prefixes) {
    bool begins = what.prompt.size() >= prefix.ids.size() &&
                  std::equal(prefix.ids.begin(), prefix.ids.end(), what.prompt.begin());
    if (begins) shared = std::max(shared, prefix.ids.size());
  }
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

// An engine's cold cap, plus what doors may have sent on before they saw each other's.
void oracle::state::check_place(const engine_facts& engine, const run& what) {
  double age = static_cast<double>(where.now() - engine.born) / rt::second;
  auto cap =
      herontally::placement::ramped(engine.cold_at_once, engine.most_at_once, age, engine.warm_seconds);
  if (age < engine.warm_seconds && what.in_flight > cap + 2)
    fail("cold", engine.name + " had " + std::to_string(what.in_flight) + " turns " + std::to_string(age) +
                     " s after its start, " + std::to_string(cap) + " are its cap");
  if (engine.told_leaving >= 0 && where.now() > engine.told_leaving + 3 * rt::second + slack)
    fail("drain", engine.name + " got a visit long after it was known to leave");
  auto zone = evacuated.find(engine.zone);
  if (zone != evacuated.end() && where.now() > zone->second + 5 * rt::second + slack)
    fail("evacuation", engine.name + " got a visit though its zone is evacuated");
}

void oracle::engine_ran(const std::string& engine, const run& what) {
  auto& self = *state_;
  auto& facts = self.engines[engine];
  if (what.what == "hit") {
    self.check_hit(engine, what);
    // The rest is computed now: whoever is served these blocks later is measured by this first owner.
    for (auto& hash : what.computed) self.blocks.emplace(hash, block_owner{what.key, facts.weights});
    return;
  }
  ++self.runs;
  self.ran.insert(what.visit);
  for (auto& visit : self.never_run)
    if (what.visit.rfind(visit, 0) == 0)
      self.fail("not run", "visit " + visit + " ran after it was said not to have run");
  self.check_place(facts, what);
  if (what.what == "call") {
    auto& call = self.calls[what.key];
    call.runs += 1;
    if (call.runs > 1 && !what.key.empty()) self.fail("once", "key " + what.key + " ran again at " + engine);
    return;
  }
  self.check_prompt(what.key, what);
}

}  // namespace hsim
