// Internal to the agent: fetches the configuration and the engine list from a core or, if none can be
// reached, from peer agents. proxy_link serves them to the proxy.
//
// A configuration is served only while its freshness is confirmed; see config_distribution/freshness.h.
#pragma once
#include "agent/draining_watch.h"

namespace herontally::agent {

class config_feed : public std::enable_shared_from_this<config_feed> {
 public:
  // `applied_revision` returns the revision that is in force on this machine.
  config_feed(std::shared_ptr<context> shared, std::shared_ptr<draining_watch> watch,
              std::function<std::int64_t()> applied_revision)
      : context_(std::move(shared)),
        watch_(std::move(watch)),
        applied_revision_(std::move(applied_revision)) {}
  // Long-polls a core until the process stops, and switches to the next core when one fails or isn't up to
  // date.
  task<> poll_cores();
  // Polls peer agents while no core is reachable, until the process stops.
  task<> poll_peers();
  // Age of the configuration in milliseconds: every change acknowledged before then is known here; -1:
  // unknown.
  std::int64_t age_milliseconds() const;

 private:
  void apply_update(const rpc::config_update_reply& reply, const std::string& source);
  void apply_core_reply(const rpc::config_update_reply& reply, microseconds requested_at);
  void apply_peer_reply(const rpc::member& peer, const rpc::config_update_reply& reply,
                        microseconds requested_at);
  rpc::config_update_request update_request() const;
  std::string current_core_address();
  std::vector<rpc::member> select_peers();
  task<> poll_peer(rpc::member peer);

  std::shared_ptr<context> context_;
  std::shared_ptr<draining_watch> watch_;
  std::function<std::int64_t()> applied_revision_;
  std::vector<std::string> edges_;  // listed by the configuration, including the previous set during a change
  std::vector<std::string> cores_;  // addresses of the live cores
  std::int64_t cores_version_ = -1;  // of the member list that `cores_` was made from
  std::size_t core_index_ = 0;
};

}  // namespace herontally::agent
