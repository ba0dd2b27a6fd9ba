// Completions, and the lending and borrowing of blocks between model engines.
#include "simengine/node_state.h"

namespace herontally::simengine {

// Asks the lender by hash which blocks remain and takes what it writes; only whole blocks that are what their
// hash says count. Whatever goes wrong, the rest is computed here.
task<pulled> node::state::pull(json transfer, std::vector<std::string> hashes, microseconds arrived) {
  auto self = shared_from_this();
  pulled result;
  std::vector<std::string> wanted = transfer.value("block_hashes", std::vector<std::string>());
  result.asked = static_cast<std::int64_t>(wanted.size());
  // Hashes that aren't this prompt's own would bring in somebody else's history.
  std::set<std::string> own(hashes.begin(), hashes.end());
  for (auto& hash : wanted)
    if (!own.count(hash)) co_return result;
  runtime::http_request request;
  request.method = "POST";
  request.path = "/v1/kv/blocks";
  request.body = json{{"block_hashes", wanted}}.dump();
  std::string source =
      transfer.value("remote_host", "") + ":" + std::to_string(transfer.value("remote_port", 0));
  // Counted from the turn's arrival: a turn that waited for its place must not pull by an old decision.
  microseconds deadline = arrived + transfer.value("pull_milliseconds", std::int64_t{2000}) * millisecond;
  runtime::http_stream stream(self->runtime, source, request);
  std::string buffer;
  bool whole = false;
  while (!whole && !result.failed) {
    auto left = deadline - self->runtime.now();
    if (left <= 0) {
      result.failed = true;
      break;
    }
    auto event = co_await stream.next(left);
    auto* head = event ? std::get_if<runtime::http_head>(&*event) : nullptr;
    if (!event || std::holds_alternative<runtime::http_failure>(*event) || (head && head->status != 200)) {
      result.failed = true;
    } else if (auto* bytes = std::get_if<runtime::http_piece>(&*event)) {
      buffer += bytes->bytes;
      result.bytes += static_cast<std::int64_t>(bytes->bytes.size());
      for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
        auto line = json::parse(buffer.substr(0, end), nullptr, false);
        buffer.erase(0, end + 1);
        if (!line.is_object()) continue;
        if (line.contains("end")) whole = true;
        if (!line.contains("hash") || !line.contains("data")) continue;
        std::string hash = line["hash"], data = line["data"];
        auto size = static_cast<std::size_t>(self->choice.block_tokens * self->choice.bytes_per_token);
        bool right = static_cast<std::size_t>(result.found) < wanted.size() &&
                     hash == wanted[static_cast<std::size_t>(result.found)] &&
                     data == block_payload(hash, size);
        if (!right) {
          result.failed = true;
          break;
        }
        ++result.found;
        self->hold(hash);
      }
    } else if (std::holds_alternative<runtime::http_end>(*event) && !whole) {
      result.failed = true;
    }
  }
  self->journal.count("herontally_engine_kv_bytes_in_total", static_cast<double>(result.bytes));
  self->journal.count("herontally_engine_kv_blocks_asked_total", static_cast<double>(result.asked));
  self->journal.count("herontally_engine_kv_blocks_found_total", static_cast<double>(result.found));
  self->journal.count("herontally_engine_kv_blocks_missed_total",
                      static_cast<double>(result.asked - result.found));
  if (result.failed) self->journal.count("herontally_engine_kv_pulls_failed_total");
  co_return result;
}

task<> node::state::lend(json body, gateway::writer out) {
  auto self = shared_from_this();
  auto hashes = body.value("block_hashes", std::vector<std::string>());
  std::size_t have = self->leading(hashes);
  if (self->lending >= self->choice.most_lends) {
    // Above its own cap a lender refuses at once, and the borrower computes.
    self->journal.count("herontally_engine_kv_lends_refused_total");
    gateway::reply_json(out, 503, {{"error", "too many pulls"}});
    co_return;
  }
  ++self->lending;
  std::shared_ptr<void> seat(nullptr, [self](void*) { --self->lending; });
  out->start(200, {{"Content-Type", "application/x-ndjson"}});
  out->piece(json{{"have", have}}.dump() + "\n");
  co_await self->runtime.sleep(static_cast<microseconds>(self->choice.pull_floor_milliseconds * 1000));
  auto size = static_cast<std::size_t>(self->choice.block_tokens * self->choice.bytes_per_token);
  double owed = 0;
  for (std::size_t position = 0; position < have; ++position) {
    if (self->lender == "pause") co_await self->runtime.sleep(3600 * second);
    if (self->lender == "cut" && position >= have / 2) {
      out->cut();
      co_return;
    }
    std::string data = block_payload(hashes[position], size);
    if (self->lender == "garble" && position == have / 2) data[0] ^= 1;
    std::string line = json{{"hash", hashes[position]}, {"data", data}}.dump() + "\n";
    self->journal.count("herontally_engine_kv_bytes_out_total", static_cast<double>(line.size()));
    owed += static_cast<double>(line.size()) / self->choice.transfer_bytes_per_second * second;
    out->piece(std::move(line));
    self->hold(hashes[position]);
    if (owed < 1000) continue;
    co_await self->runtime.sleep(static_cast<microseconds>(owed));
    owed = 0;
    if (out->closed()) co_return;
  }
  out->piece(json{{"end", true}}.dump() + "\n");
  out->finish();
}

