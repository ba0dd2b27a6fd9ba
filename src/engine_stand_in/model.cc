// Completions at a model engine.
#include "engine_stand_in/node_state.h"

namespace herontally::engine_stand_in {

microseconds pull_timeout_of(const json& transfer) {
  return transfer.value("pull_milliseconds", std::int64_t{2000}) * millisecond;
}

std::size_t node::state::block_bytes() const {
  return static_cast<std::size_t>(choice.block_tokens * choice.bytes_per_token);
}

prefix::identity node::state::identity_of(const json& cache) const {
  prefix::identity identity;
  identity.partner = cache.value("partner", "");
  identity.model = choice.serves;
  identity.weights = choice.weights;
  identity.hash_seed = choice.hash_seed;
  identity.block_tokens = choice.block_tokens;
  identity.shared_tokens = cache.value("shared_tokens", std::size_t{0});
  identity.program = cache.value("program", "");
  return identity;
}

// Takes blocks that are lacking here from the source that the turn names, while that is still allowed.
task<pulled> node::state::borrow(model_turn turn) {
  auto self = shared_from_this();
  bool in_time = self->runtime.now() < turn.arrived + pull_timeout_of(turn.transfer);
  bool lacking = self->leading(turn.hashes) < turn.hashes.size();
  if (!turn.transfer.contains("remote_host") || !lacking || !in_time || turn.out->closed())
    co_return pulled{};
  auto tracked = self->track_request("borrow", turn.request, turn.out);
  auto seen = turn.seen;
  seen.what = "borrow";
  seen.active = self->active_requests("borrow");
  if (self->watcher) self->watcher(seen);
  auto moved = co_await self->pull(turn.transfer, turn.hashes, turn.arrived);
  co_return moved;
}

void node::state::tell_hit(const model_turn& turn, std::size_t held) const {
  if (!watcher) return;
  auto edge = turn.hashes.begin() + static_cast<std::ptrdiff_t>(held);
  auto seen = turn.seen;
  seen.what = "hit";
  seen.hashes = {turn.hashes.begin(), edge};
  seen.computed = {edge, turn.hashes.end()};
  watcher(seen);
}

// Computes what the cache doesn't hold of a prompt.
task<> node::state::prefill(std::int64_t prompt_tokens, std::int64_t cached_tokens) {
  auto self = shared_from_this();
  auto computed = prompt_tokens - cached_tokens;
  // One prefill after the other: simultaneous ones slow each other.
  auto begin = std::max(self->runtime.now(), self->busy_until);
  auto seconds = static_cast<double>(computed) / self->choice.prefill_tokens_per_second;
  self->busy_until = begin + static_cast<microseconds>(seconds * second);
  co_await self->runtime.sleep(self->busy_until - self->runtime.now());
  self->logger.count("herontally_engine_tokens_computed_total", static_cast<double>(computed));
  self->logger.count("herontally_engine_tokens_cached_total", static_cast<double>(cached_tokens));
  self->logger.count("herontally_engine_turns_total");
}

// Puts out up to `most` tokens behind these; nothing when the client has gone meanwhile.
task<std::optional<std::int64_t>> node::state::decode(http_api::writer out,
                                                      std::shared_ptr<std::vector<std::int64_t>> tokens,
                                                      std::int64_t most) {
  auto self = shared_from_this();
  std::int64_t made = 0;
  bool over = false;
  while (made < most && !over) {
    co_await self->runtime.sleep(static_cast<microseconds>(self->choice.token_milliseconds * 1000));
    if (out->closed()) co_return std::nullopt;
    auto next = token_after(*tokens);
    tokens->push_back(next.id);
    ++made;
    over = next.last || made == most;
    json choice{{"index", 0}, {"text", next.text}, {"token_ids", {next.id}}, {"finish_reason", nullptr}};
    if (over) choice["finish_reason"] = next.last ? "stop" : "length";
    out->piece("data: " + json{{"choices", {choice}}}.dump() + "\n\n");
  }
  co_return made;
}

// The last events of a completion: what it used and what was moved for it.
static void finish_completion(const http_api::writer& out, const json& usage, const pulled& moved) {
  json report{{"blocks_asked", moved.asked},
              {"blocks_found", moved.found},
              {"bytes_moved", moved.bytes},
              {"pull_failed", moved.failed}};
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
  turn.seen = run{"turn", identity.program, request_id, "", prompt, {}, {}, {}, sent_of(request)};
  if (self->watcher) self->watcher(turn.seen);
  co_await self->take_place();
  // However this turn ends, its place is given back.
  std::shared_ptr<void> place(nullptr, [self](void*) { self->leave_place(); });
  auto moved = co_await self->borrow(turn);
  std::size_t held = self->leading(turn.hashes);
  self->tell_hit(turn, held);
  auto cached_tokens = static_cast<std::int64_t>(held) * self->choice.block_tokens;
  co_await self->prefill(static_cast<std::int64_t>(prompt.size()), cached_tokens);
  for (auto& hash : turn.hashes) self->hold(hash);
  out->start(200, {{"Content-Type", "text/event-stream"}});
  auto tokens = std::make_shared<std::vector<std::int64_t>>(prompt);
  auto made = co_await self->decode(out, tokens, body.value("max_tokens", std::int64_t{16}));
  if (!made) co_return;
  for (auto& hash : prefix::block_hashes(identity, *tokens)) self->hold(hash);
  json usage{{"prompt_tokens", prompt.size()},
             {"prompt_tokens_details", {{"cached_tokens", cached_tokens}}},
             {"completion_tokens", *made}};
  finish_completion(out, usage, moved);
}

}  // namespace herontally::engine_stand_in
