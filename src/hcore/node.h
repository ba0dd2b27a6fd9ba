// A core machine's process: voter of the desired state, holder of news, operators' API, duties.
#pragma once
#include "dialect/dialect.h"
#include "logging/logging.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::hcore {

class node {
 public:
  // With a dialect the operators' calls are served on `control` as well, and the platform speaks it.
  node(runtime::handle runtime, settings::settings place, logging::logger logger,
       std::shared_ptr<const dialect::dialect> surroundings = nullptr);
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
