// Catch-up of a voter under a joint view: fetches the records of a majority of the previous voters, many
// records in a message. It doesn't end the joint view; the reconfiguration package does. Internal to the
// replication package.
//
// Why no chosen value is missed: each source has the joint view installed when it lists its records, so it no
// longer accepts anything under the previous view. A value that was chosen under the previous view was
// accepted by a majority, which shares a voter with the majority of sources, and the copy with the highest
// accepted ballot is stored. Values written under the joint view need a majority of the new voters in any
// case.
//
// Promises are copied too. Consider a ballot of the previous view that was prepared at a majority but
// accepted by few voters or none: if a later view then chose a value under a lower ballot, the old ballot
// would outrank that value.
//
// A copy is stored by the rule for a late accept: not if its ballot is lower than one that this voter has
// promised. The reply lists the records that were refused for this reason, and the requester runs a round for
// each of them.
#pragma once
#include <deque>

#include "replication/replica.h"

namespace herontally::replication {

// Runs the catch-up of one voter, for one joint view at a time.
class catch_up : public std::enable_shared_from_this<catch_up> {
 public:
  explicit catch_up(std::shared_ptr<replica> self) : replica_(std::move(self)) {}
  // Serves catch_up_request. A request during a run for the same view shares its result. A request after a
  // completed run is answered at once, since a value that was chosen since then is at a majority of the new
  // voters. Status `failed` if the request names another voter or view than the installed joint one, if a run
  // for another view is in progress, or if the sources failed.
  runtime::task<rpc::catch_up_reply> serve(rpc::catch_up_request request);
  // Forgets the completed run. Called after the records were wiped.
  void reset() { completed_ = {}; }

 private:
  // Records whose copies were refused because this voter has promised a higher ballot.
  using refused_records = std::shared_ptr<std::set<std::string>>;
  struct source_result {
    std::string voter;
    bool complete = false;  // all its records are stored here
  };
  struct completed_run {
    std::int64_t view = 0;
    rpc::catch_up_reply reply;
  };

  runtime::task<> run(consensus::view joint);
  runtime::task<bool> fetch_majority(consensus::view joint, refused_records refused);
  // Fetches from one source and pushes the result.
  runtime::task<> run_source(consensus::voter_info source, std::int64_t view, refused_records refused,
                             runtime::mailbox<source_result> results);
  // The records that one call of fetch_records has added to `fetching_`.
  struct claimed_records {
    std::vector<std::string> records;
  };
  runtime::task<bool> fetch_all(consensus::voter_info source, std::int64_t view, refused_records refused);
  runtime::task<std::optional<std::size_t>> fetch_missing(consensus::voter_info source, std::int64_t view,
                                                          refused_records refused);
  runtime::task<std::optional<std::size_t>> fetch_records(consensus::voter_info source, std::int64_t view,
                                                          std::deque<std::string> records,
                                                          refused_records refused,
                                                          std::shared_ptr<claimed_records> claimed);
  std::vector<std::string> claim_page(std::deque<std::string>& records, std::size_t& deferred);
  // Whether the source has the record with a higher ballot than this voter, or this voter lacks it.
  bool is_missing(const std::string& record, const replica_storage::cell_ballots& listed) const;
  // Queues a fetched record for the disk. The slot is set to true once it is durable or was refused.
  runtime::slot<bool> store_copy(const std::string& record, std::string bytes, refused_records refused);

  std::shared_ptr<replica> replica_;
  std::int64_t running_view_ = 0;   // view number of the run in progress; 0 if there is none
  std::set<std::string> fetching_;  // requested from a source and not yet durable here
  std::vector<runtime::slot<rpc::catch_up_reply>> waiters_;
  completed_run completed_;
};

}  // namespace herontally::replication
