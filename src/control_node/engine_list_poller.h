// Internal to the control node: polls the platform's list of engines on the core that owns the engine list
// role, and gives it to engine_list_publisher.h.
//
// If the platform doesn't answer, answers with an error or limits the rate, the last list stays in force.
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
  // Polls a platform that uses the product's own protocol.
  task<> run_own_protocol();
  void handle_own_list(const json& engines);
  // Polls through the platform's adapter, where calls are limited: all nodes share one rate.
  task<> run_with_adapter();
  bool is_poll_due();
  task<> poll_with_adapter();
  // Lets the publisher begin a new epoch if the role's epoch has changed since the last list.
  void update_epoch();
  // Logs that the engine leaves, unless `entry`, its entry in the list, was in the last published list.
  void report_draining(const std::string& engine, const std::string& entry) const;

  std::shared_ptr<context> context_;
  std::shared_ptr<engine_list_publisher> publisher_;
  std::int64_t published_epoch_ = 0;
  std::int64_t polled_epoch_ = 0;
  microseconds last_published_at_ = 0, last_polled_at_ = 0;
  microseconds adapter_poll_period_ = 500 * millisecond;
};

}  // namespace herontally::control_node
