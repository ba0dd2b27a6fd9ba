// Repair between voters: each compares itself with its peers and hands over what they miss.
#include "register/voter_state.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

constexpr microseconds repair_timeout = 600 * millisecond;
constexpr std::int64_t page = 1000;

// Side by side, so that the peer takes several with one sync.
constexpr std::size_t handovers_at_once = 16;

static task<bool> give(wire::port port, voter_place peer, std::int64_t number, std::string record,
                       std::string bytes) {
  if (record[0] == 'c') {
    wire::content_put copy{peer.id, record.substr(2), bytes, true, 0};
    auto result = co_await port.ask(peer.address, std::move(copy), repair_timeout);
    auto* receipt = std::get_if<wire::content_put_receipt>(&result);
    co_return receipt && receipt->verdict == "yes";
  }
  auto content = cell::unpack(bytes);
  wire::handover copy{peer.id, number, record.substr(2), content.accepted, content.value};
  auto result = co_await port.ask(peer.address, std::move(copy), repair_timeout);
  auto* receipt = std::get_if<wire::handover_receipt>(&result);
  co_return receipt && receipt->verdict == "yes";
}

// A record handed over is a late copy of an accept that its proposer had sent, and is taken by the same rule.
task<wire::handover_receipt> voter::state::take_over(wire::handover question) {
  wire::voter_ask late;
  late.step = "accept";
  late.voter = question.voter;
  late.view = question.view;
  late.key = question.key;
  late.ballot = question.ballot;
  late.value = question.value;
  auto receipt = co_await vote(std::move(late));
  co_return wire::handover_receipt{receipt.verdict};
}

// Walks the peer's records of a range (-1: all) page by page beside our own, in the order of keys. Returns
// how many it missed, -1 if it could not be asked.
task<std::int64_t> voter::state::compare_range(voter_place peer, std::int64_t range) {
  auto self = shared_from_this();
  std::string after;
  std::int64_t missing = 0;
  while (true) {
    wire::keys_ask question{peer.id, after, page, range, 0};
    auto result = co_await self->port.ask(peer.address, std::move(question), repair_timeout);
    auto* receipt = std::get_if<wire::keys_receipt>(&result);
    if (!receipt || receipt->verdict != "yes") co_return -1;
    std::map<std::string, wire::ballot> theirs;
    for (std::size_t position = 0; position < receipt->keys.size(); ++position)
      theirs[receipt->keys[position]] = receipt->ballots[position];
    std::string last = receipt->more ? receipt->keys.back() : std::string();
    // The keys alone: the bytes are read when they are handed over.
    std::vector<std::string> missing_records;
    auto compare = [&](const disk::listed_record& record) {
      if (!last.empty() && record.key > last) return false;
      if (record.key[0] == '@') return true;
      if (range >= 0 && static_cast<std::int64_t>(record.range) != range) return true;
      auto accepted = ballots_of(record).accepted;
      // What was only promised here is nothing to hand over.
      if (record.key[0] != 'c' && accepted.counter == 0) return true;
      auto found = theirs.find(record.key);
      if (found == theirs.end() || found->second < accepted) missing_records.push_back(record.key);
      return true;
    };
    for (auto& each : self->buckets) each->store.list_from(just_after(after), compare);
    missing += static_cast<std::int64_t>(missing_records.size());
    runtime::mailbox<bool> box(self->port.runtime());
    auto give_one = [](std::shared_ptr<voter::state> self, voter_place peer, std::string record,
                       runtime::mailbox<bool> box) -> task<> {
      auto bytes = self->read(record);
      bool taken = false;
      if (bytes)
        taken = co_await give(self->port, peer, self->current.number, std::move(record), std::move(*bytes));
      box.push(taken);
    };
    std::size_t begun = 0;
    for (std::size_t ended = 0; ended < missing_records.size(); ++ended) {
      for (; begun < missing_records.size() && begun < ended + handovers_at_once; ++begun)
        self->port.runtime().spawn(give_one(self, peer, missing_records[begun], box));
      auto taken = co_await box.pop(-1);
      if (taken && *taken) self->port.journal().count("herontally_repair_handed_over_total");
    }
    if (last.empty()) break;
    after = last;
  }
  co_return missing;
}

// Sums first: where two stores agree, nothing else is sent, however much they hold.
task<> voter::state::compare_with(voter_place peer) {
  auto self = shared_from_this();
  wire::sums_ask question{peer.id};
  auto result = co_await self->port.ask(peer.address, std::move(question), repair_timeout);
  auto* receipt = std::get_if<wire::sums_receipt>(&result);
  std::vector<std::int64_t> differing;
  bool summed = receipt && receipt->verdict == "yes" && receipt->sums.size() == disk::ranges;
  if (summed) {
    wire::sums_ask own{self->id};
    auto ours = self->sums(own).sums;
    for (std::size_t range = 0; range < disk::ranges; ++range)
      if (ours[range] != receipt->sums[range]) differing.push_back(static_cast<std::int64_t>(range));
  }
  auto* why = std::get_if<wire::error>(&result);
  // A peer of the version before has no sums: then all is walked.
  if (why && *why == wire::error::refused) differing.push_back(-1);
  std::int64_t missing = 0;
  for (auto range : differing) {
    auto missed = co_await self->compare_range(peer, range);
    if (missed < 0) co_return;
    missing += missed;
  }
  self->port.journal().count("herontally_repair_ranges_walked_total", static_cast<double>(differing.size()));
  self->port.journal().gauge("herontally_repair_backlog{peer=\"" + peer.node + "\"}",
                             static_cast<double>(missing));
}

task<> voter::repair_forever() {
  auto self = state_;
  auto runtime = self->port.runtime();
  while (true) {
    // Drawn apart, so that peers don't all compare at once.
    co_await runtime.sleep(1500 * millisecond + static_cast<microseconds>(runtime.draw(1000 * millisecond)));
    if (self->current.voters.empty() || self->wiping) continue;
    for (auto& place : self->current.all())
      if (place.id != self->id) co_await self->compare_with(place);
  }
}

wire::sums_receipt voter::state::sums(const wire::sums_ask& question) const {
  wire::sums_receipt receipt;
  receipt.verdict = question.voter == id ? "" : "unknown voter";
  if (!receipt.verdict.empty()) return receipt;
  receipt.verdict = "yes";
  receipt.sums.assign(disk::ranges, 0);
  for (auto& each : buckets)
    for (std::size_t range = 0; range < disk::ranges; ++range)
      receipt.sums[range] ^= static_cast<std::int64_t>(each->store.sums()[range]);
  return receipt;
}

}  // namespace herontally::reg
