// Internal to the proxy: a turn's request and its response stream to the client. The stream is
// newline-delimited JSON: numbered pieces of text, and a last piece that says how the stream ended.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

// A parsed turn and the writer for its response.
struct turn_request {
  std::string request_id, partner, program, turn, prompt;
  std::int64_t max_tokens = 0;
  http_api::writer out;
};

// What a turn has generated and sent so far, over all its attempts.
struct turn_progress {
  std::int64_t pieces = 0;
  std::string text;
  std::vector<std::int64_t> tokens;
  bool head_sent = false;                // the response headers were sent to the client
  bool may_have_reached_engine = false;  // false: certainly no engine has received the turn
};

enum class stream_end { complete, cut };

// Sends a piece of text, after the response headers if it is the first.
void send_piece(const turn_request& turn, turn_progress& progress, const engine::completion_chunk& chunk);
// Ends the stream with `fields` in its last piece. A cut turn of which nothing was sent yet is rejected with
// 503 instead.
void send_end(const context& shared, const turn_request& turn, turn_progress& progress, stream_end end,
              json fields);
// Sends the stored output of a turn that was completed by an earlier request.
void send_stored(const context& shared, const turn_request& turn, const ledger::turn_content& content);

}  // namespace herontally::proxy
