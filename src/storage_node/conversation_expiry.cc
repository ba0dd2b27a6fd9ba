#include <algorithm>

#include "ledger/call_ledger.h"
#include "ledger/conversation_record.h"
#include "ledger/program_record.h"
#include "runtime/breaks.h"
#include "storage_node/expiry.h"

namespace herontally::storage_node {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

static bool is_overdue(const ledger::conversation_record& now, microseconds wall) {
  if (!now.open.empty()) return false;
  return ledger::is_expired(now, wall) || (broken("keep") && now.length > 0);
}
static bool is_overdue(const ledger::call_record& now, microseconds wall) {
  return now.readable && now.state == ledger::call_state::done && now.keep_until != 0 &&
         wall > now.keep_until + ledger::retention_margin;
}

// So many records are looked at in one pass; a large store takes several.
constexpr std::size_t records_per_pass = 4000;

static std::vector<std::string> next_keys(const replication::voter& voter, const std::string& prefix,
                                          std::string& after) {
  auto keys = voter.records().records_with_prefix(prefix);
  std::sort(keys.begin(), keys.end());
  auto begin = std::upper_bound(keys.begin(), keys.end(), after);
  auto end = keys.end() - begin > static_cast<std::ptrdiff_t>(records_per_pass)
                 ? begin + static_cast<std::ptrdiff_t>(records_per_pass)
                 : keys.end();
  std::vector<std::string> some(begin, end);
  after = end == keys.end() ? "" : some.back();
  return some;
}

// The first live storage node expires conversations; the expected value of the round makes a second one
// harmless.
static task<> expire_conversations(replication::voter voter, consensus::proposer group,
                                   runtime::handle runtime, std::string* after) {
  for (auto& record : next_keys(voter, "k/p/", *after)) {
    std::string key = record.substr(2);
    auto text = voter.accepted_value(key);
    if (!text || !is_overdue(ledger::conversation_from_text(text), runtime.wall())) continue;
    auto close = [runtime](const std::optional<std::string>& current) -> std::optional<std::string> {
      auto now = ledger::conversation_from_text(current);
      if (!is_overdue(now, runtime.wall())) return std::nullopt;
      ledger::reset_conversation(now);
      return ledger::to_text(now);
    };
    co_await group.change(key, close, runtime.now() + 2 * second, true);
    group.endpoint().logger().count("herontally_conversations_expired_total");
  }
}

// A call's record loses its answer after its retention and stays as a tombstone: its key never runs again.
static task<> shrink_call_records(replication::voter voter, consensus::proposer group,
                                  runtime::handle runtime, std::string* after) {
  for (auto& record : next_keys(voter, "k/r/", *after)) {
    std::string key = record.substr(2);
    auto found = ledger::call_record_from_text(voter.accepted_value(key));
    if (!found || !is_overdue(*found, runtime.wall())) continue;
    auto shrink = [runtime](const std::optional<std::string>& current) -> std::optional<std::string> {
      auto now = ledger::call_record_from_text(current);
      if (!now || !is_overdue(*now, runtime.wall())) return std::nullopt;
      now->state = ledger::call_state::expired;
      now->answer.clear();
      now->content_type.clear();
      now->engine.clear();
      return ledger::to_text(*now);
    };
    co_await group.change(key, shrink, runtime.now() + 2 * second, true);
    group.endpoint().logger().count("herontally_call_records_expired_total");
  }
}

// The contents of conversations; kept turns have times of their own.
static std::vector<std::string> conversation_contents(const replication::voter& voter) {
  constexpr int attributes_per_step = 1000;
  const std::string turns = std::string("c/") + ledger::turn_prefix;
  std::vector<std::string> found;
  auto take = [&found, &turns](const std::string& record, std::int64_t) {
    if (record.rfind(turns, 0) != 0) found.push_back(record);
  };
  for (int bucket = 0; bucket < static_cast<int>(voter.records().buckets().size()); ++bucket) {
    std::string after;
    do after = voter.records().for_each_attribute(bucket, "c/", after, attributes_per_step, take);
    while (!after.empty());
  }
  return found;
}

// Every node clears its own disk: a content goes only if the agreed record is of a later generation.
static task<> remove_expired_contents(replication::voter voter, consensus::proposer group,
                                      runtime::handle runtime) {
  std::map<std::string, std::int64_t> generations;
  std::vector<std::string> removable;
  for (auto& record : conversation_contents(voter)) {
    auto body = voter.content(record.substr(2));
    auto content = body ? ledger::turn_content_from_text(*body) : std::nullopt;
    if (!content) continue;
    std::string key = ledger::conversation_key(content->partner, content->program);
    auto known = generations.find(key);
    if (known == generations.end()) {
      std::int64_t agreed = 0;
      auto local = ledger::conversation_from_text(voter.accepted_value(key));
      // The agreed record is read only when our own copy says that something is to be cleared.
      if (local.generation > content->generation) {
        auto read = co_await group.read(key, runtime.now() + second);
        if (read.known()) agreed = ledger::conversation_from_text(read.value).generation;
      }
      known = generations.emplace(key, agreed).first;
    }
    if (content->generation < known->second) removable.push_back(record.substr(2));
  }
  if (removable.empty()) co_return;
  group.endpoint().logger().count("herontally_contents_removed_total", static_cast<double>(removable.size()));
  co_await voter.remove_contents(std::move(removable));
}

task<> expire_forever(replication::voter voter, consensus::proposer group, membership::member_list known) {
  auto runtime = group.endpoint().runtime();
  runtime.spawn(expire_programs_forever(voter, runtime, group.endpoint().logger()));
  std::string conversations_after, calls_after;
  while (true) {
    co_await runtime.sleep(5 * second + static_cast<microseconds>(runtime.draw(500 * millisecond)));
    if (voter.current_view().number == 0) continue;
    auto live = known.live(rpc::node_role::store);
    if (!live.empty() && live.front().name == known.self().name) {
      co_await expire_conversations(voter, group, runtime, &conversations_after);
      co_await shrink_call_records(voter, group, runtime, &calls_after);
    }
    co_await remove_expired_contents(voter, group, runtime);
  }
}

}  // namespace herontally::storage_node
