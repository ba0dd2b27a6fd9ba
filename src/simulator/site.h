// A whole site in the world: cores, stores, edges, engines, platform, callers and operators.
#pragma once
#include "simulator/oracle.h"
#include "simulator/world.h"

namespace simulator {

// A partner's part of a site.
struct partner_shape {
  std::string name, model, application, quick, slow;
  std::vector<std::string> effectful, plain;  // routes
  int models = 0, applications = 0;
};
partner_shape swanreach(int models, int applications);
partner_shape zastavica(int models, int applications);

struct site_options {
  int cores = 3, stores = 3, edges = 3;
  // Both sections are always in the configuration; a partner without engines has no traffic here.
  std::vector<partner_shape> partners{swanreach(4, 2), zastavica(0, 0)};
  bool vary = false;             // states differ in zone weights and thresholds, too
  std::int64_t keep_growth = 0;  // states differ in keeping times by this many seconds
  std::int64_t client_buffer_kilobytes = 256;
  nlohmann::json min_cached_token_delta = 64;
  std::int64_t budget_tokens = 100000, budget_growth = 0, most_running = 4, turns_per_engine = 6,
               cold_turns = 1;
  std::int64_t keep_seconds = 3600, receipt_seconds = 2592000;
  double warm_seconds = 5, prefill_tokens_per_second = 20000, token_milliseconds = 4, call_milliseconds = 15;
  std::string prefix_text;  // goes behind the marker in every program's shared prefix
  double prefix_preference = 0;
  std::string weights = "v1";  // that the next state names
};

struct operator_response {
  int status = 0;
  nlohmann::json body;
};

class site {
 public:
  site(world& where, oracle& judge, site_options choice);
  ~site();
  // Boots all, begins the groups, applies the first state and waits until every proxy is ready.
  bool begin();
  void boot(const std::string& name);
  void boot_all();
  // The machine never comes back, and nobody waits for it.
  void take_away(const std::string& name);
  void restart_later(const std::string& name);
  // A machine at new addresses; it is booted too.
  void add(const std::string& role, const std::string& name, const std::string& zone);
  std::string add_engine(const partner_shape& of, const std::string& kind, const std::string& zone,
                         const std::string& weights);
  void remove_engine(const std::string& name);
  // The platform shows the engine as leaving, stops it with a warning, and replaces it.
  void roll_engine(const std::string& name, const std::string& weights);
  // The inner version that this node speaks from its next start on.
  void speak(const std::string& name, int version);
  // The platform's warning, and the kill when the notice is over.
  void warn(const std::string& name);
  // Whether the platform answers, and how late it shows what it knows.
  void upset_platform(bool silent, double late_milliseconds);
  void misbehave(const std::string& engine, const std::string& how);
  std::vector<std::string> of_role(const std::string& role) const;
  std::string role_of(const std::string& name) const;
  std::vector<std::string> proxies() const;  // HTTP addresses
  bool proxies_ready();
  // Asks every node again and again how ready it is, and every core for the state, as the platform and the
  // operators do.
  herontally::runtime::task<> watch_forever();
  herontally::runtime::handle callers();
  // Called once, when an engine next tells of such an event.
  void trap(const std::string& what, std::function<void(const std::string& engine)> action);

  // The configuration whose prefixes and paths name this marker.
  nlohmann::json document(std::int64_t marker) const;
  offered_state offered(std::int64_t marker) const;
  herontally::runtime::task<operator_response> operate(std::string core, std::string method, std::string path,
                                                       std::string body, std::string expected);
  // Applies the next marker through some core; the oracle is notified of what was acknowledged.
  herontally::runtime::task<bool> apply_next(std::string core);
  // The same, by one core after the other, until one has acknowledged it.
  herontally::runtime::task<> apply_until_done();
  herontally::runtime::task<> change_zone(std::string zone, bool evacuate);
  // Starts a storage machine's retirement and waits until it may go; false when that didn't come about.
  herontally::runtime::task<bool> retire(std::string node);
  double metric(const std::string& node, const std::string& name);
  site_options& options();
  world& where();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace simulator
