// State of one proposer and the results of its rounds. Internal to the consensus package.
#pragma once
#include <unordered_map>

#include "consensus/proposer.h"
#include "consensus/send_window.h"

namespace herontally::consensus {

// Longest wait for one request to a voter: long enough for a slow disk sync, short enough that a frozen voter
// doesn't use up the deadline of a client request.
constexpr runtime::microseconds round_timeout = 600 * runtime::millisecond;

// Result of sending one request to every voter of a view.
struct round_result {
  bool quorum = false;                   // a quorum replied ok
  bool ballot_outdated = false;          // some voter has promised a higher ballot
  bool view_changed = false;             // a newer view than that of the round is known now
  bool disk_full = false;                // some voter has no disk capacity
  rpc::ballot highest;                   // highest ballot in any reply
  std::vector<rpc::vote_reply> replies;  // those with status ok
  std::size_t missed = 0;                // voters that had not replied ok when the round ended
};

// The value that this proposer committed last under a key, and the ballot that a quorum promised to it for
// its next change.
struct promised_ballot {
  rpc::ballot next;
  std::int64_t view = 0;  // number of the view under which it was promised
  std::string value;
};

// Bounded cache of promised ballots by key. Entries are added to the young generation; when that is full it
// replaces the old generation, whose entries are evicted.
class promised_ballot_cache {
 public:
  void put(const std::string& key, promised_ballot entry);
  // Removes and returns the entry, since a promised ballot can be used only once. Nullopt if there is none.
  std::optional<promised_ballot> take(const std::string& key);

 private:
  std::unordered_map<std::string, promised_ballot> young_, old_;
};

// State of the search for a newer view. All callers that wait for a view share one search; otherwise, in an
// outage of the voters, every change on every node would ask all voters again and again.
struct view_search {
  bool running = false;
  std::vector<runtime::slot<bool>> waiters;  // set when the search ends
  runtime::microseconds earliest_start = 0;  // steady time before which the next search must not start
  runtime::microseconds backoff = 0;  // minimum delay after the last search; grows while none finds a view
};

// Shared by the copies of a proposer.
struct proposer::state : std::enable_shared_from_this<proposer::state> {
  rpc::endpoint endpoint;
  std::string group;
  view current;
  std::function<std::vector<std::string>()> seeds;
  std::int64_t identity;          // second part of this proposer's ballots
  std::int64_t counter = 0;       // counter of its last ballot
  std::int64_t highest_seen = 0;  // highest counter of a ballot in a voter's reply
  bool identity_refused = false;  // a voter has another identity than the view says
  view_search search;
  // Installations in progress, as (voter id, view number). Many rounds may find that the same voter has an
  // old view; the new one is sent to it once at a time.
  std::set<std::pair<std::string, std::int64_t>> views_in_flight;
  send_window window;
  promised_ballot_cache promised;

  state(rpc::endpoint from, std::string name);
  void learn_view(const view& seen);
  // Sends the request to all voters of `used`. Returns once a quorum replied ok, or after the last reply or
  // the timeout.
  runtime::task<round_result> run_round(rpc::vote_request request, view used, runtime::microseconds deadline);
  // Adds a voter's reply to the result of the round, and learns or sends a view if the two have different
  // ones.
  void process_reply(const view& used, const std::string& voter, const rpc::vote_reply& reply,
                     round_result& result);
  // Starts a search for a newer view, unless one is running or there are no seeds.
  void start_search();
  runtime::task<> search_view();
  // Asks a node for its installed view and learns it. Pushes to `answered` whether the node replied.
  runtime::task<> request_view(std::string address, runtime::mailbox<bool> answered);
  // Addresses of the voters of the known view and of randomly chosen seeds.
  std::vector<std::string> addresses_to_search();
  // Sets the backoff and wakes the callers that wait for the search.
  void end_search(bool found);
  // A prepare request with a new ballot, higher than all ballots known here.
  rpc::vote_request prepare_request(const std::string& key, bool urgent);
  // Sends the view to a voter that missed its installation.
  void send_view(const view& chosen, const std::string& id);
  runtime::task<> install_view(std::string address, std::string id, view chosen);

  // State of one change across its attempts.
  struct change_progress {
    bool may_be_written = false;      // an accept with the new value was sent
    bool refresh_view_first = false;  // search for a newer view before the next attempt
  };
  // Makes one attempt at a change, with both rounds. Nullopt if the caller should try again.
  runtime::task<std::optional<change_result>> try_change(std::string key, mutator next, bool urgent,
                                                         runtime::microseconds deadline,
                                                         std::shared_ptr<change_progress> progress);
  // Makes one attempt with the accept round alone, using up the ballot that was promised for this key.
  // Returns the committed value, or nullopt if both rounds are needed.
  runtime::task<std::optional<std::string>> change_by_fast_path(std::string key, mutator next, bool urgent,
                                                                runtime::microseconds deadline,
                                                                std::shared_ptr<change_progress> progress);
  // Caches the ballot that all ok replies to the accept promised for the next change of the key.
  void cache_promised_ballot(const std::string& key, const rpc::vote_request& request,
                             const round_result& accepted);
  // Counts in a metric the voters that had not accepted when the round ended.
  void count_missed_voters(const round_result& accepted);
};

}  // namespace herontally::consensus
