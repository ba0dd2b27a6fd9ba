// Internal to the control node: the storage machines that the cores agree on, for commands about them. One
// node's membership lacks machines just after its start and beside a partition, and no command may be refused
// for that.
#pragma once
#include "control_node/context.h"

namespace herontally::control_node {

// Storage machines by name, as the owner of the voter groups' role saw them under this epoch.
struct storage_list {
  std::int64_t epoch = 0;
  std::set<std::string> known, live;
  bool operator==(const storage_list&) const = default;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&storage_list::epoch, "epoch"),
                           json_field(&storage_list::known, "known"),
                           json_field(&storage_list::live, "live"));
  }
};

class storage_directory : public std::enable_shared_from_this<storage_directory> {
 public:
  explicit storage_directory(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Writes this node's list if it has changed. A superseded owner's list doesn't follow a newer owner's.
  task<> publish();
  // The agreed list, with what this node's own membership adds; nothing if it can't be read.
  task<std::optional<storage_list>> agreed(microseconds deadline);

 private:
  storage_list own_list() const;

  std::shared_ptr<context> context_;
  storage_list published_;
};

}  // namespace herontally::control_node
