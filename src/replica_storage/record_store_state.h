// Internal to the replica_storage module: the state of a record store, and the choice of buckets for records.
// A turn record holds one stored turn of a program; it may be in any bucket.
#pragma once
#include "replica_storage/record_store.h"

namespace herontally::replica_storage {

struct record_store::state : std::enable_shared_from_this<record_store::state> {
  runtime::handle runtime;
  logging::logger logger;
  record_store_options options;
  std::vector<std::unique_ptr<bucket>> buckets;
  bool started = false;  // the tasks that own the buckets run
  // New turn records go into one bucket at a time, so that records that arrive together share a sync. Maps
  // the records that were queued in a bucket and aren't durable yet to the number of that bucket.
  std::unordered_map<std::string, std::size_t> pending_turns;
  std::size_t turn_bucket = 0;  // number of the bucket that new turn records go into

  state(runtime::handle given_runtime, logging::logger given_logger, record_store_options given_options);
  // The number of the bucket that holds a turn record or has it queued.
  std::optional<std::size_t> bucket_of_turn(const std::string& record) const;
  bucket& bucket_of(const std::string& record);
  bucket& bucket_for_write(const std::string& record, std::size_t bytes);
  // Chooses the bucket with the fewest live bytes for new turn records, so that compactions stay short.
  void choose_turn_bucket();

  // The owner's loop: takes commands from the queue and commits them in batches.
  runtime::task<> run_owner(bucket* owned);
  // Waits until `min_commit_interval` after the last commit, in the busy buckets only.
  runtime::task<> delay_commit(bucket* owned);
  // Applies the commands, commits their changes in one batch, and completes them.
  runtime::task<> commit_batch(bucket* owned, std::vector<command*> commands, bool urgent);
  // Commits the commands in one batch or, if there is no capacity for all, the urgent ones first on their
  // own.
  runtime::task<> commit_by_urgency(bucket* owned, std::vector<command> commands, std::size_t bytes);
  // Wipes the bucket and stores the voter's records in it, in one commit; false if a write failed.
  runtime::task<bool> reset_bucket(bucket* owned, voter_records begun);
};

}  // namespace herontally::replica_storage
