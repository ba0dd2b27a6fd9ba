// A simulated deployment of the product on the users' platform, in virtual time: machines with the product's
// processes, and stand-ins for the engines, the platform's engine list, the clients and the operator. What
// the stand-ins see is checked by the oracle (platform_site_oracle.h); faults are in platform_site_faults.h.
#pragma once
#include <array>

#include "platform_site_oracle.h"
#include "runtime/runtime.h"
#include "simulator/control_oracle.h"
#include "simulator/world.h"

namespace herontally::platform_simulator {

using nlohmann::json;
using runtime::task;

// A machine with the product's processes.
struct machine_info {
  std::string name, role, zone, ip;  // role: edge, core or store
  bool removed = false;              // removed for good; its name is not used again
};

// One process of an engine on a machine of its own; a restart is a new one. Times are virtual; -1: never.
struct engine_process {
  std::string machine, id, service, zone, address;
  std::int64_t capacity = 8, running = 0, sealed = 0;
  std::deque<runtime::slot<bool>> queue;
  microseconds cold_until = -1, cold_since = -1, listed_draining_at = -1;
  bool draining = false, ended = false;
};

// A connection that a client keeps open between requests. `edge` is empty if none is open.
struct connection {
  std::string edge;
  std::uint64_t life = 0;
  microseconds used = 0;
  bool is_idle = false;  // is counted in its machine's resting_connections
};

// The longest pause between the starts of two clients.
constexpr microseconds default_max_pause = 80 * millisecond;

// How long after it is sent the deadline of a normal request and of a long one is.
constexpr microseconds default_timeout = 3 * second, long_timeout = 6 * second;
// Path prefix of the route of long requests, which run for up to three quarters of their deadline.
constexpr const char* long_prefix = "/long/";

// The number of machines of each role and of zones, and how many machines that keep data may be lost at once.
struct site_shape {
  int cores = 3, stores = 3, edges = 5, zones = 3, losses = 1;
};
// The smallest site that tolerates the loss of so many machines that keep data.
site_shape smallest_shape(int losses);

// The simulated site. Machines are addressed by name; a proxy and its agent are one machine of role edge.
class site {
 public:
  site(simulator::world& world, oracle& rule_oracle, site_shape shape);
  // Starts all machines, sends the first configuration and waits until every edge is ready. False if that
  // takes more than 60 s of virtual time.
  bool begin();
  // Does nothing if the machine is up or removed.
  void boot(const std::string& name);
  // `silent`: connections are not reset, so that peers notice only by timeouts.
  void kill(const std::string& name, simulator::disk_loss loss, bool silent);
  void freeze(const std::string& name, bool on);
  // A planned restart: a shutdown notice, the end within the grace period, then a new start.
  void restart_with_notice(const std::string& name);
  // Drops all messages between a machine and the others, or only those that it sends.
  void cut_network(const std::string& name, bool both_ways);
  // Separates a core from the other cores and the stores only: edges and the operator still reach it.
  void isolate_from_data_nodes(const std::string& name);
  // Ends cut_network and isolate_from_data_nodes.
  void heal(const std::string& name);
  // Adds a machine and returns its name; it has to be booted.
  std::string add(const std::string& role, const std::string& zone);
  // Removes a machine with its disk for good.
  void remove_machine(const std::string& name);
  // Machines of a role that are not removed, also those that are down.
  std::vector<std::string> machines_of_role(const std::string& role) const;
  std::string zone_of(const std::string& name) const { return machines_.at(name).zone; }

  // Starts an engine and returns its machine. An empty `address` gives it a new one.
  std::string add_engine(const std::string& service, const std::string& zone, const std::string& address);
  // Replaces an engine: starts a new one, then lists the old one as draining while it still serves, then ends
  // it.
  void replace_engine(std::string machine);
  // Machines of the engines that run and aren't draining.
  std::vector<std::string> engines() const;
  void crash_engine(const std::string& machine);
  // Makes a running engine cold again.
  void make_engine_cold(const std::string& machine);
  std::int64_t misbehaviour_per_thousand = 0;  // engines misbehave on this many of a thousand requests

  // The edge that the platform chooses for a client's new connection: a ready one, in the client's zone if
  // possible.
  std::string pick_edge(const std::string& zone);
  std::string ingress(const std::string& name) const { return machines_.at(name).ip + ":8149"; }
  std::string control(const std::string& name) const { return machines_.at(name).ip + ":8144"; }

