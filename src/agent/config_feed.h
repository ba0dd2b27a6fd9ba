// Internal to the agent: learns the configuration and the engine list, from a core or, without one, from
// peers.
//
// A configuration is served only as long as its freshness is known; see config_distribution/freshness.h.
#pragma once
#include "agent/draining_watch.h"

namespace herontally::agent {

class config_feed : public std::enable_shared_from_this<config_feed> {
 public:
  // `applied_revision` tells which revision is in force on this machine.
  config_feed(std::shared_ptr<context> shared, std::shared_ptr<draining_watch> watch,
              std::function<std::int64_t()> applied_revision)
      : context_(std::move(shared)),
        watch_(std::move(watch)),
        applied_revision_(std::move(applied_revision)) {}
  // Polls one core after the other, until the process stops.
  task<> follow_core();
  // Asks the other edges when no core is heard, until the process stops.
  task<> follow_peers();
  // Milliseconds since the moment up to which every acknowledged change is known here; -1: unknown.
  std::int64_t age_milliseconds() const;

 private:
  void learn(const rpc::config_update_reply& reply, const std::string& source);
  void learn_from_core(const rpc::config_update_reply& reply, microseconds asked);
  void learn_from_peer(const rpc::member& peer, const rpc::config_update_reply& reply, microseconds asked);
  rpc::config_update_request update_request() const;
  std::string next_core();
  std::vector<rpc::member> peers_to_ask();
  task<> ask_peer(rpc::member peer);

  std::shared_ptr<context> context_;
  std::shared_ptr<draining_watch> watch_;
  std::function<std::int64_t()> applied_revision_;
  std::vector<std::string> edges_;  // all that the configuration lists, also while the set changes
  std::vector<std::string> cores_;  // addresses of those that are live, as of this version of the membership
  std::int64_t cores_version_ = -1;
  std::size_t core_number_ = 0;
};

}  // namespace herontally::agent
