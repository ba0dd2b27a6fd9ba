// A voter's records, spread over buckets that each have files and a write queue of their own.
//
// Ownership: one task, the bucket's owner, does all writing of a bucket. Everybody else hands it commands.
// The owner takes those that are queued, applies them over the stored records, makes their changes durable
// with one sync, and then completes them. So a command's effect is never seen before it is durable, and
// commands of one bucket never interleave.
#pragma once
#include <set>
#include <unordered_map>

#include "replica_storage/cell.h"
#include "runtime/runtime.h"
#include "storage/log_store.h"

namespace herontally::replica_storage {

// Changes that a batch of commands has made so far, by record; nothing: the record is removed.
using staged_changes = std::map<std::string, std::optional<std::string>>;

// How the changes of a command ended.
enum class commit_result { durable, disk_full, failed };

struct command {
  // Completes the command once the batch's changes are durable or have failed.
  using completion = std::function<void(commit_result)>;
  // Adds its changes to those of the batch.
  std::function<completion(staged_changes& staged)> apply;
  bool urgent = false;    // may use the disk capacity reserved for finishing what was begun
  std::size_t bytes = 0;  // at least what it adds to the disk
  // Work that has the whole bucket to itself, in place of `apply`.
  std::function<runtime::task<>()> exclusive;
};

struct bucket {
  storage::log_store store;
  runtime::mailbox<command> queue;
  runtime::microseconds last_commit = 0;
  std::size_t turn_bytes_written = 0;  // since kept turns go into this bucket
  std::size_t pending_bytes = 0;       // of the commands that aren't completed yet

  bucket(storage::log_store from, runtime::handle runtime) : store(std::move(from)), queue(runtime) {}
  void push(command added);
  // The record as the batch leaves it.
  std::optional<std::string> read(const staged_changes& staged, const std::string& record) const;
  // The same, without reading the disk.
  bool contains(const staged_changes& staged, const std::string& record) const;
};

struct record_store_options {
  std::string group;  // file names begin with it
  int bucket_count = 4;
  std::int64_t limit_bytes = 256 << 20;  // of all buckets together
  // Commands that wait for their turn or for the disk hold their values in memory.
  std::size_t max_pending_bytes = 8 << 20;
  // A number kept in memory beside each record, for `for_each_attribute`.
  std::function<std::int64_t(const std::string& record, std::string_view bytes)> attribute;
};

// What was found on disk.
struct recovered_records {
  bool failed = false;               // some bucket can't be read
  bool corrupt = false;              // some bucket has lost acknowledged records
  std::set<std::string> identities;  // as the buckets name them; empty: a bucket without one
  std::vector<std::string> views;    // texts of the installed views
};

class record_store {
 public:
  record_store(runtime::handle runtime, logging::logger logger, record_store_options options);

  // Reads all buckets; to be called first, once.
  recovered_records recover();
  // Starts the owners of the buckets.
  void start();
  // Removes everything and stores this identity in every bucket. Also before `start`.
  runtime::task<bool> reset(std::string identity);

  // Whether a command of so many bytes may be queued. Work that finishes what was begun has a reserve.
  bool may_queue(std::size_t bytes, bool urgent) const;

  std::optional<std::string> read(const std::string& record) const;
  bool contains(const std::string& record) const;
  // Whether there is no record but the voter's own.
  bool empty() const;

  // The bucket that holds the record, or would.
  bucket& bucket_of(const std::string& record);
  // The bucket that a record of this size goes into, if it isn't anywhere yet.
  bucket& bucket_for_write(const std::string& record, std::size_t bytes);
  std::vector<std::unique_ptr<bucket>>& buckets();
  const std::vector<std::unique_ptr<bucket>>& buckets() const;

  // Stores a record of the voter's own in every bucket; true once it is durable in all.
  runtime::task<bool> put_everywhere(std::string record, std::string value);
  // Removes records; true once all are durably gone.
  runtime::task<bool> remove(std::vector<std::string> records);
  // Removes the registers' records for which `may_remove` holds at their turn, and returns how many. The
  // function gets the ballot that was promised last, since a round under it may be under way, and the
  // accepted value.
  using removal_check =
      std::function<bool(const rpc::ballot& promised, const std::optional<std::string>& value)>;
  runtime::task<int> remove_registers_if(std::vector<std::string> records, removal_check may_remove);

  // Hands up to `limit` records of one bucket that begin with `prefix`, after the record `after`, to the
  // function, in order. Returns the last one, or an empty text once there are no more.
  std::string for_each_record(
      int bucket_number, const std::string& prefix, const std::string& after, int limit,
      const std::function<void(const std::string& record, const std::string& bytes)>& handle_record) const;
  // The same for the records' attributes, without reading the disk.
  std::string for_each_attribute(
      int bucket_number, const std::string& prefix, const std::string& after, int limit,
      const std::function<void(const std::string& record, std::int64_t attribute)>& handle_record) const;
  std::vector<std::string> records_with_prefix(const std::string& prefix) const;
  // By range, over all buckets: equal for two voters that hold the same contents and accepted the same
  // ballots.
  std::vector<std::int64_t> checksums() const;
  std::int64_t live_bytes() const;
  std::size_t record_count() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::replica_storage
