// Internal to the membership module: the state that the member list (member_list.cc) and the failure detector
// (failure_detector.cc) share. Other modules use member_list.h.
#pragma once
#include <set>

#include "membership/member_list.h"

namespace herontally::membership {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Limit of the updates that are piggybacked on a probe or its reply. Only a full exchange sends more.
constexpr std::size_t max_updates_per_message = 14;

// A member and how often its latest update has been sent.
struct entry {
  rpc::member member;
  int times_sent = 0;
  microseconds since = 0;      // when the latest update was applied here
  std::uint64_t checksum = 0;  // this entry's share of the list's checksum; 0 if it isn't live
  std::size_t position = 0;    // in `names`
  std::int64_t version = 0;    // of the list at the entry's latest change
};

// Whether an update replaces the known entry of the same member. The higher incarnation wins, then the higher
// refutation number, then the more severe status.
bool supersedes(const rpc::member& update, const rpc::member& known);

// An update that is still to be passed on. Sorts those that were sent least often first.
struct pending_update {
  int times_sent = 0;
  std::string name;
  auto operator<=>(const pending_update&) const = default;
};

// Each kind of periodic work has its own index over the entries, so that the cost of a period doesn't grow
// with the number of members.
struct member_list::state : std::enable_shared_from_this<member_list::state> {
  rpc::endpoint endpoint;
  rpc::member self;
  std::vector<std::string> seeds;
  probe_options options;
  std::map<std::string, entry> entries;            // by name
  std::vector<std::string> names;                  // of all entries, for random selection
  std::set<std::string> not_alive;                 // names of members that are suspected, dead or left
  std::map<std::int64_t, std::string> by_version;  // names by the version of their latest change
  std::set<pending_update> pending;                // updates that are still to be sent
  int max_transmissions = 0;                       // per update, for the current size of the list
  std::uint64_t live_checksum = 0;                 // sum of the live entries' checksums
  std::vector<std::string> probe_order;            // names that are still to be probed in this round
  std::function<void(const rpc::member&)> on_change;
  bool leaving = false;
  std::int64_t first_version = 0, version = 0;
  // Entries that periodic work has examined since the last `count_examined`.
  mutable std::size_t examined = 0;

  state(rpc::endpoint from, rpc::member own, std::vector<std::string> given_seeds, probe_options given)
      : endpoint(std::move(from)), self(std::move(own)), seeds(std::move(given_seeds)), options(given) {}

  // The member list.
  // Stores the entry, updates every index, and makes the update pending.
  void put(const rpc::member& member);
  // Applies the update if it supersedes the known entry. An update about this node is refuted instead.
  void apply(const rpc::member& update);
  // Applies the updates of a message. Updates from a full exchange aren't passed on one by one: nodes that
  // lack them run full exchanges too, and in a large cluster that has just started there would be too many.
  void apply_all(const std::vector<rpc::member>& updates);
  // Sends the latest update of this entry no more.
  void stop_disseminating(const std::string& name);
  void refute(const rpc::member& suspicion);
  // Marks this incarnation as suspect if it is still known as alive.
  void suspect(const std::string& name, std::int64_t incarnation);
  // Declares members dead whose suspicion timed out, and removes members whose retention is over.
  void expire_members();
  void remove(const std::string& name);
  // Covers the live members, and is compared with those of peers. Ended members are left out, because nodes
  // remove them at different times. Never 0, which means that a request has no checksum.
  std::int64_t checksum() const;
  // Adds `examined` to the metric herontally_member_entries_examined_total and resets it.
  void count_examined() const;
  // Selects the updates to send to another node: all members if `full`, otherwise those sent least often.
  std::vector<rpc::member> choose_updates(bool full);

  // The entries that are missing or older in `rows`, which is the whole list of another node.
  std::vector<rpc::member> updates_beyond(const std::vector<rpc::member>& rows);
  // The inner address of a random member of any status; empty if this node itself was drawn.
  std::string random_address();
  // Inner addresses of up to `limit` random members that are alive, other than this node and `except`.
  std::vector<std::string> random_alive_addresses(std::size_t limit, const std::string& except);

  // The failure detector.
  // The next member to probe; nullopt if there is no other live member.
  std::optional<rpc::member> next_probe_target();
  task<rpc::probe_reply> serve_probe(rpc::probe_request request);
  // Probes the address and returns whether it answered. A `full` probe also exchanges all members if the
  // checksums differ. `timeout` applies to each request.
  task<bool> probe(std::string address, bool full, microseconds timeout);
  // Probes the member directly, then indirectly, and suspects it if neither reaches it.
  task<> probe_member(rpc::member target);
  task<bool> probe_indirectly(rpc::member target);
  // Runs a full probe with a random member or seed; always with a seed if there is no `target`.
  task<> exchange_with_random_peer(std::optional<rpc::member> target);
  // Runs until this node leaves.
  task<> run_failure_detector();

 private:
  // Adds an updated entry to the indexes.
  void index(const std::string& name, entry& updated);
  void raise_transmission_limit();
  std::vector<rpc::member> all_updates();

  std::size_t next_seed_ = 0;
};

}  // namespace herontally::membership
