// A voter's records, partitioned into buckets that each have their own files and write queue. This module
// stores records and decides nothing about votes or repair; see replication/ for those.
//
// Ownership: a single task, the bucket's owner, does all writes of a bucket; everything else queues commands
// for it. The owner applies a batch of queued commands over the stored records, makes their changes durable
// with one sync, and then completes the commands. So a command's effect is never visible before it is
// durable, and commands of one bucket never interleave.
#pragma once
#include <set>
#include <unordered_map>

#include "replica_storage/cell.h"
#include "runtime/runtime.h"
#include "storage/log_store.h"

namespace herontally::replica_storage {

// The changes that the commands of a batch have made so far, by record key. std::nullopt: the record is
// removed.
using staged_changes = std::map<std::string, std::optional<std::string>>;

// The outcome of a command's commit. After `failed` its changes may be on disk or not.
enum class commit_result { durable, disk_full, failed };

// A write to one bucket, run by the bucket's owner.
struct command {
  // Completes the command once the batch's changes are durable or have failed.
  using completion = std::function<void(commit_result)>;
  // Reads what it needs, adds its changes to those of the batch, and returns its completion.
  std::function<completion(staged_changes& staged)> apply;
  bool urgent = false;    // may use the disk capacity reserved for finishing operations already begun
  std::size_t bytes = 0;  // lower bound of what it adds to the disk
  // Set in place of `apply`: runs alone, while no batch of the bucket is under way.
  std::function<runtime::task<>()> exclusive;
};

// One partition of the records, with its files and its queue of commands.
struct bucket {
  storage::log_store store;
  runtime::mailbox<command> queue;
  runtime::microseconds last_commit = 0;  // when the last batch ended; 0: none yet
  std::size_t turn_bytes_written = 0;     // since this bucket was chosen for turn records
  std::size_t pending_bytes = 0;          // estimated memory of the commands that aren't completed yet

  bucket(storage::log_store from, runtime::handle runtime) : store(std::move(from)), queue(runtime) {}
  void push(command added);
  // The record with the batch's changes so far; std::nullopt if it doesn't exist or can't be read.
  std::optional<std::string> read(const staged_changes& staged, const std::string& record) const;
  // Whether the record exists, with the batch's changes so far. Doesn't read the disk.
  bool contains(const staged_changes& staged, const std::string& record) const;
};

struct record_store_options {
  std::string group;  // prefix of the file names
  int bucket_count = 4;
  std::int64_t limit_bytes = 256 << 20;  // of all buckets together
  // Bounds the memory of the commands that are queued or being written: they hold their values in memory.
  std::size_t max_pending_bytes = 8 << 20;
  // Computes a number that is kept in memory for each record, for `for_each_attribute`.
  std::function<std::int64_t(const std::string& record, std::string_view bytes)> attribute;
};

// What `recover` found on disk.
struct recovered_records {
  bool failed = false;               // some bucket can't be read
  bool corrupt = false;              // some bucket has lost acknowledged records
  std::set<std::string> identities;  // of all buckets; an empty string for a bucket without an identity
  std::vector<std::string> views;    // the installed views as text, from the buckets that have one
  std::string founding_claim;        // as text; empty: none
};

// What a voter stores of itself in every bucket when it begins empty.
struct voter_records {
  std::string identity;
  std::string founding_claim;  // as text; empty: none
};

// The records of one voter. Copies share their state.
class record_store {
 public:
  record_store(runtime::handle runtime, logging::logger logger, record_store_options options);

  // Reads all buckets. Called before anything else, and again only after a failure.
  recovered_records recover();
  // Starts the tasks that own the buckets; commands are run from here on. Called once, after `recover`.
  void start();
  // Removes all records and stores these in every bucket; false if a write failed. May also be called before
  // `start`.
  runtime::task<bool> reset(voter_records begun);

  // Whether a command of this size may be queued without exceeding `max_pending_bytes`. The last quarter of
  // the limit is reserved for urgent commands, which finish operations already begun.
  bool may_queue(std::size_t bytes, bool urgent) const;

  // The record's durable value; std::nullopt if it doesn't exist or can't be read.
  std::optional<std::string> read(const std::string& record) const;
  // Whether the record exists, without reading the disk.
  bool contains(const std::string& record) const;
  // Whether there are no records other than those of the voter itself (`is_local_record`).
  bool empty() const;

  // The bucket that holds the record or, if none does, the one that it would go into now.
  bucket& bucket_of(const std::string& record);
  // The bucket that a write of the record must be queued in: the one that holds it already or, for a new turn
  // record, one chosen by capacity for this many bytes.
  bucket& bucket_for_write(const std::string& record, std::size_t bytes);
  std::vector<std::unique_ptr<bucket>>& buckets();
  const std::vector<std::unique_ptr<bucket>>& buckets() const;

  // Writes the record to every bucket, for the voter's own records; true if it became durable in all of them.
  runtime::task<bool> put_in_all_buckets(std::string record, std::string value);
  // Removes the records; true if all removals became durable.
  runtime::task<bool> remove(std::vector<std::string> records);
  // Removes the register records for which `may_remove` returns true when the owner runs the command, and
  // returns how many removals became durable. `may_remove` gets the accepted value and also the last promised
  // ballot, because a round under that ballot may be in progress.
  using removal_check =
      std::function<bool(const rpc::ballot& promised, const std::optional<std::string>& value)>;
  runtime::task<int> remove_registers_if(std::vector<std::string> records, removal_check may_remove);

  // Calls the function, in key order, for up to `limit` records of one bucket that begin with `prefix` and
  // come after the key `after`; records that can't be read are left out. Returns the key of the last record
  // listed, to continue from, or an empty string if no more follow.
  std::string for_each_record(
      int bucket_number, const std::string& prefix, const std::string& after, int limit,
      const std::function<void(const std::string& record, const std::string& bytes)>& handle_record) const;
  // The same for the records' attributes, without reading the disk.
  std::string for_each_attribute(
      int bucket_number, const std::string& prefix, const std::string& after, int limit,
      const std::function<void(const std::string& record, std::int64_t attribute)>& handle_record) const;
  // The keys of all records that begin with `prefix`, bucket by bucket.
  std::vector<std::string> records_with_prefix(const std::string& prefix) const;
  // One checksum for each of the `storage::range_count` ranges, over all buckets. Equal for two voters that
  // hold the same contents and accepted the same ballots.
  std::vector<std::int64_t> checksums() const;
  // Bytes of all keys and values, without outdated data that awaits compaction.
  std::int64_t live_bytes() const;
  std::size_t record_count() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::replica_storage
