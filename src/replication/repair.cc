#include "replication/repair.h"

#include "replication/acceptor.h"

namespace herontally::replication {

using consensus::voter_info;
using rpc::reply_status;
using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

namespace {

constexpr microseconds repair_timeout = 600 * millisecond;
// Delay between two rounds, drawn at random each time so that the peers don't all compare at once.
constexpr microseconds min_round_pause = 1500 * millisecond;
constexpr microseconds round_pause_spread = 1000 * millisecond;
constexpr std::int64_t max_listed_records = 1000;
// Records are sent concurrently, so that the peer stores several with one sync.
constexpr std::size_t max_concurrent_sends = 16;
constexpr microseconds no_timeout = -1;

// Number of a checksum range of records, or all_ranges.
using record_range = std::int64_t;
constexpr record_range all_ranges = -1;
// Comparing a single range costs both voters a pass over all their keys. If more ranges than this differ, one
// pass over all records is cheaper, although it sends the keys of ranges that agree.
constexpr std::size_t max_ranges_compared_alone = storage::range_count / 8;

task<bool> send_record(rpc::endpoint endpoint, voter_info peer, std::int64_t view, std::string record,
                       std::string bytes) {
  auto key = replica_storage::key_of(record);
  if (replica_storage::is_content(record)) {
    constexpr std::int64_t any_view = 0;
    rpc::put_content_request copy{peer.id, key, bytes, true, any_view};
    auto result = co_await endpoint.call(peer.address, std::move(copy), repair_timeout);
    auto* reply = std::get_if<rpc::put_content_reply>(&result);
    co_return reply && reply->status == reply_status::ok;
  }
  auto content = replica_storage::unpack_cell(bytes);
  rpc::repair_record_request copy{peer.id, view, key, content.accepted, content.value};
  auto result = co_await endpoint.call(peer.address, std::move(copy), repair_timeout);
  auto* reply = std::get_if<rpc::repair_record_reply>(&result);
  co_return reply && reply->status == reply_status::ok;
}

task<> send_record_and_report(std::shared_ptr<replica> self, voter_info peer, std::string record,
                              runtime::mailbox<bool> results) {
  auto bytes = self->records.read(record);
  bool taken = false;
  if (bytes)
    taken = co_await send_record(self->endpoint, peer, self->current_view.number, std::move(record),
                                 std::move(*bytes));
  results.push(taken);
}

task<> send_records(std::shared_ptr<replica> self, voter_info peer, std::vector<std::string> records) {
  auto runtime = self->endpoint.runtime();
  runtime::mailbox<bool> results(runtime);
  std::size_t begun = 0;
  for (std::size_t ended = 0; ended < records.size(); ++ended) {
    for (; begun < records.size() && begun < ended + max_concurrent_sends; ++begun)
      runtime.spawn(send_record_and_report(self, peer, records[begun], results));
    auto taken = co_await results.pop(no_timeout);
    if (taken && *taken) self->endpoint.logger().count("herontally_repair_handed_over_total");
  }
}

// A page of a peer's records: those after `after`, up to and including `last`, or to the end if that is
// empty.
struct peer_page {
  std::string after, last;
  std::map<std::string, rpc::ballot> accepted;
};

peer_page make_page(std::string after, const rpc::list_records_reply& reply) {
  peer_page page;
  page.after = std::move(after);
  if (reply.more) page.last = reply.keys.back();
  for (std::size_t position = 0; position < reply.keys.size(); ++position)
    page.accepted[reply.keys[position]] = reply.ballots[position];
  return page;
}

// Keys of the records between the ends of the page that this voter holds and the peer misses or holds with a
// lower ballot. The values are read when they are sent.
std::vector<std::string> missing_at_peer(const replica& self, const peer_page& page, record_range range) {
  std::vector<std::string> missing;
  auto compare = [&](const storage::listed_record& record) {
    if (!page.last.empty() && record.key > page.last) return false;
    bool in_range = range == all_ranges || static_cast<record_range>(record.range) == range;
    if (replica_storage::is_local_record(record.key) || !in_range) return true;
    auto accepted = replica_storage::ballots_of(record).accepted;
    // A register with a promise and no accepted value has nothing to send.
    if (!replica_storage::is_content(record.key) && accepted.counter == 0) return true;
    auto at_peer = page.accepted.find(record.key);
    if (at_peer == page.accepted.end() || at_peer->second < accepted) missing.push_back(record.key);
    return true;
  };
  for (auto& bucket : self.records.buckets())
    bucket->store.list_from(replica_storage::next_key(page.after), compare);
  return missing;
}

// Compares the records of a range with the peer's, page by page, and sends those that it misses. Returns how
// many it missed, or nullopt if it didn't list its records.
task<std::optional<std::size_t>> repair_range(std::shared_ptr<replica> self, voter_info peer,
                                              record_range range) {
  constexpr std::int64_t any_view = 0;
  std::string after;
  std::size_t missed = 0;
  while (true) {
    rpc::list_records_request request{peer.id, after, max_listed_records, range, any_view};
    auto result = co_await self->endpoint.call(peer.address, std::move(request), repair_timeout);
    auto* reply = std::get_if<rpc::list_records_reply>(&result);
    if (!reply || reply->status != reply_status::ok) co_return std::nullopt;
    auto page = make_page(after, *reply);
    auto missing = missing_at_peer(*self, page, range);
    missed += missing.size();
    co_await send_records(self, peer, std::move(missing));
    if (page.last.empty()) co_return missed;
    after = page.last;
  }
}

std::vector<record_range> differing_ranges(const std::vector<std::int64_t>& left,
                                           const std::vector<std::int64_t>& right) {
  std::vector<record_range> differing;
  for (std::size_t range = 0; range < storage::range_count; ++range)
    if (left[range] != right[range]) differing.push_back(static_cast<record_range>(range));
  return differing;
}

// Compares checksums first: for ranges that agree nothing else is sent, however many records they have.
task<> repair_peer(std::shared_ptr<replica> self, voter_info peer) {
  rpc::checksums_request request{peer.id};
  auto result = co_await self->endpoint.call(peer.address, std::move(request), repair_timeout);
  auto* reply = std::get_if<rpc::checksums_reply>(&result);
  std::vector<record_range> differing;
  if (reply && reply->status == reply_status::ok && reply->checksums.size() == storage::range_count)
    differing = differing_ranges(self->records.checksums(), reply->checksums);
  if (differing.size() > max_ranges_compared_alone) differing = {all_ranges};
  auto* failure = std::get_if<rpc::error>(&result);
  // A peer of an older version doesn't support checksums; then all records are compared.
  if (failure && *failure == rpc::error::refused) differing.push_back(all_ranges);
  std::size_t missed = 0;
  for (auto range : differing) {
    auto missed_in_range = co_await repair_range(self, peer, range);
    if (!missed_in_range) co_return;
    missed += *missed_in_range;
  }
  auto logger = self->endpoint.logger();
  logger.count("herontally_repair_ranges_walked_total", static_cast<double>(differing.size()));
  logger.gauge("herontally_repair_backlog{peer=\"" + peer.node + "\"}", static_cast<double>(missed));
}

}  // namespace

task<rpc::repair_record_reply> repair_record(std::shared_ptr<replica> self,
                                             rpc::repair_record_request request) {
  rpc::vote_request late_accept;
  late_accept.phase = rpc::vote_phase::accept;
  late_accept.voter = request.voter;
  late_accept.view = request.view;
  late_accept.key = request.key;
  late_accept.ballot = request.ballot;
  late_accept.value = request.value;
  auto reply = co_await vote(self, std::move(late_accept));
  co_return rpc::repair_record_reply{reply.status};
}

// A joining voter fetches all records itself (replication/catch_up.h). Repair would send each record again,
// from every voter that stays.
static bool takes_part_in_repair(const consensus::view& current, const std::string& voter) {
  bool joins = current.joint() && !consensus::contains(current.previous_voters, voter);
  return !joins;
}

task<> repair_forever(std::shared_ptr<replica> self) {
  auto runtime = self->endpoint.runtime();
  while (true) {
    auto spread = static_cast<microseconds>(runtime.draw(round_pause_spread));
    co_await runtime.sleep(min_round_pause + spread);
    if (self->current_view.voters.empty() || self->wiping) continue;
    for (auto& peer : self->current_view.all_voters()) {
      auto& current = self->current_view;
      bool useful = takes_part_in_repair(current, self->identity) && takes_part_in_repair(current, peer.id);
      if (useful && peer.id != self->identity) co_await repair_peer(self, peer);
    }
  }
}

}  // namespace herontally::replication
