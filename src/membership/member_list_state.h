// Internal to the membership package.
#pragma once
#include "membership/member_list.h"

namespace herontally::membership {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Piggybacked on a probe or its reply.
constexpr std::size_t max_updates_per_message = 14;

// A member and how far its latest update has spread.
struct entry {
  rpc::member member;
  int times_sent = 0;
  microseconds since = 0;  // of the latest update
};

// Whether an update replaces what is known of the same member: a newer incarnation wins, then a refutation
// over what it refutes, then the worse status.
bool supersedes(const rpc::member& update, const rpc::member& known);

struct member_list::state : std::enable_shared_from_this<member_list::state> {
  rpc::endpoint endpoint;
  rpc::member self;
  std::vector<std::string> seeds;
  probe_options options;
  std::map<std::string, entry> entries;  // by name
  std::vector<std::string> probe_order;  // names that are still to be probed in this turn
  std::function<void(const rpc::member&)> on_change;
  bool leaving = false;
  std::int64_t version = 0;
  // Entries that the periodic work has gone through since `report_visits`.
  mutable std::size_t visited = 0;

  state(rpc::endpoint from, rpc::member own, std::vector<std::string> given_seeds, probe_options given)
      : endpoint(std::move(from)), self(std::move(own)), seeds(std::move(given_seeds)), options(given) {}

  // The member list.
  void put(const rpc::member& member);
  void apply(const rpc::member& update);
  void refute(const rpc::member& suspicion);
  void suspect(const std::string& name, std::int64_t incarnation);
  // Suspects whose time is over are dead; members that ended long ago are forgotten.
  void expire();
  // Over the live members. The others are left out: nodes forget them at different times. Never 0, which
  // stands for no checksum; peers compare theirs with it.
  std::int64_t checksum() const;
  // Adds what was visited to the metric of that name.
  void report_visits() const;
  // What to tell another node: all members, or those whose updates have spread least.
  std::vector<rpc::member> choose_updates(bool full);

  // The failure detector.
  std::optional<rpc::member> next_target();
  task<rpc::probe_reply> serve_probe(rpc::probe_request request);
  // Whether the node at this address answered. A `full` probe exchanges all members if the checksums differ.
  task<bool> probe(std::string address, bool full, microseconds timeout);
  task<> probe_member(rpc::member target);
  task<bool> probe_indirectly(rpc::member target);
  task<> probe_someone_fully(std::optional<rpc::member> target);
  task<> probe_forever();

 private:
  std::size_t next_seed_ = 0;
};

}  // namespace herontally::membership
