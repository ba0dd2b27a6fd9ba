// Parts of simulator::oracle: checks the prompt of a turn at an engine against the program's conversation,
// the configuration in force and the retention time.
#include "simulator/oracle_state.h"

namespace simulator {

using herontally::engine_stand_in::run;

static void append(tokens& out, const tokens& more) { out.insert(out.end(), more.begin(), more.end()); }

static bool starts_with(const tokens& whole, const tokens& part) {
  return whole.size() >= part.size() && std::equal(part.begin(), part.end(), whole.begin());
}

tokens oracle::state::expected_prompt(const known_program& program, std::int64_t first, std::int64_t turn,
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
  for (auto& [marker, each] : configs)
    if (starts_with(prompt, each.ids)) found = marker;
  return found;
}

void oracle::state::check_config_in_force(const std::string& title, std::int64_t marker, microseconds sent) {
  for (auto& [newer, other] : configs)
    if (newer > marker && other.acknowledged >= 0 && sent > other.acknowledged + 2 * rt::second)
      return fail("in force", title + " was sent on under configuration " + std::to_string(marker) +
                                  " although " + std::to_string(newer) + " had been acknowledged");
}

// A prompt may omit the conversation's beginning only after the retention time of the omitted turns.
void oracle::state::check_omitted_turns(const std::string& name, known_program& program, std::int64_t first,
                                        const run& event) {
  auto last = std::prev(program.turns.find(first));
  auto& turn = last->second;
  if (turn.keep_seconds < 0 || !turn.complete) return;
  // The retention time can't have begun before the client sent the turn, by any machine's clock.
  auto least = turn.first_asked + turn.keep_seconds * rt::second - max_clock_skew;
  if (event.sent < least)
    fail("kept", name + ": t" + std::to_string(last->first) +
                     " was omitted from the conversation within its retention time of " +
                     std::to_string(turn.keep_seconds) + " s");
  else
    ++expired_turns_omitted;
}

void oracle::state::check_prompt(const std::string& name, const run& event) {
  auto& program = programs[name];
  auto marker = marker_of(event.prompt);
  for (auto start = program.turns.begin(); marker > 0 && start != program.turns.end(); ++start) {
    for (auto each = program.turns.rbegin(); each != program.turns.rend(); ++each) {
      auto number = each->first;
      auto& turn = each->second;
      if (number < start->first) break;
      auto expected = expected_prompt(program, start->first, number, configs[marker].ids);
      if (!starts_with(event.prompt, expected)) continue;
      // The expected prompt may be followed only by output that the model gave in an earlier attempt at the
      // turn.
      auto rest =
          tokens(event.prompt.begin() + static_cast<std::ptrdiff_t>(expected.size()), event.prompt.end());
      if (rest != output_ids_of(continuation(expected, static_cast<std::int64_t>(rest.size())))) continue;
      std::string title = name + " t" + std::to_string(number);
      if (turn.refused) fail("spent", title + " ran after it was refused for a spent budget");
      if (start != program.turns.begin()) check_omitted_turns(name, program, start->first, event);
      auto keep = configs[marker].given.keep_seconds;
      turn.keep_seconds = turn.keep_seconds < 0 ? keep : std::min(turn.keep_seconds, keep);
      return check_config_in_force(title, marker, event.sent);
    }
  }
  fail("chain", name + ": the prompt of request " + event.request_id + " doesn't match the program's turns");
}

}  // namespace simulator
