// A core machine's process: voter of the desired state, holder of news, operators' API, duties.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::hcore {

class node {
 public:
  node(runtime::handle runtime, settings::settings place, logging::journal journal);
  ~node();
  // Reads the disk and begins; the result tells what stands in the way.
  runtime::task<std::optional<std::string>> start();
  // The platform's warning: turn not ready, leave, and be done within the notice.
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::hcore
