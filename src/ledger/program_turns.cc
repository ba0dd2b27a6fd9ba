// Kept turns: put once under their ids, and read as chains from the cache or the stores.
#include <algorithm>
#include <set>

#include "ledger/programs_state.h"

namespace herontally::ledger {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;
using what = chain_result::what;

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

task<bool> programs::keep(turn_record record, microseconds deadline) {
  auto self = state_;
  bool kept = co_await self->stores.put_content(turn_key(record.id), to_text(record), deadline, false);
  if (kept) self->cache.add(std::move(record));
  co_return kept;
}

task<chain_result> programs::chain(std::string last, microseconds deadline) {
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
      if (fetched.end != what::found) {
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
  result.end = what::found;
  co_return result;
}

namespace {
struct chain_word {
  std::string id;
  std::optional<rpc::read_chain_reply> reply;
};

task<> ask_one(rpc::endpoint endpoint, std::string address, rpc::read_chain_request request,
               microseconds timeout, runtime::mailbox<chain_word> box) {
  std::string id = request.voter;
  auto answer = co_await endpoint.call(std::move(address), std::move(request), timeout);
  chain_word word;
  word.id = std::move(id);
  if (auto* reply = std::get_if<rpc::read_chain_reply>(&answer)) word.reply = std::move(*reply);
  box.push(std::move(word));
}

std::vector<turn_record> records_in(const rpc::read_chain_reply& reply, const std::string& last) {
  std::vector<turn_record> records;
  std::string expected = last;
  for (auto& body : reply.bodies) {
    auto record = turn_record_from(body);
    // A body that isn't the wanted turn's is as good as none.
    if (!record || record->id != expected || expected.empty()) break;
    expected = record->previous;
    records.push_back(std::move(*record));
  }
  return records;
}
}  // namespace

task<chain_result> programs::state::fetch(std::string last, std::int64_t limit, microseconds deadline) {
  auto self = shared_from_this();
  auto endpoint = self->stores.endpoint();
  auto runtime = endpoint.runtime();
  // A voter that answers late is not waited for alone; one that lacks the record sends us on at once.
  constexpr microseconds patience = 100 * millisecond, timeout = 600 * millisecond;
  for (int round = 0; runtime.now() < deadline; ++round) {
    if (round > 0) co_await runtime.sleep(20 * millisecond);
    if (self->stores.current_view().voters.empty() || round > 0) co_await self->stores.refresh_view(deadline);
    consensus::view used = self->stores.current_view();
    auto places = used.all_voters();
    if (places.empty()) continue;
    std::size_t first = runtime.draw(places.size()), asked = 0, heard = 0;
    runtime::mailbox<chain_word> box(runtime);
    std::set<std::string> lacking;
    while (heard < places.size()) {
      microseconds left = deadline - runtime.now();
      if (left <= 0) break;
      if (asked < places.size()) {
        auto& place = places[(first + asked) % places.size()];
        ++asked;
        rpc::read_chain_request request{place.id, turn_key(last), limit, used.number};
        runtime.spawn(ask_one(endpoint, place.address, std::move(request), std::min(timeout, left), box));
      }
      microseconds wait = asked < places.size() ? patience : timeout + 50 * millisecond;
      auto word = co_await box.pop(std::min(wait, left));
      if (!word) {
        if (asked == places.size()) break;
        continue;
      }
      ++heard;
      if (!word->reply) continue;
      chain_result found;
      found.turns = records_in(*word->reply, last);
      if (!found.turns.empty()) {
        found.end = what::found;
        co_return found;
      }
      // Only a voter of this view that was asked by its own id speaks for it: one that lost its disk is a
      // unknown voter. A kept turn is at a quorum of the view, so that a quorum without it proves that it
      // isn't kept; while a view changes that takes both majorities.
      if (word->reply->status == rpc::reply_status::ok && word->reply->bodies.empty())
        lacking.insert(word->id);
      if (used.quorum([&lacking](const std::string& id) { return lacking.count(id) > 0; })) {
        chain_result none;
        none.end = what::missing;
        co_return none;
      }
    }
  }
  co_return chain_result{};
}

}  // namespace herontally::ledger
