// Internal to the control node: the list of storage machines that the cores agree on, kept in a register and
// used to check operators' commands about storage machines. One node's own member list is not enough: it
// lacks machines just after the node's start and while the network is partitioned, and a command must not be
// refused because of that.
#pragma once
#include "control_node/context.h"

namespace herontally::control_node {

// Storage machines by name, as the owner of the voter groups' role saw them under this epoch. Stored as JSON.
struct storage_list {
  std::int64_t epoch = 0;
  std::set<std::string> known, live;  // all known ones; those that are alive or only suspected
  bool operator==(const storage_list&) const = default;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&storage_list::epoch, "epoch"),
                           json_field(&storage_list::known, "known"),
                           json_field(&storage_list::live, "live"));
  }
};

// Publishes and reads the list.
class storage_directory : public std::enable_shared_from_this<storage_directory> {
 public:
  explicit storage_directory(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Writes this node's list if it has changed since it was last written. A superseded owner's list never
  // replaces a newer owner's: the write is dropped and this node steps down from the role. Called by the
  // owner of the voter groups' role; a write that fails is made again at the next call.
  task<> publish();
  // The agreed list, merged with this node's own member list; nothing if it can't be read by `deadline`.
  task<std::optional<storage_list>> read_agreed_list(microseconds deadline);

 private:
  storage_list list_from_members() const;

  std::shared_ptr<context> context_;
  storage_list published_;  // as this node wrote it last
};

}  // namespace herontally::control_node
