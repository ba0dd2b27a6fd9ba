// The clients of a run, each on a simulated machine of its own. Writers read and compare-and-set the keys and
// record what they observe; movers change the group's voters. Both use the register through a proposer only;
// the faults are injected elsewhere (injector.h).
#pragma once
#include <map>

#include "consensus/proposer.h"
#include "model/history.h"
#include "model/plan.h"
#include "simulator/world.h"

namespace herontally::model {

// State that all clients of a run share.
struct client_context {
  simulator::world* world = nullptr;
  std::vector<std::string> addresses;
  std::vector<std::string> storage_names;
  int keys = 1;
  runtime::microseconds max_pause = 0;  // between a writer's operations
  bool writing = true;                  // writers stop when it becomes false
  bool unneeded_moves = true;           // movers also replace healthy voters and abandon moves
  int next_value = 1;                   // of the next set; each value is used once
  std::int64_t epoch = 0;               // of the mover that claimed its role last
  int completed_moves = 0;
  std::map<std::string, std::vector<operation>> histories;  // by key
};
using shared_context = std::shared_ptr<client_context>;

// A proposer of the group on the named machine; it finds the voters through the storage machines' addresses.
consensus::proposer make_proposer(const shared_context& context, const std::string& machine);

// Starts several tasks that share one proposer, as the tasks of a node do. Each reads and compare-and-sets
// random keys until `writing` is false.
void start_writer(shared_context context, std::string name, consensus::proposer group);
// Reads every key once and records the reads. False as soon as a key can't be read before the deadline.
runtime::task<bool> read_all(shared_context context, std::string name, consensus::proposer group,
                             runtime::microseconds deadline);
// Replaces lost voters by spares and finishes moves in progress, without end. While `unneeded_moves` is true
// it also replaces healthy voters and abandons moves at random.
runtime::task<> run_mover(shared_context context, consensus::proposer group);

}  // namespace herontally::model
