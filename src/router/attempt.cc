// One attempt: sends the request to the planned engine and forwards its answer to the client.
#include <absl/cleanup/cleanup.h>

#include "router/request_router_state.h"

namespace herontally::router {

namespace {

// How long the rest of an unneeded answer is read, so that the connection can be reused.
constexpr microseconds read_to_end_time = 100 * millisecond;
// How far past its deadline a complete answer may be delayed until it is durable; the client is waiting for
// its end.
constexpr microseconds store_grace = 200 * millisecond;
// Added to the route's retention time of a turn, because clocks differ.
constexpr microseconds retention_margin = 10 * second;
// Added as well, so that the turns of a program that continues without a long pause need no copy of their
// chain.
constexpr microseconds chain_margin = 15 * second;
// The part of an answer that the request's own reservation covers.
constexpr std::size_t covered_answer_bytes = 16u << 10;
// A growing string occupies up to twice its length.
constexpr std::size_t answer_overhead = 2;
// A client that is this far behind the events of its stream doesn't read them any more.
constexpr std::size_t max_stream_backlog = 1u << 20;
// The longest event that is scanned.
constexpr std::size_t max_event_bytes = 1u << 20;
// A chain is copied into its last turn only up to this size: a larger record wouldn't reach the stores.
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

// Accounts for a further part of an answer of which `collected` bytes are kept already.
bool reserve_answer(const client_exchange& exchange, std::size_t collected, std::size_t bytes) {
  if (collected + bytes <= covered_answer_bytes) return true;
  return exchange.reserve_memory(answer_overhead * bytes);
}

bool is_success(int status) { return status >= 200 && status < 300; }

// Whether a status tells the client that the request was not executed. Without the engine's explicit
// statement it must not be passed on.
bool implies_not_run(int status) { return status == 429 || status == 503 || status == 408; }

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

runtime::http_request request_router::state::request_for(const client_exchange& exchange,
                                                         const plan& attempt_plan) const {
  runtime::http_request request;
  request.method = exchange.request.method;
  request.path = exchange.request.target.empty() ? exchange.request.path : exchange.request.target;
  request.body = exchange.body;
  request.headers = end_to_end(exchange.request.headers);
  auto left = (exchange.deadline - runtime.now()) / millisecond;
  adapter->address_request(request.headers, attempt_plan.engine_id, std::max<std::int64_t>(1, left),
                           exchange.urgency);
  if (exchange.tenant) adapter->set_tenant(request.headers, *exchange.tenant);
  request.pooled = true;
  request.most_connections = attempt_plan.connections;
  bool repeatable = exchange.route.kind == routing::category::idempotent;
  request.longest_idle = idle_limits.max_idle(exchange.service.name, repeatable, runtime.now());
  request.echo_name = adapter->echo_header;
  request.echo_value = exchange.metadata.attempt;
  return request;
}

void request_router::state::record_failure(const client_exchange& exchange, interning::symbol engine,
                                           const runtime::http_failure& failure) {
  engines.request_failed(engine, !failure.sent, runtime.now());
  bool on_idle_connection = failure.sent && !failure.garbled && failure.idle_before >= 0;
  if (!on_idle_connection) return;
  // The engine may have dropped the idle connection; the request may have run nevertheless.
  idle_limits.record_loss(exchange.service.name, failure.idle_before, runtime.now());
  logger.count("herontally_idle_connections_lost_total");
  logger.info("request lost on an idle connection",
              {{"service", exchange.service.name}, {"idle_milliseconds", failure.idle_before / millisecond}});
}

void request_router::state::log_placement(const client_exchange& exchange, const plan& attempt_plan) const {
  logger.count("herontally_placements_total");
  if (attempt_plan.cached_tokens > 0) logger.count("herontally_placements_kept_total");
  if (attempt_plan.source) {
    // The source is only recorded: the call that makes an engine pull cache from a source is not known here
    // (docs/platform.md, questions), so that the destination computes the missing tokens.
    logger.count("herontally_sources_total");
    logger.count("herontally_source_tokens_total",
                 static_cast<double>(attempt_plan.source_tokens - attempt_plan.cached_tokens));
  }
  logger.debug("placed", {{"request", exchange.metadata.attempt},
                          {"engine", attempt_plan.engine_id},
                          {"attempt", attempt_plan.attempt},
                          {"version", attempt_plan.version},
                          {"cached", attempt_plan.cached_tokens},
                          {"source", attempt_plan.source.value_or("")}});
}

task<attempt_outcome> request_router::state::handle_answer(client_exchange_pointer exchange,
                                                           plan attempt_plan,
                                                           std::shared_ptr<runtime::http_stream> stream,
                                                           runtime::http_head head) {
  constexpr int misdirected = 421, bad_request = 400, conflict = 409;
  auto self = shared_from_this();
  auto metadata = self->adapter->read_response(head.status, head.headers);
  exchange->reached_engine = true;
  bool wrong_instance = !metadata.instance.empty() && metadata.instance != attempt_plan.engine_id;
  if (head.status == misdirected && wrong_instance) {
    self->engines.replaced(attempt_plan.engine);
    co_return attempt_outcome::wrong_engine;
  }
  bool not_run = metadata.not_run || head.status == misdirected;
  if (not_run && head.status == conflict && exchange->route.kind == routing::category::keyed) {
    co_await self->read_to_end(stream);
    co_return attempt_outcome::in_progress;
  }
  if (not_run && head.status != bad_request) {
    self->engines.request_answered(attempt_plan.engine, metadata, self->runtime.now());
    co_await self->read_to_end(stream);
    co_return attempt_outcome::not_run;
  }
  bool streams =
      is_success(head.status) && exchange->route.kind == routing::category::streaming && metadata.sealed;
  auto outcome = attempt_outcome::unknown;
  if (streams)
    outcome = co_await self->forward_stream(exchange, stream, end_to_end(head.headers));
  else
    outcome = co_await self->forward_complete(exchange, stream, head.status, end_to_end(head.headers));
  if (outcome == attempt_outcome::answered)
    self->engines.request_answered(attempt_plan.engine, metadata, self->runtime.now());
  if (outcome == attempt_outcome::unknown || outcome == attempt_outcome::stream_cut)
    self->engines.request_failed(attempt_plan.engine, false, self->runtime.now());
  co_return outcome;
}

task<attempt_outcome> request_router::state::handle_first_event(client_exchange_pointer exchange,
                                                                plan attempt_plan,
                                                                std::shared_ptr<runtime::http_stream> stream,
                                                                runtime::http_event first) {
  auto self = shared_from_this();
  if (auto* head = std::get_if<runtime::http_head>(&first))
    co_return co_await self->handle_answer(exchange, std::move(attempt_plan), stream, std::move(*head));
  auto* failure = std::get_if<runtime::http_failure>(&first);
  bool sent = !failure || failure->sent;
  exchange->reached_engine = exchange->reached_engine || sent;
  self->record_failure(*exchange, attempt_plan.engine, failure ? *failure : runtime::http_failure{});
  co_return sent ? attempt_outcome::unknown : attempt_outcome::not_sent;
}

task<attempt_outcome> request_router::state::run_attempt(client_exchange_pointer exchange,
                                                         plan attempt_plan) {
  auto self = shared_from_this();
  auto engine = attempt_plan.engine;
  self->log_placement(*exchange, attempt_plan);
  self->engines.request_sent(engine, attempt_plan.uncached_tokens, self->runtime.now());
  absl::Cleanup ended = [self, engine] {
    self->engines.request_ended(engine);
    self->notify_waiting();
  };
  auto stream = std::make_shared<runtime::http_stream>(self->runtime, attempt_plan.address,
                                                       self->request_for(*exchange, attempt_plan));
  exchange->interrupt_wait = [weak = std::weak_ptr<runtime::http_stream>(stream)] {
    if (auto alive = weak.lock()) alive->interrupt();
  };
  auto first = co_await stream->next(std::max<microseconds>(1, exchange->deadline - self->runtime.now()));
  self->engines.started_answering(engine, attempt_plan.uncached_tokens);
  auto outcome = attempt_outcome::deadline_exceeded;
  if (first && !exchange->client_disconnected)
    outcome = co_await self->handle_first_event(exchange, attempt_plan, stream, std::move(*first));
  if (exchange->client_disconnected) outcome = attempt_outcome::client_disconnected;
  if (outcome == attempt_outcome::deadline_exceeded) exchange->reached_engine = true;
  std::move(ended).Invoke();
  // The engine keeps the prompt that it has read in its cache for a while.
  bool read = outcome == attempt_outcome::answered || outcome == attempt_outcome::stream_cut ||
              outcome == attempt_outcome::client_disconnected;
  if (read) self->engines.prefixes().record_use(engine, attempt_plan.parts, self->runtime.now());
  co_return outcome;
}

// Reads an unneeded answer to its end, so that the connection can be reused for the next request.
task<> request_router::state::read_to_end(std::shared_ptr<runtime::http_stream> stream) {
  auto self = shared_from_this();
  auto until = self->runtime.now() + read_to_end_time;
  while (self->runtime.now() < until) {
    auto next = co_await stream->next(until - self->runtime.now());
    bool more = next && std::holds_alternative<runtime::http_piece>(*next);
    if (!more) co_return;
  }
}

task<attempt_outcome> request_router::state::forward_complete(client_exchange_pointer exchange,
                                                              std::shared_ptr<runtime::http_stream> stream,
                                                              int status, headers answer_headers) {
  auto self = shared_from_this();
  runtime::http_response response;
  response.status = status;
  response.headers = std::move(answer_headers);
  while (true) {
    auto next = co_await stream->next(std::max<microseconds>(1, exchange->deadline - self->runtime.now()));
    if (exchange->client_disconnected) co_return attempt_outcome::client_disconnected;
    if (!next) co_return attempt_outcome::deadline_exceeded;
    if (std::holds_alternative<runtime::http_end>(*next)) break;
    if (std::holds_alternative<runtime::http_failure>(*next)) co_return attempt_outcome::unknown;
    auto& bytes = std::get<runtime::http_piece>(*next).bytes;
    if (!reserve_answer(*exchange, response.body.size(), bytes.size())) co_return attempt_outcome::no_memory;
    response.body += bytes;
  }
  auto metadata = self->adapter->read_response(status, response.headers);
  // A success counts only with the engine's seal.
  bool unsealed = is_success(status) && !metadata.sealed;
  if (unsealed || implies_not_run(status)) co_return attempt_outcome::unknown;
  co_await self->store_operation_answer(exchange, response);
  self->logger.count("herontally_answers_total");
  exchange->out->reply(std::move(response));
  co_return attempt_outcome::answered;
}

// A turn is readable only with all earlier turns of its chain, each of which expires at its own time. A turn
// that would outlive the chain therefore contains the text of the whole chain and has no previous turn.
static ledger::turn_record make_turn_record(const client_exchange& exchange, std::int64_t promised_until) {
  ledger::turn_record record;
  record.id = exchange.ledger_id(exchange.metadata.attempt);
  record.retained_until = promised_until + chain_margin;
  bool outlives_chain =
      exchange.chain_expires_at < promised_until && exchange.body.size() <= max_copied_chain;
  record.previous = outlives_chain ? "" : exchange.ledger_id(exchange.metadata.previous);
  record.input = outlives_chain ? exchange.body : exchange.request.body;
  return record;
}

// The answer may end only once the turn is durable: from then on the client may continue from it. True if the
// turn is stored, or need not be. False: the caller must cut the stream.
task<bool> request_router::state::store_turn(client_exchange_pointer exchange, std::string output) {
  auto self = shared_from_this();
  if (!exchange->route.stores_turns) co_return true;
  auto record = make_turn_record(
      *exchange, self->runtime.wall() + exchange->route.retention * millisecond + retention_margin);
  record.output = std::move(output);
  bool durable = co_await self->programs.keep_turn(std::move(record), exchange->deadline + store_grace);
  if (!durable) self->logger.count("herontally_turns_not_kept_total");
  co_return durable;
}

task<attempt_outcome> request_router::state::forward_stream(client_exchange_pointer exchange,
                                                            std::shared_ptr<runtime::http_stream> stream,
                                                            headers answer_headers) {
  auto self = shared_from_this();
  event_scanner scanner(exchange->route.stores_turns);
  auto send_head = [&exchange, &answer_headers] {
    if (!exchange->head_sent) exchange->out->start(200, answer_headers);
    exchange->head_sent = true;
  };
  // The head is sent with the first piece of the body: until then a failure can still get a response of its
  // own.
  while (true) {
    auto next = co_await stream->next(std::max<microseconds>(1, exchange->deadline - self->runtime.now()));
    if (exchange->client_disconnected) co_return attempt_outcome::client_disconnected;
    if (next && std::holds_alternative<runtime::http_piece>(*next)) {
      auto& bytes = std::get<runtime::http_piece>(*next).bytes;
      scanner.feed(bytes);
      exchange->events = scanner.events();
      bool fits = scanner.unfinished_bytes() <= max_event_bytes;
      if (fits && exchange->route.stores_turns)
        fits = reserve_answer(*exchange, scanner.data().size(), bytes.size());
      send_head();
      exchange->out->piece(std::move(bytes));
      bool unread = exchange->out->backlog() > max_stream_backlog;
      if (fits && !unread) continue;
      self->logger.count("herontally_streams_cut_total");
      exchange->out->cut();
      co_return fits ? attempt_outcome::client_disconnected : attempt_outcome::no_memory;
    }
    if (next && std::holds_alternative<runtime::http_end>(*next)) break;
    if (!exchange->head_sent) co_return next ? attempt_outcome::unknown : attempt_outcome::deadline_exceeded;
    // The connection is cut, so that the client can tell an aborted stream from a complete one.
    self->logger.count("herontally_streams_cut_total");
    exchange->out->cut();
    co_return attempt_outcome::stream_cut;
  }
  bool kept = co_await self->store_turn(exchange, scanner.data());
  if (!kept) {
    exchange->out->cut();
    co_return attempt_outcome::stream_cut;
  }
  send_head();
  exchange->out->finish();
  self->logger.count("herontally_answers_total");
  co_return attempt_outcome::answered;
}

}  // namespace herontally::router
