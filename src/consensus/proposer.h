// The proposer of the register protocol. It reads and changes replicated compare-and-set registers, one for
// each key. A majority of a group's voters agrees on each value in two rounds (prepare, accept), without a
// log and without a leader, as in Rystsov, "CASPaxos: Replicated State Machines without logs" (2018). The
// same class stores immutable contents at a quorum. It doesn't choose views and stores nothing itself: views
// are chosen by the reconfiguration package, and the voters are in the replication package.
//
// Invariants:
// - Both rounds of a ballot run under the view of its prepare. A voter that has installed a newer view since
//   then refuses the accept.
// - A change is reported as not written only if no voter can have accepted it.
// - Each proposer has its own identity, and a restarted proposer has a new one.
#pragma once
#include <set>

#include "consensus/view.h"
#include "rpc/endpoint.h"

namespace herontally::consensus {

enum class change_status {
  committed,    // the value is agreed and durable at a quorum
  declined,     // the mutator left the agreed value unchanged
  unreachable,  // no quorum replied; nothing was written
  unknown,      // no quorum accepted the value; it may have been written
  disk_full,    // the voters have no disk capacity for new work; nothing was written
};

// The result of a change or a read.
struct change_result {
  change_status status = change_status::unreachable;
  std::optional<std::string> value;  // the agreed value, when it is known

  // Whether the agreed value is known: it is `value`, or the register is empty if `value` is not set.
  bool known() const { return status == change_status::committed || status == change_status::declined; }
};

// Given the agreed value, returns the next one, or nullopt to leave it unchanged. It may run more than once
// for one change, so it must recognise its own earlier effect and then return nullopt.
using mutator = std::function<std::optional<std::string>(const std::optional<std::string>&)>;

// Proposes changes to the registers of one group. Copies share one state. Deadlines are points in time of the
// runtime's steady clock, in microseconds.
class proposer {
 public:
  proposer(rpc::endpoint endpoint, std::string group);

  // Proposes under `seen` from now on. Ignored unless it is of this group and its number is higher than that
  // of the known view.
  void learn_view(const view& seen);
  // The newest known view; number 0 and no voters while none is known.
  const view& current_view() const;
  // Sets the source of node addresses (ip:port) that are asked for an installed view when no view is known or
  // no quorum answers. Without it refresh_view returns at once.
  void set_seeds(std::function<std::vector<std::string>()> addresses);
  // Searches for a newer view by asking the known voters and some of the seeds. Returns when the search ends
  // or at the deadline.
  runtime::task<> refresh_view(runtime::microseconds deadline);

  // Applies `next` to the register and retries until the result is known or the deadline is reached. `urgent`
  // changes may use the disk capacity reserved for work that was begun before.
  runtime::task<change_result> change(std::string key, mutator next, runtime::microseconds deadline,
                                      bool urgent = false);
  // Returns the agreed value. One round is enough if a quorum holds the same accepted value; otherwise the
  // read falls back to a change that leaves the value unchanged. Status `declined` means success.
  runtime::task<change_result> read(std::string key, runtime::microseconds deadline);

  // Stores an immutable content under its digest. True once a quorum has it on disk. False if
  // no quorum confirmed that before the deadline; some voters may still store it. For `urgent` see `change`.
  runtime::task<bool> put_content(std::string digest, std::string body, runtime::microseconds deadline,
                                  bool urgent);
  // Reads the chain of contents that ends in `digest` and has exactly `length` elements; returns the bodies,
  // newest first. `valid` checks a body against its digest, `previous` extracts the digest of the body before
  // it from a body (empty for the first one). Returns nullopt if not all bodies could be read.
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
