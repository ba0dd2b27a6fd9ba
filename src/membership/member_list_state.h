// Internal to the membership package.
#pragma once
#include <set>

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
  microseconds since = 0;      // of the latest update
  std::uint64_t checksum = 0;  // the entry's part of the list's; 0 for a member that isn't live
  std::size_t position = 0;    // in `names`
  std::int64_t version = 0;    // of the list, when the entry changed last
};

// Whether an update replaces what is known of the same member: a newer incarnation wins, then a refutation
// over what it refutes, then the worse status.
bool supersedes(const rpc::member& update, const rpc::member& known);

// An entry that is still to be passed on; those that were sent least often come first.
struct pending_update {
  int times_sent = 0;
  std::string name;
  auto operator<=>(const pending_update&) const = default;
};

// Besides the entries themselves there is an index for each kind of periodic work, so that a period costs the
// same in a large fleet as in a small one.
struct member_list::state : std::enable_shared_from_this<member_list::state> {
  rpc::endpoint endpoint;
  rpc::member self;
  std::vector<std::string> seeds;
  probe_options options;
  std::map<std::string, entry> entries;            // by name
  std::vector<std::string> names;                  // of all entries, for draws
  std::set<std::string> not_alive;                 // names of members that are suspected or have ended
  std::map<std::int64_t, std::string> by_version;  // names by the versions of their latest changes
  std::set<pending_update> pending;                // updates that haven't spread yet
  int max_times_sent = 0;                          // that `pending` was made for
  std::uint64_t live_checksum = 0;                 // sum over the live entries
  std::vector<std::string> probe_order;            // names that are still to be probed in this turn
  std::function<void(const rpc::member&)> on_change;
  bool leaving = false;
  std::int64_t first_version = 0, version = 0;
  // Entries that the periodic work has gone through since `count_examined`.
  mutable std::size_t examined = 0;

  state(rpc::endpoint from, rpc::member own, std::vector<std::string> given_seeds, probe_options given)
      : endpoint(std::move(from)), self(std::move(own)), seeds(std::move(given_seeds)), options(given) {}

  // The member list.
  void put(const rpc::member& member);
  void apply(const rpc::member& update);
  // Takes what a message brought. Rows of a full exchange aren't passed on one by one: whoever lacks them
  // exchanges all rows as well, and in a large fleet that has just started there are too many.
  void apply_all(const std::vector<rpc::member>& updates);
  void stop_spreading(const std::string& name);
  void refute(const rpc::member& suspicion);
  void suspect(const std::string& name, std::int64_t incarnation);
  // Suspects whose time is over are dead; members that ended long ago are forgotten.
  void expire();
  void forget(const std::string& name);
  // Over the live members. The others are left out: nodes forget them at different times. Never 0, which
  // stands for no checksum; peers compare theirs with it.
  std::int64_t checksum() const;
  // Adds what was examined to the metric of that name.
  void count_examined() const;
  // What to tell another node: all members, or those whose updates have spread least.
  std::vector<rpc::member> choose_updates(bool full);

  // Entries that a node lacks, or has older, whose whole list these rows are.
  std::vector<rpc::member> updates_beyond(const std::vector<rpc::member>& rows);
  // The inner address of a drawn member, whatever its status; empty if the draw fell on this node.
  std::string draw_address();
  // Up to so many addresses of members that are alive, without this node and without `except`.
  std::vector<std::string> draw_alive(std::size_t limit, const std::string& except);

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
  void index(const std::string& name, entry& put);
  void fit_pending_to_size();
  std::vector<rpc::member> all_updates();

  std::size_t next_seed_ = 0;
};

}  // namespace herontally::membership
