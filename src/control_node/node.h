// The control node (a "core"): a voter of the core group, whose registers hold the configuration; the
// operators' HTTP API; and candidate for the singleton roles (engine list, voter groups, calendars). The
// node only wires its parts together: the rules of each are in the part's own header.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "replication/voter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"
#include "singleton/singleton_role.h"

namespace herontally::control_node {

// One control node. Its tasks share its state and run until the runtime stops.
class node {
 public:
  // With an adapter the operators' calls in the platform's format are served at the settings' `control`
  // address as well, and the platform is called through the adapter. nullptr: the product's own protocol.
  node(runtime::handle runtime, settings::settings node_settings, logging::logger logger,
       std::shared_ptr<const platform_protocol::adapter> platform_adapter = nullptr);
  ~node();
  // Reads the voter's data from disk and starts to serve. Returns an error message if the data can't be read
  // or an address can't be listened on, otherwise nothing. Called once.
  runtime::task<std::optional<std::string>> start();
  // Graceful shutdown: reports not ready, leaves the membership and lets open connections drain. Returns
  // before the settings' `notice_milliseconds` are over. Called once, on the notice to stop.
  runtime::task<> leave();

  // For the simulator's invariant checks: this node's voter of the core group.
  const replication::voter& voter() const;
  // For the simulator's invariant checks: what this node knows about each singleton role.
  std::vector<singleton::role_status> roles() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::control_node
