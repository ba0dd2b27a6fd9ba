// Internal to the proxy: follows the agent's configuration, engine list and membership over loopback.
//
// Invariants: a lower revision never replaces a higher one; the freshness is counted from our request, never
// from the reply.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

// What an update from the agent brought.
struct update_changes {
  bool configuration = false;
  bool members = false;
};

class config_follower : public std::enable_shared_from_this<config_follower> {
 public:
  // Called after each reply.
  using update_handler = std::function<void(const rpc::config_update_reply& reply, update_changes changed)>;
  config_follower(std::shared_ptr<context> shared, update_handler on_update)
      : context_(std::move(shared)), on_update_(std::move(on_update)) {}
  // Runs until the process stops.
  task<> run();

 private:
  rpc::config_update_request next_request() const;
  void take(const rpc::config_update_reply& reply, microseconds asked);
  bool take_config(const rpc::config_update_reply& reply);
  // Whether any row changed.
  bool take_members(const rpc::config_update_reply& reply);
  void update_ranks();
  std::int64_t revision() const { return context_->config ? context_->config->revision : 0; }

  std::shared_ptr<context> context_;
  update_handler on_update_;
  std::int64_t engines_epoch_ = 0, engines_sequence_ = 0, members_version_ = 0;
  std::string agent_name_;
};

}  // namespace herontally::proxy
