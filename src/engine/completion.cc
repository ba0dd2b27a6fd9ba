#include "engine/completion.h"

#include <nlohmann/json.hpp>

#include "serialization/bounded_json.h"

namespace herontally::engine {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::task;

namespace {
constexpr std::size_t longest_line = 1 << 20;

runtime::http_request request_of(const completion_request& order) {
  json transfer = json::object();
  transfer["cache_identity"] = {{"partner", order.identity.partner},
                                {"program", order.identity.program},
                                {"shared_tokens", order.identity.shared_tokens}};
  if (!order.source.empty()) {
    auto colon = order.source.rfind(':');
    transfer["remote_host"] = order.source.substr(0, colon);
    transfer["remote_port"] = std::stoi(order.source.substr(colon + 1));
    transfer["block_hashes"] = order.source_blocks;
    transfer["pull_milliseconds"] = order.pull_milliseconds;
  }
  json body{{"model", order.model},
            {"prompt", order.prompt},
            {"max_tokens", order.most_tokens},
            {"stream", true},
            {"stream_options", {{"include_usage", true}}},
            {"return_token_ids", true},
            {"request_id", order.request_id},
            {"kv_transfer_params", transfer}};
  runtime::http_request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", order.request_id}};
  request.body = body.dump();
  return request;
}
}  // namespace

struct completion::state {
  runtime::handle runtime;
  runtime::http_stream stream;
  std::string buffer;
  int status = 0;
  bool done = false;
  completion_summary last;
  std::vector<completion_event> ready;
  state(runtime::handle handle, const completion_request& order)
      : runtime(handle), stream(handle, order.address, request_of(order)) {}

  void take_data(const std::string& text) {
    if (text == "[DONE]") {
      done = true;
      ready.push_back(last);
      return;
    }
    auto event = serialization::parse_bounded_object(text);
    if (!event) {
      // An engine that speaks no JSON can't be trusted for the rest either.
      done = true;
      ready.push_back(completion_failure{true, status, "malformed event"});
      return;
    }
    try {
      take_event(*event);
    } catch (const json::exception&) {
      done = true;
      ready.push_back(completion_failure{true, status, "malformed event"});
    }
  }

  void take_event(const json& event) {
    if (event.contains("choices") && !event["choices"].empty()) {
      auto& choice = event["choices"][0];
      completion_chunk next;
      next.text = choice.value("text", "");
      next.tokens = choice.value("token_ids", std::vector<std::int64_t>());
      if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        last.finish = choice["finish_reason"];
      if (!next.text.empty() || !next.tokens.empty()) ready.push_back(std::move(next));
    }
    if (event.contains("usage") && event["usage"].is_object()) {
      auto& usage = event["usage"];
      last.prompt_tokens = usage.value("prompt_tokens", std::int64_t{0});
      last.output_tokens = usage.value("completion_tokens", std::int64_t{0});
      if (usage.contains("prompt_tokens_details"))
        last.cached_tokens = usage["prompt_tokens_details"].value("cached_tokens", std::int64_t{0});
    }
    if (event.contains("kv_transfer_params") && event["kv_transfer_params"].is_object()) {
      auto& moved = event["kv_transfer_params"];
      last.blocks_asked = moved.value("blocks_asked", std::int64_t{0});
      last.blocks_found = moved.value("blocks_found", std::int64_t{0});
      last.bytes_moved = moved.value("bytes_moved", std::int64_t{0});
      last.pull_failed = moved.value("pull_failed", false);
    }
  }

  // A turn whose finish reason has come is complete, even if what follows it was lost.
  void fail(completion_failure why) {
    if (last.finish.empty())
      ready.push_back(std::move(why));
    else
      ready.push_back(last);
  }

  void take_bytes(const std::string& bytes) {
    buffer += bytes;
    std::size_t begin = 0;
    for (auto end = buffer.find('\n'); end != std::string::npos && !done; end = buffer.find('\n', begin)) {
      std::string line = buffer.substr(begin, end - begin);
      begin = end + 1;
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.rfind("data:", 0) == 0) take_data(line.substr(line.size() > 5 && line[5] == ' ' ? 6 : 5));
    }
    buffer.erase(0, begin);
    if (buffer.size() > longest_line && !done) {
      done = true;
      ready.push_back(completion_failure{true, status, "line too long"});
    }
  }
};

completion::completion(runtime::handle runtime, completion_request order)
    : state_(std::make_unique<state>(std::move(runtime), order)) {}
completion::~completion() = default;

task<completion_event> completion::next(microseconds timeout) {
  auto* self = state_.get();
  microseconds deadline = self->runtime.now() + timeout;
  while (self->ready.empty()) {
    auto left = deadline - self->runtime.now();
    if (left <= 0) co_return completion_timeout{};
    auto event = co_await self->stream.next(left);
    if (!event) co_return completion_timeout{};
    if (auto* head = std::get_if<runtime::http_head>(&*event)) {
      self->status = head->status;
    } else if (auto* bytes = std::get_if<runtime::http_piece>(&*event)) {
      if (self->status == 200) self->take_bytes(bytes->bytes);
    } else if (auto* failed = std::get_if<runtime::http_failure>(&*event)) {
      self->fail({failed->sent, self->status, "channel failed"});
    } else if (!self->done) {
      // The body ended without the engine's own last word: it isn't complete.
      bool ran = self->status == 200;
      self->fail({ran, self->status, ran ? "ended early" : "dropped by engine"});
    }
  }
  auto event = std::move(self->ready.front());
  self->ready.erase(self->ready.begin());
  co_return event;
}

}  // namespace herontally::engine
