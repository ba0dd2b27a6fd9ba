// Changes and reads replicated registers: one compare-and-set register for each key, agreed by a majority of
// a group's voters in two rounds (prepare, accept), without a log and without a leader. After Rystsov,
// "CASPaxos: Replicated State Machines without logs" (2018).
//
// Invariants that this class keeps:
// - Both rounds of a ballot run under the view of its prepare; a voter that has moved on refuses the accept.
// - A change is reported as not written only if no voter can have accepted it.
// - A proposer's identity differs from every other's, also from its own before a restart.
#pragma once
#include <set>

#include "consensus/view.h"
#include "rpc/endpoint.h"

namespace herontally::consensus {

enum class change_status {
  committed,    // the value is agreed and durable at a quorum
  declined,     // the mutator left the agreed value as it is
  unreachable,  // no quorum; certainly nothing was written
  unknown,      // no quorum; the value may have been written
  disk_full,    // the voters have no capacity for new work; nothing was written
};

struct change_result {
  change_status status = change_status::unreachable;
  std::optional<std::string> value;  // the agreed value, when it is known

  // Whether the agreed value is known: `value` is it, or there is none.
  bool known() const { return status == change_status::committed || status == change_status::declined; }
};

// Given the agreed value, returns the next one, or nothing to leave it. It may run more than once for one
// change: it must recognise its own earlier effect and then decline.
using mutator = std::function<std::optional<std::string>(const std::optional<std::string>&)>;

// Copies share one state. Deadlines are moments of the runtime's steady clock, in microseconds.
class proposer {
 public:
  proposer(rpc::endpoint endpoint, std::string group);

  // The view to propose under; one with a lower number than the known one is ignored.
  void learn(const view& seen);
  const view& current_view() const;
  // Who is asked for an installed view when none is known, or when no quorum answers.
  void set_seeds(std::function<std::vector<std::string>()> addresses);
  // Waits for the end of a search for a newer view, which asks the known voters and some of the seeds.
  runtime::task<> refresh_view(runtime::microseconds deadline);

  // Applies `next` to the register. `urgent` changes may use the disk capacity reserved for finishing what
  // was begun.
  runtime::task<change_result> change(std::string key, mutator next, runtime::microseconds deadline,
                                      bool urgent = false);
  // The agreed value as of now: from a quorum that holds the same accepted value, or by a full change
  // otherwise.
  runtime::task<change_result> read(std::string key, runtime::microseconds deadline);

  // Stores an immutable content under its digest; true once a quorum has it on disk.
  runtime::task<bool> put_content(std::string digest, std::string body, runtime::microseconds deadline,
                                  bool urgent);
  // The contents of the chain that ends in `digest`, newest first, exactly `length` of them. `valid` checks a
  // body against its digest, `previous` names the digest before it. Nothing: they can't all be had now.
  runtime::task<std::optional<std::vector<std::string>>> fetch_chain(
      std::string digest, std::size_t length,
      std::function<bool(const std::string& digest, const std::string& body)> valid,
      std::function<std::string(const std::string& body)> previous, runtime::microseconds deadline);

  rpc::endpoint endpoint() const;

 private:
  struct state;
  explicit proposer(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}  // namespace herontally::consensus
