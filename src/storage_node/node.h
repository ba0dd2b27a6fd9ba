// The storage node process: a voter of the storage group, which holds the records of the ledger package and
// the contents of turns. It also removes expired data. It doesn't serve client requests.
#pragma once
#include "logging/logging.h"
#include "replication/voter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::storage_node {

class node {
 public:
  node(runtime::handle runtime, settings::settings config, logging::logger logger);
  ~node();
  // Opens the data and starts to serve. Returns an error message for the command line if that fails.
  runtime::task<std::optional<std::string>> start();
  // Reports the node as not ready and announces its departure to the other nodes.
  runtime::task<> leave();

  // For simulations, which inspect the state of a node.
  const replication::voter& voter() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::storage_node
