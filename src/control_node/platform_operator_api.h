// Internal to the control node: the operator's calls in the platform's format, which an adapter translates
// into commands and replies. A change is acknowledged once a majority of the cores has chosen it; the edges
// learn it within the bound that the platform sets, so that no call waits for them. The product's own API is
// operator_api.h.
#pragma once
#include "control_node/config_changes.h"
#include "control_node/stall_detector.h"
#include "control_node/storage_directory.h"

namespace herontally::control_node {

// Carries out the operator's commands. A call that is being served keeps it alive.
class platform_operator_api : public std::enable_shared_from_this<platform_operator_api> {
 public:
  platform_operator_api(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes,
                        std::shared_ptr<storage_directory> directory, std::shared_ptr<stall_detector> stalls);
  // Answers every request, also those that are no known command. Called for each request at the settings'
  // `control` address.
  task<> serve(runtime::inbound_request request, http_api::writer out);

 private:
  using command_reply = platform_protocol::command_reply;
  // Returns the next record, or nothing to leave the current one, and fills in the reply. May run more than
  // once for one command.
  using record_edit =
      std::function<std::optional<configuration::record>(const configuration::record&, command_reply&)>;

  task<command_reply> execute(platform_protocol::command command, abandonment_check abandoned);
  // Changes the configuration's record and announces the chosen one to the other cores.
  task<command_reply> change_record(record_edit apply_edit);
  task<command_reply> change_routing(platform_protocol::change_command command);
  task<command_reply> read_routing();
  task<command_reply> evacuate(platform_protocol::evacuate_command command, abandonment_check abandoned);
  task<command_reply> retire(platform_protocol::retire_command command, abandonment_check abandoned);
  task<command_reply> retire_status(platform_protocol::retire_status_command command);
  // The status for a name that this core doesn't know: `unknown_name`, or `unreachable` shortly after the
  // start, while the core may not have heard of all machines.
  platform_protocol::command_status unknown_name_status() const;

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
  std::shared_ptr<storage_directory> directory_;
  std::shared_ptr<stall_detector> stalls_;
  microseconds started_;  // when this process started, by the runtime's clock
};

}  // namespace herontally::control_node
