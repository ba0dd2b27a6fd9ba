// Transfer of cache blocks between model engines: the borrower's pull and the lender's response.
#include "engine_stand_in/node_state.h"

namespace herontally::engine_stand_in {

// Handles one line of the lender's response. Returns false if it holds a block that is not the next requested
// one or whose data is wrong.
bool node::state::accept_block(block_transfer& transfer, const json& line) {
  if (line.contains("end")) transfer.complete = true;
  if (!line.contains("hash") || !line.contains("data")) return true;
  auto next = static_cast<std::size_t>(transfer.result.found);
  std::string hash = line["hash"];
  std::string data = line["data"];
  if (next >= transfer.wanted.size() || hash != transfer.wanted[next]) return false;
  if (data != block_payload(hash, block_bytes())) return false;
  ++transfer.result.found;
  cache_block(hash);
  return true;
}

void node::state::accept_bytes(block_transfer& transfer, const std::string& bytes) {
  transfer.buffer += bytes;
  transfer.result.bytes += static_cast<std::int64_t>(bytes.size());
  auto& buffer = transfer.buffer;
  for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
    auto line = json::parse(buffer.substr(0, end), nullptr, false);
    buffer.erase(0, end + 1);
    if (!line.is_object()) continue;
    if (accept_block(transfer, line)) continue;
    transfer.result.failed = true;
    return;
  }
}

void node::state::accept_event(block_transfer& transfer, const std::optional<runtime::http_event>& event) {
  auto* piece = event ? std::get_if<runtime::http_piece>(&*event) : nullptr;
  if (piece) return accept_bytes(transfer, piece->bytes);
  auto* head = event ? std::get_if<runtime::http_head>(&*event) : nullptr;
  bool accepted = head && head->status == 200;
  bool ended = transfer.complete && event && std::holds_alternative<runtime::http_end>(*event);
  if (!accepted && !ended) transfer.result.failed = true;
}

void node::state::count_pull(const pull_result& result) const {
  logger.count("herontally_engine_kv_bytes_in_total", static_cast<double>(result.bytes));
  logger.count("herontally_engine_kv_blocks_asked_total", static_cast<double>(result.asked));
  logger.count("herontally_engine_kv_blocks_found_total", static_cast<double>(result.found));
  logger.count("herontally_engine_kv_blocks_missed_total", static_cast<double>(result.asked - result.found));
  if (result.failed) logger.count("herontally_engine_kv_pulls_failed_total");
}

// Requests the blocks by hash from the lender and caches those it sends. Only complete blocks whose data
// matches their hash count. After any failure the remaining blocks are computed here.
task<pull_result> node::state::pull_blocks(json parameters, std::vector<std::string> hashes,
                                           microseconds arrived) {
  auto self = shared_from_this();
  block_transfer transfer;
  transfer.wanted = parameters.value("block_hashes", std::vector<std::string>());
  transfer.result.asked = static_cast<std::int64_t>(transfer.wanted.size());
  // Hashes that don't belong to this prompt would import another conversation's cache.
  std::set<std::string> prompt_hashes(hashes.begin(), hashes.end());
  for (auto& hash : transfer.wanted)
    if (!prompt_hashes.contains(hash)) co_return transfer.result;
  runtime::http_request request;
  request.method = "POST";
  request.path = "/v1/kv/blocks";
  request.body = json{{"block_hashes", transfer.wanted}}.dump();
  std::string source =
      parameters.value("remote_host", "") + ":" + std::to_string(parameters.value("remote_port", 0));
  // Counted from the turn's arrival, so that a turn that waited long for a slot does not act on an outdated
  // placement decision.
  microseconds deadline = arrived + pull_timeout_of(parameters);
  runtime::http_stream stream(self->runtime, source, request);
  while (!transfer.complete && !transfer.result.failed) {
    auto remaining = deadline - self->runtime.now();
    if (remaining <= 0) {
      transfer.result.failed = true;
      break;
    }
    auto event = co_await stream.next(remaining);
    self->accept_event(transfer, event);
  }
  self->count_pull(transfer.result);
  co_return transfer.result;
}

task<> node::state::lend(json body, http_api::writer out) {
  auto self = shared_from_this();
  auto hashes = body.value("block_hashes", std::vector<std::string>());
  std::size_t available = self->cached_prefix_blocks(hashes);
  if (self->lending >= self->config.max_lends) {
    // At its limit a lender refuses immediately, and the borrower computes the blocks itself.
    self->logger.count("herontally_engine_kv_lends_refused_total");
    http_api::reply_json(out, 503, {{"error", "too many pulls"}});
    co_return;
  }
  ++self->lending;
  std::shared_ptr<void> in_flight_guard(nullptr, [self](void*) { --self->lending; });
  out->start(200, {{"Content-Type", "application/x-ndjson"}});
  out->piece(json{{"have", available}}.dump() + "\n");
  co_await self->runtime.sleep(static_cast<microseconds>(self->config.pull_floor_milliseconds * 1000));
  double pending_delay = 0;
  for (std::size_t position = 0; position < available; ++position) {
    if (self->lender_mode == "pause") co_await self->runtime.sleep(3600 * second);
    if (self->lender_mode == "cut" && position >= available / 2) {
      out->cut();
      co_return;
    }
    std::string data = block_payload(hashes[position], self->block_bytes());
    if (self->lender_mode == "garble" && position == available / 2) data[0] ^= 1;
    std::string line = json{{"hash", hashes[position]}, {"data", data}}.dump() + "\n";
    self->logger.count("herontally_engine_kv_bytes_out_total", static_cast<double>(line.size()));
    pending_delay += static_cast<double>(line.size()) / self->config.transfer_bytes_per_second * second;
    out->piece(std::move(line));
    self->cache_block(hashes[position]);
    if (pending_delay < 1000) continue;
    co_await self->runtime.sleep(static_cast<microseconds>(pending_delay));
    pending_delay = 0;
    if (out->closed()) co_return;
  }
  out->piece(json{{"end", true}}.dump() + "\n");
  out->finish();
}

}  // namespace herontally::engine_stand_in
