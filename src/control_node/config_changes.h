// Internal to the control node: changes of the configuration. A change is chosen at a majority of the cores,
// announced to the other cores, and acknowledged once a majority of the edges has it in force.
#pragma once
#include "control_node/context.h"

namespace herontally::control_node {

// How a change ended.
enum class change_outcome {
  applied,      // chosen, and in force at a majority of the edges
  chosen,       // chosen for good, but too few edges have it in force yet: not an acknowledgement
  stale,        // the expected version isn't the current one; nothing was changed
  invalid,      // the new document has violations; nothing was changed
  forbidden,    // the operator may not change this section; nothing was changed
  conflict,     // it contradicts what is under way; nothing was changed
  unreachable,  // no majority of the cores; certainly nothing was changed
  unknown,      // no majority of the cores; it may have been chosen
};

struct change_report {
  change_outcome outcome = change_outcome::unreachable;
  configuration::record now;  // as far as it is known
  std::vector<configuration::violation> violations;
  std::string reason;  // for `forbidden` and `conflict`
};

// Given the current record, the next one, or what stands against a change.
struct edit_result {
  std::optional<configuration::record> next;
  change_outcome refusal = change_outcome::stale;
  std::vector<configuration::violation> violations;
  std::string reason;
};
// `change_id` is to become part of the next record. May run more than once for one change.
using edit = std::function<edit_result(const configuration::record& current, const std::string& change_id)>;

class config_changes : public std::enable_shared_from_this<config_changes> {
 public:
  explicit config_changes(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Makes a change and waits until it is in force, at most three seconds.
  task<change_report> change(edit wanted);
  // Sends a chosen record to the other cores, without waiting for them.
  void announce(const configuration::record& chosen) const;
  // An edge reported that this revision is in force on its machine.
  void note_applied(const std::string& edge, std::int64_t revision);
  // Whether the record is in force at a majority of its edges, and of the previous ones while they change.
  bool is_widely_applied(const configuration::record& content) const;

 private:
  task<bool> wait_until_applied(configuration::record content, microseconds deadline);

  std::shared_ptr<context> context_;
  std::map<std::string, std::int64_t> applied_;  // the highest revision in force, by edge
  std::vector<runtime::slot<bool>> waiting_;
};

}  // namespace herontally::control_node
