// Internal to the agent: tracks the local proxy by its polls, and serves configuration updates to the proxy
// and to peer agents. config_feed fetches these updates.
#pragma once
#include "agent/config_feed.h"

namespace herontally::agent {

class proxy_link : public std::enable_shared_from_this<proxy_link> {
 public:
  proxy_link(std::shared_ptr<context> shared, std::shared_ptr<draining_watch> watch)
      : context_(std::move(shared)), watch_(std::move(watch)) {}
  // Sets the source of the configuration's age. Until then no configuration is confirmed.
  void set_feed(std::weak_ptr<config_feed> feed) { feed_ = std::move(feed); }
  // The revision that is in force on this machine: that of the proxy, or of the agent if no proxy serves.
  std::int64_t applied_revision() const;
  // Serves config_update_request, a long poll that the proxy and peer agents send.
  task<rpc::config_update_reply> serve(rpc::config_update_request request);
  // Maintains the proxy's entry in the membership, and announces the revision in force to the cores, until
  // the process stops. The entry shows which incarnation of the proxy is running; the validity of the proxy's
  // reservations depends on that.
  task<> run();

 private:
  void record_proxy_poll(const rpc::config_update_request& request);
  task<> announce_applied();
  // The rows of the member list that the proxy has.
  struct known_members {
    std::int64_t version = 0;
    bool takes_changes = false;  // the proxy can merge rows that changed since that version
  };
  void add_members(rpc::config_update_reply& reply, known_members known) const;
  void update_proxy_entry();

  std::shared_ptr<context> context_;
  std::shared_ptr<draining_watch> watch_;
  std::weak_ptr<config_feed> feed_;
  std::string proxy_name_, proxy_address_;  // empty until the proxy polls
  std::int64_t proxy_incarnation_ = 0, proxy_revision_ = 0;
  std::int64_t announced_revision_ = 0;
  microseconds last_polled_ = -1;  // time of the proxy's latest poll; -1: none yet
};

}  // namespace herontally::agent
