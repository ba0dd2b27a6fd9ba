// A whole site in the world: cores, stores, edges, engines, platform, callers and operators.
#pragma once
#include "hsim/oracle.h"
#include "hsim/world.h"

namespace hsim {

struct site_options {
  int cores = 3, stores = 3, edges = 3, models = 4, applications = 2;
  nlohmann::json min_cached_token_delta = 64;
  std::int64_t budget_tokens = 100000, budget_growth = 0, most_running = 4, turns_per_engine = 6,
               cold_turns = 1;
  std::int64_t keep_seconds = 3600;
  double warm_seconds = 5, prefill_tokens_per_second = 20000, token_milliseconds = 4, call_milliseconds = 15;
  std::string prefix_text;  // goes behind the marker in every program's shared prefix
  double prefix_preference = 0;
  std::string weights = "v1";  // that the next state names
};

struct operator_receipt {
  int status = 0;
  nlohmann::json body;
};

class site {
 public:
  site(world& where, oracle& judge, site_options choice);
  ~site();
  // Boots all, begins the groups, applies the first state and waits until every door is ready.
  bool begin();
  void boot(const std::string& name);
  void boot_all();
  void restart_later(const std::string& name);
  // A machine at new addresses; it is booted too.
  void add(const std::string& role, const std::string& name, const std::string& zone);
  std::string add_engine(const std::string& kind, const std::string& zone, const std::string& weights);
  void remove_engine(const std::string& name);
  // The platform shows the engine as leaving, stops it with a warning, and replaces it.
  void roll_engine(const std::string& name, const std::string& weights);
  void misbehave(const std::string& engine, const std::string& how);
  std::vector<std::string> of_role(const std::string& role) const;
  std::string role_of(const std::string& name) const;
  std::vector<std::string> doors() const;  // HTTP addresses
  bool doors_ready();
  herontally::runtime::handle callers();

  // The desired state under which every program's prefix names this marker.
  nlohmann::json document(std::int64_t marker) const;
  herontally::runtime::task<operator_receipt> operate(std::string core, std::string method, std::string path,
                                                      std::string body, std::string expected);
  // Applies the next marker through some core; the oracle is told of what was acknowledged.
  herontally::runtime::task<bool> apply_next(std::string core);
  // The same, by one core after the other, until one has acknowledged it.
  herontally::runtime::task<> apply_until_done();
  herontally::runtime::task<> change_zone(std::string zone, bool evacuate);
  double metric(const std::string& node, const std::string& name);
  site_options& options();
  world& where();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace hsim
