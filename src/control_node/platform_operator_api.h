// Internal to the control node: the operator's calls where an adapter translates the platform's protocol. A
// change is acknowledged once a majority of the cores has chosen it; the edges learn it within the platform's
// own bound.
#pragma once
#include "control_node/config_changes.h"
#include "control_node/stall_detector.h"
#include "control_node/storage_directory.h"

namespace herontally::control_node {

class platform_operator_api : public std::enable_shared_from_this<platform_operator_api> {
 public:
  platform_operator_api(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes,
                        std::shared_ptr<storage_directory> directory, std::shared_ptr<stall_detector> stalls);
  task<> serve(runtime::inbound_request request, http_api::writer out);

 private:
  using command_reply = platform_protocol::command_reply;
  // The next record, or nothing and the call's outcome in the reply. May run more than once for one command.
  using record_edit =
      std::function<std::optional<configuration::record>(const configuration::record&, command_reply&)>;

  task<command_reply> execute(platform_protocol::command command, abandonment_check abandoned);
  task<command_reply> change_record(record_edit wanted);
  task<command_reply> change_routing(platform_protocol::change_command command);
  task<command_reply> read_routing();
  task<command_reply> evacuate(platform_protocol::evacuate_command command, abandonment_check abandoned);
  task<command_reply> retire(platform_protocol::retire_command command, abandonment_check abandoned);
  task<command_reply> retire_status(platform_protocol::retire_status_command command);
  // How a name that this core doesn't know is answered: only one that has run for a while can tell that there
  // is none.
  platform_protocol::command_status status_of_unknown() const;

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
  std::shared_ptr<storage_directory> directory_;
  std::shared_ptr<stall_detector> stalls_;
  microseconds started_;
};

}  // namespace herontally::control_node
