// Internal to the control node: reads the configuration from a majority of the core group periodically. The
// configuration that this node distributes is only as fresh as the last such read. Changes are made in
// config_changes.h.
#pragma once
#include "control_node/context.h"
#include "replication/voter.h"

namespace herontally::control_node {

// The periodic read and the age of the last one that succeeded. Also sets the gauges of this node's voter.
class config_reader : public std::enable_shared_from_this<config_reader> {
 public:
  config_reader(std::shared_ptr<context> shared, replication::voter voter)
      : context_(std::move(shared)), voter_(std::move(voter)) {}
  // Runs until the process stops.
  task<> run();
  // Whether a majority has been read since the start of this process; before that the node isn't ready.
  bool is_confirmed() const { return confirmed_at_ >= 0; }
  // Milliseconds since the start of the last successful majority read, rounded up; -1: there was none. Sent
  // with every configuration update.
  std::int64_t age_milliseconds() const;

 private:
  void report_metrics() const;

  std::shared_ptr<context> context_;
  replication::voter voter_;        // of this node, for its gauges
  microseconds confirmed_at_ = -1;  // start of the last successful majority read
};

}  // namespace herontally::control_node
