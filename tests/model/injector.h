// Turns the faults of a plan into events of the simulated world, and ends them.
#pragma once
#include <functional>

#include "model/cluster.h"

namespace herontally::model {

class injector {
 public:
  // `start_client` starts a client's program anew on its machine, which runs already.
  injector(simulator::world& world, cluster& group, std::vector<std::string> clients,
           std::function<void(const std::string& name)> start_client);
  // Runs the world until the plan's span is over, with its faults on the way.
  void run(const run_plan& plan);
  // Ends every fault that is still there.
  void heal();
  int injected() const;
  // What was done and when, for the story of a run.
  const std::vector<std::string>& story() const;

 private:
  void inject(const fault& each);
  void inject_into_voter(const fault& each, const std::string& name);
  void inject_into_client(const fault& each, const std::string& name);
  void inject_into_network(const fault& each);
  void cut_link(const fault& each);
  void slow_links(const fault& each, const std::string& client);
  void isolate(const fault& each, const std::string& name);
  void step_clock(const fault& each);
  // Calls `end` once, when the fault is over.
  void after(const fault& each, std::int64_t length, std::function<void()> end);
  void follow_move();
  void restart_client(const std::string& name);
  void note(const fault& each, const std::string& whom);
  void run_until(std::int64_t moment);

  simulator::world& world_;
  cluster& group_;
  std::vector<std::string> clients_;
  std::function<void(const std::string&)> start_client_;
  std::multimap<std::int64_t, std::function<void()>> ends_;
  std::vector<fault> waiting_for_move_;
  std::vector<std::function<void()>> move_ends_;
  bool move_was_open_ = false;
  std::vector<std::string> story_;
};

}  // namespace herontally::model
