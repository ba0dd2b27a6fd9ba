// Which nodes run: a member list kept by gossip and failure detection, after SWIM (Das, Gupta, Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): direct probes,
// indirect probes through third parties, suspicion before a member is declared dead, and incarnations to
// refute a suspicion.
//
// It steers routing, singleton roles and proposals of new voters. Safety never rests on it.
#pragma once
#include "rpc/endpoint.h"
#include "settings/settings.h"

namespace herontally::membership {

// Microseconds, but for the last one.
struct probe_options {
  runtime::microseconds period = 200 * runtime::millisecond;  // between two probes
  runtime::microseconds direct_timeout = 250 * runtime::millisecond;
  runtime::microseconds indirect_timeout = 450 * runtime::millisecond;
  runtime::microseconds suspicion_timeout = 1200 * runtime::millisecond;  // until a suspect is declared dead
  runtime::microseconds retention = 300 * runtime::second;  // of members that are dead or have left
  int indirect_probes = 3;
};

// Copies share one state.
class member_list {
 public:
  // `seeds` are inner addresses of nodes that are asked for the list at the start, and now and then.
  member_list(rpc::endpoint endpoint, rpc::member self, std::vector<std::string> seeds,
              probe_options options = {});
  // Answers probes and begins to probe.
  void start();
  // Announces to a few others that this node shuts down, and stops probing.
  runtime::task<> leave();

  const rpc::member& self() const;
  // In the order of names, which all nodes share.
  std::vector<rpc::member> all() const;
  // Those of the role that are alive or only suspected, in the same order.
  std::vector<rpc::member> live(rpc::node_role role) const;
  std::optional<rpc::member> find(const std::string& name) const;
  // Whether this incarnation of the node is known to have ended.
  bool has_ended(const std::string& name, std::int64_t incarnation) const;
  // Called when a member joins, ends, or begins a new incarnation.
  void on_change(std::function<void(const rpc::member&)> handler);
  // Takes updates that came outside the probes, such as an agent's on its proxy.
  void apply_updates(const std::vector<rpc::member>& updates);
  // The entries that changed after this version, in the order of their changes; nothing if the version isn't
  // one of this list's, so that only the whole list will do. Entries that were forgotten aren't among them.
  std::optional<std::vector<rpc::member>> changed_since(std::int64_t version) const;
  // Grows with every change of an entry, and from one incarnation of this node to the next.
  std::int64_t version() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Members from a JSON array; empty if it can't be read.
std::vector<rpc::member> members_from_text(const std::string& text);
// A process's own entry, as its settings describe it.
rpc::member own_entry(const settings::settings& place, rpc::node_role role);

}  // namespace herontally::membership
