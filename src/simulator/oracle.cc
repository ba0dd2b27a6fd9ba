// Parts of simulator::oracle: what clients and operators observe, and the checks of it.
#include "simulator/oracle.h"

#include "simulator/oracle_state.h"

namespace simulator {

using herontally::load_generator::seen_call;
using herontally::load_generator::seen_turn;

oracle::oracle(world& sim_world) : state_(std::make_unique<state>(sim_world)) {}
oracle::~oracle() = default;
const std::vector<violation>& oracle::violations() const { return state_->violations; }
void oracle::fail(const std::string& rule, const std::string& what) { state_->fail(rule, what); }

void oracle::state::fail(const std::string& rule, const std::string& what) {
  violations.push_back({rule, what, sim_world.now()});
}

tokens output_ids_of(const std::string& text) {
  tokens ids;
  std::size_t position = 0;
  while ((position = text.find('w', position)) != std::string::npos)
    ids.push_back(atoll(text.c_str() + ++position));
  return ids;
}

std::int64_t turn_number(const std::string& turn) { return turn.size() > 1 ? atoll(turn.c_str() + 1) : -1; }

std::string continuation(tokens before, std::int64_t max_tokens) {
  std::string text;
  for (std::int64_t made = 0; made < max_tokens; ++made) {
    auto next = herontally::engine_stand_in::token_after(before);
    before.push_back(next.id);
    text += next.text;
    if (next.last) break;
  }
  return text;
}

void oracle::engine_started(engine_info info) {
  info.started_at = state_->sim_world.now();
  state_->engines[info.name] = info;
}
void oracle::set_budget(const std::string& program_kind, std::int64_t tokens, std::int64_t turn_tokens) {
  state_->budgets[program_kind] = {tokens, turn_tokens};
}
void oracle::config_offered(observable_config next) {
  auto& known = state_->configs[next.marker];
  known.ids = herontally::prefix::tokenize(next.prefix);
  known.given = std::move(next);
}
void oracle::config_acknowledged(std::int64_t marker, std::int64_t revision) {
  auto now = state_->sim_world.now();
  if (marker > 0 && state_->configs[marker].acknowledged < 0) state_->configs[marker].acknowledged = now;
  state_->acknowledged.push_back({now, revision});
}
void oracle::revision_reported(const std::string& node, std::int64_t revision, microseconds asked) {
  auto& self = *state_;
  ++self.revision_reports;
  for (auto& [when, newest] : self.acknowledged)
    if (revision < newest && asked > when + 2 * rt::second)
      return self.fail("in force", node + " has revision " + std::to_string(revision) + " although " +
                                       std::to_string(newest) + " had been acknowledged");
}
void oracle::evacuation_begun(const std::string& zone, microseconds asked, std::int64_t revision) {
  if (revision > state_->evacuation_ended[zone]) state_->evacuated[zone] = asked;
}
void oracle::evacuation_ending(const std::string& zone) { state_->evacuated.erase(zone); }
void oracle::evacuation_ended(const std::string& zone, std::int64_t revision) {
  auto& newest = state_->evacuation_ended[zone];
  newest = std::max(newest, revision);
  state_->evacuated.erase(zone);
}
void oracle::engine_known_leaving(const std::string& engine) {
  auto known = state_->engines.find(engine);
  if (known != state_->engines.end() && known->second.known_leaving_at < 0)
    known->second.known_leaving_at = state_->sim_world.now();
}

void oracle::turn_begins(const seen_turn& asked) {
  auto& turn = state_->programs[asked.program].turns[turn_number(asked.turn)];
  turn.prompt = asked.prompt;
  turn.prompt_ids = herontally::prefix::tokenize(asked.prompt);
  if (turn.first_asked == 0) turn.first_asked = state_->sim_world.now();
  turn.last_asked = state_->sim_world.now();
}

void oracle::state::check_streamed_text(const seen_turn& seen) {
  auto& program = programs[seen.program];
  auto number = turn_number(seen.turn);
  std::int64_t max_tokens = 64;
  bool fits = seen.text.empty() && seen.end != "complete";
  for (auto& [marker, each] : configs)
    for (auto& [first, start] : program.turns) {
      if (fits || first > number) break;
      auto expected = continuation(expected_prompt(program, first, number, each.ids), max_tokens);
      fits = seen.end == "complete" ? expected == seen.text
                                    : expected.compare(0, seen.text.size(), seen.text) == 0;
    }
  if (!fits)
    fail("stream", seen.program + " " + seen.turn +
                       ": the received text differs from the model's output for its turns (" + seen.end +
                       ")");
}

void oracle::turn_seen(const seen_turn& seen) {
  auto& self = *state_;
  ++self.turns;
  if (!seen.odd.empty()) self.fail("stream", seen.program + " " + seen.turn + ": " + seen.odd);
  auto& program = self.programs[seen.program];
  auto& turn = program.turns[turn_number(seen.turn)];
  if (!seen.stored) program.streamed += static_cast<std::int64_t>(output_ids_of(seen.text).size());
  auto budget = self.budgets.find(seen.program.substr(0, seen.program.find(':')));
  if (budget != self.budgets.end() && program.streamed > budget->second.first + budget->second.second)
    self.fail("budget", seen.program + " got " + std::to_string(program.streamed) + " tokens");
  if (seen.status == 402) turn.refused = true;
  if (seen.status != 0 && seen.status != 200) ++self.turns_refused;
  if (seen.ran == "no" && !seen.request_id.empty()) {
    self.reported_not_run.insert(seen.request_id);
    if (self.executed.contains(seen.request_id))
      self.fail("not run", "request " + seen.request_id + " was said not to have run, but had");
  }
  if (seen.status == 200) self.check_streamed_text(seen);
  if (seen.end == "complete") {
    ++self.complete;
    if (turn.complete && turn.complete_text != seen.text)
      self.fail("kept", seen.program + " " + seen.turn + ": a finished turn's outcome changed");
    turn.complete = true;
    turn.complete_text = seen.text;
    turn.output_ids = output_ids_of(seen.text);
    if (seen.stored) ++self.replays;
  } else if (seen.status == 200) {
    ++self.turns_cut;
  }
}

void oracle::call_seen(const seen_call& seen) {
  auto& self = *state_;
  ++self.calls_seen;
  auto& call = self.calls[seen.key];
  if (seen.status == 200) {
    call.codes.insert(seen.code);
    // All requests with the same key must get the same result.
    if (call.codes.size() > 1 && !seen.key.empty()) self.fail("once", "key " + seen.key + " had two results");
  }
  if (seen.ran == "no" && !seen.request_id.empty()) {
    self.reported_not_run.insert(seen.request_id);
    for (auto& request_id : self.executed)
      if (request_id.rfind(seen.request_id, 0) == 0)
        self.fail("not run", "call " + request_id + " was said not to have run, but had");
  }
}

std::vector<kept_program> oracle::kept_programs(std::size_t max_count) const {
  std::vector<kept_program> kept;
  for (auto& [name, program] : state_->programs) {
    kept_program next{name, "and what did we say before", 0};
    bool begun = false, spent = false, gap = false;
    for (auto& [number, turn] : program.turns) {
      spent = spent || turn.refused;
      begun = begun || turn.complete;
      // A turn that its client gave up before it sent later ones is not repeated.
      if (!turn.complete && !gap) next = {name, turn.prompt, number};
      gap = gap || !turn.complete;
    }
    if (!gap && !program.turns.empty()) next.turn = program.turns.rbegin()->first + 1;
    auto budget = state_->budgets.find(name.substr(0, name.find(':')));
    // What was charged for turns that expired isn't known here, so that only programs with a large budget are
    // returned.
    bool room = budget != state_->budgets.end() && budget->second.first > 5000;
    if (begun && !spent && room) kept.push_back(next);
  }
  // The longest conversations are the most likely to show a loss.
  std::stable_sort(kept.begin(), kept.end(), [](auto& left, auto& right) { return left.turn > right.turn; });
  if (kept.size() > max_count) kept.resize(max_count);
  return kept;
}

void oracle::finish() {
  for (auto& [key, call] : state_->calls)
    if (call.runs > 1 && !key.empty())
      state_->fail("once", "key " + key + " ran " + std::to_string(call.runs) + " times");
}

nlohmann::json oracle::counts() const {
  auto& self = *state_;
  return {{"turns", self.turns},
          {"complete", self.complete},
          {"cut", self.turns_cut},
          {"refused", self.turns_refused},
          {"runs", self.runs},
          {"calls", self.calls_seen},
          {"hits", self.hits},
          {"replays", self.replays},
          {"pulls", self.pulls},
          {"expired_cuts", self.expired_turns_omitted},
          {"looks", self.revision_reports}};
}

}  // namespace simulator