  // The operator. A configuration that builds on the version `base`.
  version next_version(std::int64_t base);
  // Sends a call to any core, repeatedly until the result is clear or `timeout`
  // has passed. Returns the status; 0: still unclear. `response_body`, if not null, receives the response's
  // body.
  task<int> call(std::string method, std::string path, std::string body, std::string base,
                 std::string* response_body, microseconds timeout);
  // Sends a configuration, as an amendment if `partial`. Returns the status as `call` does.
  task<int> change(version next, bool partial);
  // Begins or ends an evacuation. True if the call was acknowledged.
  task<bool> change_evacuation(std::string zone, bool begin);
  // Zones whose evacuation was requested and is not known to have ended.
  std::set<std::string> evacuations;
  // Retires a store and removes its machine once it is empty.
  task<> retire(std::string store);
  std::int64_t acknowledged_version = 0;  // the newest acknowledged version
  // Reads the configuration from random cores until the given time, for the oracle to check.
  void start_reads(microseconds until);

  // Starts clients until `until`, which send plain requests or run programs, with pauses of up to
  // `max_pause`.
  void start_clients(microseconds until, microseconds max_pause = default_max_pause);
  // Adds clients whose requests take seconds, on connections that are idle for nearly as long as the
  // configuration allows. To be called before `begin`, since the configurations then have a route for them.
  void enable_long_requests() { long_requests_ = true; }
  simulator::world& world() { return world_; }
  oracle& rule_oracle() { return rule_oracle_; }
  // How many machines that keep data may be lost at once.
  int losses() const { return shape_.losses; }
  std::string random_zone();
  // What happened in the run, one line each, printed with --verbose.
  std::vector<std::string> event_log;
  void log_event(const std::string& what);

 private:
  struct program;
  template <class Node, class... More>
  void start(const machine_info& machine, const std::string& role, More... more);
  std::string settings_of(const machine_info& machine, const std::string& role) const;
  void serve_list(runtime::inbound_request incoming, std::shared_ptr<runtime::http_writer> out);
  void update_listing(const std::string& machine, bool listed);
  task<> probe_edges_forever();
  task<> serve_engine(std::shared_ptr<engine_process> engine, runtime::inbound_request incoming,
                      std::shared_ptr<runtime::http_writer> out);
  task<> run_request(std::shared_ptr<engine_process> engine, runtime::inbound_request incoming,
                     std::shared_ptr<runtime::http_writer> out);
  task<> stream(std::shared_ptr<engine_process> engine, engine_run* run, std::shared_ptr<bool> client_gone,
                std::int64_t max_tokens, std::shared_ptr<runtime::http_writer> out,
                std::map<std::string, std::string> headers);
  task<outcome> send_attempt(sent_request sent, std::map<std::string, std::string> headers, std::string zone);
  task<outcome> send_with_retries(sent_request sent, std::map<std::string, std::string> headers,
                                  std::string* attempt);
  task<> send_plain_request(std::string kind, std::string target, microseconds timeout);
  task<> run_long_clients(microseconds until);
  // Mark a kept connection as idle, and no longer so, in the count of its machine: the server knows that it
  // is open.
  void begin_idle(connection& kept);
  void end_idle(connection& kept);
  // How long a client keeps an idle connection open.
  microseconds max_idle_time() const;
  task<> run_program();
  task<> run_branch(std::shared_ptr<program> parent, std::string previous, int turns);
  task<> read_configurations_until(microseconds until);
  task<> read_from(std::string core);
  task<> run_clients(microseconds until, microseconds max_pause);

  simulator::control_oracle make_control_oracle();
  void log_control_event(const json& line);

  simulator::world& world_;
  oracle& rule_oracle_;
  site_shape shape_;
  simulator::control_oracle control_;
  std::map<std::string, machine_info> machines_;
  std::map<std::string, std::shared_ptr<engine_process>> engines_;  // by machine
  std::vector<json> listed_engines_;          // the engine list as the platform serves it now
  std::map<std::string, int> failed_probes_;  // failed readiness probes in a row, by edge
  std::deque<microseconds> recent_list_calls_;
  bool is_founded_ = false, long_requests_ = false;
  std::array<connection, 24> connections_;
  int engine_count_ = 0, attempts_ = 0, generation_ = 0, version_count_ = 0;
  std::map<std::string, int> machine_counts_;
  std::map<std::int64_t, std::string> sent_bodies_;
};

extern const char* const zones[4];

}  // namespace herontally::platform_simulator
