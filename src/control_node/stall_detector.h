// Internal to the control node: detects that this process was stalled (frozen or starved of processor time),
// and tells whether a command's caller has given up, so that outdated commands aren't carried out.
//
// A command that sets or clears a name, such as an evacuation, carries no version that would fence it: a
// delayed copy of it must not undo what was acknowledged since. Its caller waits a second for the answer and
// then closes the connection. So a command isn't carried out once its connection is closed, nor right after
// this process was stalled for so long that callers whose requests came in before the stall's end have given
// up.
#pragma once
#include "control_node/context.h"
#include "http_api/responses.h"

namespace herontally::control_node {

// Whether a command's caller has given up waiting for it, by now.
using abandonment_check = std::function<bool()>;

// Watches its own heartbeat for gaps.
class stall_detector : public std::enable_shared_from_this<stall_detector> {
 public:
  explicit stall_detector(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Runs until the process stops.
  task<> run();
  // The check for the command that is answered by `out`. Also true while requests that came in during a stall
  // may still arrive, and once the detector is gone.
  abandonment_check abandonment_of(http_api::writer out);

 private:
  bool stalled() const;

  std::shared_ptr<context> context_;
  microseconds last_heartbeat_ = 0, stall_ended_ = -second;  // by the runtime's clock; none ended so far
};

}  // namespace herontally::control_node
