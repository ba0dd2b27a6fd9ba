// What a turn's client is sent: numbered pieces, and one last piece that says how the stream ended.
#include "hproxy/node_state.h"

namespace herontally::hproxy {

void node::state::send_piece(const turn_request& incoming, progress& done, const engine::piece& next) {
  if (!done.started) {
    done.started = true;
    incoming.out->start(200, {{"Content-Type", "application/x-ndjson"}, {"Request-Id", incoming.request_id}});
  }
  json line{{"n", done.pieces++}, {"text", next.text}};
  incoming.out->piece(line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

void node::state::send_end(const turn_request& incoming, progress& done, const std::string& how,
                           json fields) {
  fields["turn"] = incoming.turn;
  if (!done.started && how != "complete") {
    refused("not finished");
    // Only where no engine has heard of the turn is it certain that nothing ran.
    gateway::reject(incoming.out, 503, fields.value("reason", how),
                    done.sent_on ? gateway::executed::unknown : gateway::executed::no, retry_after_seconds(1),
                    {{"turn", incoming.turn}, {"request_id", incoming.request_id}});
    return;
  }
  if (!done.started)
    incoming.out->start(200, {{"Content-Type", "application/x-ndjson"}, {"Request-Id", incoming.request_id}});
  fields["n"] = done.pieces;
  fields["end"] = how;
  fields["pieces"] = done.pieces;
  incoming.out->piece(fields.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
  incoming.out->finish();
}

task<> node::state::replay(turn_request incoming, ledger::ending before, microseconds deadline) {
  auto self = shared_from_this();
  auto content = co_await self->book.content(before.digest, deadline);
  if (!content) {
    gateway::reject(incoming.out, 503, "the turn is done, but its outcome can't be read now",
                    gateway::executed::unknown, self->retry_after_seconds(1));
    co_return;
  }
  self->give_again(incoming, *content);
}

void node::state::give_again(const turn_request& incoming, const ledger::turn_content& content) {
  progress done;
  if (!content.output.empty()) send_piece(incoming, done, {content.output, {}});
  send_end(incoming, done, "complete", {{"tokens", content.output_tokens.size()}, {"stored", true}});
}

}  // namespace herontally::hproxy
