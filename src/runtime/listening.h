// Listening that waits for its address instead of failing. On a real machine another process may hold the
// port for a while (the predecessor that hasn't ended yet, or an outgoing connection with this local port),
// and an address may be configured only after the process has started.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::runtime {

// An address that a node listens at, and for what.
struct listener {
  std::string purpose;  // for the log, such as "inner"
  std::string address;
  std::function<bool()> listen;  // one attempt
};

// Retries until the node listens. Requests can arrive from the next pass of the event loop on.
task<> listen_when_possible(handle runtime, logging::logger logger, listener wanted);

}  // namespace herontally::runtime
