// Internal to the replica_storage package: the buckets, and which of them takes kept turns.
#pragma once
#include "replica_storage/record_store.h"

namespace herontally::replica_storage {

struct record_store::state : std::enable_shared_from_this<record_store::state> {
  runtime::handle runtime;
  logging::logger logger;
  record_store_options options;
  std::vector<std::unique_ptr<bucket>> buckets;
  bool started = false;  // the owners run
  // Kept turns go into one bucket after the other, so that those that come together share a sync. These were
  // sent to their bucket and aren't durable there yet.
  std::unordered_map<std::string, std::size_t> pending_turns;
  std::size_t turn_bucket = 0;

  state(runtime::handle given_runtime, logging::logger given_logger, record_store_options given_options);
  // The number of the bucket that holds a kept turn, or is going to.
  std::optional<std::size_t> bucket_of_turn(const std::string& record) const;
  bucket& bucket_of(const std::string& record);
  bucket& bucket_for_write(const std::string& record, std::size_t bytes);
  // Moves kept turns on to the emptiest bucket, so that compactions stay short.
  void choose_turn_bucket();

  runtime::task<> run_owner(bucket* owned);
  runtime::task<> wait_for_company(bucket* owned);
  runtime::task<> commit_batch(bucket* owned, std::vector<command*> commands, bool urgent);
  runtime::task<> commit_by_urgency(bucket* owned, std::vector<command> commands, std::size_t bytes);
  runtime::task<bool> reset_bucket(bucket* owned, std::string identity);
};

}  // namespace herontally::replica_storage
