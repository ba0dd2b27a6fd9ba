#include "engine/completion.h"

#include <nlohmann/json.hpp>

#include "serialization/bounded_json.h"

namespace herontally::engine {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::task;

namespace {
constexpr std::size_t max_line_bytes = 1 << 20;

runtime::http_request make_http_request(const completion_request& request) {
  json transfer = json::object();
  transfer["cache_identity"] = {{"partner", request.identity.partner},
                                {"program", request.identity.program},
                                {"shared_tokens", request.identity.shared_tokens}};
  if (!request.source.empty()) {
    auto colon = request.source.rfind(':');
    transfer["remote_host"] = request.source.substr(0, colon);
    transfer["remote_port"] = std::stoi(request.source.substr(colon + 1));
    transfer["block_hashes"] = request.source_blocks;
    transfer["pull_milliseconds"] = request.pull_milliseconds;
  }
  json body{{"model", request.model},
            {"prompt", request.prompt},
            {"max_tokens", request.max_tokens},
            {"stream", true},
            {"stream_options", {{"include_usage", true}}},
            {"return_token_ids", true},
            {"request_id", request.request_id},
            {"kv_transfer_params", transfer}};
  runtime::http_request http_request;
  http_request.method = "POST";
  http_request.path = "/v1/completions";
  http_request.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", request.request_id}};
  http_request.body = body.dump();
  return http_request;
}
}  // namespace

struct completion::state {
  runtime::handle runtime;
  runtime::http_stream stream;
  std::string buffer;
  int status = 0;
  bool done = false;
  completion_summary summary;
  std::vector<completion_event> events;
  state(runtime::handle handle, const completion_request& request)
      : runtime(handle), stream(handle, request.address, make_http_request(request)) {}

  void handle_data(const std::string& text) {
    if (text == "[DONE]") {
      done = true;
      events.push_back(summary);
      return;
    }
    auto event = serialization::parse_bounded_object(text);
    if (!event) {
      // After an event that isn't JSON the rest of the response isn't trusted either.
      done = true;
      events.push_back(completion_failure{true, status, "malformed event"});
      return;
    }
    try {
      handle_event(*event);
    } catch (const json::exception&) {
      done = true;
      events.push_back(completion_failure{true, status, "malformed event"});
    }
  }

  void handle_event(const json& event) {
    if (event.contains("choices") && !event["choices"].empty()) {
      auto& choice = event["choices"][0];
      completion_chunk next;
      next.text = choice.value("text", "");
      next.tokens = choice.value("token_ids", std::vector<std::int64_t>());
      if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        summary.finish_reason = choice["finish_reason"];
      if (!next.text.empty() || !next.tokens.empty()) events.push_back(std::move(next));
    }
    if (event.contains("usage") && event["usage"].is_object()) {
      auto& usage = event["usage"];
      summary.prompt_tokens = usage.value("prompt_tokens", std::int64_t{0});
      summary.output_tokens = usage.value("completion_tokens", std::int64_t{0});
      if (usage.contains("prompt_tokens_details"))
        summary.cached_tokens = usage["prompt_tokens_details"].value("cached_tokens", std::int64_t{0});
    }
    if (event.contains("kv_transfer_params") && event["kv_transfer_params"].is_object()) {
      auto& moved = event["kv_transfer_params"];
      summary.blocks_requested = moved.value("blocks_asked", std::int64_t{0});
      summary.blocks_found = moved.value("blocks_found", std::int64_t{0});
      summary.bytes_moved = moved.value("bytes_moved", std::int64_t{0});
      summary.pull_failed = moved.value("pull_failed", false);
    }
  }

  // A turn whose finish reason was received is complete, even if the rest of the response was lost.
  void fail(completion_failure failure) {
    if (summary.finish_reason.empty())
      events.push_back(std::move(failure));
    else
      events.push_back(summary);
  }

  void handle_bytes(const std::string& bytes) {
    buffer += bytes;
    std::size_t begin = 0;
    for (auto end = buffer.find('\n'); end != std::string::npos && !done; end = buffer.find('\n', begin)) {
      std::string line = buffer.substr(begin, end - begin);
      begin = end + 1;
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.rfind("data:", 0) == 0) handle_data(line.substr(line.size() > 5 && line[5] == ' ' ? 6 : 5));
    }
    buffer.erase(0, begin);
    if (buffer.size() > max_line_bytes && !done) {
      done = true;
      events.push_back(completion_failure{true, status, "event line too long"});
    }
  }
};

completion::completion(runtime::handle runtime, completion_request request)
    : state_(std::make_unique<state>(std::move(runtime), request)) {}
completion::~completion() = default;

task<completion_event> completion::next(microseconds timeout) {
  auto* self = state_.get();
  microseconds deadline = self->runtime.now() + timeout;
  while (self->events.empty()) {
    auto left = deadline - self->runtime.now();
    if (left <= 0) co_return completion_timeout{};
    auto event = co_await self->stream.next(left);
    if (!event) co_return completion_timeout{};
    if (auto* head = std::get_if<runtime::http_head>(&*event)) {
      self->status = head->status;
    } else if (auto* bytes = std::get_if<runtime::http_piece>(&*event)) {
      if (self->status == 200) self->handle_bytes(bytes->bytes);
    } else if (auto* failed = std::get_if<runtime::http_failure>(&*event)) {
      self->fail({failed->sent, self->status, "connection failed"});
    } else if (!self->done) {
      // The body ended without the final [DONE] event, so the turn is incomplete. An engine that answers with
      // a status other than 200 has not started the turn.
      bool may_have_run = self->status == 200;
      self->fail(
          {may_have_run, self->status, may_have_run ? "response ended early" : "rejected by the engine"});
    }
  }
  auto event = std::move(self->events.front());
  self->events.erase(self->events.begin());
  co_return event;
}

}  // namespace herontally::engine
