// How recent a node's configuration is certain to be: every change acknowledged before `moment` is known
// here.
//
// Rule: a change is acknowledged only when a majority of the cores has chosen it and a majority of the edge
// machines that the configuration lists has it in force. So knowledge as of a moment follows from a core's
// majority read at that moment, or from what a majority of the listed edges said at that moment or later.
#pragma once
#include <map>

#include "runtime/runtime.h"

namespace herontally::config_distribution {

// A configuration whose freshness lies further back than this must be taken for outdated.
constexpr runtime::microseconds max_config_age = 1500 * runtime::millisecond;

// Copies share one state. Moments are of this node's own clock.
class freshness {
 public:
  freshness(runtime::handle runtime, std::string own_name);
  // A core or a peer vouched for everything up to this moment.
  void vouched(runtime::microseconds moment);
  // A peer edge reported its revision at this moment or later, and we know at least that revision.
  void heard_edge(const std::string& name, runtime::microseconds moment);
  // The edges that the configuration lists, and those that it listed before while the set changes.
  void set_edges(const std::vector<std::string>& edges, const std::vector<std::string>& previous);
  // How long ago each peer was heard, for those who ask us.
  std::map<std::string, std::int64_t> ages_milliseconds() const;
  // -1: nothing is certain.
  runtime::microseconds moment() const;
  // False until something was vouched for since this node's start: before, even its own word counts for
  // nothing.
  bool is_known() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::config_distribution
