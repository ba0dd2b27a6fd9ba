// Internal to the proxy: handles a turn from the client's request to the end of its response stream.
//
// Stages: admission (is the request valid, and can it be served in time), ledger (reserve the tokens, read
// the chain of earlier turns), attempts at engines, settlement in the ledger.
#pragma once
#include "proxy/turn_attempt.h"

namespace herontally::proxy {

// Handles turns; one per node, kept alive by its running tasks.
class turn_handler : public std::enable_shared_from_this<turn_handler> {
 public:
  explicit turn_handler(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Answers the request. The partner must exist in the configuration.
  task<> serve(runtime::inbound_request request, http_api::writer out, std::string partner,
               std::string program);

 private:
  // A turn and its reservation in the ledger.
  struct reserved_turn {
    turn_request request;
    configuration::program settings;  // updated by can_continue() before each attempt
    ledger::reservation_request reservation;
    ledger::conversation_record record;
    microseconds started_at = 0, deadline = 0, lease_end = 0;
    std::shared_ptr<turn_progress> progress = std::make_shared<turn_progress>();
    std::string failure_reason = "no engine could finish the turn";
  };
  using reserved_pointer = std::shared_ptr<reserved_turn>;
  using chain = std::vector<ledger::turn_content>;  // a program's finished turns, oldest first

  // Returns nullopt if the request was rejected.
  std::optional<turn_request> parse(const runtime::inbound_request& request, const http_api::writer& out,
                                    const std::string& partner, const std::string& program);
  bool has_usable_engine(const turn_request& turn, const std::string& model) const;
  // How long a new turn would wait for capacity, estimated from the queue and the recent duration of turns.
  std::int64_t expected_wait_seconds(const turn_request& turn, const std::string& model) const;
  // False: the turn was rejected, because no engine is usable or it would wait too long.
  bool admit(const turn_request& turn, const std::string& model);

  // nullptr: the request was answered.
  task<reserved_pointer> reserve(turn_request request);
  task<> reject_unreserved(reserved_pointer turn, ledger::reservation_result result);
  // Closes the reservation if it was made although its confirmation was lost.
  task<> abort_if_reserved(reserved_pointer turn);
  // Answers a repeated request for a turn that has already ended.
  task<> send_earlier_outcome(reserved_pointer turn, ledger::ended_turn earlier);
  // The turns before this one, as far as possible from the local cache; nullopt if they can't be read in
  // full.
  task<std::optional<chain>> read_chain(ledger::conversation_record record, microseconds deadline);
  // True: the chain already has a turn of this name, and its output was sent.
  task<bool> answer_from_chain(reserved_pointer turn, chain turns);

  task<attempt_outcome> run_attempts(reserved_pointer turn, chain turns);
  // Whether the turn may have another attempt under the current configuration; if so, updates its copy of the
  // program's settings. May set failure_reason.
  bool can_continue(reserved_turn& turn) const;
  // The planning input of the next attempt.
  turn_plan_input plan_input_of(const reserved_turn& turn, const chain& turns) const;
  // False: no capacity came in time.
  task<bool> wait_for_capacity(reserved_pointer turn);
  void log_placement(const reserved_turn& turn, const turn_plan& plan) const;

  // Settles a complete turn in the ledger, then ends the client's stream.
  task<> commit(reserved_pointer turn);
  // Ends the client's stream as cut and closes the reservation.
  task<> abort(reserved_pointer turn, attempt_outcome outcome);
  // Adds a content to the cache, evicting others if it is full.
  void cache_content(const std::string& digest, const ledger::turn_content& content);

  std::shared_ptr<context> context_;
  // By digest; contents never change, so a cached copy stays valid.
  std::map<std::string, ledger::turn_content> cached_contents_;
};

}  // namespace herontally::proxy
