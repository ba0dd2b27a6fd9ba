// Single requests of a client. A protocol error in a turn's response is reported in `seen_turn::odd`.
#include "load_generator/load.h"

namespace herontally::load_generator {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::second;
using runtime::task;

namespace {

std::string header(const std::map<std::string, std::string>& headers, const char* name) {
  auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

// Reads the lines of a turn's stream and checks their order and the final piece's count.
struct piece_reader {
  seen_turn& seen;
  std::int64_t next_number = 0;
  void read_line(const std::string& text) {
    auto line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("n")) {
      seen.odd = "a line is not a piece";
      return;
    }
    if (!seen.end.empty()) seen.odd = "a piece after the final piece";
    if (line["n"].get<std::int64_t>() != next_number) seen.odd = "a piece out of order";
    ++next_number;
    if (line.contains("end")) {
      seen.end = line["end"];
      seen.tokens = line.value("tokens", std::int64_t{0});
      seen.stored = line.value("stored", false);
      if (line.value("pieces", std::int64_t{-1}) != seen.pieces)
        seen.odd = "the final piece has a wrong count of pieces";
      return;
    }
    ++seen.pieces;
    seen.text += line.value("text", "");
  }
};

}  // namespace

task<seen_turn> take_turn(runtime::handle runtime, std::string proxy, std::string partner,
                          std::string program, std::string turn, std::string prompt, std::int64_t max_tokens,
                          double timeout) {
  seen_turn seen;
  seen.partner = partner;
  seen.program = program;
  seen.turn = turn;
  seen.prompt = prompt;
  seen.proxy = proxy;
  auto started_at = runtime.now();
  auto deadline = started_at + static_cast<microseconds>(timeout * second);
  runtime::http_request request;
  request.method = "POST";
  request.path = "/v1/partners/" + partner + "/programs/" + program + "/turns";
  request.body = json{{"turn", turn}, {"prompt", prompt}, {"max_tokens", max_tokens}}.dump();
  request.headers["Content-Type"] = "application/json";
  runtime::http_stream stream(runtime, proxy, request);
  piece_reader reader{seen};
  std::string buffer;
  while (true) {
    auto remaining = deadline - runtime.now();
    if (remaining <= 0) break;
    auto event = co_await stream.next(remaining);
    if (!event || std::holds_alternative<runtime::http_failure>(*event)) break;
    if (auto* head = std::get_if<runtime::http_head>(&*event)) {
      seen.status = head->status;
      continue;
    }
    if (std::holds_alternative<runtime::http_end>(*event)) {
      if (seen.status != 200) {
        auto body = json::parse(buffer, nullptr, false);
        seen.ran = body.is_object() ? body.value("ran", "") : "";
        seen.request_id = body.is_object() ? body.value("request_id", "") : "";
        if (body.is_object()) seen.come_back_seconds = body.value("retry_after_seconds", std::int64_t{1});
        bool retry_time_optional = body.is_object() && (seen.status != 503 && seen.status != 429);
        if (!retry_time_optional && body.is_object() && !body.contains("retry_after_seconds"))
          seen.odd = "a rejection lacks retry_after_seconds";
      }
      break;
    }
    buffer += std::get<runtime::http_piece>(*event).bytes;
    if (seen.status != 200) continue;
    for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n')) {
      if (seen.first_piece_seconds < 0)
        seen.first_piece_seconds = static_cast<double>(runtime.now() - started_at) / second;
      reader.read_line(buffer.substr(0, end));
      buffer.erase(0, end + 1);
    }
  }
  seen.seconds = static_cast<double>(runtime.now() - started_at) / second;
  co_return seen;
}

task<seen_call> make_call(runtime::handle runtime, std::string proxy, std::string partner, std::string route,
                          std::string key, std::string body, double timeout) {
  seen_call seen;
  seen.partner = partner;
  seen.route = route;
  seen.key = key;
  auto started_at = runtime.now();
  runtime::http_request request;
  request.method = "POST";
  request.path = "/v1/partners/" + partner + "/calls/" + route;
  request.body = body;
  request.headers["Content-Type"] = "application/json";
  if (!key.empty()) request.headers["Idempotency-Key"] = key;
  auto result =
      co_await runtime::http_fetch(runtime, proxy, request, static_cast<microseconds>(timeout * second));
  if (auto* response = std::get_if<runtime::http_response>(&result)) {
    seen.status = response->status;
    seen.response = header(response->headers, "receipt");
    auto document = json::parse(response->body, nullptr, false);
    if (document.is_object()) {
      seen.ran = document.value("ran", "");
      seen.code = document.value("code", "");
      seen.request_id = document.value("request_id", "");
    }
  }
  seen.seconds = static_cast<double>(runtime.now() - started_at) / second;
  co_return seen;
}

}  // namespace herontally::load_generator
