// One attempt: the request goes to the planned engine, and its answer back to the client.
#include "forward/door_state.h"

namespace herontally::forward {

headers end_to_end(const headers& from) {
  static const std::set<std::string> hop{"connection",
                                         "keep-alive",
                                         "proxy-connection",
                                         "proxy-authenticate",
                                         "proxy-authorization",
                                         "te",
                                         "trailer",
                                         "transfer-encoding",
                                         "upgrade",
                                         "content-length",
                                         "expect"};
  headers passed;
  std::set<std::string> named;
  auto connection = from.find("connection");
  if (connection != from.end()) {
    std::string word;
    for (char letter : connection->second + ",") {
      if (letter == ',') {
        named.insert(std::exchange(word, ""));
      } else if (letter != ' ') {
        word += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
      }
    }
  }
  for (auto& [name, value] : from)
    if (!hop.count(name) && !named.count(name)) passed[name] = value;
  return passed;
}

runtime::http_request door::state::request_for(const exchange& one, const plan& made) const {
  runtime::http_request request;
  request.method = one.request.method;
  request.path = one.request.target.empty() ? one.request.path : one.request.target;
  request.body = one.body;
  request.headers = end_to_end(one.request.headers);
  auto left = (one.deadline - runtime.now()) / millisecond;
  speech->address_request(request.headers, made.engine_id, std::max<std::int64_t>(1, left),
                          one.route.urgency);
  request.pooled = true;
  request.most_connections = made.connections;
  bool repeatable = one.route.kind == routing::category::idempotent;
  request.longest_idle = idle.longest(one.service.name, repeatable, runtime.now());
  request.echo_name = speech->echo_header;
  request.echo_value = one.terms.attempt;
  return request;
}

void door::state::note_failure(const exchange& one, interning::symbol engine,
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

task<attempt_end> door::state::attempt(exchange_pointer one, plan made) {
  auto self = shared_from_this();
  auto number = made.engine;
  self->logger.count("herontally_placements_total");
  if (made.cached_tokens > 0) self->logger.count("herontally_placements_kept_total");
  if (made.source) {
    // Who could lend the rest is named on the ordinary path; the order to pull is not known here
    // (docs/platform.md, questions), so that the destination computes what it lacks.
    self->logger.count("herontally_sources_total");
    self->logger.count("herontally_source_tokens_total",
                       static_cast<double>(made.source_tokens - made.cached_tokens));
  }
  self->logger.debug("placed", {{"request", one->terms.attempt},
                                {"engine", made.engine_id},
                                {"attempt", made.attempt},
                                {"version", made.version},
                                {"cached", made.cached_tokens},
                                {"source", made.source.value_or("")}});
  self->engines.sent(number, made.unread_tokens, self->runtime.now());
  auto stream =
      std::make_shared<runtime::http_stream>(self->runtime, made.address, self->request_for(*one, made));
  std::weak_ptr<runtime::http_stream> weak = stream;
  one->interrupt = [weak] {
    if (auto here = weak.lock()) here->interrupt();
  };
  auto first = co_await stream->next(std::max<microseconds>(1, one->deadline - self->runtime.now()));
  self->engines.begun(number, made.unread_tokens);
  attempt_end end = attempt_end::overdue;
  if (first && !one->gone) {
    auto* head = std::get_if<runtime::http_head>(&*first);
    if (head) {
      auto terms = self->speech->read_response(head->status, head->headers);
      one->offered = true;
      bool promised = terms.not_run || head->status == 421;
      bool success = head->status >= 200 && head->status < 300;
      if (head->status == 421 && !terms.instance.empty() && terms.instance != made.engine_id) {
        self->engines.gone(number);
        end = attempt_end::wrong_one;
      } else if (promised && head->status != 400) {
        self->engines.answered(number, terms, self->runtime.now());
        co_await self->read_out(stream);
        end = attempt_end::not_run;
      } else if (success && one->route.kind == routing::category::streaming && terms.sealed) {
        end = co_await self->pass_stream(one, stream, end_to_end(head->headers));
      } else {
        end = co_await self->pass_whole(one, stream, head->status, end_to_end(head->headers));
      }
      bool well = end == attempt_end::done;
      if (well) self->engines.answered(number, terms, self->runtime.now());
      if (end == attempt_end::unknown || end == attempt_end::cut)
        self->engines.failed(number, false, self->runtime.now());
    } else {
      auto* failure = std::get_if<runtime::http_failure>(&*first);
      bool sent = !failure || failure->sent;
      one->offered = one->offered || sent;
      end = sent ? attempt_end::unknown : attempt_end::not_sent;
      self->note_failure(*one, number, failure ? *failure : runtime::http_failure{});
    }
  }
  if (one->gone) end = attempt_end::gone;
  if (end == attempt_end::overdue) one->offered = true;
  self->engines.ended(number);
  self->wake();
  // What the engine has read it keeps for a while.
  bool read = end == attempt_end::done || end == attempt_end::cut || end == attempt_end::gone;
  if (read) self->engines.kept().note(number, made.parts, self->runtime.now());
  co_return end;
}

// Read to its end, an answer that nobody needs leaves the connection fit for the next request.
task<> door::state::read_out(std::shared_ptr<runtime::http_stream> stream) {
  auto self = shared_from_this();
  auto until = self->runtime.now() + 100 * millisecond;
  while (self->runtime.now() < until) {
    auto next = co_await stream->next(until - self->runtime.now());
    bool more = next && std::holds_alternative<runtime::http_piece>(*next);
    if (!more) co_return;
  }
}

task<attempt_end> door::state::pass_whole(exchange_pointer one, std::shared_ptr<runtime::http_stream> stream,
                                          int status, headers answer) {
  auto self = shared_from_this();
  runtime::http_response response;
  response.status = status;
  response.headers = std::move(answer);
  while (true) {
    auto next = co_await stream->next(std::max<microseconds>(1, one->deadline - self->runtime.now()));
    if (one->gone) co_return attempt_end::gone;
    if (!next) co_return attempt_end::overdue;
    if (std::holds_alternative<runtime::http_end>(*next)) break;
    if (std::holds_alternative<runtime::http_failure>(*next)) co_return attempt_end::unknown;
    if (auto* piece = std::get_if<runtime::http_piece>(&*next)) response.body += piece->bytes;
  }
  auto terms = self->speech->read_response(status, response.headers);
  bool success = status >= 200 && status < 300;
  // A success counts only under the engine's stamp; these statuses would promise what nobody promised.
  bool promise = status == 429 || status == 503 || status == 408;
  if ((success && !terms.sealed) || promise) co_return attempt_end::unknown;
  self->logger.count("herontally_answers_total");
  one->out->reply(std::move(response));
  co_return attempt_end::done;
}

// How far past its deadline a whole answer may be held until it is lasting; the client is owed its end soon.
constexpr microseconds keeping_grace = 200 * millisecond;

task<attempt_end> door::state::pass_stream(exchange_pointer one, std::shared_ptr<runtime::http_stream> stream,
                                           headers answer) {
  auto self = shared_from_this();
  event_scanner scanner(one->route.kept);
  // The head waits for the first event: until then a failure can still be told in full.
  while (true) {
    auto next = co_await stream->next(std::max<microseconds>(1, one->deadline - self->runtime.now()));
    if (one->gone) co_return attempt_end::gone;
    if (next && std::holds_alternative<runtime::http_piece>(*next)) {
      auto& bytes = std::get<runtime::http_piece>(*next).bytes;
      scanner.feed(bytes);
      one->events = scanner.events();
      if (!one->head_sent) one->out->start(200, answer);
      one->head_sent = true;
      one->out->piece(std::move(bytes));
      continue;
    }
    if (next && std::holds_alternative<runtime::http_end>(*next)) break;
    if (!one->head_sent) co_return next ? attempt_end::unknown : attempt_end::overdue;
    // An answer that ends early must look so.
    self->logger.count("herontally_streams_cut_total");
    one->out->cut();
    co_return attempt_end::cut;
  }
  if (one->route.kept) {
    ledger::turn_record record;
    record.id = one->terms.attempt;
    record.previous = one->terms.previous;
    record.input = one->request.body;
    record.output = scanner.data();
    record.kept_until = self->runtime.wall() + one->route.keep * millisecond + 10 * second;
    auto until = one->deadline + keeping_grace;
    // The answer is whole only once what was said is lasting: from its end on the turn may be gone on from.
    bool lasting = co_await self->programs.keep(std::move(record), until);
    if (!lasting) {
      self->logger.count("herontally_turns_not_kept_total");
      one->out->cut();
      co_return attempt_end::cut;
    }
  }
  if (!one->head_sent) one->out->start(200, answer);
  one->head_sent = true;
  one->out->finish();
  self->logger.count("herontally_answers_total");
  co_return attempt_end::done;
}

}  // namespace herontally::forward
