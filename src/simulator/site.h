// A whole site in the simulated world: cores, stores, edges (each an agent and a proxy), stand-in engines,
// the stand-in platform, clients and operators. Boots its machines, changes them and its configuration, and
// reports to the oracle what operators and engines observe. Faults are injected and load is generated
// elsewhere.
#pragma once
#include "simulator/oracle.h"
#include "simulator/world.h"

namespace simulator {

// The engines, program kinds and routes of one partner.
struct partner_shape {
  std::string name, model, application, quick, slow;  // `quick` and `slow` are kinds of programs
  std::vector<std::string> effectful, plain;          // routes with and without side effects
  int models = 0, applications = 0;
};
// The two partners, with these numbers of model and application engines.
partner_shape swanreach(int models, int applications);
partner_shape zastavica(int models, int applications);

// The size of a site, and the values of its configuration and its stand-in engines.
struct site_options {
  int cores = 3, stores = 3, edges = 3;
  // The configuration always has the sections of both partners; a partner without engines gets no traffic.
  std::vector<partner_shape> partners{swanreach(4, 2), zastavica(0, 0)};
  bool vary = false;             // configurations also differ in zone weights and pull thresholds
  std::int64_t keep_growth = 0;  // retention times of configurations differ by multiples of this, in seconds
  std::int64_t client_buffer_kilobytes = 256;
  nlohmann::json min_cached_token_delta = 64;  // null: no threshold is set, so that nothing is pulled
  // The budget grows by `budget_growth` with each configuration, up to the twentieth.
  std::int64_t budget_tokens = 100000, budget_growth = 0, most_running = 4, turns_per_engine = 6,
               cold_turns = 1;
  std::int64_t keep_seconds = 3600, receipt_seconds = 2592000;
  double warm_seconds = 5, prefill_tokens_per_second = 20000, token_milliseconds = 4, call_milliseconds = 15;
  std::string prefix_text;  // follows the marker in every program's shared prefix
  double prefix_preference = 0;
  std::string weights = "v1";  // named by the next configuration
};

// A core's response to an operator.
struct operator_response {
  int status = 0;  // HTTP; 0: no response came
  nlohmann::json body;
};

class site {
 public:
  // Enters all machines and engines into `sim_world` without booting them. Both references must outlive the
  // site.
  site(world& sim_world, oracle& sim_oracle, site_options options);
  ~site();
  // Boots all machines, founds the groups of voters, applies the first configuration, waits until every proxy
  // is ready and starts the control oracle. False when a step takes too long.
  bool begin();
  // Boots a machine and starts its process. Does nothing when it is up or was removed from the site.
  void boot(const std::string& name);
  void boot_all();
  // Marks a machine as removed for good: the control oracle no longer expects it to return.
  void take_away(const std::string& name);
  // Restarts the machine's process in a second, unless the machine is down by then.
  void restart_later(const std::string& name);
  // Adds a machine under new addresses and boots it; a proxy gets an agent, too.
  void add(const std::string& role, const std::string& name, const std::string& zone);
  // Adds an engine of the kind "model" or "application" and returns its name. It isn't booted, and the
  // platform's list shows it only once another change publishes the list.
  std::string add_engine(const partner_shape& partner, const std::string& kind, const std::string& zone,
                         const std::string& weights);
  // Removes an engine from the platform's list; the machine keeps running.
  void remove_engine(const std::string& name);
  // Replaces an engine as the platform does: boots a replacement, lists the old engine as leaving and kills
  // it 7 s later.
  void roll_engine(const std::string& name, const std::string& weights);
  // Sets the version of the protocol between nodes that this node uses from its next start on.
  void speak(const std::string& name, int version);
  // The platform's warning to a node: it is killed as soon as it has left the site, after 3 s at the latest.
  void warn(const std::string& name);
  // Sets whether the platform stops answering, and how far its list of engines lags behind.
  void upset_platform(bool silent, double late_milliseconds);
  // Makes an engine that is up misbehave; `how` is one of the values of engine_stand_in::node::behave().
  void misbehave(const std::string& engine, const std::string& how);
  // Names of all machines of a role, also of those that are down or removed.
  std::vector<std::string> of_role(const std::string& role) const;
  // Empty for an unknown machine.
  std::string role_of(const std::string& name) const;
  std::vector<std::string> proxies() const;  // HTTP addresses
  // Whether every proxy is up and has a fresh view of the site.
  bool proxies_ready();
  // Polls the readiness of every proxy and agent, and the configuration of every core, as the platform and
  // operators do, and reports the revisions to the oracle. Never ends.
  herontally::runtime::task<> watch_forever();
  // The runtime of the machine that clients and operators run on.
  herontally::runtime::handle callers();
  // Calls `action` once, when an engine next reports the event `what` (see engine_stand_in::run). One action
  // per event: a later call replaces it.
  void trap(const std::string& what, std::function<void(const std::string& engine)> action);

  // The configuration document of this marker: its shared prefixes and route paths contain the marker.
  nlohmann::json document(std::int64_t marker) const;
  // What clients and engines can observe of that configuration.
  observable_config observable_config_of(std::int64_t marker) const;
  // Sends an operator's request to a core; `expected` is the value of If-Match, none if empty. Times out
  // after 9 s.
  herontally::runtime::task<operator_response> operate(std::string core, std::string method, std::string path,
                                                       std::string body, std::string expected);
  // Applies the configuration of the next marker through a core and tells the oracle when it is acknowledged.
  // False when it isn't acknowledged.
  herontally::runtime::task<bool> apply_next(std::string core);
  // Calls apply_next() with one core after the other until one acknowledges; gives up after 60 attempts.
  herontally::runtime::task<> apply_until_done();
  // Begins or ends a zone's evacuation; gives up after ten attempts.
  herontally::runtime::task<> change_zone(std::string zone, bool evacuate);
  // Starts a storage machine's retirement and waits until the machine may be removed; false after 40
  // attempts.
  herontally::runtime::task<bool> retire(std::string node);
  // A metric's value in the node's current process; 0 for an unknown node.
  double metric(const std::string& node, const std::string& name);
  // The options may be changed; configurations and engines made later use the changed ones.
  site_options& options();
  world& where();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace simulator
