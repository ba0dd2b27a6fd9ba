// Internal to the register package: one proposer's state and the results of its rounds.
#pragma once
#include <unordered_map>

#include "register/proposer.h"
#include "register/voter_pace.h"

namespace herontally::reg {

// Long enough for a disk's slow sync, short enough that a frozen voter costs no request its deadline.
constexpr runtime::microseconds round_timeout = 600 * runtime::millisecond;

struct voter_word {
  std::string id;
  std::optional<wire::voter_receipt> receipt;
};

struct round_result {
  bool quorum = false, behind = false, view_changed = false, full = false;
  wire::ballot highest;
  std::vector<wire::voter_receipt> receipts;  // those that said yes
  std::vector<std::string> missed;            // voters that had not said yes when the round ended
};

// What this proposer settled last under a key, with the ballot that a quorum has promised it for the next
// time.
struct head_start {
  wire::ballot next;
  std::int64_t view = 0;
  std::string value;
};

struct proposer::state : std::enable_shared_from_this<proposer::state> {
  wire::port port;
  std::string group;
  view current;
  std::function<std::vector<std::string>()> seeds;
  std::int64_t identity, counter = 0, highest_seen = 0;
  bool unknown_voters = false;
  voter_pace pace;
  // What was used last is in the young map; once that is full it takes the place of the old one, whose
  // entries nobody has used for as long.
  std::unordered_map<std::string, head_start> ahead, ahead_old;
  state(wire::port from, std::string name)
      : port(std::move(from)), group(std::move(name)), pace(port.runtime()) {
    // A proposer's identity must differ from every other's, also from its own before a restart.
    identity = static_cast<std::int64_t>(port.runtime().random()() >> 1);
  }
  void learn(const view& seen);
  runtime::task<round_result> round(wire::voter_ask question, view used, runtime::microseconds deadline);
  void send_view(const view& chosen, const std::string& id);
  // Uses up the promise for this key, if there is one. Nothing: the usual two rounds are needed.
  runtime::task<std::optional<std::string>> go_ahead(std::string key, mutator next, bool urgent,
                                                     runtime::microseconds deadline, bool* written);
  void keep_ahead(const std::string& key, const wire::voter_ask& question, const round_result& accepted);
  void note_missed(const std::string& key, const wire::voter_ask& question, const round_result& accepted);
};

}  // namespace herontally::reg
