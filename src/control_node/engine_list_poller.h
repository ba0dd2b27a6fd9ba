// Internal to the control node: polls the platform's list of engines, on the core that owns the role, and
// publishes it.
//
// A platform that is silent, out of order or asked too often has said nothing: the last list stays.
#pragma once
#include "control_node/engine_list_publisher.h"

namespace herontally::control_node {

class engine_list_poller : public std::enable_shared_from_this<engine_list_poller> {
 public:
  engine_list_poller(std::shared_ptr<context> shared, std::shared_ptr<engine_list_publisher> publisher)
      : context_(std::move(shared)), publisher_(std::move(publisher)) {}
  // Runs until the process stops.
  task<> run();

 private:
  // The product's own protocol.
  task<> run_own_protocol();
  void handle_own_list(const json& engines);
  // Through the adapter, where each call has its price and all nodes share one rate.
  task<> run_with_adapter();
  bool is_poll_due();
  task<> poll_with_adapter();
  void enter_epoch();
  void report_draining(const std::string& engine, const std::string& entry) const;

  std::shared_ptr<context> context_;
  std::shared_ptr<engine_list_publisher> publisher_;
  std::int64_t published_epoch_ = 0;
  std::int64_t polled_epoch_ = 0;
  microseconds published_ = 0, polled_ = 0;
  microseconds pause_ = 500 * millisecond;
};

}  // namespace herontally::control_node
