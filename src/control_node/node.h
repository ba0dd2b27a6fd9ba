// A control machine's process: voter of the core group, which keeps the configuration; operators' API;
// singleton roles.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "replication/voter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"
#include "singleton/singleton_role.h"

namespace herontally::control_node {

class node {
 public:
  // With an adapter the operators' calls are served on `control` as well, and the platform speaks its
  // protocol.
  node(runtime::handle runtime, settings::settings place, logging::logger logger,
       std::shared_ptr<const platform_protocol::adapter> platform_adapter = nullptr);
  ~node();
  // Reads the disk and begins to serve; the result tells what stands in the way, if anything.
  runtime::task<std::optional<std::string>> start();
  // Graceful shutdown: turns not ready and leaves the membership, within the notice.
  runtime::task<> leave();

  // For simulations, which look at a node from inside: its voter, and what it believes of each singleton
  // role.
  const replication::voter& voter() const;
  std::vector<singleton::role_status> roles() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::control_node
