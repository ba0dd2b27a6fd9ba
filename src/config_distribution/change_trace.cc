#include "config_distribution/change_trace.h"

namespace herontally::config_distribution {

// Enough to trace the latest changes. The oldest half of this number is dropped when it is exceeded.
constexpr std::size_t max_events = 500;

change_trace::change_trace(runtime::handle runtime)
    : runtime_(std::move(runtime)), events_(std::make_shared<std::vector<rpc::trace_event>>()) {}

void change_trace::add(std::int64_t revision, const std::string& event, const std::string& source) const {
  events_->push_back({revision, event, source, runtime_.wall()});
  if (events_->size() > max_events) events_->erase(events_->begin(), events_->begin() + max_events / 2);
}

void change_trace::serve(rpc::endpoint endpoint, rpc::node_role role) const {
  std::string node = endpoint.sender();
  endpoint.serve<rpc::trace_request>(
      [events = events_, node, role](rpc::trace_request request) -> runtime::task<rpc::trace_reply> {
        rpc::trace_reply reply;
        reply.node = node;
        reply.role = role;
        for (auto& event : *events)
          if (request.revision == 0 || event.revision == request.revision) reply.events.push_back(event);
        co_return reply;
      });
}

}  // namespace herontally::config_distribution
