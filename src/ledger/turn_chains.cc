// Kept turns: put once under their ids, and read as chains from the cache or the stores.
#include <algorithm>
#include <limits>
#include <set>

#include "ledger/program_ledger_state.h"

namespace herontally::ledger {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

std::size_t turn_cache::size_of(const turn_record& record) {
  constexpr std::size_t around = 256;
  return record.id.size() * 2 + record.previous.size() + record.input.size() + record.output.size() + around;
}

const turn_record* turn_cache::find(const std::string& id) {
  auto found = places_.find(id);
  if (found == places_.end()) return nullptr;
  order_.splice(order_.begin(), order_, found->second);
  return &order_.front();
}

void turn_cache::add(turn_record record) {
  if (find(record.id) || size_of(record) > limit_) return;
  bytes_ += size_of(record);
  order_.push_front(std::move(record));
  places_[order_.front().id] = order_.begin();
  while (bytes_ > limit_) {
    bytes_ -= size_of(order_.back());
    places_.erase(order_.back().id);
    order_.pop_back();
  }
}

std::int64_t kept_until(const chain_result& chain) {
  auto earliest = std::numeric_limits<std::int64_t>::max();
  for (auto& turn : chain.turns) earliest = std::min(earliest, turn.kept_until);
  return earliest;
}

task<bool> program_ledger::keep_turn(turn_record record, microseconds deadline) {
  auto self = state_;
  bool kept = co_await self->stores.put_content(turn_key(record.id), to_text(record), deadline, false);
  if (kept) self->cache.add(std::move(record));
  co_return kept;
}

task<chain_result> program_ledger::read_chain(std::string last, microseconds deadline) {
  auto self = state_;
  auto logger = self->stores.endpoint().logger();
  chain_result result;
  std::set<std::string> seen;
  std::int64_t limit = 4;
  std::string wanted = last;
  while (!wanted.empty()) {
    // A ring of turns is nothing that we wrote.
    if (!seen.insert(wanted).second) {
      logger.count("herontally_unreadable_records_total");
      co_return chain_result{};
    }
    auto* cached = self->cache.find(wanted);
    if (!cached) {
      logger.count("herontally_chain_fetches_total");
      auto fetched = co_await self->fetch(wanted, limit, deadline);
      if (fetched.status != chain_status::found) {
        fetched.turns.clear();
        co_return fetched;
      }
      // What lies further back may be here already: little is asked for at first.
      limit *= 4;
      for (std::size_t position = 0; position < fetched.turns.size(); ++position) {
        auto& record = fetched.turns[position];
        if (position > 0) seen.insert(record.id);
        wanted = record.previous;
        self->cache.add(record);
        result.turns.push_back(std::move(record));
      }
      continue;
    }
    result.turns.push_back(*cached);
    wanted = cached->previous;
  }
  std::reverse(result.turns.begin(), result.turns.end());
  result.status = chain_status::found;
  co_return result;
}

namespace {

constexpr microseconds read_timeout = 600 * millisecond;
// A voter that answers late is not waited for alone: the next one is asked beside it.
constexpr microseconds hedge_delay = 100 * millisecond;
constexpr microseconds reply_grace = 50 * millisecond;
constexpr microseconds retry_pause = 20 * millisecond;

struct chain_reply {
  std::string voter;
  std::optional<rpc::read_chain_reply> reply;  // nothing: none came
};

task<> request_chain(rpc::endpoint endpoint, std::string address, rpc::read_chain_request request,
                     microseconds timeout, runtime::mailbox<chain_reply> replies) {
  chain_reply received;
  received.voter = request.voter;
  auto result = co_await endpoint.call(std::move(address), std::move(request), timeout);
  if (auto* reply = std::get_if<rpc::read_chain_reply>(&result)) received.reply = std::move(*reply);
  replies.push(std::move(received));
}

// The wanted turn's record and those before it, as far as they are in the reply.
std::vector<turn_record> records_in(const rpc::read_chain_reply& reply, const std::string& last) {
  std::vector<turn_record> records;
  std::string expected = last;
  for (auto& body : reply.bodies) {
    auto record = turn_record_from_text(body);
    // A body that isn't the wanted turn's is as good as none.
    if (!record || record->id != expected || expected.empty()) break;
    expected = record->previous;
    records.push_back(std::move(*record));
  }
  return records;
}

// What the replies of one round say. Only a voter of this view that was asked by its own id speaks for it:
// one that lost its disk is an unknown voter. A kept turn is at a quorum of the view, so that a quorum
// without it proves that it isn't kept; while a view changes that takes both majorities.
class chain_replies {
 public:
  explicit chain_replies(const consensus::view& used) : view_(used) {}
  std::optional<chain_result> add(const chain_reply& received, const std::string& last) {
    if (!received.reply) return std::nullopt;
    chain_result result;
    result.turns = records_in(*received.reply, last);
    if (!result.turns.empty()) {
      result.status = chain_status::found;
      return result;
    }
    bool lacks = received.reply->status == rpc::reply_status::ok && received.reply->bodies.empty();
    if (lacks) lacking_.insert(received.voter);
    bool proven = view_.quorum([this](const std::string& id) { return lacking_.contains(id); });
    if (!proven) return std::nullopt;
    result.status = chain_status::missing;
    return result;
  }

 private:
  const consensus::view& view_;
  std::set<std::string> lacking_;
};

}  // namespace

// Asks one voter after the other, the next one beside the last when that is late. Nothing: none could tell.
task<std::optional<chain_result>> program_ledger::state::fetch_round(std::string last, std::int64_t limit,
                                                                     microseconds deadline) {
  auto self = shared_from_this();
  auto endpoint = self->stores.endpoint();
  auto runtime = endpoint.runtime();
  consensus::view used = self->stores.current_view();
  auto voters = used.all_voters();
  if (voters.empty()) co_return std::nullopt;
  std::size_t first = runtime.draw(voters.size()), asked = 0, received = 0;
  runtime::mailbox<chain_reply> replies(runtime);
  chain_replies seen(used);
  while (received < voters.size()) {
    microseconds left = deadline - runtime.now();
    if (left <= 0) break;
    if (asked < voters.size()) {
      auto& voter = voters[(first + asked) % voters.size()];
      ++asked;
      rpc::read_chain_request request{voter.id, turn_key(last), limit, used.number};
      runtime.spawn(
          request_chain(endpoint, voter.address, std::move(request), std::min(read_timeout, left), replies));
    }
    bool all_asked = asked == voters.size();
    microseconds wait = all_asked ? read_timeout + reply_grace : hedge_delay;
    auto reply = co_await replies.pop(std::min(wait, left));
    if (!reply && all_asked) break;
    if (!reply) continue;
    ++received;
    auto result = seen.add(*reply, last);
    if (result) co_return result;
  }
  co_return std::nullopt;
}

task<chain_result> program_ledger::state::fetch(std::string last, std::int64_t limit, microseconds deadline) {
  auto self = shared_from_this();
  auto runtime = self->stores.endpoint().runtime();
  for (int round = 0; runtime.now() < deadline; ++round) {
    if (round > 0) co_await runtime.sleep(retry_pause);
    bool refresh = self->stores.current_view().voters.empty() || round > 0;
    if (refresh) co_await self->stores.refresh_view(deadline);
    auto result = co_await self->fetch_round(last, limit, deadline);
    if (result) co_return *result;
  }
  co_return chain_result{};
}

}  // namespace herontally::ledger
