// An edge machine's door: takes callers' visits, asks the ledger, plans, carries out.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::hproxy {

class node {
 public:
  node(runtime::handle runtime, settings::settings place, logging::journal journal);
  ~node();
  runtime::task<std::optional<std::string>> start();
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::hproxy
