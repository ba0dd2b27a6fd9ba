// Injects the faults of a plan into the simulated world and ends them. A fault that the group need not
// tolerate together with the present ones is skipped. The plan itself is drawn in plan.h.
#pragma once
#include <functional>

#include "model/cluster.h"

namespace herontally::model {

// Runs the world through one plan. The world and the group outlive it.
class injector {
 public:
  // `start_client` starts a client's tasks again on its machine, which is up when it is called.
  injector(simulator::world& world, cluster& group, std::vector<std::string> clients,
           std::function<void(const std::string& name)> start_client);
  // Runs the world until the plan's span is over, and injects its faults meanwhile.
  void run(const run_plan& plan);
  // Ends every fault that still lasts.
  void heal();
  // The number of faults injected; those skipped don't count.
  int injected() const;
  // One line for each injected fault, with its time in microseconds.
  const std::vector<std::string>& events() const;

 private:
  void inject(const fault& each);
  void inject_into_voter(const fault& each, const std::string& name);
  void inject_into_client(const fault& each, const std::string& name);
  void inject_into_network(const fault& each);
  void cut_link(const fault& each);
  void slow_links(const fault& each, const std::string& client);
  void isolate(const fault& each, const std::string& name);
  void step_clock(const fault& each);
  // Calls `end` once: after `duration` microseconds, or when the move ends if the fault lasts no longer than
  // that.
  void schedule_end(const fault& each, std::int64_t duration, std::function<void()> end);
  // If a move has begun, injects one of the faults that wait for it; if one has ended, ends the faults that
  // end with it.
  void check_move();
  void restart_client(const std::string& name);
  void record(const fault& each, const std::string& target);
  void run_until(std::int64_t moment);

  simulator::world& world_;
  cluster& group_;
  std::vector<std::string> clients_;
  std::function<void(const std::string&)> start_client_;
  std::multimap<std::int64_t, std::function<void()>> ends_;  // by virtual time
  std::vector<fault> waiting_for_move_;
  std::vector<std::function<void()>> move_ends_;
  bool move_in_progress_ = false;
  std::vector<std::string> events_;
};

}  // namespace herontally::model
