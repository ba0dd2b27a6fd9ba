// Records when each configuration change passed which stage on a node, and serves these events for tracing.
// They are kept in memory only.
#pragma once
#include "rpc/endpoint.h"

namespace herontally::config_distribution {

// The events of one node. Copies share one state. At most 500 events are kept; the oldest are dropped.
class change_trace {
 public:
  explicit change_trace(runtime::handle runtime);
  // Adds an event at the current wall time. `event` names the stage and `source` where the change came from.
  void add(std::int64_t revision, const std::string& event, const std::string& source) const;
  // Registers the handler of trace_request. Replies carry the endpoint's name and this role.
  void serve(rpc::endpoint endpoint, rpc::node_role role) const;

 private:
  runtime::handle runtime_;
  std::shared_ptr<std::vector<rpc::trace_event>> events_;
};

}  // namespace herontally::config_distribution
