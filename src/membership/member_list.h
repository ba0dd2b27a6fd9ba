// The list of running nodes, maintained by gossip and failure detection after SWIM (Das, Gupta, Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002): direct probes,
// indirect probes through third parties, suspicion before a member is declared dead, and incarnations to
// refute a suspicion.
//
// Routing, singleton roles and proposals of new voters use it as a hint. It is eventually consistent and may
// be wrong, so no safety property depends on it.
#pragma once
#include "rpc/endpoint.h"
#include "settings/settings.h"

namespace herontally::membership {

// Intervals and timeouts of the failure detector, in microseconds, and the number of indirect probes.
struct probe_options {
  runtime::microseconds period = 200 * runtime::millisecond;  // between two direct probes
  runtime::microseconds direct_timeout = 250 * runtime::millisecond;
  runtime::microseconds indirect_timeout = 450 * runtime::millisecond;
  runtime::microseconds suspicion_timeout = 1200 * runtime::millisecond;  // from suspect to dead
  runtime::microseconds retention = 300 * runtime::second;  // of the entries of dead and left members
  int indirect_probes = 3;                                  // members that probe an unreachable target
};

// The member list of one node. Copies share one state.
class member_list {
 public:
  // `seeds` are the inner addresses of nodes that the whole list is exchanged with at the start and, from
  // time to time, later. `self` is this node's own entry; an incarnation of 0 is replaced by the wall clock.
  member_list(rpc::endpoint endpoint, rpc::member self, std::vector<std::string> seeds,
              probe_options options = {});
  // Registers the handler of probes at the endpoint and starts the failure detector.
  void start();
  // Stops probing, and announces to up to four other members that this node shuts down.
  runtime::task<> leave();

  const rpc::member& self() const;
  // All entries, also of members that have ended, ordered by name. The order is the same on all nodes.
  std::vector<rpc::member> all() const;
  // The members of this role that are alive or suspected, ordered by name.
  std::vector<rpc::member> live(rpc::node_role role) const;
  // The entry of this name, whatever its status.
  std::optional<rpc::member> find(const std::string& name) const;
  // Whether this incarnation of the node is known to have ended.
  bool has_ended(const std::string& name, std::int64_t incarnation) const;
  // Sets the handler that is called when another member joins, ends, or starts a new incarnation. A later
  // call replaces it.
  void on_change(std::function<void(const rpc::member&)> handler);
  // Applies updates that don't come from probes, such as those that an agent makes for its proxy.
  void apply_updates(const std::vector<rpc::member>& updates);
  // The entries that changed after this version, in the order of their changes; nullopt if this list never
  // had that version, so that the caller needs the whole list. Entries removed since then aren't reported.
  std::optional<std::vector<rpc::member>> changed_since(std::int64_t version) const;
  // Increases with every change of an entry, and from one incarnation of this node to the next.
  std::int64_t version() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

// Parses a JSON array of members; empty if the text can't be read.
std::vector<rpc::member> members_from_text(const std::string& text);
// The entry of this process, as its settings describe it; the incarnation stays 0.
rpc::member self_entry(const settings::settings& node_settings, rpc::node_role role);

}  // namespace herontally::membership
