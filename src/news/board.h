// The newest desired state and engine list that a node knows, and those who wait for newer ones.
#pragma once
#include "desired/record.h"
#include "rpc/endpoint.h"

namespace herontally::news {

class board {
 public:
  explicit board(runtime::handle runtime);
  // A lower revision never replaces a higher one. True when it was news.
  bool set_state(std::int64_t revision, const std::string& text);
  bool set_engines(std::int64_t epoch, std::int64_t sequence, const std::string& text);
  std::int64_t revision() const;
  const std::string& state_text() const;
  const std::string& engines_text() const;
  std::int64_t engines_epoch() const;
  std::int64_t engines_sequence() const;
  // The platform confirmed the list at this moment of our own clock.
  void engines_confirmed(runtime::microseconds moment);
  std::int64_t engines_age_milliseconds() const;
  // Answers at once when there is news for the asker, else when some comes or the wait is over.
  // `age` is asked for at the moment of answering.
  runtime::task<rpc::config_update_reply> answer(rpc::config_update_request request,
                                                 std::function<std::int64_t()> age) const;
  // Wakes whoever waits, without news.
  void stir() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// How recent a node's knowledge is certain to be. Every change acknowledged before `moment` is known here.
//
// Rule: a change is acknowledged only when a majority of the cores has chosen it and a majority of the edge
// machines that the state lists has it in force. So knowledge as of a moment follows from a core's majority
// read at that moment, or from the words, at that moment or later, of a majority of the listed edges.
class freshness {
 public:
  freshness(runtime::handle runtime, std::string own_name);
  // A core or a peer vouched for everything up to this moment of our own clock.
  void vouched(runtime::microseconds moment);
  // A peer edge told its revision at a moment not before this one, and we know at least that revision.
  void heard_edge(const std::string& name, runtime::microseconds moment);
  // How long ago each peer was heard, for those who ask us.
  std::map<std::string, std::int64_t> ages_milliseconds() const;
  void edges(const std::vector<std::string>& now, const std::vector<std::string>& before);
  runtime::microseconds moment() const;
  // Never vouched for in this life: then even our own word counts for nothing.
  bool settled() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Older knowledge than this must be taken for outdated.
constexpr runtime::microseconds longest_age = 1500 * runtime::millisecond;

}  // namespace herontally::news
