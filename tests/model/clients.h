// The writers and movers of a run: machines of their own that use the register through its proposers.
#pragma once
#include <map>

#include "consensus/proposer.h"
#include "model/history.h"
#include "model/plan.h"
#include "simulator/world.h"

namespace herontally::model {

// What all clients of a run share.
struct client_context {
  simulator::world* world = nullptr;
  std::vector<std::string> addresses;
  std::vector<std::string> storage_names;
  int keys = 1;
  runtime::microseconds longest_pause = 0;  // between a writer's operations
  bool writing = true;                      // writers go on
  bool moving = true;                       // movers also move the group without need
  int next_value = 1;
  std::int64_t epoch = 0;  // of the mover that took its duty last
  int moves_finished = 0;
  std::map<std::string, std::vector<operation>> histories;
};
using shared_context = std::shared_ptr<client_context>;

consensus::proposer make_proposer(const shared_context& context, const std::string& machine);

// Several tasks that share one proposer, as a node's do: each reads and compare-and-sets over the keys until
// the context says otherwise.
void start_writer(shared_context context, std::string name, consensus::proposer group);
// Reads every key once; true when all could be read.
runtime::task<bool> read_all(shared_context context, std::string name, consensus::proposer group,
                             runtime::microseconds deadline);
// Replaces lost voters by spares, finishes moves, and moves the group without need now and then.
runtime::task<> move_forever(shared_context context, consensus::proposer group);

}  // namespace herontally::model
