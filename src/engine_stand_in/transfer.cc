// Lending and borrowing of blocks between model engines.
#include "engine_stand_in/node_state.h"

namespace herontally::engine_stand_in {

// One line of the lender's; false when it isn't the next block that was asked for, whole and right.
bool node::state::take_block(block_transfer& transfer, const json& line) {
  if (line.contains("end")) transfer.whole = true;
  if (!line.contains("hash") || !line.contains("data")) return true;
  auto next = static_cast<std::size_t>(transfer.result.found);
  std::string hash = line["hash"];
  std::string data = line["data"];
  if (next >= transfer.wanted.size() || hash != transfer.wanted[next]) return false;
  if (data != block_payload(hash, block_bytes())) return false;
  ++transfer.result.found;
  hold(hash);
  return true;
}

void node::state::take_bytes(block_transfer& transfer, const std::string& bytes) {
  transfer.buffer += bytes;
  transfer.result.bytes += static_cast<std::int64_t>(bytes.size());
  auto& buffer = transfer.buffer;
  for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
    auto line = json::parse(buffer.substr(0, end), nullptr, false);
    buffer.erase(0, end + 1);
    if (!line.is_object()) continue;
    if (take_block(transfer, line)) continue;
    transfer.result.failed = true;
    return;
  }
}

void node::state::take_event(block_transfer& transfer, const std::optional<runtime::http_event>& event) {
  auto* piece = event ? std::get_if<runtime::http_piece>(&*event) : nullptr;
  if (piece) return take_bytes(transfer, piece->bytes);
  auto* head = event ? std::get_if<runtime::http_head>(&*event) : nullptr;
  bool begun = head && head->status == 200;
  bool complete = transfer.whole && event && std::holds_alternative<runtime::http_end>(*event);
  if (!begun && !complete) transfer.result.failed = true;
}

void node::state::count_pull(const pulled& result) const {
  logger.count("herontally_engine_kv_bytes_in_total", static_cast<double>(result.bytes));
  logger.count("herontally_engine_kv_blocks_asked_total", static_cast<double>(result.asked));
  logger.count("herontally_engine_kv_blocks_found_total", static_cast<double>(result.found));
  logger.count("herontally_engine_kv_blocks_missed_total", static_cast<double>(result.asked - result.found));
  if (result.failed) logger.count("herontally_engine_kv_pulls_failed_total");
}

// Asks the lender by hash which blocks remain and takes what it writes; only whole blocks that are what their
// hash says count. Whatever goes wrong, the rest is computed here.
task<pulled> node::state::pull(json parameters, std::vector<std::string> hashes, microseconds arrived) {
  auto self = shared_from_this();
  block_transfer transfer;
  transfer.wanted = parameters.value("block_hashes", std::vector<std::string>());
  transfer.result.asked = static_cast<std::int64_t>(transfer.wanted.size());
  // Hashes that aren't this prompt's own would bring in somebody else's history.
  std::set<std::string> own(hashes.begin(), hashes.end());
  for (auto& hash : transfer.wanted)
    if (!own.contains(hash)) co_return transfer.result;
  runtime::http_request request;
  request.method = "POST";
  request.path = "/v1/kv/blocks";
  request.body = json{{"block_hashes", transfer.wanted}}.dump();
  std::string source =
      parameters.value("remote_host", "") + ":" + std::to_string(parameters.value("remote_port", 0));
  // Counted from the turn's arrival: a turn that waited for its place must not pull by an old decision.
  microseconds deadline = arrived + pull_timeout_of(parameters);
  runtime::http_stream stream(self->runtime, source, request);
  while (!transfer.whole && !transfer.result.failed) {
    auto left = deadline - self->runtime.now();
    if (left <= 0) {
      transfer.result.failed = true;
      break;
    }
    auto event = co_await stream.next(left);
    self->take_event(transfer, event);
  }
  self->count_pull(transfer.result);
  co_return transfer.result;
}

task<> node::state::lend(json body, http_api::writer out) {
  auto self = shared_from_this();
  auto hashes = body.value("block_hashes", std::vector<std::string>());
  std::size_t have = self->leading(hashes);
  if (self->lending >= self->choice.most_lends) {
    // Above its own cap a lender refuses at once, and the borrower computes.
    self->logger.count("herontally_engine_kv_lends_refused_total");
    http_api::reply_json(out, 503, {{"error", "too many pulls"}});
    co_return;
  }
  ++self->lending;
  std::shared_ptr<void> in_flight_guard(nullptr, [self](void*) { --self->lending; });
  out->start(200, {{"Content-Type", "application/x-ndjson"}});
  out->piece(json{{"have", have}}.dump() + "\n");
  co_await self->runtime.sleep(static_cast<microseconds>(self->choice.pull_floor_milliseconds * 1000));
  double owed = 0;
  for (std::size_t position = 0; position < have; ++position) {
    if (self->lender == "pause") co_await self->runtime.sleep(3600 * second);
    if (self->lender == "cut" && position >= have / 2) {
      out->cut();
      co_return;
    }
    std::string data = block_payload(hashes[position], self->block_bytes());
    if (self->lender == "garble" && position == have / 2) data[0] ^= 1;
    std::string line = json{{"hash", hashes[position]}, {"data", data}}.dump() + "\n";
    self->logger.count("herontally_engine_kv_bytes_out_total", static_cast<double>(line.size()));
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

}  // namespace herontally::engine_stand_in
