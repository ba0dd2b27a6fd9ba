#include "proxy/turn_stream.h"

namespace herontally::proxy {

static std::string line_of(const json& fields) {
  return fields.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

static void send_head(const turn_request& turn, turn_progress& progress) {
  if (progress.head_sent) return;
  progress.head_sent = true;
  turn.out->start(200, {{"Content-Type", "application/x-ndjson"}, {"Request-Id", turn.request_id}});
}

void send_piece(const turn_request& turn, turn_progress& progress, const engine::completion_chunk& chunk) {
  send_head(turn, progress);
  turn.out->piece(line_of({{"n", progress.pieces++}, {"text", chunk.text}}));
}

void send_end(const context& shared, const turn_request& turn, turn_progress& progress, stream_end end,
              json fields) {
  fields["turn"] = turn.turn;
  if (!progress.head_sent && end == stream_end::cut) {
    shared.count_rejection("not finished");
    // The turn certainly did not run only if no engine has received it.
    auto ran = progress.may_have_reached_engine ? executed::unknown : executed::no;
    http_api::reject(turn.out, 503, fields.value("reason", "cut"), ran, shared.retry_after(1),
                     {{"turn", turn.turn}, {"request_id", turn.request_id}});
    return;
  }
  send_head(turn, progress);
  fields["n"] = progress.pieces;
  fields["end"] = end == stream_end::complete ? "complete" : "cut";
  fields["pieces"] = progress.pieces;
  turn.out->piece(line_of(fields));
  turn.out->finish();
}

void send_stored(const context& shared, const turn_request& turn, const ledger::turn_content& content) {
  turn_progress progress;
  if (!content.output.empty()) send_piece(turn, progress, {content.output, {}});
  json fields{{"tokens", content.output_tokens.size()}, {"stored", true}};
  send_end(shared, turn, progress, stream_end::complete, fields);
}

}  // namespace herontally::proxy
