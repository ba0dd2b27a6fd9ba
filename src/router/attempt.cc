// One attempt: the request goes to the planned engine, and its answer back to the client.
#include <absl/cleanup/cleanup.h>

#include "router/request_router_state.h"

namespace herontally::router {

namespace {

// What is left of an answer that nobody needs is read for this long.
constexpr microseconds read_to_end_time = 100 * millisecond;
// How far past its deadline a complete answer may be held until it is durable; the client is owed its end
// soon.
constexpr microseconds keep_grace = 200 * millisecond;
// A turn is kept for longer than its route says by this, as clocks differ.
constexpr microseconds retention_margin = 10 * second;
// And by this, so that the turns of a program that goes on without a long pause need no copy of their chain.
constexpr microseconds chain_margin = 15 * second;
// A record beyond this size wouldn't reach the stores: a chain is copied into its last turn up to it.
constexpr std::size_t max_copied_chain = 8u << 20;

// The lower-case names that a Connection header lists.
std::set<std::string> connection_options(const std::string& value) {
  std::set<std::string> names;
  std::string name;
  for (char letter : value + ",") {
    if (letter == ',')
      names.insert(std::exchange(name, ""));
    else if (letter != ' ')
      name += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return names;
}

bool is_success(int status) { return status >= 200 && status < 300; }

// These statuses would promise what nobody promised.
bool is_promise(int status) { return status == 429 || status == 503 || status == 408; }

}  // namespace

headers end_to_end(const headers& from) {
  static const std::set<std::string> hop_by_hop{
      "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
      "te",         "trailer",    "upgrade",          "transfer-encoding",  "content-length",
      "expect"};
  auto connection = from.find("connection");
  auto named = connection == from.end() ? std::set<std::string>() : connection_options(connection->second);
  headers passed;
  for (auto& [name, value] : from)
    if (!hop_by_hop.contains(name) && !named.contains(name)) passed[name] = value;
  return passed;
}

runtime::http_request request_router::state::request_for(const exchange& one, const plan& made) const {
  runtime::http_request request;
  request.method = one.request.method;
  request.path = one.request.target.empty() ? one.request.path : one.request.target;
  request.body = one.body;
  request.headers = end_to_end(one.request.headers);
  auto left = (one.deadline - runtime.now()) / millisecond;
  adapter->address_request(request.headers, made.engine_id, std::max<std::int64_t>(1, left), one.urgency);
  if (one.tenant) adapter->set_tenant(request.headers, *one.tenant);
  request.pooled = true;
  request.most_connections = made.connections;
  bool repeatable = one.route.kind == routing::category::idempotent;
  request.longest_idle = idle.longest(one.service.name, repeatable, runtime.now());
  request.echo_name = adapter->echo_header;
  request.echo_value = one.metadata.attempt;
  return request;
}

void request_router::state::note_failure(const exchange& one, interning::symbol engine,
                                         const runtime::http_failure& failure) {
  engines.failed(engine, !failure.sent, runtime.now());
  bool on_idle_connection = failure.sent && !failure.garbled && failure.idle_before >= 0;
  if (!on_idle_connection) return;
  // The engine may have forgotten the connection; what was sent may have run all the same.
  idle.lost(one.service.name, failure.idle_before, runtime.now());
  logger.count("herontally_idle_connections_lost_total");
  logger.info("request lost on an idle connection",
              {{"service", one.service.name}, {"idle_milliseconds", failure.idle_before / millisecond}});
}

void request_router::state::log_placement(const exchange& one, const plan& made) const {
  logger.count("herontally_placements_total");
  if (made.cached_tokens > 0) logger.count("herontally_placements_kept_total");
  if (made.source) {
    // Who could lend the rest is named on the ordinary path; the order to pull is not known here
    // (docs/platform.md, questions), so that the destination computes what it lacks.
    logger.count("herontally_sources_total");
    logger.count("herontally_source_tokens_total",
                 static_cast<double>(made.source_tokens - made.cached_tokens));
  }
  logger.debug("placed", {{"request", one.metadata.attempt},
                          {"engine", made.engine_id},
                          {"attempt", made.attempt},
                          {"version", made.version},
                          {"cached", made.cached_tokens},
                          {"source", made.source.value_or("")}});
}

task<attempt_outcome> request_router::state::handle_answer(exchange_pointer one, plan made,
                                                           std::shared_ptr<runtime::http_stream> stream,
                                                           runtime::http_head head) {
  constexpr int misdirected = 421, bad_request = 400, conflict = 409;
  auto self = shared_from_this();
  auto metadata = self->adapter->read_response(head.status, head.headers);
  one->engine_heard = true;
  bool other_engine = !metadata.instance.empty() && metadata.instance != made.engine_id;
  if (head.status == misdirected && other_engine) {
    self->engines.replaced(made.engine);
    co_return attempt_outcome::wrong_engine;
  }
  bool promised = metadata.not_run || head.status == misdirected;
  if (promised && head.status == conflict && one->route.kind == routing::category::keyed) {
    co_await self->read_to_end(stream);
    co_return attempt_outcome::in_progress;
  }
  if (promised && head.status != bad_request) {
    self->engines.answered(made.engine, metadata, self->runtime.now());
    co_await self->read_to_end(stream);
    co_return attempt_outcome::not_run;
  }
  bool streams =
      is_success(head.status) && one->route.kind == routing::category::streaming && metadata.sealed;
  auto outcome = attempt_outcome::unknown;
  if (streams)
    outcome = co_await self->forward_stream(one, stream, end_to_end(head.headers));
  else
    outcome = co_await self->forward_whole(one, stream, head.status, end_to_end(head.headers));
  if (outcome == attempt_outcome::answered)
    self->engines.answered(made.engine, metadata, self->runtime.now());
  if (outcome == attempt_outcome::unknown || outcome == attempt_outcome::cut)
    self->engines.failed(made.engine, false, self->runtime.now());
  co_return outcome;
}

task<attempt_outcome> request_router::state::handle_first(exchange_pointer one, plan made,
                                                          std::shared_ptr<runtime::http_stream> stream,
                                                          runtime::http_event first) {
  auto self = shared_from_this();
  if (auto* head = std::get_if<runtime::http_head>(&first))
    co_return co_await self->handle_answer(one, std::move(made), stream, std::move(*head));
  auto* failure = std::get_if<runtime::http_failure>(&first);
  bool sent = !failure || failure->sent;
  one->engine_heard = one->engine_heard || sent;
  self->note_failure(*one, made.engine, failure ? *failure : runtime::http_failure{});
  co_return sent ? attempt_outcome::unknown : attempt_outcome::not_sent;
}

task<attempt_outcome> request_router::state::run_attempt(exchange_pointer one, plan made) {
  auto self = shared_from_this();
  auto engine = made.engine;
  self->log_placement(*one, made);
  self->engines.sent(engine, made.unread_tokens, self->runtime.now());
  absl::Cleanup ended = [self, engine] {
    self->engines.ended(engine);
    self->notify_waiting();
  };
  auto stream =
      std::make_shared<runtime::http_stream>(self->runtime, made.address, self->request_for(*one, made));
  one->interrupt = [weak = std::weak_ptr<runtime::http_stream>(stream)] {
    if (auto here = weak.lock()) here->interrupt();
  };
  auto first = co_await stream->next(std::max<microseconds>(1, one->deadline - self->runtime.now()));
  self->engines.begun(engine, made.unread_tokens);
  auto outcome = attempt_outcome::overdue;
  if (first && !one->client_gone) outcome = co_await self->handle_first(one, made, stream, std::move(*first));
  if (one->client_gone) outcome = attempt_outcome::client_gone;
  if (outcome == attempt_outcome::overdue) one->engine_heard = true;
  std::move(ended).Invoke();
  // What the engine has read it keeps for a while.
  bool read = outcome == attempt_outcome::answered || outcome == attempt_outcome::cut ||
              outcome == attempt_outcome::client_gone;
  if (read) self->engines.prefixes().note(engine, made.parts, self->runtime.now());
  co_return outcome;
}

// Read to its end, an answer that nobody needs leaves the connection fit for the next request.
task<> request_router::state::read_to_end(std::shared_ptr<runtime::http_stream> stream) {
  auto self = shared_from_this();
  auto until = self->runtime.now() + read_to_end_time;
  while (self->runtime.now() < until) {
    auto next = co_await stream->next(until - self->runtime.now());
    bool more = next && std::holds_alternative<runtime::http_piece>(*next);
    if (!more) co_return;
  }
}

task<attempt_outcome> request_router::state::forward_whole(exchange_pointer one,
                                                           std::shared_ptr<runtime::http_stream> stream,
                                                           int status, headers answer) {
  auto self = shared_from_this();
  runtime::http_response response;
  response.status = status;
  response.headers = std::move(answer);
  while (true) {
    auto next = co_await stream->next(std::max<microseconds>(1, one->deadline - self->runtime.now()));
    if (one->client_gone) co_return attempt_outcome::client_gone;
    if (!next) co_return attempt_outcome::overdue;
    if (std::holds_alternative<runtime::http_end>(*next)) break;
    if (std::holds_alternative<runtime::http_failure>(*next)) co_return attempt_outcome::unknown;
    if (auto* piece = std::get_if<runtime::http_piece>(&*next)) response.body += piece->bytes;
  }
  auto metadata = self->adapter->read_response(status, response.headers);
  // A success counts only under the engine's stamp.
  bool unstamped = is_success(status) && !metadata.sealed;
  if (unstamped || is_promise(status)) co_return attempt_outcome::unknown;
  co_await self->keep_operation_answer(one, response);
  self->logger.count("herontally_answers_total");
  one->out->reply(std::move(response));
  co_return attempt_outcome::answered;
}

// A turn is kept with all turns before it. Each of those goes at a time of its own, so that a turn that would
// outlive them holds what they said itself, and goes on from none.
static ledger::turn_record turn_to_keep(const exchange& one, std::int64_t promised_until) {
  ledger::turn_record record;
  record.id = one.ledger_id(one.metadata.attempt);
  record.kept_until = promised_until + chain_margin;
  bool outlives_chain = one.chain_kept_until < promised_until && one.body.size() <= max_copied_chain;
  record.previous = outlives_chain ? "" : one.ledger_id(one.metadata.previous);
  record.input = outlives_chain ? one.body : one.request.body;
  return record;
}

// The answer is complete only once what was said is durable: from its end on the turn may be gone on from.
task<bool> request_router::state::keep_turn(exchange_pointer one, std::string output) {
  auto self = shared_from_this();
  if (!one->route.kept) co_return true;
  auto record = turn_to_keep(*one, self->runtime.wall() + one->route.keep * millisecond + retention_margin);
  record.output = std::move(output);
  bool durable = co_await self->programs.keep_turn(std::move(record), one->deadline + keep_grace);
  if (!durable) self->logger.count("herontally_turns_not_kept_total");
  co_return durable;
}

task<attempt_outcome> request_router::state::forward_stream(exchange_pointer one,
                                                            std::shared_ptr<runtime::http_stream> stream,
                                                            headers answer) {
  auto self = shared_from_this();
  event_scanner scanner(one->route.kept);
  auto send_head = [&one, &answer] {
    if (!one->head_sent) one->out->start(200, answer);
    one->head_sent = true;
  };
  // The head waits for the first event: until then a failure can still get a response of its own.
  while (true) {
    auto next = co_await stream->next(std::max<microseconds>(1, one->deadline - self->runtime.now()));
    if (one->client_gone) co_return attempt_outcome::client_gone;
    if (next && std::holds_alternative<runtime::http_piece>(*next)) {
      auto& bytes = std::get<runtime::http_piece>(*next).bytes;
      scanner.feed(bytes);
      one->events = scanner.events();
      send_head();
      one->out->piece(std::move(bytes));
      continue;
    }
    if (next && std::holds_alternative<runtime::http_end>(*next)) break;
    if (!one->head_sent) co_return next ? attempt_outcome::unknown : attempt_outcome::overdue;
    // An answer that ends early must look so.
    self->logger.count("herontally_streams_cut_total");
    one->out->cut();
    co_return attempt_outcome::cut;
  }
  bool kept = co_await self->keep_turn(one, scanner.data());
  if (!kept) {
    one->out->cut();
    co_return attempt_outcome::cut;
  }
  send_head();
  one->out->finish();
  self->logger.count("herontally_answers_total");
  co_return attempt_outcome::answered;
}

}  // namespace herontally::router
