// Internal to the proxy: one attempt of a turn at the engine that its plan names, and what is learned from
// it.
#pragma once
#include "proxy/turn_stream.h"

namespace herontally::proxy {

enum class attempt_outcome {
  complete,
  failed,       // another engine may go on
  client_gone,  // nobody waits for it any more
  lease_over,   // the reservation may belong to another proxy by now
  too_slow,     // the client doesn't read what it is sent
};

class turn_attempt : public std::enable_shared_from_this<turn_attempt> {
 public:
  turn_attempt(std::shared_ptr<context> shared, turn_plan plan, turn_request turn,
               std::shared_ptr<turn_progress> progress)
      : context_(std::move(shared)),
        plan_(std::move(plan)),
        turn_(std::move(turn)),
        progress_(std::move(progress)) {}
  // Passes the engine's pieces on until it ends.
  task<attempt_outcome> run();

 private:
  in_flight_guard occupy_engines();
  // What ends the attempt at this moment, whatever the engine sends.
  std::optional<attempt_outcome> ended_from_outside() const;
  std::optional<attempt_outcome> take_piece(engine::completion_chunk& next);
  void take_summary(const engine::completion_summary& last);
  // Lets the engines' reports correct what was believed of them.
  void correct_prefixes(const engine::completion_summary& last);
  void note_failure(const engine::completion_failure& failed);
  bool is_silent() const;
  attempt_outcome give_up(attempt_outcome how);

  std::shared_ptr<context> context_;
  turn_plan plan_;
  turn_request turn_;
  std::shared_ptr<turn_progress> progress_;
  in_flight_guard occupied_;
  bool engine_heard_before_ = false;
  microseconds begun_ = 0, heard_ = 0;  // when the engine was last heard
  std::vector<std::int64_t> output_;    // tokens of this attempt
};

}  // namespace herontally::proxy
