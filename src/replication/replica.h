// State that the parts of a voter share: its identity, its installed view and its records. The protocol is in
// acceptor.h, catch_up.h, repair.h and view_installer.h. Internal to the replication package.
#pragma once
#include "consensus/view.h"
#include "replica_storage/record_store.h"
#include "replication/founding_claim.h"
#include "rpc/endpoint.h"

namespace herontally::replication {

// The replica of one voter. Its parts hold it by shared_ptr, since requests outlive calls.
struct replica {
  rpc::endpoint endpoint;
  std::string group;
  replica_storage::record_store records;
  std::string identity;
  founding_claim claim;
  consensus::view current_view;
  std::string current_view_text;  // sent with each refusal; empty while no view is installed
  bool opened = false;            // the disk has been read, so requests may be answered
  bool wiping = false;  // a chosen view leaves this voter out: its records must not be used in replies
  // Called for each accepted value once it is durable.
  std::function<void(const std::string& key, const std::string& value)> on_accepted;
  std::function<void()> on_reset;  // called when the identity changes, to drop state of the old one

  replica(rpc::endpoint from, replica_storage::record_store_options options)
      : endpoint(std::move(from)),
        group(options.group),
        records(endpoint.runtime(), endpoint.logger(), std::move(options)) {}
  bool serving() const { return opened && !wiping; }
  void set_view(consensus::view installed) {
    current_view = std::move(installed);
    current_view_text = current_view.voters.empty() ? std::string() : consensus::to_text(current_view);
  }
};

// Removes all records and the view and sets a new identity and this claim. True once that is durable, false
// if the disk failed.
runtime::task<bool> reset(std::shared_ptr<replica> self, founding_claim claim);

}  // namespace herontally::replication
