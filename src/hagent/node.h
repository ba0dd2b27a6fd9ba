// Beside each proxy: keeps the control link and the membership, and feeds the proxy over loopback.
#pragma once
#include "dialect/dialect.h"
#include "logging/logging.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::hagent {

class node {
 public:
  node(runtime::handle runtime, settings::settings place, logging::logger logger,
       std::shared_ptr<const dialect::dialect> surroundings = nullptr);
  ~node();
  runtime::task<std::optional<std::string>> start();
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::hagent
