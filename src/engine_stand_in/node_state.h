// State of one engine stand-in, shared by its source files. Not part of the package's interface.
#pragma once
#include <list>
#include <set>

#include "engine_stand_in/node.h"
#include "http_api/responses.h"

namespace herontally::engine_stand_in {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Result of pulling blocks from another engine: counts of blocks and bytes.
struct pull_result {
  std::int64_t asked = 0, found = 0, bytes = 0;
  bool failed = false;
};

// Progress of reading the requested blocks from a lender.
struct block_transfer {
  std::vector<std::string> wanted;
  pull_result result;
  std::string buffer;     // an incomplete line
  bool complete = false;  // the lender's final line was received
};

// One completion at a model engine.
struct model_turn {
  runtime::inbound_request request;
  http_api::writer out;
  microseconds arrived = 0;
  json transfer;                    // the request's kv_transfer_params
  std::vector<std::string> hashes;  // of the prompt's full blocks
  run event;                        // what was reported to the watcher on arrival
};

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  options config;
  logging::logger logger;
  std::function<void(const run&)> watcher;
  double start_time_seconds;  // wall clock
  microseconds ready_at;
  bool draining = false, lose_answers = false;
  std::string lender_mode = "well";
  std::int64_t running = 0, waiting = 0;  // requests that hold a slot or wait for one
  std::int64_t lending = 0;               // block transfers to other engines
  std::map<std::string, std::map<std::uint64_t, std::pair<active_request, http_api::writer>>>
      active_by_kind;  // by kind and number
  std::uint64_t next_active = 1;
  microseconds busy_until = 0;  // end of the last scheduled prefill
  std::vector<runtime::slot<bool>> slot_waiters;
  std::list<std::string> lru_order;  // block hashes, least recently used first
  std::unordered_map<std::string, std::list<std::string>::iterator> blocks;
  std::map<std::string, std::pair<std::int64_t, json>> calls;  // by key: number of runs, last answer

  state(runtime::handle handle, options initial, logging::logger log)
      : runtime(handle),
        config(std::move(initial)),
        logger(log),
        start_time_seconds(static_cast<double>(handle.wall()) / second),
        ready_at(handle.now()) {}
  void behave(const std::string& how);
  // Inserts a block or marks it as the most recently used; evicts the least recently used block beyond
  // cache_blocks.
  void cache_block(const std::string& hash);
  // Number of blocks at the beginning of the list that are cached.
  std::size_t cached_prefix_blocks(const std::vector<std::string>& hashes);
  // Waits until fewer than most_running requests run. Waiters are woken in order of arrival.
  task<> acquire_slot();
  void release_slot();
  std::size_t block_bytes() const;
  prefix::identity identity_of(const json& cache) const;
  task<pull_result> borrow_blocks(model_turn turn);
  task<pull_result> pull_blocks(json parameters, std::vector<std::string> hashes, microseconds arrived);
  bool accept_block(block_transfer& transfer, const json& line);
  void accept_bytes(block_transfer& transfer, const std::string& bytes);
  void accept_event(block_transfer& transfer, const std::optional<runtime::http_event>& event);
  void count_pull(const pull_result& result) const;
  void report_hit(const model_turn& turn, std::size_t held) const;
  task<> prefill(std::int64_t prompt_tokens, std::int64_t cached_tokens);
  task<std::optional<std::int64_t>> decode(http_api::writer out,
                                           std::shared_ptr<std::vector<std::int64_t>> tokens,
                                           std::int64_t max_tokens);
  task<> complete(runtime::inbound_request request, json body, http_api::writer out);
  task<> lend(json body, http_api::writer out);
  // Lists the request as active until the returned pointer is released.
  std::shared_ptr<void> track_request(const std::string& kind, const runtime::inbound_request& incoming,
                                      const http_api::writer& out);
  std::vector<active_request> active_requests(const std::string& kind) const;
  // Reports an event to the watcher; `kind` selects the active requests that are listed with it.
  void report_event(const std::string& what, const runtime::inbound_request& incoming, const std::string& key,
                    const std::string& kind);
  task<> call(runtime::inbound_request incoming, http_api::writer out);
  task<> serve_request(runtime::inbound_request incoming, http_api::writer out);
  std::string metrics();
};

// Time limit of a block pull in microseconds, counted from the turn's arrival; 2 s unless the request sets
// it.
microseconds pull_timeout_of(const json& transfer);
// When the request left its sender, from the header that the simulator adds; 0 without it.
microseconds sent_of(const runtime::inbound_request& incoming);

}  // namespace herontally::engine_stand_in
