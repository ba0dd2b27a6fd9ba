#include "replication/catch_up.h"

#include <algorithm>

#include "runtime/breaks.h"

namespace herontally::replication {

using consensus::view;
using consensus::voter_info;
using replica_storage::cell;
using replica_storage::command;
using replica_storage::commit_result;
using replica_storage::staged_changes;
using rpc::reply_status;
using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

namespace {

constexpr microseconds page_timeout = 1500 * millisecond;
// After this time without a result the next source is asked as well.
constexpr microseconds slow_source_timeout = 1000 * millisecond;
constexpr std::size_t max_page_records = 256;
// Delay before checking again the records that were left to another source.
constexpr microseconds deferred_delay = 50 * millisecond;
constexpr std::int64_t max_listed_records = 1000;
// Limit of copies that aren't durable yet. Beyond it the next page waits until they are.
constexpr std::size_t max_unsynced_bytes = 512 << 10;

// Merges a copy of a register into this voter's cell by the acceptor's rule. False if the copy was refused
// because this voter has promised a higher ballot.
bool merge_copy(const cell& copy, cell& own) {
  bool newer = copy.accepted > own.accepted;
  bool refused = newer && copy.accepted < own.promised;
  if (newer && !refused) {
    own.promised = own.accepted = copy.accepted;
    own.value = copy.value;
  }
  if (!broken("fill_promise")) own.promised = std::max(own.promised, copy.promised);
  return !refused;
}

}  // namespace

runtime::slot<bool> catch_up::store_copy(const std::string& record, std::string bytes,
                                         refused_records refused) {
  runtime::slot<bool> done(replica_->endpoint.runtime());
  auto& bucket = replica_->records.bucket_for_write(record, bytes.size());
  command take;
  take.urgent = true;
  take.bytes = bytes.size();
  take.apply = [&bucket, record, bytes = std::move(bytes), refused, done](staged_changes& staged) {
    if (!replica_storage::is_register(record)) {
      if (!bucket.contains(staged, record)) staged[record] = bytes;
    } else {
      auto stored = bucket.read(staged, record);
      cell own = stored ? replica_storage::unpack_cell(*stored) : cell{};
      bool taken = merge_copy(replica_storage::unpack_cell(bytes), own);
      if (!taken) refused->insert(record);
      staged[record] = replica_storage::pack(own);
    }
    return [done](commit_result result) { done.set(result == commit_result::durable); };
  };
  bucket.push(std::move(take));
  return done;
}

// Removes records from the front until it has a page of those that aren't being fetched from another source.
// Counts the other ones in `deferred`.
std::vector<std::string> catch_up::claim_page(std::deque<std::string>& records, std::size_t& deferred) {
  std::vector<std::string> page;
  while (!records.empty() && page.size() < max_page_records) {
    bool claimed = fetching_.insert(records.front()).second;
    if (claimed)
      page.push_back(std::move(records.front()));
    else
      ++deferred;
    records.pop_front();
  }
  return page;
}

// Fetches the records from the source. Returns how many were left to another source, or nullopt if this
// source or the disk failed.
task<std::optional<std::size_t>> catch_up::fetch_records(voter_info source, std::int64_t view,
                                                         std::deque<std::string> records,
                                                         refused_records refused,
                                                         std::shared_ptr<claimed_records> claimed) {
  auto self = shared_from_this();
  auto logger = self->replica_->endpoint.logger();
  std::vector<runtime::slot<bool>> pending_copies;
  std::size_t deferred = 0, unsynced_bytes = 0;
  bool all_durable = true;
  std::vector<std::string> page;
  while (!records.empty() || !page.empty()) {
    if (page.empty()) {
      page = self->claim_page(records, deferred);
      claimed->records.insert(claimed->records.end(), page.begin(), page.end());
      continue;
    }
    rpc::read_records_request request{source.id, view, page};
    auto result = co_await self->replica_->endpoint.call(source.address, std::move(request), page_timeout);
    auto* reply = std::get_if<rpc::read_records_reply>(&result);
    bool usable = reply && reply->status == reply_status::ok && !reply->values.empty();
    if (!usable) co_return std::nullopt;
    std::size_t fetched = std::min(page.size(), reply->values.size());
    logger.count("herontally_catch_up_records_total", static_cast<double>(fetched));
    for (std::size_t position = 0; position < fetched; ++position) {
      auto& value = reply->values[position];
      unsynced_bytes += value.size();
      // An empty value means that the record was removed after it was listed; it is no longer needed.
      if (!value.empty())
        pending_copies.push_back(self->store_copy(page[position], std::move(value), refused));
    }
    if (unsynced_bytes > max_unsynced_bytes) {
      bool durable = co_await runtime::all_true(std::exchange(pending_copies, {}));
      all_durable = all_durable && durable;
      unsynced_bytes = 0;
    }
    page.erase(page.begin(), page.begin() + static_cast<std::ptrdiff_t>(fetched));
  }
  bool durable = co_await runtime::all_true(std::move(pending_copies));
  if (!all_durable || !durable) co_return std::nullopt;
  co_return deferred;
}

bool catch_up::is_missing(const std::string& record, const replica_storage::cell_ballots& listed) const {
  if (!replica_storage::is_register(record)) return !replica_->records.contains(record);
  auto stored = replica_->records.read(record);
  if (!stored) return true;
  auto own = replica_storage::unpack_ballots(*stored);
  return listed.accepted > own.accepted || listed.promised > own.promised;
}

// Lists all records of the source once and fetches those that are missing here. Returns how many were left to
// other sources, which bring their own copies of them, or nullopt if this source failed.
task<std::optional<std::size_t>> catch_up::fetch_missing(voter_info source, std::int64_t view,
                                                         refused_records refused) {
  auto self = shared_from_this();
  constexpr std::int64_t any_range = -1;
  std::string after;
  std::size_t deferred = 0;
  while (self->replica_->current_view.number == view) {
    rpc::list_records_request request{source.id, after, max_listed_records, any_range, view};
    auto result = co_await self->replica_->endpoint.call(source.address, std::move(request), page_timeout);
    auto* reply = std::get_if<rpc::list_records_reply>(&result);
    if (!reply || reply->status != reply_status::ok) co_return std::nullopt;
    std::deque<std::string> missing;
    for (std::size_t position = 0; position < reply->keys.size() && position < reply->ballots.size();
         ++position) {
      replica_storage::cell_ballots listed;
      listed.accepted = reply->ballots[position];
      if (position < reply->promised.size()) listed.promised = reply->promised[position];
      if (self->is_missing(reply->keys[position], listed)) missing.push_back(reply->keys[position]);
    }
    auto claimed = std::make_shared<claimed_records>();
    auto left = co_await self->fetch_records(source, view, std::move(missing), refused, claimed);
    for (auto& record : claimed->records) self->fetching_.erase(record);
    if (!left) co_return std::nullopt;
    deferred += *left;
    if (!reply->more || reply->keys.empty()) co_return deferred;
    after = reply->keys.back();
  }
  co_return std::nullopt;
}

// Repeats until no record was left to another source: the other sources' copies may be older than this one's,
// or may not have arrived.
task<bool> catch_up::fetch_all(voter_info source, std::int64_t view, refused_records refused) {
  auto self = shared_from_this();
  while (true) {
    auto deferred = co_await self->fetch_missing(source, view, refused);
    if (!deferred) co_return false;
    if (*deferred == 0) co_return true;
    co_await self->replica_->endpoint.runtime().sleep(deferred_delay);
  }
}

task<> catch_up::run_source(voter_info source, std::int64_t view, refused_records refused,
                            runtime::mailbox<source_result> results) {
  auto self = shared_from_this();
  std::string voter = source.id;
  bool complete = co_await self->fetch_all(std::move(source), view, std::move(refused));
  results.push({voter, complete});
}

// Sources are started one after the other, since the first one brings nearly everything. If a source is slow
// the next one is started as well, so that one slow disk or machine doesn't delay the catch-up. Concurrent
// sources share the records between them.
task<bool> catch_up::fetch_majority(view joint, refused_records refused) {
  auto self = shared_from_this();
  auto runtime = self->replica_->endpoint.runtime();
  auto& own_id = self->replica_->identity;
  std::set<std::string> complete;
  auto is_complete = [&complete](const std::string& voter) { return complete.contains(voter); };
  // A voter that stays is itself one of the previous voters, and counts as a complete source.
  if (consensus::contains(joint.previous_voters, own_id)) complete.insert(own_id);
  std::vector<voter_info> sources;
  for (auto& voter : joint.previous_voters)
    if (voter.id != own_id) sources.push_back(voter);
  // A random first source, so that several joining voters don't all start with the same one.
  auto first = sources.empty() ? 0 : runtime.draw(sources.size());
  std::rotate(sources.begin(), sources.begin() + static_cast<std::ptrdiff_t>(first), sources.end());
  runtime::mailbox<source_result> results(runtime);
  std::size_t begun = 0, ended = 0;
  while (!consensus::has_majority(joint.previous_voters, is_complete)) {
    if (begun == sources.size() && ended == begun) co_return false;
    if (begun < sources.size())
      runtime.spawn(self->run_source(sources[begun++], joint.number, refused, results));
    auto result = co_await results.pop(begun < sources.size() ? slow_source_timeout : page_timeout);
    if (self->replica_->current_view.number != joint.number) co_return false;
    if (!result) continue;
    ++ended;
    if (result->complete) complete.insert(result->voter);
  }
  co_return true;
}

task<> catch_up::run(view joint) {
  auto self = shared_from_this();
  auto refused = std::make_shared<std::set<std::string>>();
  bool done = co_await self->fetch_majority(joint, refused);
  rpc::catch_up_reply reply;
  bool current = self->replica_->current_view.number == joint.number;
  reply.status = done && current ? reply_status::ok : reply_status::failed;
  reply.refused.assign(refused->begin(), refused->end());
  auto waiting = std::exchange(self->waiters_, {});
  self->running_view_ = 0;
  if (done) self->completed_ = {joint.number, reply};
  for (auto& waiter : waiting) waiter.set(reply);
}

task<rpc::catch_up_reply> catch_up::serve(rpc::catch_up_request request) {
  auto self = shared_from_this();
  auto& replica = *self->replica_;
  rpc::catch_up_reply refusal;
  refusal.status = reply_status::failed;
  bool names_installed_view =
      request.voter == replica.identity && request.view == replica.current_view.number;
  if (!names_installed_view || replica.wiping || !replica.current_view.joint()) co_return refusal;
  if (self->completed_.view == request.view) co_return self->completed_.reply;
  bool other_view_running = self->running_view_ != 0 && self->running_view_ != request.view;
  if (other_view_running) co_return refusal;
  runtime::slot<rpc::catch_up_reply> done(replica.endpoint.runtime());
  self->waiters_.push_back(done);
  if (self->running_view_ == 0) {
    self->running_view_ = request.view;
    replica.endpoint.runtime().spawn(self->run(replica.current_view));
  }
  co_return co_await done.wait();
}

}  // namespace herontally::replication
