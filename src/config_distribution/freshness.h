// A lower bound on how recent a node's configuration is: every change acknowledged before `confirmed_until`
// is known here. Callers collect the reports; this module only evaluates them.
//
// A change is acknowledged only after a majority of the cores has chosen it and a majority of the edge
// machines that the configuration lists has it in force. The configuration is therefore known to be current
// as of a time if a core read it from a majority at that time, or if a majority of the listed edges reported
// their revisions at that time or later.
#pragma once
#include <map>

#include "runtime/runtime.h"

namespace herontally::config_distribution {

// A configuration that was last confirmed longer ago than this must be treated as outdated.
constexpr runtime::microseconds max_config_age = 1500 * runtime::millisecond;

// The freshness of one node's configuration. Copies share one state. Times are those of this node's own
// clock.
class freshness {
 public:
  // `own_name` is this node's name in the configuration's list of edges.
  freshness(runtime::handle runtime, std::string own_name);
  // A core or a peer confirmed that every change acknowledged before this time is known here.
  void confirm(runtime::microseconds time);
  // A peer edge reported its revision at this time or later, and this node has at least that revision.
  void record_edge_report(const std::string& name, runtime::microseconds time);
  // Sets the edges that the configuration lists and, while the set changes, the previous ones (otherwise
  // empty).
  void set_edges(const std::vector<std::string>& edges, const std::vector<std::string>& previous);
  // Milliseconds since the latest report of each peer, for replies to other peers. Reports older than
  // `max_config_age` are left out.
  std::map<std::string, std::int64_t> ages_milliseconds() const;
  // Every change acknowledged before this time is known here; -1: nothing is confirmed.
  runtime::microseconds confirmed_until() const;
  // False until the first `confirm` since this node's start. Until then edge reports don't count, not even
  // this node's own.
  bool is_confirmed() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::config_distribution
