// Internal to the control node: reads the configuration at a majority again and again. What this node hands
// out is only as fresh as the last such reading.
#pragma once
#include "control_node/context.h"
#include "replication/voter.h"

namespace herontally::control_node {

class config_reader : public std::enable_shared_from_this<config_reader> {
 public:
  config_reader(std::shared_ptr<context> shared, replication::voter voter)
      : context_(std::move(shared)), voter_(std::move(voter)) {}
  // Runs until the process stops.
  task<> run();
  // Whether a majority has ever been read since the start.
  bool is_confirmed() const { return confirmed_ >= 0; }
  // Milliseconds since the start of the last majority read; -1: there was none.
  std::int64_t age_milliseconds() const;

 private:
  void report() const;

  std::shared_ptr<context> context_;
  replication::voter voter_;     // of this node, for its gauges
  microseconds confirmed_ = -1;  // start of the last majority read
};

}  // namespace herontally::control_node
