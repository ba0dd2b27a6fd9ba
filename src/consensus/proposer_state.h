// Internal to the consensus package: one proposer's state and the results of its rounds.
#pragma once
#include <unordered_map>

#include "consensus/proposer.h"
#include "consensus/send_window.h"

namespace herontally::consensus {

// Long enough for a slow disk sync, short enough that a frozen voter doesn't cost a request its deadline.
constexpr runtime::microseconds round_timeout = 600 * runtime::millisecond;

// What came of one request to every voter.
struct round_result {
  bool quorum = false;           // a quorum said ok
  bool ballot_outdated = false;  // some voter has promised a higher ballot
  bool view_changed = false;     // some voter has a newer view
  bool disk_full = false;
  rpc::ballot highest;                   // that any voter named
  std::vector<rpc::vote_reply> replies;  // those that said ok
  std::size_t missed = 0;                // voters that had not said ok when the round ended
};

// What this proposer committed last under a key, and the ballot that a quorum has promised it for the next
// time.
struct promised_ballot {
  rpc::ballot next;
  std::int64_t view = 0;
  std::string value;
};

// Promised ballots by key, the least recently used given up in halves: entries live in the young generation,
// which takes the place of the old one when it is full.
class promised_ballots {
 public:
  void put(const std::string& key, promised_ballot entry);
  // Removes and returns the entry: a promise can be used once.
  std::optional<promised_ballot> take(const std::string& key);

 private:
  std::unordered_map<std::string, promised_ballot> young_, old_;
};

// The search for a newer view. There is one at a time, for all that wait for a view: in an outage every
// change of every node would ask all voters otherwise, again and again.
struct view_search {
  bool under_way = false;
  std::vector<runtime::slot<bool>> waiting;  // set when the search ends
  runtime::microseconds earliest = 0;        // when the next one may begin
  runtime::microseconds pause = 0;           // after the last one; it grows while nothing is found
};

struct proposer::state : std::enable_shared_from_this<proposer::state> {
  rpc::endpoint endpoint;
  std::string group;
  view current;
  std::function<std::vector<std::string>()> seeds;
  std::int64_t identity;          // second part of this proposer's ballots
  std::int64_t counter = 0;       // of its last ballot
  std::int64_t highest_seen = 0;  // counter of any ballot that a voter named
  bool identity_refused = false;  // a voter has another identity than the view says
  view_search search;
  // Voters that are being sent a view, with its number: however many rounds meet the old one, it goes out
  // once.
  std::set<std::pair<std::string, std::int64_t>> views_under_way;
  send_window window;
  promised_ballots promised;

  state(rpc::endpoint from, std::string name);
  void learn(const view& seen);
  runtime::task<round_result> run_round(rpc::vote_request request, view used, runtime::microseconds deadline);
  void note_reply(const view& used, const std::string& voter, const rpc::vote_reply& reply,
                  round_result& result);
  // Begins a search for a newer view, unless one is under way.
  void start_search();
  runtime::task<> search_view();
  // Learns the view that this node has installed.
  runtime::task<> ask_view(std::string address, runtime::mailbox<bool> answered);
  // The voters of the known view, and others drawn from the seeds.
  std::vector<std::string> addresses_to_search();
  void end_search(bool found);
  rpc::vote_request prepare_request(const std::string& key, bool urgent);
  // Sends the view to a voter that missed its installation.
  void send_view(const view& chosen, const std::string& id);
  runtime::task<> install_view(std::string address, std::string id, view chosen);

  // One attempt of a change with both rounds. Nothing: try again.
  struct attempt {
    bool may_be_written = false;
    bool refresh_first = false;  // before the next attempt
  };
  runtime::task<std::optional<change_result>> try_change(std::string key, mutator next, bool urgent,
                                                         runtime::microseconds deadline,
                                                         std::shared_ptr<attempt> so_far);
  // Uses up the promise for this key, if there is one. Nothing: both rounds are needed.
  runtime::task<std::optional<std::string>> change_by_promise(std::string key, mutator next, bool urgent,
                                                              runtime::microseconds deadline,
                                                              std::shared_ptr<attempt> so_far);
  void keep_promise(const std::string& key, const rpc::vote_request& request, const round_result& accepted);
  void count_missed(const round_result& accepted);
};

}  // namespace herontally::consensus
