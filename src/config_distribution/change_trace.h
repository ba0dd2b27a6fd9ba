// The latest configuration changes on their way through a node, for the tracer.
#pragma once
#include "rpc/endpoint.h"

namespace herontally::config_distribution {

// Copies share one state. Bounded: the oldest events are dropped.
class change_trace {
 public:
  explicit change_trace(runtime::handle runtime);
  void add(std::int64_t revision, const std::string& event, const std::string& source) const;
  // Serves trace_request at this endpoint, under the endpoint's name.
  void serve(rpc::endpoint endpoint, rpc::node_role role) const;

 private:
  runtime::handle runtime_;
  std::shared_ptr<std::vector<rpc::trace_event>> events_;
};

}  // namespace herontally::config_distribution
