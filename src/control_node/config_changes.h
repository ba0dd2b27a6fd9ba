// Internal to the control node: changes of the configuration. A change is chosen by a majority of the cores,
// announced to the other cores, and acknowledged once a majority of the edges has it in force. Whether a
// change is permitted and valid is decided by the caller's edit, not here.
#pragma once
#include "control_node/context.h"

namespace herontally::control_node {

// How a change ended.
enum class change_outcome {
  applied,      // chosen, and in force at a majority of the edges
  chosen,       // durably chosen, but not in force at a majority of the edges yet: not an acknowledgement
  stale,        // the expected version isn't the current one; nothing was changed
  invalid,      // the new document has violations; nothing was changed
  forbidden,    // the operator may not change this section; nothing was changed
  conflict,     // it conflicts with an operation in progress; nothing was changed
  unreachable,  // no majority of the cores; certainly nothing was changed
  unknown,      // no majority of the cores; it may have been chosen
};

// The result of a change.
struct change_report {
  change_outcome outcome = change_outcome::unreachable;
  configuration::record now;                         // the current record, as far as it is known
  std::vector<configuration::violation> violations;  // for `invalid`
  std::string reason;                                // for `forbidden` and `conflict`
};

// What an edit makes of the current record: the next record, or the refusal and its cause.
struct edit_result {
  std::optional<configuration::record> next;
  change_outcome refusal = change_outcome::stale;  // used if `next` is empty
  std::vector<configuration::violation> violations;
  std::string reason;
};
// Makes the next record from the current one. It must put `change_id` into the next record, by which a
// repeated round of the same change is recognised. May run more than once for one change.
using edit = std::function<edit_result(const configuration::record& current, const std::string& change_id)>;

// Makes changes, and keeps which revision is in force at each edge.
class config_changes : public std::enable_shared_from_this<config_changes> {
 public:
  explicit config_changes(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Makes a change and waits until it is in force, for at most three seconds. Called for operators' changes
  // and for changes of the set of edges.
  task<change_report> change(edit requested_edit);
  // Sends a chosen record to the other live cores, once and without waiting for them: a core that misses it
  // reads it from the register.
  void announce(const configuration::record& chosen) const;
  // Records an edge's report that this revision is in force on its machine.
  void note_applied(const std::string& edge, std::int64_t revision);
  // Whether the record is in force at a majority of its edges and, while the set of edges changes, at a
  // majority of the previous ones too.
  bool is_widely_applied(const configuration::record& content) const;

 private:
  // False: the deadline, by the runtime's clock, passed first.
  task<bool> wait_until_applied(configuration::record content, microseconds deadline);

  std::shared_ptr<context> context_;
  std::map<std::string, std::int64_t> applied_;  // the highest revision in force, by edge
  std::vector<runtime::slot<bool>> waiting_;     // set when a higher revision is reported
};

}  // namespace herontally::control_node
