// A voter's catch-up under a joint view: it fetches from a majority of the previous voters, many records in a
// message. Internal to the replication package.
//
// Why nothing is missed: each source has the joint view when it lists its records, so that it takes nothing
// under the previous view any more. A value that was chosen there was accepted by a majority, which shares a
// voter with the majority of sources, and the highest ballot that any of them accepted is taken over.
// Promises are taken over too: a ballot of the previous view that was prepared at a majority, and accepted by
// few or none, must not be passed by a lower ballot of a later view, whose value it would then outrank. What
// is written under the joint view needs a majority of the new voters anyway. A copy is taken like a late
// accept: never under a ballot that is promised here. What that refuses is settled by rounds of its own.
#pragma once
#include <deque>

#include "replication/replica.h"

namespace herontally::replication {

class catch_up : public std::enable_shared_from_this<catch_up> {
 public:
  explicit catch_up(std::shared_ptr<replica> self) : replica_(std::move(self)) {}
  // Serves catch_up_request. A request that comes while one for the same view runs is answered with it; one
  // that comes after it ended is answered at once, since what was chosen meanwhile stands at a majority of
  // the new voters.
  runtime::task<rpc::catch_up_reply> serve(rpc::catch_up_request request);
  // Forgets what was fetched; after a wipe.
  void reset() { completed_ = {}; }

 private:
  // Records whose copy was refused for a promise of this voter's.
  using refused_records = std::shared_ptr<std::set<std::string>>;
  struct source_result {
    std::string voter;
    bool complete = false;  // all its records were taken over
  };
  struct completed_run {
    std::int64_t view = 0;
    rpc::catch_up_reply reply;
  };

  runtime::task<> run(consensus::view joint);
  runtime::task<bool> fetch_majority(consensus::view joint, refused_records refused);
  runtime::task<> report_source(consensus::voter_info source, std::int64_t view, refused_records refused,
                                runtime::mailbox<source_result> results);
  // What one call of fetch_records has put into `fetching_`.
  struct claimed_records {
    std::vector<std::string> records;
  };
  runtime::task<bool> fetch_all(consensus::voter_info source, std::int64_t view, refused_records refused);
  runtime::task<std::optional<std::size_t>> walk(consensus::voter_info source, std::int64_t view,
                                                 refused_records refused);
  runtime::task<std::optional<std::size_t>> fetch_records(consensus::voter_info source, std::int64_t view,
                                                          std::deque<std::string> records,
                                                          refused_records refused,
                                                          std::shared_ptr<claimed_records> claimed);
  std::vector<std::string> claim_page(std::deque<std::string>& records, std::size_t& deferred);
  // Whether a record as a source lists it is newer than ours.
  bool is_missing(const std::string& record, const replica_storage::cell_ballots& listed) const;
  runtime::slot<bool> take_copy(const std::string& record, std::string bytes, refused_records refused);

  std::shared_ptr<replica> replica_;
  std::int64_t running_view_ = 0;   // 0: none runs
  std::set<std::string> fetching_;  // asked for from some source, and not yet durable here
  std::vector<runtime::slot<rpc::catch_up_reply>> waiting_;
  completed_run completed_;
};

}  // namespace herontally::replication
