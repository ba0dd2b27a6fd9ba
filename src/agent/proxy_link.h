// Internal to the agent: its proxy, as the agent's polls show it; serves config updates to it and to peers.
#pragma once
#include "agent/config_feed.h"

namespace herontally::agent {

class proxy_link : public std::enable_shared_from_this<proxy_link> {
 public:
  proxy_link(std::shared_ptr<context> shared, std::shared_ptr<draining_watch> watch)
      : context_(std::move(shared)), watch_(std::move(watch)) {}
  void set_feed(std::weak_ptr<config_feed> feed) { feed_ = std::move(feed); }
  // The revision that is in force on this machine.
  std::int64_t applied_revision() const;
  // Serves config_update_request, which the proxy and other agents send.
  task<rpc::config_update_reply> serve(rpc::config_update_request request);
  // Keeps the proxy's entry in the membership, and tells the cores what is in force, until the process stops.
  // The entry tells which of the proxy's incarnations goes on: its reservations hang on that.
  task<> run();

 private:
  void note_proxy(const rpc::config_update_request& request);
  task<> announce_applied();
  // Which rows of the membership the proxy has.
  struct known_members {
    std::int64_t version = 0;
    bool takes_changes = false;  // it can merge rows that changed since
  };
  void add_members(rpc::config_update_reply& reply, known_members known) const;
  void update_entry();

  std::shared_ptr<context> context_;
  std::shared_ptr<draining_watch> watch_;
  std::weak_ptr<config_feed> feed_;
  std::string name_, inner_;  // of the proxy; empty until it polls
  std::int64_t incarnation_ = 0, revision_ = 0;
  std::int64_t announced_revision_ = 0;
  microseconds seen_ = -1;
};

}  // namespace herontally::agent
