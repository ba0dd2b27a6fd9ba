// Internal to simulator's site.
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

struct place {
  std::string name, role, zone, inner, http, agent;
  ht::engine_stand_in::options engine;
  ht::logging::logger logger;
};

struct site::state {
  site* owner = nullptr;
  world& where;
  oracle& judge;
  site_options choice;
  std::map<std::string, place> places;
  std::vector<std::string> seeds;
  json engines = json::array();
  json document_now;
  int next_address = 1, next_engine = 1;
  std::int64_t next_marker = 1;
  std::set<std::string> evacuated;
  std::map<std::string, int> versions;
  std::map<std::string, std::function<void(const std::string&)>> traps;
  std::set<std::string> removed;  // machines that were taken away for good
  control_oracle control;

  state(world& world_of, oracle& oracle_of, site_options given)
      : where(world_of), judge(oracle_of), choice(given), control(make_control_oracle()) {}
  control_oracle make_control_oracle();
  std::vector<std::string> machines_of(const std::string& role) const;

  place& make(const std::string& role, const std::string& name, const std::string& zone);
  void show_engines();
  ht::logging::logger logger_of(const std::string& name);
  template <class Node>
  std::shared_ptr<Node> start(const place& spot);
  engine_facts facts_of(const place& spot) const;
  std::shared_ptr<ht::engine_stand_in::node> start_engine(const place& spot);
  std::shared_ptr<ht::platform_stand_in::node> start_platform(const place& spot);
};

constexpr const char* operator_token = "operator-token";

}  // namespace simulator
