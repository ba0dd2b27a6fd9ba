// The agent runs beside each proxy. It follows the control plane's configuration and the membership, and
// supplies the proxy with them over loopback. It doesn't handle clients' requests.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::agent {

class node {
 public:
  // Without an adapter the built-in platform protocol is used.
  node(runtime::handle runtime, settings::settings node_settings, logging::logger logger,
       std::shared_ptr<const platform_protocol::adapter> platform_adapter = nullptr);
  ~node();
  // Starts to listen and to serve. Returns an error message if an address can't be listened on, otherwise
  // nullopt.
  runtime::task<std::optional<std::string>> start();
  // Graceful shutdown: reports not ready and leaves the membership.
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::agent
