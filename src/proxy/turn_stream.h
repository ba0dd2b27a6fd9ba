// Internal to the proxy: one turn's request, and what its client has been sent of it: numbered pieces, and
// one last piece that says how the stream ended.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

struct turn_request {
  std::string request_id, partner, program, turn, prompt;
  std::int64_t most_tokens = 0;
  http_api::writer out;
};

// What one turn has put out so far, over all its attempts.
struct turn_progress {
  std::int64_t pieces = 0;
  std::string text;
  std::vector<std::int64_t> tokens;
  bool head_sent = false;     // the client has the head of the stream
  bool engine_heard = false;  // some engine has heard of the turn
};

enum class stream_end { complete, cut };

void send_piece(const turn_request& turn, turn_progress& progress, const engine::completion_chunk& next);
// Ends the stream. A turn of which nothing was sent is rejected instead, unless it is complete.
void send_end(const context& shared, const turn_request& turn, turn_progress& progress, stream_end how,
              json fields);
// Sends the outcome of a turn that was finished before.
void send_stored(const context& shared, const turn_request& turn, const ledger::turn_content& content);

}  // namespace herontally::proxy
