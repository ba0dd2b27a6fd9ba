// A deterministic simulation of many machines in one process: virtual clock, network and disks, all driven by
// one seed. The nodes run the same code as in the daemons, over a simulated runtime backend. Nothing here
// knows what the nodes do or checks what they answer.
#pragma once
#include <any>
#include <random>
#include <set>

#include "runtime/runtime.h"

namespace simulator {

using herontally::runtime::microseconds;

// What a disk loses when its machine goes down. `none`: nothing, as when only the process ends. `unsynced`:
// writes since the last sync, which may survive in part or torn. `all`: every file.
enum class disk_loss { none, unsynced, all };

// A file's content at its last completed sync, and with the writes since then.
struct sim_file {
  std::string synced, current;
  bool directory_entry_durable = false;  // false: a power failure may remove the whole file
};
struct sim_disk {
  std::map<std::string, sim_file> files;
  microseconds sync_time = 300;  // shortest duration of a sync; each takes up to twice as long
  // `full`: writes and syncs fail. `failing`: reads fail, too. `crashed`: the power is off, operations that
  // change the disk have no effect and syncs never complete.
  bool full = false, failing = false, crashed = false;
  int crash_after = -1;  // appends, replacements and syncs until the power fails; -1: never
  std::int64_t syncs = 0;
};

// One simulated machine and the process that runs on it.
struct machine {
  std::string name, zone;
  sim_disk disk;
  bool up = false, frozen = false;
  std::uint64_t life = 0;   // number of the current boot; events for an earlier one are dropped
  microseconds booted = 0;  // virtual time of the last boot
  bool stalled = false;     // as an HTTP client: reads none of the bytes that it is sent
  // Added to virtual time by the steady clock and by the wall clock.
  microseconds clock_offset = 0, wall_skew = 0;
  std::optional<herontally::runtime::handle> runtime;
  // Handlers by the address that they serve: of messages between nodes, and of HTTP requests.
  std::map<std::string, herontally::runtime::message_handler> inner;
  std::map<std::string, herontally::runtime::http_handler> http;
  std::set<std::string> draining_http;  // addresses whose responses close their connections
  // Idle keep-alive connections by server address. The simulated clients that hold them maintain the counts.
  std::map<std::string, std::size_t> resting_connections;
  int sends_until_freeze = 0;                          // messages to storage nodes until it freezes; 0: never
  std::vector<std::function<void()>> deferred_events;  // events that came due while it was frozen
  std::any node;                                       // the node object that runs on it
};

// Latency and fault rates of all links. Rates are fractions from 0 to 1.
struct network {
  microseconds min_latency = 100, max_latency = 400;
  double slow = 0;  // fraction of messages delayed by up to `most_extra` more
  microseconds most_extra = 20000;
  double twice = 0;  // fraction of messages between nodes that are delivered again, sent up to 2 s later
  // Extra latency of single links, by sender and receiver.
  std::map<std::pair<std::string, std::string>, microseconds> link_delays;
  double lost = 0;  // fraction of messages between nodes, and of their answers, that are dropped
  std::int64_t messages = 0, bytes = 0;  // sent so far over all links, HTTP included
};

// The machines, their links, and the event queue that advances virtual time.
class world {
 public:
  explicit world(std::uint64_t seed);
  ~world();
  world(const world&) = delete;
  // Virtual time since the start.
  microseconds now() const;
  // The only source of randomness of a run.
  std::mt19937_64& random();
  // A random number in [0, below); 0 when `below` is 0, without drawing.
  std::uint64_t draw(std::uint64_t below);
  // Finds or creates a machine; `zone` is used only for a new one, which is down until it is booted.
  struct machine& machine(const std::string& name, const std::string& zone);
  // Throws std::out_of_range for an unknown machine.
  struct machine& find(const std::string& name);
  network& net();

  // Starts a new incarnation of the machine with a fresh runtime; the caller starts the node on it.
  void boot(const std::string& name);
  // The runtime of a machine that is up.
  herontally::runtime::handle runtime_of(const std::string& name);
  // Ends the machine's process. With `silent` its peers see no closed connections, as in a power failure.
  void kill(const std::string& name, disk_loss loss, bool silent = false);
  // Suspends the machine: events that come due are deferred until it wakes.
  void freeze(const std::string& name);
  void wake(const std::string& name);
  // Cuts one direction of a link. Messages sent meanwhile are delivered after it is healed, unless the
  // receiver has restarted or no longer waits for them.
  void cut(const std::string& from, const std::string& to);
  void heal(const std::string& from, const std::string& to);
  void heal_all();
  // Whether messages from one machine to the other are held back now.
  bool is_cut(const std::string& from, const std::string& to) const;
  // While `on`, the machine as an HTTP client reads none of the bytes that it is sent.
  void stall(const std::string& name, bool on);

  // Runs `work` at a virtual time, or as the next event when that has passed; on no machine, so that no
  // restart or freeze affects it.
  void at(microseconds when, std::function<void()> work);
  // Processes the events of the next `span` of virtual time.
  void run_for(microseconds span);
  // Processes events until the condition holds; false when it doesn't within `timeout` of virtual time.
  bool run_until(std::function<bool()> condition, microseconds timeout);
  // All machines that were ever created, sorted.
  std::vector<std::string> names() const;

  struct state;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace simulator
