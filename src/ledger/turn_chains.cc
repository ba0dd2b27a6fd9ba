// Writes turns under their ids, and reads chains of turns from the cache or the storage nodes.
#include <algorithm>
#include <limits>
#include <set>

#include "ledger/program_ledger_state.h"

namespace herontally::ledger {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

std::size_t turn_cache::size_of(const turn_record& record) {
  constexpr std::size_t overhead = 256;  // estimated memory of the containers for each record
  return record.id.size() * 2 + record.previous.size() + record.input.size() + record.output.size() +
         overhead;
}

const turn_record* turn_cache::find(const std::string& id) {
  auto found = index_.find(id);
  if (found == index_.end()) return nullptr;
  lru_.splice(lru_.begin(), lru_, found->second);
  return &lru_.front();
}

void turn_cache::add(turn_record record) {
  if (find(record.id) || size_of(record) > limit_bytes_) return;
  bytes_ += size_of(record);
  lru_.push_front(std::move(record));
  index_[lru_.front().id] = lru_.begin();
  while (bytes_ > limit_bytes_) {
    bytes_ -= size_of(lru_.back());
    index_.erase(lru_.back().id);
    lru_.pop_back();
  }
}

std::int64_t earliest_retention_end(const chain_result& chain) {
  auto earliest = std::numeric_limits<std::int64_t>::max();
  for (auto& turn : chain.turns) earliest = std::min(earliest, turn.retained_until);
  return earliest;
}

task<bool> program_ledger::keep_turn(turn_record record, microseconds deadline) {
  auto self = state_;
  bool kept = co_await self->proposer.put_content(turn_key(record.id), to_text(record), deadline, false);
  if (kept) self->cache.add(std::move(record));
  co_return kept;
}

task<chain_result> program_ledger::read_chain(std::string last, microseconds deadline) {
  auto self = state_;
  auto logger = self->proposer.endpoint().logger();
  chain_result result;
  std::set<std::string> seen;
  std::int64_t limit = 4;
  std::string next_id = last;
  while (!next_id.empty()) {
    // A cycle: the stored data is damaged, as the ledger writes none.
    if (!seen.insert(next_id).second) {
      logger.count("herontally_unreadable_records_total");
      co_return chain_result{};
    }
    auto* cached = self->cache.find(next_id);
    if (!cached) {
      logger.count("herontally_chain_fetches_total");
      auto fetched = co_await self->fetch(next_id, limit, deadline);
      if (fetched.status != chain_status::found) {
        fetched.turns.clear();
        co_return fetched;
      }
      // Earlier turns of the chain may be cached already, so the first request is small and later ones grow.
      limit *= 4;
      for (std::size_t position = 0; position < fetched.turns.size(); ++position) {
        auto& record = fetched.turns[position];
        if (position > 0) seen.insert(record.id);
        next_id = record.previous;
        self->cache.add(record);
        result.turns.push_back(std::move(record));
      }
      continue;
    }
    result.turns.push_back(*cached);
    next_id = cached->previous;
  }
  std::reverse(result.turns.begin(), result.turns.end());
  result.status = chain_status::found;
  co_return result;
}

namespace {

constexpr microseconds read_timeout = 600 * millisecond;
// If a voter hasn't answered after this delay, the next one is asked as well.
constexpr microseconds hedge_delay = 100 * millisecond;
constexpr microseconds reply_grace = 50 * millisecond;
constexpr microseconds retry_pause = 20 * millisecond;

struct chain_reply {
  std::string voter;
  std::optional<rpc::read_chain_reply> reply;  // nullopt if the call failed or timed out
};

task<> request_chain(rpc::endpoint endpoint, std::string address, rpc::read_chain_request request,
                     microseconds timeout, runtime::mailbox<chain_reply> replies) {
  chain_reply received;
  received.voter = request.voter;
  auto result = co_await endpoint.call(std::move(address), std::move(request), timeout);
  if (auto* reply = std::get_if<rpc::read_chain_reply>(&result)) received.reply = std::move(*reply);
  replies.push(std::move(received));
}

// Returns the record of turn `last` and the ones before it, as far as the reply contains them.
std::vector<turn_record> records_in(const rpc::read_chain_reply& reply, const std::string& last) {
  std::vector<turn_record> records;
  std::string expected = last;
  for (auto& body : reply.bodies) {
    auto record = turn_record_from_text(body);
    // A body that doesn't belong to the expected turn ends the usable part of the reply.
    if (!record || record->id != expected || expected.empty()) break;
    expected = record->previous;
    records.push_back(std::move(*record));
  }
  return records;
}

// Evaluates the replies of one round. A reply counts only for the voter id that was asked: a voter that
// lost its disk is no longer known under that id. A stored turn is held by a quorum of the view, so a quorum
// of voters that lack it proves that it is not stored. During a view change, this takes the majorities of
// both views.
class chain_replies {
 public:
  explicit chain_replies(const consensus::view& used) : view_(used) {}
  // Returns the round's result as soon as the replies determine it.
  std::optional<chain_result> add(const chain_reply& received, const std::string& last) {
    if (!received.reply) return std::nullopt;
    chain_result result;
    result.turns = records_in(*received.reply, last);
    if (!result.turns.empty()) {
      result.status = chain_status::found;
      return result;
    }
    bool is_missing = received.reply->status == rpc::reply_status::ok && received.reply->bodies.empty();
    if (is_missing) missing_at_.insert(received.voter);
    bool proven = view_.quorum([this](const std::string& id) { return missing_at_.contains(id); });
    if (!proven) return std::nullopt;
    result.status = chain_status::missing;
    return result;
  }

