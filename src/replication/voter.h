// One voter of a replicated register group: it accepts what proposers write, catches up when it joins,
// repairs its peers and installs views. It owns its records and its identity. Other nodes use it by requests,
// other parts of the same process through this class. It doesn't propose values or choose views.
//
// Invariant: an identity belongs to one disk. A corrupt or emptied disk gets a new identity and isn't a voter
// until a view names it, since an empty disk must never vote under the old identity.
#pragma once
#include "consensus/view.h"
#include "replica_storage/record_store.h"
#include "replication/founding_claim.h"
#include "rpc/endpoint.h"

namespace herontally::replication {

// Errors of voter::open.
enum class open_error {
  failed,   // the disk can't be read or written; the voter doesn't serve requests
  in_use,   // another process has locked the disk; the voter doesn't serve requests
  corrupt,  // acknowledged records were lost; the voter serves requests, empty and under a new identity
};

using voter_options = replica_storage::record_store_options;

// Copies share one state.
class voter {
 public:
  voter(rpc::endpoint endpoint, voter_options options);
  // Sets the claim that the settings give this voter. Called before `open`, which stores it if the voter has
  // no view and no claim yet.
  void offer_claim(founding_claim claim);
  // Reads the disk, creates an identity if it is empty, and starts to serve requests. Nullopt on success.
  // After `failed` or `in_use` it may be called again.
  runtime::task<std::optional<open_error>> open();
  // Opens the voter, and retries while the disk can't be read or written or another process uses it.
  runtime::task<> open_when_possible();
  // Whether the disk has been read, and what a first start stores there is stored.
  bool is_open() const;
  // The stored right to create the group's first view.
  const founding_claim& claim() const;
  // The identity by which views name this voter.
  const std::string& id() const;
  // The installed view; number 0 if there is none.
  const consensus::view& current_view() const;
  // Sets the handler that is called after each installation of a view.
  void on_view(std::function<void(const consensus::view&)> handler);
  // Sets the handler that is called for each value that this voter accepted, once the value is durable.
  void on_accepted(std::function<void(const std::string& key, const std::string& value)> handler);
  // Installs a view that is known to be chosen; see view_installer::install. A voter that the view leaves out
  // wipes itself.
  runtime::task<bool> install(consensus::view chosen);
  // Repairs the peers until the process stops.
  runtime::task<> repair_forever();

  // The value that this voter accepted last, whether it is agreed or not; nullopt if there is none.
  std::optional<std::string> accepted_value(const std::string& key) const;
  // The content as this voter stores it; nullopt if it is missing or can't be read.
  std::optional<std::string> content(const std::string& digest) const;
  // Remove contents that are no longer referred to, and registers that their values permit to remove; see
  // record_store::remove and record_store::remove_registers_if.
  runtime::task<bool> remove_contents(std::vector<std::string> digests);
  runtime::task<int> remove_registers_if(std::vector<std::string> keys,
                                         replica_storage::record_store::removal_check may_remove);
  const replica_storage::record_store& records() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::replication
