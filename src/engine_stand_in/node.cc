// The engine stand-in's HTTP endpoints, block cache, request slots and application calls.
// Completions are in model.cc and block transfers in transfer.cc.
#include "engine_stand_in/node.h"

#include "engine_stand_in/node_state.h"
#include "ledger/conversation_record.h"

namespace herontally::engine_stand_in {

next_output token_after(const std::vector<std::int64_t>& tokens) {
  std::uint64_t hash = 1469598103934665603ull;
  for (auto token : tokens) {
    hash ^= static_cast<std::uint64_t>(token);
    hash *= 1099511628211ull;
    hash ^= hash >> 29;
  }
  next_output next;
  next.id = static_cast<std::int64_t>(hash % 50021);
  next.text = "w" + std::to_string(next.id) + " ";
  next.last = hash % 41 == 0;
  return next;
}

std::string block_payload(const std::string& hash, std::size_t bytes) {
  std::string payload;
  while (payload.size() < bytes) payload += ledger::digest_of(hash + std::to_string(payload.size()));
  payload.resize(bytes);
  return payload;
}

node::node(runtime::handle runtime, options config, logging::logger logger)
    : state_(std::make_shared<state>(std::move(runtime), std::move(config), std::move(logger))) {}
node::~node() = default;
void node::on_run(std::function<void(const run&)> watcher) { state_->watcher = std::move(watcher); }
logging::logger node::logger() const { return state_->logger; }

void node::behave(const std::string& how) { state_->behave(how); }

void node::state::behave(const std::string& how) {
  if (how == "drain") draining = true;
  if (how == "undrain") draining = false;
  if (how == "lose-answers") lose_answers = true;
  if (how.rfind("lender-", 0) == 0) lender_mode = how.substr(7);
  if (how == "well") {
    lender_mode = "well";
    lose_answers = false;
  }
}

task<std::optional<std::string>> node::start() {
  std::weak_ptr<state> weak = state_;
  bool served = state_->runtime.http_serve(
      state_->config.http, [weak](runtime::inbound_request incoming, http_api::writer out) {
        if (auto here = weak.lock())
          here->runtime.spawn(here->serve_request(std::move(incoming), std::move(out)));
      });
  if (!served) co_return "can't listen on the http address: " + state_->config.http;
  co_return std::nullopt;
}

task<> node::leave() {
  auto self = state_;
  self->draining = true;
  auto deadline = self->runtime.now() + 2 * second;
  while (self->running + self->waiting > 0 && self->runtime.now() < deadline)
    co_await self->runtime.sleep(20 * millisecond);
}

void node::state::cache_block(const std::string& hash) {
  auto found = blocks.find(hash);
  if (found != blocks.end()) {
    lru_order.splice(lru_order.end(), lru_order, found->second);
    return;
  }
  lru_order.push_back(hash);
  blocks[hash] = std::prev(lru_order.end());
  if (blocks.size() <= static_cast<std::size_t>(config.cache_blocks)) return;
  blocks.erase(lru_order.front());
  lru_order.pop_front();
}

std::size_t node::state::cached_prefix_blocks(const std::vector<std::string>& hashes) {
  std::size_t count = 0;
  while (count < hashes.size() && blocks.contains(hashes[count])) ++count;
  return count;
}

microseconds sent_of(const runtime::inbound_request& incoming) {
  auto found = incoming.headers.find("x-sim-sent");
  return found == incoming.headers.end() ? 0 : atoll(found->second.c_str());
}

std::shared_ptr<void> node::state::track_request(const std::string& kind,
                                                 const runtime::inbound_request& incoming,
                                                 const http_api::writer& out) {
  auto number = next_active++;
  active_by_kind[kind][number] = {{incoming.peer, sent_of(incoming)}, out};
  return {nullptr, [weak = weak_from_this(), kind, number](void*) {
            if (auto here = weak.lock()) here->active_by_kind[kind].erase(number);
          }};
}

// Requests whose client has closed the connection are left out.
std::vector<active_request> node::state::active_requests(const std::string& kind) const {
  std::vector<active_request> list;
  auto found = active_by_kind.find(kind);
  if (found == active_by_kind.end()) return list;
  for (auto& [number, entry] : found->second)
    if (!entry.second->closed()) list.push_back(entry.first);
  return list;
}

void node::state::report_event(const std::string& what, const runtime::inbound_request& incoming,
                               const std::string& key, const std::string& kind) {
  if (!watcher) return;
  run event{what, key, "", incoming.path, {}, {}, {}, active_requests(kind), sent_of(incoming)};
  auto id = incoming.headers.find("x-request-id");
  if (id != incoming.headers.end()) event.request_id = id->second;
  watcher(event);
}

task<> node::state::acquire_slot() {
  auto self = shared_from_this();
  ++self->waiting;
  while (self->running >= self->config.most_running) {
    runtime::slot<bool> notifier(self->runtime);
    self->slot_waiters.push_back(notifier);
    co_await notifier.wait();
  }
  --self->waiting;
  ++self->running;
}

void node::state::release_slot() {
  --running;
  if (slot_waiters.empty()) return;
  slot_waiters.front().set(true);
  slot_waiters.erase(slot_waiters.begin());
}

std::string node::state::metrics() {
  logger.gauge("vllm:num_requests_waiting{model_name=\"" + config.serves + "\"}",
               static_cast<double>(waiting));
  logger.gauge("vllm:num_requests_running{model_name=\"" + config.serves + "\"}",
               static_cast<double>(running));
  logger.gauge("process_start_time_seconds", start_time_seconds);
  logger.gauge("herontally_engine_draining", draining ? 1 : 0);
  logger.gauge("herontally_engine_ready_seconds", static_cast<double>(runtime.now() - ready_at) / second);
  logger.gauge("herontally_engine_blocks_held", static_cast<double>(blocks.size()));
  return logger.metrics();
}

// Serves an application call. It runs every request, also one with an idempotency key that it has seen, so
// that a call that is run twice is counted twice.
task<> node::state::call(runtime::inbound_request incoming, http_api::writer out) {
  auto self = shared_from_this();
  std::string key = incoming.headers.contains("idempotency-key") ? incoming.headers["idempotency-key"] : "";
  auto tracked = self->track_request("call", incoming, out);
  self->report_event(incoming.method == "GET" ? "arrive-ask" : "arrive-call", incoming, key, "call");
  if (incoming.method == "GET") {
    auto found = self->calls.find(key);
    if (found == self->calls.end())
      http_api::reply_json(out, 404, {{"known", false}});
    else
      http_api::reply_json(out, 200, found->second.second);
    co_return;
  }
  if (self->draining) {
    http_api::reply_json(out, 503, {{"error", "draining"}, {"ran", "no"}});
    co_return;
  }
  co_await self->acquire_slot();
  auto jitter = static_cast<microseconds>(
      self->runtime.draw(static_cast<std::uint64_t>(self->config.call_milliseconds * 1000) + 1));
  co_await self->runtime.sleep(jitter + static_cast<microseconds>(self->config.call_milliseconds * 500));
  auto& entry = self->calls[key];
  entry.first += 1;
  entry.second = {{"work", incoming.path},
                  {"key", key},
                  {"by", self->config.name},
                  {"times", entry.first},
                  {"code", ledger::digest_of(key + incoming.body).substr(0, 16)}};
  self->logger.count("herontally_engine_calls_total");
  self->report_event("call", incoming, key, "call");
  self->release_slot();
  // The call has run, and its answer is dropped.
  if (self->lose_answers) {
    out->cut();
    co_return;
  }
  http_api::reply_json(out, 200, entry.second);
}

task<> node::state::serve_request(runtime::inbound_request incoming, http_api::writer out) {
  auto self = shared_from_this();
  if (incoming.path == "/metrics") {
    http_api::reply_text(out, "text/plain", self->metrics());
    co_return;
  }
  if (incoming.path == "/health" || incoming.path == "/readyz") {
    http_api::reply_json(out, self->draining ? 503 : 200, {{"draining", self->draining}});
    co_return;
  }
  if (incoming.path == "/sim/behave" && incoming.method == "POST") {
    self->behave(incoming.body);
    http_api::reply_json(out, 200, {{"behaves", incoming.body}});
    co_return;
  }
  if (self->config.kind != "model") {
    co_await self->call(std::move(incoming), std::move(out));
    co_return;
  }
  auto body = json::parse(incoming.body, nullptr, false);
  bool post = incoming.method == "POST" && body.is_object();
  if (post && incoming.path == "/v1/completions") {
    auto tracked = self->track_request("turn", incoming, out);
    self->report_event("arrive-turn", incoming, "", "turn");
    co_await self->complete(std::move(incoming), std::move(body), std::move(out));
  } else if (post && incoming.path == "/v1/kv/blocks") {
    auto tracked = self->track_request("lend", incoming, out);
    self->report_event("arrive-pull", incoming, "", "lend");
    co_await self->lend(std::move(body), std::move(out));
  } else
    http_api::reply_json(out, 404, {{"error", "no such page"}});
}

}  // namespace herontally::engine_stand_in
