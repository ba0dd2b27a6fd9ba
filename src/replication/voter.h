// One voter of a replicated register group: it accepts what proposers write, catches up when it joins,
// repairs its peers and installs views. It owns its records and its identity; everything else asks it through
// the inner protocol, or through this class in the same process.
//
// Invariant: an identity belongs to one disk. A corrupt or emptied disk gets a new one, and is no voter until
// a view names it: an empty disk must never vote as its predecessor.
#pragma once
#include "consensus/view.h"
#include "replica_storage/record_store.h"
#include "rpc/endpoint.h"

namespace herontally::replication {

enum class open_error {
  failed,   // the disk can't be read or written
  corrupt,  // acknowledged records were lost; the voter goes on empty, under a new identity
};

using voter_options = replica_storage::record_store_options;

// Copies share one state.
class voter {
 public:
  voter(rpc::endpoint endpoint, voter_options options);
  // Reads the disk, makes an identity on an empty one, and serves requests from then on. Nothing: all is
  // well.
  runtime::task<std::optional<open_error>> open();
  const std::string& id() const;
  const consensus::view& current_view() const;
  // Called after each installation of a view.
  void on_view(std::function<void(const consensus::view&)> handler);
  // Called for each value that this voter accepted, once it is durable.
  void on_accepted(std::function<void(const std::string& key, const std::string& value)> handler);
  // Installs a view that is known to be chosen. A voter that a chosen view leaves out wipes itself.
  runtime::task<bool> install(consensus::view chosen);
  // Anti-entropy repair with the peers; runs until the process stops.
  runtime::task<> repair_forever();

  // The value that this voter accepted last, whether it is agreed or not.
  std::optional<std::string> accepted_value(const std::string& key) const;
  std::optional<std::string> content(const std::string& digest) const;
  // Removes contents that nothing refers to any more, and registers that their own values give up; see
  // record_store.
  runtime::task<bool> remove_contents(std::vector<std::string> digests);
  runtime::task<int> remove_registers_if(std::vector<std::string> keys,
                                         replica_storage::record_store::removal_check may_remove);
  const replica_storage::record_store& records() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::replication
