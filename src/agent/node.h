// The agent: runs beside each proxy, keeps the link to the control plane and the membership, and feeds the
// proxy over loopback.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::agent {

class node {
 public:
  // Without an adapter the platform speaks the product's own protocol.
  node(runtime::handle runtime, settings::settings place, logging::logger logger,
       std::shared_ptr<const platform_protocol::adapter> platform_adapter = nullptr);
  ~node();
  // Begins to serve; the result tells what stands in the way, if anything.
  runtime::task<std::optional<std::string>> start();
  // Graceful shutdown: turns not ready and leaves the membership.
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::agent
