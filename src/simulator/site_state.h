// The state of simulator::site, shared by the .cc files that implement it. Internal to these files.
#pragma once
#include "agent/node.h"
#include "control_node/node.h"
#include "platform_stand_in/node.h"
#include "proxy/node.h"
#include "simulator/control_oracle.h"
#include "simulator/site.h"
#include "storage_node/node.h"

namespace simulator {

namespace ht = herontally;
namespace rt = herontally::runtime;
using json = nlohmann::json;

// A machine of the site: its role and addresses, and the options and logger of its process. `inner` and
// `http` are the addresses for messages between nodes and for HTTP; `agent` is a proxy's agent's inner
// address.
struct machine_entry {
  std::string name, role, zone, inner, http, agent;
  ht::engine_stand_in::options engine;
  ht::logging::logger logger;
};

struct site::state {
  site* owner = nullptr;  // the site that this state belongs to
  world& sim_world;
  oracle& sim_oracle;
  site_options options;
  std::map<std::string, machine_entry> machines;
  std::vector<std::string> seeds;  // inner addresses of the first cores, given to every node
  json engines = json::array();    // the platform's list
  json document_now;
  int next_address = 1, next_engine = 1;
  std::int64_t next_marker = 1;
  std::set<std::string> evacuated;
  std::map<std::string, int> protocol_versions;  // by node; see site::speak()
  std::map<std::string, std::function<void(const std::string&)>> engine_event_actions;  // see site::trap()
  std::set<std::string> removed;  // machines that were removed for good
  control_oracle control;

  state(world& world_of, oracle& oracle_of, site_options given)
      : sim_world(world_of), sim_oracle(oracle_of), options(given), control(make_control_oracle()) {}
  control_oracle make_control_oracle();
  // Names of the role's machines that were not removed, also of those that are down.
  std::vector<std::string> machines_in_role(const std::string& role) const;

  // Adds a machine under the next free address; doesn't boot it.
  machine_entry& add_machine(const std::string& role, const std::string& name, const std::string& zone);
  // Gives the current list of engines to the platform, if it is up.
  void publish_engines();
  // A logger that tells the oracle when a node reports an engine as leaving.
  ht::logging::logger make_logger(const std::string& name);
  template <class Node>
  std::shared_ptr<Node> start_node(const machine_entry& entry);
  engine_info engine_info_of(const machine_entry& entry) const;
  std::shared_ptr<ht::engine_stand_in::node> start_engine(const machine_entry& entry);
  std::shared_ptr<ht::platform_stand_in::node> start_platform(const machine_entry& entry);
};

constexpr const char* operator_token = "operator-token";

}  // namespace simulator
