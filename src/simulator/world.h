// A world in one process: virtual clock, network and disks, many machines, all from one seed. The nodes that
// run in it are the same code as in the daemons; they can't tell the difference.
#pragma once
#include <any>
#include <random>
#include <set>

#include "runtime/runtime.h"

namespace simulator {

using herontally::runtime::microseconds;

// What happens to bytes that were not synced when a machine goes down.
enum class disk_loss { none, unsynced, all };

struct sim_file {
  std::string synced, current;
  bool lasting = false;  // the folder knows it
};
struct sim_disk {
  std::map<std::string, sim_file> files;
  microseconds sync_time = 300;
  bool full = false, failing = false, crashed = false;
  int crash_after = -1;  // operations until the power goes; -1: never
  std::int64_t syncs = 0;
};

struct machine {
  std::string name, zone;
  sim_disk disk;
  bool up = false, frozen = false;
  std::uint64_t life = 0;
  microseconds booted = 0;
  bool stalled = false;  // as a client: reads nothing of what it is sent
  microseconds clock_offset = 0, wall_skew = 0;
  std::optional<herontally::runtime::handle> runtime;
  std::map<std::string, herontally::runtime::message_handler> inner;
  std::map<std::string, herontally::runtime::http_handler> http;
  std::set<std::string> draining_http;  // addresses whose answers are the last ones on their connections
  // Connections that clients keep between two requests, by address; whoever keeps them counts them here.
  std::map<std::string, std::size_t> resting_connections;
  int sends_until_freeze = 0;               // messages to storage machines until it freezes; 0: not set
  std::vector<std::function<void()>> held;  // what happened while it was frozen
  std::any node;                            // the program that runs on it
};

struct network {
  microseconds least = 100, most = 400;
  double slow = 0;  // part of the messages that take up to `most_extra` more
  microseconds most_extra = 20000;
  double twice = 0;  // part of the inner messages that arrive a second time, up to 2 s later
  // What a message takes longer on some links, by sender and receiver.
  std::map<std::pair<std::string, std::string>, microseconds> link_delays;
  double lost = 0;  // part of the inner requests and of their answers that never arrive
  std::int64_t messages = 0, bytes = 0;
};

class world {
 public:
  explicit world(std::uint64_t seed);
  ~world();
  world(const world&) = delete;
  microseconds now() const;
  std::mt19937_64& random();
  std::uint64_t draw(std::uint64_t below);
  struct machine& machine(const std::string& name, const std::string& zone);
  struct machine& find(const std::string& name);
  network& net();

  void boot(const std::string& name);
  herontally::runtime::handle runtime_of(const std::string& name);
  // `silent`: as when the power goes, without telling those who talk to it.
  void kill(const std::string& name, disk_loss loss, bool silent = false);
  void freeze(const std::string& name);
  void wake(const std::string& name);
  // From one machine to the other, one way. What is sent meanwhile arrives after the healing, if still
  // wanted.
  void cut(const std::string& from, const std::string& to);
  void heal(const std::string& from, const std::string& to);
  void heal_all();
  // Whether messages from one machine to the other are held up now.
  bool is_cut(const std::string& from, const std::string& to) const;
  // A client's machine that reads nothing until it is let go on.
  void stall(const std::string& name, bool on);

  void at(microseconds when, std::function<void()> work);
  void run_for(microseconds span);
  // True when the condition held within the time.
  bool run_until(std::function<bool()> condition, microseconds most);
  std::vector<std::string> names() const;

  struct state;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace simulator
