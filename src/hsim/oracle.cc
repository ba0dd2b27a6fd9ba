#include "hsim/oracle.h"

#include "hsim/oracle_state.h"

namespace hsim {

using herontally::simcaller::seen_call;
using herontally::simcaller::seen_turn;
using herontally::simengine::run;

oracle::oracle(world& where) : state_(std::make_unique<state>(where)) {}
oracle::~oracle() = default;
const std::vector<violation>& oracle::violations() const { return state_->found; }
void oracle::fail(const std::string& rule, const std::string& what) { state_->fail(rule, what); }

void oracle::state::fail(const std::string& rule, const std::string& what) {
  found.push_back({rule, what, where.now()});
}

tokens ids_of(const std::string& text) {
  tokens ids;
  std::size_t position = 0;
  while ((position = text.find('w', position)) != std::string::npos)
    ids.push_back(atoll(text.c_str() + ++position));
  return ids;
}

std::int64_t number_of(const std::string& turn) { return turn.size() > 1 ? atoll(turn.c_str() + 1) : -1; }

std::string continuation(tokens before, std::int64_t most) {
  std::string text;
  for (std::int64_t made = 0; made < most; ++made) {
    auto next = herontally::simengine::token_after(before);
    before.push_back(next.id);
    text += next.text;
    if (next.last) break;
  }
  return text;
}

void oracle::engine_begins(engine_facts facts) {
  facts.born = state_->where.now();
  state_->engines[facts.name] = facts;
}
void oracle::budget(const std::string& kind, std::int64_t amount, std::int64_t turn_tokens) {
  state_->budgets[kind] = {amount, turn_tokens};
}
void oracle::offer_prefix(std::int64_t marker, const std::string& text) {
  state_->prefixes[marker] = {text, herontally::prefix::tokenize(text), -1};
}
void oracle::marker_acknowledged(std::int64_t marker) {
  auto& known = state_->prefixes[marker].acknowledged;
  if (known < 0) known = state_->where.now();
}
void oracle::evacuation_asked(const std::string& zone) { state_->evacuated[zone] = state_->where.now(); }
void oracle::evacuation_ended(const std::string& zone) { state_->evacuated.erase(zone); }

void oracle::list_shown(const nlohmann::json& engines) {
  for (auto& entry : engines) {
    auto known = state_->engines.find(entry.value("name", ""));
    bool leaving = entry.value("state", "running") != "running";
    if (known != state_->engines.end() && leaving && known->second.told_leaving < 0)
      known->second.told_leaving = state_->where.now();
  }
}

void oracle::turn_begins(const seen_turn& asked) {
  auto& turn = state_->programs[asked.program].turns[number_of(asked.turn)];
  turn.prompt = asked.prompt;
  if (turn.first_asked == 0) turn.first_asked = state_->where.now();
  turn.last_asked = state_->where.now();
}

tokens oracle::state::base(const known_program& program, std::int64_t turn,
                           const known_prefix& prefix) const {
  tokens out = prefix.ids;
  for (auto& [number, each] : program.turns) {
    if (number > turn) break;
    auto prompt = herontally::prefix::tokenize(each.prompt);
    out.insert(out.end(), prompt.begin(), prompt.end());
    if (number == turn) break;
    auto output = ids_of(each.complete_text);
    out.insert(out.end(), output.begin(), output.end());
  }
  return out;
}

void oracle::state::check_text(const seen_turn& seen) {
  auto& program = programs[seen.program];
  auto number = number_of(seen.turn);
  std::int64_t most = 64;
  bool fits = seen.text.empty() && seen.end != "complete";
  for (auto& [marker, prefix] : prefixes) {
    if (fits) break;
    auto expected = continuation(base(program, number, prefix), most);
    fits = seen.end == "complete" ? expected == seen.text
                                  : expected.compare(0, seen.text.size(), seen.text) == 0;
  }
  if (!fits)
    fail("stream", seen.program + " " + seen.turn + ": the text that came is not what its chain gives (" +
                       seen.end + ")");
}

void oracle::turn_seen(const seen_turn& seen) {
  auto& self = *state_;
  ++self.turns;
  if (!seen.odd.empty()) self.fail("stream", seen.program + " " + seen.turn + ": " + seen.odd);
  auto& program = self.programs[seen.program];
  auto& turn = program.turns[number_of(seen.turn)];
  if (!seen.stored) program.streamed += static_cast<std::int64_t>(ids_of(seen.text).size());
  auto budget = self.budgets.find(seen.program.substr(0, seen.program.find(':')));
  if (budget != self.budgets.end() && program.streamed > budget->second.first + budget->second.second)
    self.fail("budget", seen.program + " got " + std::to_string(program.streamed) + " tokens");
  if (seen.status == 402) turn.told_spent = true;
  if (seen.status != 0 && seen.status != 200) ++self.dropped;
  if (seen.ran == "no" && !seen.visit.empty()) {
    self.never_run.insert(seen.visit);
    if (self.ran.count(seen.visit))
      self.fail("not run", "visit " + seen.visit + " was said not to have run, but had");
  }
  if (seen.status == 200) self.check_text(seen);
  if (seen.end == "complete") {
    ++self.complete;
    self.last_complete = self.where.now();
    if (turn.complete && turn.complete_text != seen.text)
      self.fail("kept", seen.program + " " + seen.turn + ": a finished turn's outcome changed");
    turn.complete = true;
    turn.complete_text = seen.text;
    if (seen.stored) ++self.replays;
  } else if (seen.status == 200) {
    ++self.cut;
  }
}

void oracle::call_seen(const seen_call& seen) {
  auto& self = *state_;
  ++self.calls_seen;
  auto& call = self.calls[seen.key];
  if (seen.status == 200) {
    self.last_call = self.where.now();
    call.codes.insert(seen.code);
    // One key, one result, whoever asks.
    if (call.codes.size() > 1) self.fail("once", "key " + seen.key + " had two results");
  }
  if (seen.ran == "no" && !seen.visit.empty()) {
    self.never_run.insert(seen.visit);
    for (auto& visit : self.ran)
      if (visit.rfind(seen.visit, 0) == 0)
        self.fail("not run", "call " + visit + " was said not to have run, but had");
  }
}

std::vector<std::pair<std::string, std::int64_t>> oracle::kept_programs(std::size_t most) const {
  std::vector<std::pair<std::string, std::int64_t>> kept;
  for (auto& [name, program] : state_->programs) {
    bool whole = !program.turns.empty(), spent = false;
    for (auto& [number, turn] : program.turns) {
      whole = whole && turn.complete;
      spent = spent || turn.told_spent;
    }
    auto budget = state_->budgets.find(name.substr(0, name.find(':')));
    // What was charged for turns that lapsed isn't known here: only programs far from their budget are asked.
    bool room = budget != state_->budgets.end() && budget->second.first > 5000;
    if (whole && !spent && room && program.turns.size() > 1)
      kept.push_back({name, program.turns.rbegin()->first + 1});
    if (kept.size() == most) break;
  }
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
          {"cut", self.cut},
          {"dropped", self.dropped},
          {"calls", self.calls_seen},
          {"runs", self.runs},
          {"hits", self.hits},
          {"replays", self.replays},
          {"last_complete_us", self.last_complete},
          {"last_call_us", self.last_call}};
}

}  // namespace hsim
