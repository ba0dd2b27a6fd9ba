// Internal to the register package: a voter's buckets, each with one owner that works through a queue.
#pragma once
#include <string.h>

#include <algorithm>
#include <set>
#include <unordered_map>

#include "register/voter.h"

namespace herontally::reg {

// What a voter keeps of one key.
struct cell {
  wire::ballot promised, accepted;
  std::string value;
  static std::string pack(const cell& content) {
    std::string out(32, '\0');
    memcpy(out.data(), &content.promised.counter, 8);
    memcpy(out.data() + 8, &content.promised.proposer, 8);
    memcpy(out.data() + 16, &content.accepted.counter, 8);
    memcpy(out.data() + 24, &content.accepted.proposer, 8);
    return out + content.value;
  }
  static cell unpack(std::string_view bytes) {
    cell content = unpack_ballots(bytes);
    if (bytes.size() >= 32) content.value = bytes.substr(32);
    return content;
  }
  // Without the value.
  static cell unpack_ballots(std::string_view bytes) {
    cell content;
    if (bytes.size() < 32) return content;
    memcpy(&content.promised.counter, bytes.data(), 8);
    memcpy(&content.promised.proposer, bytes.data() + 8, 8);
    memcpy(&content.accepted.counter, bytes.data() + 16, 8);
    memcpy(&content.accepted.proposer, bytes.data() + 24, 8);
    return content;
  }
};

// Records: "@voter" and "@view" in every bucket, "k/" cells, "c/" contents by digest.
constexpr const char* identity_key = "@voter";
constexpr const char* view_key = "@view";
// Records that come and go with every turn of a program.
constexpr const char* program_record_prefix = "k/program/";
constexpr const char* turn_record_prefix = "c/turn/";

// The least key behind this one.
inline std::string just_after(const std::string& key) { return key + '\0'; }
// What a voter promised and accepted under a key.
struct record_ballots {
  wire::ballot accepted, promised;
};
// Cells are in memory always; contents have no ballots.
inline record_ballots ballots_of(const disk::listed_record& record) {
  if (record.key[0] != 'k' || !record.value) return {};
  auto content = cell::unpack_ballots(*record.value);
  return {content.accepted, content.promised};
}

struct command {
  // Stages changes over `overlay` and returns the function that answers once they are lasting.
  using staged = std::function<void(bool lasting, bool full)>;
  std::function<staged(std::map<std::string, std::optional<std::string>>& overlay)> apply;
  bool urgent = false;
  std::size_t bytes = 0;  // at least what it adds to the disk
  // Work that has the whole bucket to itself, in place of `apply`.
  std::function<runtime::task<>()> alone;
};

struct bucket {
  disk::store store;
  runtime::mailbox<command> queue;
  runtime::microseconds last_commit = 0;
  std::size_t written_in_turn = 0;  // of kept turns, since it became their bucket
  bucket(disk::store from, runtime::handle runtime) : store(std::move(from)), queue(runtime) {}
  std::optional<std::string> read(const std::map<std::string, std::optional<std::string>>& overlay,
                                  const std::string& key) const {
    auto staged = overlay.find(key);
    if (staged != overlay.end()) return staged->second;
    return store.read(key);
  }
  // Without reading the disk.
  bool holds(const std::map<std::string, std::optional<std::string>>& overlay, const std::string& key) const {
    auto staged = overlay.find(key);
    return staged != overlay.end() ? staged->second.has_value() : store.contains(key);
  }
};

// Whether all records of one source have been taken over.
struct source_result {
  std::string voter;
  bool whole = false;
};

struct voter::state : std::enable_shared_from_this<voter::state> {
  wire::port port;
  voter_options choice;
  std::string id;
  view current;
  std::optional<view> installing;  // on its way to the disk: no other one of its number may pass it
  bool opened = false, wiping = false;
  // The joint view whose records are being fetched (0: none), who waits for it, and the last one fetched.
  std::int64_t filling_view = 0;
  std::vector<runtime::slot<wire::fill_receipt>> fill_waits;
  std::pair<std::int64_t, wire::fill_receipt> filled;
  std::vector<std::unique_ptr<bucket>> buckets;
  std::function<void(const view&)> view_handler;
  std::function<void(const std::string&, const std::string&)> accepted_handler;
  state(wire::port from, voter_options options) : port(std::move(from)), choice(std::move(options)) {}

  // Kept turns go into one bucket after the other, so that those that come together share a sync. Here stand
  // those that were sent to their bucket and aren't lasting there yet.
  std::unordered_map<std::string, std::size_t> turn_places;
  std::size_t turn_bucket = 0;

  // Where a kept turn is, or is to be.
  std::optional<std::size_t> place_of_turn(const std::string& record) const;
  bucket& bucket_of(const std::string& record);
  bucket& bucket_for_writing(const std::string& record, std::size_t bytes);
  runtime::task<> own(bucket* which);
  runtime::task<> commit_group(bucket* which, std::vector<command*> commands, bool urgent);
  runtime::task<wire::voter_receipt> vote(wire::voter_ask question);
  runtime::task<wire::content_put_receipt> put(wire::content_put question);
  wire::chain_receipt chain(const wire::chain_ask& question) const;
  wire::keys_receipt keys(const wire::keys_ask& question) const;
  runtime::task<wire::handover_receipt> take_over(wire::handover question);
  runtime::task<bool> install(view chosen);
  runtime::task<bool> begin_anew();
  runtime::task<bool> begin_bucket(bucket* which, std::string identity);
  void serve();
  std::optional<std::string> read(const std::string& record) const;
  // Without reading the disk.
  bool holds(const std::string& record) const;
  wire::sums_receipt sums(const wire::sums_ask& question) const;
  // A newcomer fetches all records of the view before from its voters.
  wire::records_receipt records(const wire::records_ask& question) const;
  runtime::task<wire::fill_receipt> fill(wire::fill_ask question);
  runtime::task<> run_fill(view joint);
  runtime::task<> report_source(voter_place source, std::int64_t number,
                                std::shared_ptr<std::set<std::string>> refused,
                                runtime::mailbox<source_result> results);
  runtime::task<bool> fetch_majority(view joint, std::shared_ptr<std::set<std::string>> refused);
  bool lacks(const std::string& record, const wire::ballot& accepted, const wire::ballot& promised) const;
  runtime::task<bool> fetch_from(voter_place source, std::int64_t number,
                                 std::shared_ptr<std::set<std::string>> refused);
  runtime::task<bool> fetch_page(voter_place source, std::int64_t number, std::vector<std::string> wanted,
                                 std::shared_ptr<std::set<std::string>> refused);
  runtime::slot<bool> take_copy(const std::string& record, std::string bytes,
                                std::shared_ptr<std::set<std::string>> refused);
  runtime::task<> compare_with(voter_place peer);
  runtime::task<std::int64_t> compare_range(voter_place peer, std::int64_t range);
};

}  // namespace herontally::reg
