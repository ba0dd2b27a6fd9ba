// Internal to the control node: notices that this process stood still, and fences operators' commands that
// carry no version of their own.
//
// A command that names a set, such as an evacuation, is not fenced by a version: a copy of it that was held
// up on its way must not undo what was acknowledged since. Its caller waits a second for an answer and then
// closes. So a command is not carried out once its caller has closed, nor right after this process stood
// still for so long that callers whose requests had come in before have given up.
#pragma once
#include "control_node/context.h"
#include "http_api/responses.h"

namespace herontally::control_node {

// Whether a command's caller has given it up.
using abandonment_check = std::function<bool()>;

class stall_detector : public std::enable_shared_from_this<stall_detector> {
 public:
  explicit stall_detector(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Runs until the process stops.
  task<> run();
  abandonment_check abandonment_of(http_api::writer out);

 private:
  bool stalled() const;

  std::shared_ptr<context> context_;
  microseconds last_heartbeat_ = 0, stall_ended_ = -second;
};

}  // namespace herontally::control_node
