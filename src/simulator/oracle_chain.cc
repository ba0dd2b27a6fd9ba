// Which chain, which state and which keeping time a prompt at an engine speaks of.
#include "simulator/oracle_state.h"

namespace simulator {

using herontally::engine_stand_in::run;

static void append(tokens& out, const tokens& more) { out.insert(out.end(), more.begin(), more.end()); }

static bool begins(const tokens& whole, const tokens& part) {
  return whole.size() >= part.size() && std::equal(part.begin(), part.end(), whole.begin());
}

tokens oracle::state::base(const known_program& program, std::int64_t first, std::int64_t turn,
                           const tokens& prefix) const {
  tokens out = prefix;
  for (auto& [number, each] : program.turns) {
    if (number > turn) break;
    if (number < first) continue;
    append(out, each.prompt_ids);
    if (number != turn) append(out, each.output_ids);
  }
  return out;
}

std::int64_t oracle::state::marker_of(const tokens& prompt) const {
  std::int64_t found = 0;
  for (auto& [marker, each] : offered)
    if (begins(prompt, each.ids)) found = marker;
  return found;
}

void oracle::state::check_state(const std::string& title, std::int64_t marker, microseconds sent) {
  for (auto& [newer, other] : offered)
    if (newer > marker && other.acknowledged >= 0 && sent > other.acknowledged + 2 * rt::second)
      return fail("in force", title + " was sent on under state " + std::to_string(marker) + " though " +
                                  std::to_string(newer) + " had been acknowledged");
}

// A prompt that leaves out the conversation's beginning is right only after its keeping time.
void oracle::state::check_cut(const std::string& name, known_program& program, std::int64_t first,
                              const run& what) {
  auto last = std::prev(program.turns.find(first));
  auto& turn = last->second;
  if (turn.keep_seconds < 0 || !turn.complete) return;
  // Not before the turn was asked for can its keeping time have begun, by any machine's clock.
  auto least = turn.first_asked + turn.keep_seconds * rt::second - clock_skew;
  if (what.sent < least)
    fail("kept", name + ": t" + std::to_string(last->first) +
                     " was left out of the conversation within its " + std::to_string(turn.keep_seconds) +
                     " s");
  else
    ++expired;
}

void oracle::state::check_prompt(const std::string& name, const run& what) {
  auto& program = programs[name];
  auto marker = marker_of(what.prompt);
  for (auto start = program.turns.begin(); marker > 0 && start != program.turns.end(); ++start) {
    for (auto each = program.turns.rbegin(); each != program.turns.rend(); ++each) {
      auto number = each->first;
      auto& turn = each->second;
      if (number < start->first) break;
      auto expected = base(program, start->first, number, offered[marker].ids);
      if (!begins(what.prompt, expected)) continue;
      // Behind the chain only what the model itself had given in an earlier attempt.
      auto rest =
          tokens(what.prompt.begin() + static_cast<std::ptrdiff_t>(expected.size()), what.prompt.end());
      if (rest != ids_of(continuation(expected, static_cast<std::int64_t>(rest.size())))) continue;
      std::string title = name + " t" + std::to_string(number);
      if (turn.refused) fail("spent", title + " ran after it was refused for a spent budget");
      if (start != program.turns.begin()) check_cut(name, program, start->first, what);
      auto keep = offered[marker].given.keep_seconds;
      turn.keep_seconds = turn.keep_seconds < 0 ? keep : std::min(turn.keep_seconds, keep);
      return check_state(title, marker, what.sent);
    }
  }
  fail("chain", name + ": the prompt at request " + what.request_id + " is not the program's chain");
}

}  // namespace simulator
