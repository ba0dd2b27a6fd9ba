// Completions at a model engine: request slots, simulated prefill and decode, and the streamed response.
#include "engine_stand_in/node_state.h"

namespace herontally::engine_stand_in {

microseconds pull_timeout_of(const json& transfer) {
  return transfer.value("pull_milliseconds", std::int64_t{2000}) * millisecond;
}

std::size_t node::state::block_bytes() const {
  return static_cast<std::size_t>(config.block_tokens * config.bytes_per_token);
}

prefix::identity node::state::identity_of(const json& cache) const {
  prefix::identity identity;
  identity.partner = cache.value("partner", "");
  identity.model = config.serves;
  identity.weights = config.weights;
  identity.hash_seed = config.hash_seed;
  identity.block_tokens = config.block_tokens;
  identity.shared_tokens = cache.value("shared_tokens", std::size_t{0});
  identity.program = cache.value("program", "");
  return identity;
}

// Pulls the blocks missing here from the engine that the request names, unless the pull's time limit has
// passed.
task<pull_result> node::state::borrow_blocks(model_turn turn) {
  auto self = shared_from_this();
  bool in_time = self->runtime.now() < turn.arrived + pull_timeout_of(turn.transfer);
  bool incomplete = self->cached_prefix_blocks(turn.hashes) < turn.hashes.size();
  if (!turn.transfer.contains("remote_host") || !incomplete || !in_time || turn.out->closed())
    co_return pull_result{};
  auto tracked = self->track_request("borrow", turn.request, turn.out);
  auto event = turn.event;
  event.what = "borrow";
  event.active = self->active_requests("borrow");
  if (self->watcher) self->watcher(event);
  auto pull = co_await self->pull_blocks(turn.transfer, turn.hashes, turn.arrived);
  co_return pull;
}

void node::state::report_hit(const model_turn& turn, std::size_t held) const {
  if (!watcher) return;
  auto first_missing = turn.hashes.begin() + static_cast<std::ptrdiff_t>(held);
  auto event = turn.event;
  event.what = "hit";
  event.hashes = {turn.hashes.begin(), first_missing};
  event.computed = {first_missing, turn.hashes.end()};
  watcher(event);
}

// Simulates the prefill of the prompt's tokens that are not cached.
task<> node::state::prefill(std::int64_t prompt_tokens, std::int64_t cached_tokens) {
  auto self = shared_from_this();
  auto computed = prompt_tokens - cached_tokens;
  // Prefills run one after another, since concurrent prefills slow each other down.
  auto begin = std::max(self->runtime.now(), self->busy_until);
  auto seconds = static_cast<double>(computed) / self->config.prefill_tokens_per_second;
  self->busy_until = begin + static_cast<microseconds>(seconds * second);
  co_await self->runtime.sleep(self->busy_until - self->runtime.now());
  self->logger.count("herontally_engine_tokens_computed_total", static_cast<double>(computed));
  self->logger.count("herontally_engine_tokens_cached_total", static_cast<double>(cached_tokens));
  self->logger.count("herontally_engine_turns_total");
}

// Streams up to `max_tokens` tokens and appends them to `tokens`. Returns their number, or nothing if the
// client closed the connection.
task<std::optional<std::int64_t>> node::state::decode(http_api::writer out,
                                                      std::shared_ptr<std::vector<std::int64_t>> tokens,
                                                      std::int64_t max_tokens) {
  auto self = shared_from_this();
  std::int64_t generated = 0;
  bool finished = false;
  while (generated < max_tokens && !finished) {
    co_await self->runtime.sleep(static_cast<microseconds>(self->config.token_milliseconds * 1000));
    if (out->closed()) co_return std::nullopt;
    auto next = token_after(*tokens);
    tokens->push_back(next.id);
    ++generated;
    finished = next.last || generated == max_tokens;
    json choice{{"index", 0}, {"text", next.text}, {"token_ids", {next.id}}, {"finish_reason", nullptr}};
    if (finished) choice["finish_reason"] = next.last ? "stop" : "length";
    out->piece("data: " + json{{"choices", {choice}}}.dump() + "\n\n");
  }
  co_return generated;
}

// Writes the completion's final events: token usage and the result of the block pull.
static void finish_completion(const http_api::writer& out, const json& usage, const pull_result& pull) {
  json report{{"blocks_asked", pull.asked},
              {"blocks_found", pull.found},
              {"bytes_moved", pull.bytes},
              {"pull_failed", pull.failed}};
  json last{{"choices", json::array()}, {"usage", usage}, {"kv_transfer_params", report}};
  out->piece("data: " + last.dump() + "\n\n");
  out->piece("data: [DONE]\n\n");
  out->finish();
}

task<> node::state::complete(runtime::inbound_request request, json body, http_api::writer out) {
  auto self = shared_from_this();
  model_turn turn;
  turn.arrived = self->runtime.now();
  if (self->draining) {
    http_api::reply_json(out, 503, {{"error", "draining"}, {"ran", "no"}});
    co_return;
  }
  turn.request = request;
  turn.out = out;
  std::vector<std::int64_t> prompt = body.value("prompt", std::vector<std::int64_t>());
  turn.transfer = body.value("kv_transfer_params", json::object());
  auto identity = self->identity_of(turn.transfer.value("cache_identity", json::object()));
  turn.hashes = prefix::block_hashes(identity, prompt);
  std::string request_id = body.value("request_id", "");
  turn.event = run{"turn", identity.program, request_id, "", prompt, {}, {}, {}, sent_of(request)};
  if (self->watcher) self->watcher(turn.event);
  co_await self->acquire_slot();
  // Releases the slot on every exit path.
  std::shared_ptr<void> slot_guard(nullptr, [self](void*) { self->release_slot(); });
  auto pull = co_await self->borrow_blocks(turn);
  std::size_t held = self->cached_prefix_blocks(turn.hashes);
  self->report_hit(turn, held);
  auto cached_tokens = static_cast<std::int64_t>(held) * self->config.block_tokens;
  co_await self->prefill(static_cast<std::int64_t>(prompt.size()), cached_tokens);
  for (auto& hash : turn.hashes) self->cache_block(hash);
  out->start(200, {{"Content-Type", "text/event-stream"}});
  auto tokens = std::make_shared<std::vector<std::int64_t>>(prompt);
  auto generated = co_await self->decode(out, tokens, body.value("max_tokens", std::int64_t{16}));
  if (!generated) co_return;
  for (auto& hash : prefix::block_hashes(identity, *tokens)) self->cache_block(hash);
  json usage{{"prompt_tokens", prompt.size()},
             {"prompt_tokens_details", {{"cached_tokens", cached_tokens}}},
             {"completion_tokens", *generated}};
  finish_completion(out, usage, pull);
}

}  // namespace herontally::engine_stand_in
