// Expires conversations and call records in the replicated registers, and removes unreachable turn contents
// from the local disk.
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

static bool is_overdue(const ledger::conversation_record& record, microseconds wall) {
  if (!record.open.empty()) return false;
  return ledger::is_expired(record, wall) || (broken("keep") && record.length > 0);
}
static bool is_overdue(const ledger::call_record& record, microseconds wall) {
  return record.readable && record.state == ledger::call_state::done && record.keep_until != 0 &&
         wall > record.keep_until + ledger::retention_margin;
}

// Records examined in one pass. A larger store needs several passes, each of which continues where the last
// one ended.
constexpr std::size_t records_per_pass = 4000;

// Returns the next records with this prefix in key order. `after` is the last key of the previous pass and is
// advanced; it is empty at the start and after the last record.
static std::vector<std::string> next_keys(const replication::voter& voter, const std::string& prefix,
                                          std::string& after) {
  auto keys = voter.records().records_with_prefix(prefix);
  std::sort(keys.begin(), keys.end());
  auto begin = std::upper_bound(keys.begin(), keys.end(), after);
  auto end = keys.end() - begin > static_cast<std::ptrdiff_t>(records_per_pass)
                 ? begin + static_cast<std::ptrdiff_t>(records_per_pass)
                 : keys.end();
  std::vector<std::string> keys_of_pass(begin, end);
  after = end == keys.end() ? "" : keys_of_pass.back();
  return keys_of_pass;
}

// Only the first live storage node does this. A second one at the same time is harmless, because each change
// is a compare-and-set that checks the agreed value again.
static task<> expire_conversations(replication::voter voter, consensus::proposer group,
                                   runtime::handle runtime, std::string* after) {
  for (auto& record : next_keys(voter, "k/p/", *after)) {
    std::string key = record.substr(2);
    auto text = voter.accepted_value(key);
    if (!text || !is_overdue(ledger::conversation_from_text(text), runtime.wall())) continue;
    auto reset = [runtime](const std::optional<std::string>& current_text) -> std::optional<std::string> {
      auto current = ledger::conversation_from_text(current_text);
      if (!is_overdue(current, runtime.wall())) return std::nullopt;
      ledger::reset_conversation(current);
      return ledger::to_text(current);
    };
    co_await group.change(key, reset, runtime.now() + 2 * second, true);
    group.endpoint().logger().count("herontally_conversations_expired_total");
  }
}

// Removes the response from call records whose retention has ended. The record stays as a tombstone, so that
// a call with its key never runs again.
static task<> expire_call_records(replication::voter voter, consensus::proposer group,
                                  runtime::handle runtime, std::string* after) {
  for (auto& record : next_keys(voter, "k/r/", *after)) {
    std::string key = record.substr(2);
    auto found = ledger::call_record_from_text(voter.accepted_value(key));
    if (!found || !is_overdue(*found, runtime.wall())) continue;
    auto remove_response =
        [runtime](const std::optional<std::string>& current_text) -> std::optional<std::string> {
      auto current = ledger::call_record_from_text(current_text);
      if (!current || !is_overdue(*current, runtime.wall())) return std::nullopt;
      current->state = ledger::call_state::expired;
      current->answer.clear();
      current->content_type.clear();
      current->engine.clear();
      return ledger::to_text(*current);
    };
    co_await group.change(key, remove_response, runtime.now() + 2 * second, true);
    group.endpoint().logger().count("herontally_call_records_expired_total");
  }
}

// Returns the keys of the conversations' turn contents. Stored turns of programs are excluded, because they
// contain their own end of retention.
static std::vector<std::string> conversation_contents(const replication::voter& voter) {
  constexpr int attributes_per_step = 1000;
  const std::string turn_records = std::string("c/") + ledger::turn_prefix;
  std::vector<std::string> found;
  auto collect = [&found, &turn_records](const std::string& record, std::int64_t) {
    if (record.rfind(turn_records, 0) != 0) found.push_back(record);
  };
  for (int bucket = 0; bucket < static_cast<int>(voter.records().buckets().size()); ++bucket) {
    std::string after;
    do after = voter.records().for_each_attribute(bucket, "c/", after, attributes_per_step, collect);
    while (!after.empty());
  }
  return found;
}

// Removes turn contents from the local disk. A content is removed only if the agreed record of its
// conversation has a later generation.
static task<> remove_expired_contents(replication::voter voter, consensus::proposer group,
                                      runtime::handle runtime) {
  std::map<std::string, std::int64_t> generations;
  std::vector<std::string> removable;
  for (auto& record : conversation_contents(voter)) {
    auto body = voter.content(record.substr(2));
    auto content = body ? ledger::turn_content_from_text(*body) : std::nullopt;
    if (!content) continue;
    std::string key = ledger::conversation_key(content->partner, content->program);
    auto cached = generations.find(key);
    if (cached == generations.end()) {
      std::int64_t agreed = 0;
      auto local = ledger::conversation_from_text(voter.accepted_value(key));
      // The agreed record is read only if the local copy indicates that the content can be removed.
      if (local.generation > content->generation) {
        auto read = co_await group.read(key, runtime.now() + second);
        if (read.known()) agreed = ledger::conversation_from_text(read.value).generation;
      }
      cached = generations.emplace(key, agreed).first;
    }
    if (content->generation < cached->second) removable.push_back(record.substr(2));
  }
  if (removable.empty()) co_return;
  group.endpoint().logger().count("herontally_contents_removed_total", static_cast<double>(removable.size()));
  co_await voter.remove_contents(std::move(removable));
}

task<> expire_forever(replication::voter voter, consensus::proposer group, membership::member_list members) {
  auto runtime = group.endpoint().runtime();
  runtime.spawn(expire_programs_forever(voter, runtime, group.endpoint().logger()));
  std::string conversations_after, calls_after;
  while (true) {
    co_await runtime.sleep(5 * second + static_cast<microseconds>(runtime.draw(500 * millisecond)));
    if (voter.current_view().number == 0) continue;
    auto live = members.live(rpc::node_role::store);
    if (!live.empty() && live.front().name == members.self().name) {
      co_await expire_conversations(voter, group, runtime, &conversations_after);
      co_await expire_call_records(voter, group, runtime, &calls_after);
    }
    co_await remove_expired_contents(voter, group, runtime);
  }
}

}  // namespace herontally::storage_node
