// The plan of a run, derived from its seed: the numbers of clients and keys, the duration and the faults. The
// faults are injected by injector.h.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace herontally::model {

enum class fault_kind {
  crash,           // a voter's process ends and starts again
  power_loss,      // a voter loses what it has not synced
  power_at_write,  // like power_loss, but at one of its next disk operations
  disk_loss,       // a voter comes back with an empty disk
  freeze_voter,
  freeze_client,
  freeze_sender,  // a client freezes after one of its next messages
  crash_client,
  isolate_voter,
  cut_link,    // between one client and one voter, one way
  slow_links,  // messages between one client and some of the voters are delayed, by a fixed time for each
               // direction
  clock_step,  // the wall clock of one machine is shifted
  slow_network,
  duplicate_messages,
  lose_messages,
};

// One fault of a plan.
struct fault {
  fault_kind kind = fault_kind::crash;
  std::int64_t at = 0, duration = 0;  // microseconds; `at` from the start of the writers
  std::uint64_t target_seed = 0;      // selects the machines that it affects, and its details
  bool at_move = false;          // after `at` it waits until the joint view of a move is installed somewhere
  bool until_move_ends = false;  // ends with the move, if that is sooner
};

// What the command line asks of a run.
struct run_options {
  std::uint64_t seed = 1;
  int voters = 3, spares = 2;
  std::uint64_t variation = 0;    // another random seed of the simulated world, under the same faults
  std::vector<fault_kind> kinds;  // only these; empty: chosen by the seed
  bool all_faults = true;
  std::vector<int> only_faults;      // by position in the plan; ignored if `all_faults`
  std::optional<std::int64_t> span;  // microseconds until the writers stop; chosen by the seed if not set
  bool print_events = false;
};

// Everything that a seed determines about a run.
struct run_plan {
  int writers = 2, movers = 1, keys = 1;
  std::int64_t span = 0;       // microseconds until the writers stop
  std::int64_t max_pause = 0;  // microseconds between a writer's operations
  std::vector<fault> faults;   // by `at`
};

// The same options always give the same plan.
run_plan make_plan(const run_options& options);
// The name in reports and on the command line; two kinds may share one.
std::string name_of(fault_kind kind);
// Every kind that has this name; empty: none has.
std::vector<fault_kind> kinds_named(const std::string& name);

}  // namespace herontally::model
