// A storage machine's process: voter of the program ledger, owner of conversation chains and call records.
#pragma once
#include "logging/logging.h"
#include "replication/voter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::storage_node {

class node {
 public:
  node(runtime::handle runtime, settings::settings place, logging::logger logger);
  ~node();
  runtime::task<std::optional<std::string>> start();
  runtime::task<> leave();

  // For simulations, which look at a node from inside.
  const replication::voter& voter() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::storage_node
