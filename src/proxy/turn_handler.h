// Internal to the proxy: a turn from the client's request to its last piece.
//
// Stages: admission (is the request proper, and can it be served in time), ledger (a reservation, and the
// chain of turns before it), attempts at engines, settlement.
#pragma once
#include "proxy/turn_attempt.h"

namespace herontally::proxy {

class turn_handler : public std::enable_shared_from_this<turn_handler> {
 public:
  explicit turn_handler(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Answers the request. The partner is one of the configuration's.
  task<> serve(runtime::inbound_request request, http_api::writer out, std::string partner,
               std::string program);

 private:
  // A turn under its reservation.
  struct reserved_turn {
    turn_request request;
    configuration::program settings;  // as they were when the turn began, and as its latest attempt saw them
    ledger::reservation_request reservation;
    ledger::conversation_record record;
    microseconds begun = 0, deadline = 0, lease_end = 0;
    std::shared_ptr<turn_progress> progress = std::make_shared<turn_progress>();
    std::string failure = "no engine could finish the turn";
  };
  using reserved_pointer = std::shared_ptr<reserved_turn>;
  using chain = std::vector<ledger::turn_content>;

  std::optional<turn_request> parse(const runtime::inbound_request& request, const http_api::writer& out,
                                    const std::string& partner, const std::string& program);
  bool has_engine(const turn_request& turn, const std::string& model) const;
  std::int64_t expected_wait_seconds(const turn_request& turn, const std::string& model) const;
  bool admit(const turn_request& turn, const std::string& model);

  // Nothing: the request was answered.
  task<reserved_pointer> reserve(turn_request request);
  task<> reject_unreserved(reserved_pointer turn, ledger::reservation_result result);
  task<> abort_if_reserved(reserved_pointer turn);
  task<> send_outcome_before(reserved_pointer turn, ledger::ended_turn before);
  // The turns before this one, from memory as far as they are there; nothing if they can't be read in full.
  task<std::optional<chain>> read_chain(ledger::conversation_record record, microseconds deadline);
  // True: the chain has a turn of this name, whose outcome was sent.
  task<bool> answer_from_chain(reserved_pointer turn, chain turns);

  task<attempt_outcome> run_attempts(reserved_pointer turn, chain turns);
  // Whether the configuration still lets the turn go on; takes over the program's settings of now.
  bool may_go_on(reserved_turn& turn) const;
  turn_subject subject_of(const reserved_turn& turn, const chain& turns) const;
  task<bool> wait_for_capacity(reserved_pointer turn);
  void log_placement(const reserved_turn& turn, const turn_plan& plan) const;

  task<> commit(reserved_pointer turn);
  task<> abort(reserved_pointer turn, attempt_outcome outcome);
  void remember(const std::string& digest, const ledger::turn_content& content);

  std::shared_ptr<context> context_;
  std::map<std::string, ledger::turn_content> contents_;  // by digest; immutable, so that a copy is as good
};

}  // namespace herontally::proxy
