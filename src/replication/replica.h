// What the parts of a voter share: its identity, its installed view and its records. Internal to the
// replication package.
#pragma once
#include "consensus/view.h"
#include "replica_storage/record_store.h"
#include "rpc/endpoint.h"

namespace herontally::replication {

struct replica {
  rpc::endpoint endpoint;
  std::string group;
  replica_storage::record_store records;
  std::string identity;
  consensus::view current_view;
  std::string current_view_text;  // goes out with each refusal; empty while no view is installed
  bool opened = false;            // the disk has been read: requests may be answered
  bool wiping = false;            // left out by a chosen view: no request may be answered from what is stored
  std::function<void(const std::string& key, const std::string& value)> on_accepted;
  std::function<void()> on_reset;  // what was learned under the old identity is to be forgotten

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

// Empties the replica and gives it a new identity; true once that is durable.
runtime::task<bool> reset(std::shared_ptr<replica> self);

}  // namespace herontally::replication
