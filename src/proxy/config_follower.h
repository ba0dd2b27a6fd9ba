// Internal to the proxy: polls the local agent over loopback for the configuration, the engine list and the
// member list, and keeps the context's copies up to date.
//
// Invariants: a lower revision never replaces a higher one; freshness is measured from the time of the
// request, never from the time of the reply.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

// What changed with an update from the agent.
struct update_changes {
  bool configuration = false;
  bool members = false;
};

class config_follower : public std::enable_shared_from_this<config_follower> {
 public:
  // Called after each reply has been applied.
  using update_handler = std::function<void(const rpc::config_update_reply& reply, update_changes changed)>;
  config_follower(std::shared_ptr<context> shared, update_handler on_update)
      : context_(std::move(shared)), on_update_(std::move(on_update)) {}
  // Polls until the process stops.
  task<> run();

 private:
  rpc::config_update_request next_request() const;
  // `requested_at` is the time at which the request was sent.
  void apply(const rpc::config_update_reply& reply, microseconds requested_at);
  // Whether the reply brought a newer configuration.
  bool apply_config(const rpc::config_update_reply& reply);
  // Whether the reply brought any member rows.
  bool apply_members(const rpc::config_update_reply& reply);
  void update_ranks();
  std::int64_t revision() const { return context_->config ? context_->config->revision : 0; }

  std::shared_ptr<context> context_;
  update_handler on_update_;
  std::int64_t engines_epoch_ = 0, engines_sequence_ = 0, members_version_ = 0;
  std::string agent_name_;  // of the member entry of the local agent; empty until it is listed
};

}  // namespace herontally::proxy