task<> node::state::complete(runtime::inbound_request request, json body, gateway::writer out) {
  auto self = shared_from_this();
  auto arrived = self->runtime.now();
  if (self->draining) {
    gateway::reply_json(out, 503, {{"error", "draining"}, {"ran", "no"}});
    co_return;
  }
  std::vector<std::int64_t> prompt = body.value("prompt", std::vector<std::int64_t>());
  auto transfer = body.value("kv_transfer_params", json::object());
  auto cache = transfer.value("cache_identity", json::object());
  prefix::identity identity;
  identity.partner = cache.value("partner", "");
  identity.model = self->choice.serves;
  identity.weights = self->choice.weights;
  identity.hash_seed = self->choice.hash_seed;
  identity.block_tokens = self->choice.block_tokens;
  identity.shared_tokens = cache.value("shared_tokens", std::size_t{0});
  identity.program = cache.value("program", "");
  auto hashes = prefix::block_hashes(identity, prompt);
  std::string program = cache.value("program", ""), incoming = body.value("request_id", "");
  run seen{"turn", program, incoming, "", prompt, {}, {}, {}, sent_of(request)};
  if (self->watcher) self->watcher(seen);
  co_await self->take_place();
  // However this turn ends, its place is given back.
  std::shared_ptr<void> place(nullptr, [self](void*) { self->leave_place(); });
  std::size_t local = self->leading(hashes);
  pulled moved;
  auto patience = transfer.value("pull_milliseconds", std::int64_t{2000}) * millisecond;
  bool in_time = self->runtime.now() < arrived + patience;
  if (transfer.contains("remote_host") && local < hashes.size() && in_time && !out->closed()) {
    auto flown = self->take_off("borrow", request, out);
    seen.what = "borrow";
    seen.flights = self->flights("borrow");
    if (self->watcher) self->watcher(seen);
    moved = co_await self->pull(transfer, hashes, arrived);
  }
  std::size_t held = self->leading(hashes);
  if (self->watcher) {
    auto edge = hashes.begin() + static_cast<std::ptrdiff_t>(held);
    self->watcher(
        {"hit", program, incoming, "", prompt, {hashes.begin(), edge}, {edge, hashes.end()}, {}, seen.sent});
  }
  auto computed =
      static_cast<std::int64_t>(prompt.size()) - static_cast<std::int64_t>(held) * self->choice.block_tokens;
  // One prefill after the other: simultaneous ones slow each other.
  auto begin = std::max(self->runtime.now(), self->busy_until);
  self->busy_until = begin + static_cast<microseconds>(static_cast<double>(computed) /
                                                       self->choice.prefill_tokens_per_second * second);
  co_await self->runtime.sleep(self->busy_until - self->runtime.now());
  self->journal.count("herontally_engine_tokens_computed_total", static_cast<double>(computed));
  self->journal.count("herontally_engine_tokens_cached_total",
                      static_cast<double>(static_cast<std::int64_t>(held) * self->choice.block_tokens));
  self->journal.count("herontally_engine_turns_total");
  for (auto& hash : hashes) self->hold(hash);
  json usage{{"prompt_tokens", prompt.size()},
             {"prompt_tokens_details",
              {{"cached_tokens", static_cast<std::int64_t>(held) * self->choice.block_tokens}}}};
  json report{{"blocks_asked", moved.asked},
              {"blocks_found", moved.found},
              {"bytes_moved", moved.bytes},
              {"pull_failed", moved.failed}};
  out->start(200, {{"Content-Type", "text/event-stream"}});
  auto tokens = prompt;
  std::int64_t made = 0;
  auto most = body.value("max_tokens", std::int64_t{16});
  while (made < most) {
    co_await self->runtime.sleep(static_cast<microseconds>(self->choice.token_milliseconds * 1000));
    if (out->closed()) co_return;
    auto next = token_after(tokens);
    tokens.push_back(next.id);
    ++made;
    bool over = next.last || made == most;
    json choice{{"index", 0}, {"text", next.text}, {"token_ids", {next.id}}, {"finish_reason", nullptr}};
    if (over) choice["finish_reason"] = next.last ? "stop" : "length";
    out->piece("data: " + json{{"choices", {choice}}}.dump() + "\n\n");
    if (over) break;
  }
  for (auto& hash : prefix::block_hashes(identity, tokens)) self->hold(hash);
  usage["completion_tokens"] = made;
  out->piece(
      "data: " + json{{"choices", json::array()}, {"usage", usage}, {"kv_transfer_params", report}}.dump() +
      "\n\n");
  out->piece("data: [DONE]\n\n");
  out->finish();
}

}  // namespace herontally::simengine