 private:
  const consensus::view& view_;
  std::set<std::string> missing_at_;
};

}  // namespace

// Starts at a random voter and asks the next one whenever `hedge_delay` passes or a reply arrives without a
// result.
task<std::optional<chain_result>> program_ledger::state::fetch_round(std::string last, std::int64_t limit,
                                                                     microseconds deadline) {
  auto self = shared_from_this();
  auto endpoint = self->proposer.endpoint();
  auto runtime = endpoint.runtime();
  consensus::view used = self->proposer.current_view();
  auto voters = used.all_voters();
  if (voters.empty()) co_return std::nullopt;
  std::size_t first = runtime.draw(voters.size()), asked = 0, received = 0;
  runtime::mailbox<chain_reply> replies(runtime);
  chain_replies replies_so_far(used);
  while (received < voters.size()) {
    microseconds time_left = deadline - runtime.now();
    if (time_left <= 0) break;
    if (asked < voters.size()) {
      auto& voter = voters[(first + asked) % voters.size()];
      ++asked;
      rpc::read_chain_request request{voter.id, turn_key(last), limit, used.number};
      runtime.spawn(request_chain(endpoint, voter.address, std::move(request),
                                  std::min(read_timeout, time_left), replies));
    }
    bool all_asked = asked == voters.size();
    microseconds wait = all_asked ? read_timeout + reply_grace : hedge_delay;
    auto reply = co_await replies.pop(std::min(wait, time_left));
    if (!reply && all_asked) break;
    if (!reply) continue;
    ++received;
    auto result = replies_so_far.add(*reply, last);
    if (result) co_return result;
  }
  co_return std::nullopt;
}

task<chain_result> program_ledger::state::fetch(std::string last, std::int64_t limit, microseconds deadline) {
  auto self = shared_from_this();
  auto runtime = self->proposer.endpoint().runtime();
  for (int round = 0; runtime.now() < deadline; ++round) {
    if (round > 0) co_await runtime.sleep(retry_pause);
    bool refresh = self->proposer.current_view().voters.empty() || round > 0;
    if (refresh) co_await self->proposer.refresh_view(deadline);
    auto result = co_await self->fetch_round(last, limit, deadline);
    if (result) co_return *result;
  }
  co_return chain_result{};
}

}  // namespace herontally::ledger
