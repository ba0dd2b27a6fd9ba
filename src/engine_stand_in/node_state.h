// Internal to engine_stand_in.
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

struct pulled {
  std::int64_t asked = 0, found = 0, bytes = 0;
  bool failed = false;
};

// What a lender has written so far of the blocks that were asked for.
struct block_transfer {
  std::vector<std::string> wanted;
  pulled result;
  std::string buffer;  // the beginning of a line
  bool whole = false;  // the lender's last line has come
};

// One completion at a model engine.
struct model_turn {
  runtime::inbound_request request;
  http_api::writer out;
  microseconds arrived = 0;
  json transfer;                    // its kv_transfer_params
  std::vector<std::string> hashes;  // of the prompt's whole blocks
  run seen;                         // what the watcher was given when it came
};

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  options choice;
  logging::logger logger;
  std::function<void(const run&)> watcher;
  double born;
  microseconds ready_at;
  bool draining = false, lose_answers = false;
  std::string lender = "well";
  std::int64_t running = 0, waiting = 0;
  std::int64_t lending = 0;
  std::map<std::string, std::map<std::uint64_t, std::pair<active_request, http_api::writer>>>
      under_way;  // by kind
  std::uint64_t next_active = 1;
  microseconds busy_until = 0;
  std::vector<runtime::slot<bool>> line;
  std::list<std::string> order;  // the block cache, least lately used first
  std::unordered_map<std::string, std::list<std::string>::iterator> blocks;
  std::map<std::string, std::pair<std::int64_t, json>> calls;  // by key: times run, last answer

  state(runtime::handle handle, options given, logging::logger lines)
      : runtime(handle),
        choice(std::move(given)),
        logger(lines),
        born(static_cast<double>(handle.wall()) / second),
        ready_at(handle.now()) {}
  void behave(const std::string& how);
  void hold(const std::string& hash);
  std::size_t leading(const std::vector<std::string>& hashes);
  task<> take_place();
  void leave_place();
  std::size_t block_bytes() const;
  prefix::identity identity_of(const json& cache) const;
  task<pulled> borrow(model_turn turn);
  task<pulled> pull(json parameters, std::vector<std::string> hashes, microseconds arrived);
  bool take_block(block_transfer& transfer, const json& line);
  void take_bytes(block_transfer& transfer, const std::string& bytes);
  void take_event(block_transfer& transfer, const std::optional<runtime::http_event>& event);
  void count_pull(const pulled& result) const;
  void tell_hit(const model_turn& turn, std::size_t held) const;
  task<> prefill(std::int64_t prompt_tokens, std::int64_t cached_tokens);
  task<std::optional<std::int64_t>> decode(http_api::writer out,
                                           std::shared_ptr<std::vector<std::int64_t>> tokens,
                                           std::int64_t most);
  task<> complete(runtime::inbound_request request, json body, http_api::writer out);
  task<> lend(json body, http_api::writer out);
  // Counts this piece of work in until the result is let go.
  std::shared_ptr<void> track_request(const std::string& kind, const runtime::inbound_request& incoming,
                                      const http_api::writer& out);
  std::vector<active_request> active_requests(const std::string& kind) const;
  void tell(const std::string& what, const runtime::inbound_request& incoming, const std::string& key,
            const std::string& kind);
  task<> call(runtime::inbound_request incoming, http_api::writer out);
  task<> serve_request(runtime::inbound_request incoming, http_api::writer out);
  std::string metrics();
};

// How long a turn may wait for blocks, counted from its arrival.
microseconds pull_timeout_of(const json& transfer);
microseconds sent_of(const runtime::inbound_request& incoming);

}  // namespace herontally::engine_stand_in
