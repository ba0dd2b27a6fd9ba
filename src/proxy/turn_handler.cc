#include "proxy/turn_handler.h"

#include <algorithm>
#include <cmath>

#include "runtime/breaks.h"
#include "serialization/bounded_json.h"

namespace herontally::proxy {

using http_api::reject;
using ledger::reservation_status;

namespace {

constexpr int max_attempts = 4;
constexpr std::size_t max_contents = 4000, contents_dropped_at_once = 1000;
constexpr std::int64_t default_turns_per_engine = 8;
constexpr const char* no_engine = "no engine of the model can take turns";

bool is_usable(const placement::engine& engine) {
  return engine.live && !engine.draining && !engine.evacuated;
}

// What is wrong with a turn's body; empty: nothing.
std::string fault_of(const json& body) {
  if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string())
    return "the body must be a JSON object with a string \"prompt\"";
  bool turn_fits =
      !body.contains("turn") || (body["turn"].is_string() && interning::is_plain_name(body["turn"]));
  if (!turn_fits) return "turn must be a plain name";
  bool tokens_fit = !body.contains("max_tokens") ||
                    (body["max_tokens"].is_number_integer() && body["max_tokens"].get<std::int64_t>() >= 1);
  return tokens_fit ? "" : "max_tokens must be a whole number from 1";
}

// The tokens that the chain names, as they were, between the program's shared prefix and the new prompt.
std::vector<std::int64_t> prompt_of(const configuration::program& settings,
                                    const std::vector<ledger::turn_content>& turns,
                                    const std::string& asked) {
  auto prompt = prefix::tokenize(settings.shared_prefix);
  for (auto& turn : turns) {
    prompt.insert(prompt.end(), turn.prompt_tokens.begin(), turn.prompt_tokens.end());
    prompt.insert(prompt.end(), turn.output_tokens.begin(), turn.output_tokens.end());
  }
  auto fresh = prefix::tokenize(asked);
  prompt.insert(prompt.end(), fresh.begin(), fresh.end());
  return prompt;
}

microseconds seconds_of(double seconds) { return static_cast<microseconds>(seconds * second); }

}  // namespace

std::optional<turn_request> turn_handler::parse(const runtime::inbound_request& request,
                                                const http_api::writer& out, const std::string& partner,
                                                const std::string& program) {
  auto& shared = *context_;
  const auto* settings =
      interning::is_plain_name(program) ? shared.partner(partner).find_program(program) : nullptr;
  if (!settings) {
    reject(out, 404, "no such program", executed::no);
    return std::nullopt;
  }
  auto body = serialization::parse_bounded(request.body).value_or(json());
  auto fault = fault_of(body);
  if (!fault.empty()) {
    reject(out, 400, fault, executed::no);
    return std::nullopt;
  }
  turn_request turn;
  turn.request_id = shared.place.name + "-" + shared.runtime.random_name();
  turn.partner = partner;
  turn.program = program;
  // Without a name of the client's, a turn can't be asked for again.
  turn.turn = body.value("turn", turn.request_id);
  turn.prompt = body["prompt"];
  turn.most_tokens = std::min(settings->turn_tokens, body.value("max_tokens", settings->turn_tokens));
  turn.out = out;
  return turn;
}

bool turn_handler::has_engine(const turn_request& turn, const std::string& model) const {
  auto engines =
      engines_of(context_->engines.rows(), "model", turn.partner, model, context_->planning({}, 1));
  return std::any_of(engines.begin(), engines.end(), is_usable);
}

// Those ahead of us, over what the engines complete, at the pace of late.
std::int64_t turn_handler::expected_wait_seconds(const turn_request& turn, const std::string& model) const {
  auto& shared = *context_;
  if (shared.capacity.size() == 0) return 0;
  auto engines = engines_of(shared.engines.rows(), "model", turn.partner, model, shared.planning({}, 1));
  auto usable = std::count_if(engines.begin(), engines.end(), is_usable);
  auto& models = shared.partner(turn.partner).models;
  auto known = models.find(model);
  auto each = known == models.end() ? default_turns_per_engine : known->second.turns_per_engine;
  double slots = static_cast<double>(usable * each) / static_cast<double>(shared.ranks.proxies);
  double rounds = static_cast<double>(shared.capacity.size()) / std::max(1.0, slots);
  return std::llround(rounds * shared.turn_seconds);
}

// What would be given up later is rejected now.
bool turn_handler::admit(const turn_request& turn, const std::string& model) {
  auto& shared = *context_;
  if (!has_engine(turn, model)) {
    shared.count_rejection("no engine");
    reject(turn.out, 503, no_engine, executed::no, shared.retry_after(2));
    return false;
  }
  auto wait = expected_wait_seconds(turn, model);
  bool too_long = static_cast<double>(wait) > shared.config->limit.queue_seconds;
  if (shared.capacity.size() < shared.place.queue && !too_long) return true;
  shared.count_rejection("overload");
  reject(turn.out, 429, "all engines of the model are busy", executed::no,
         shared.retry_after(std::max<std::int64_t>(1, wait)));
  return false;
}

task<> turn_handler::serve(runtime::inbound_request request, http_api::writer out, std::string partner,
                           std::string program) {
  auto self = shared_from_this();
  auto turn = self->parse(request, out, partner, program);
  if (!turn) co_return;
  auto& model = self->context_->partner(partner).find_program(program)->model;
  if (!self->admit(*turn, model)) co_return;
  auto reserved = co_await self->reserve(std::move(*turn));
  if (!reserved) co_return;
  auto until = std::min(reserved->deadline, self->context_->runtime.now() + ledger_timeout);
  auto turns = co_await self->read_chain(reserved->record, until);
  auto outcome = attempt_outcome::failed;
  if (turns) {
    bool answered = co_await self->answer_from_chain(reserved, *turns);
    if (answered) co_return;
    outcome = co_await self->run_attempts(reserved, std::move(*turns));
  } else {
    reserved->failure = "the program's chain can't be read in full";
  }
  if (outcome == attempt_outcome::complete)
    co_await self->commit(reserved);
  else
    co_await self->abort(reserved, outcome);
}

task<turn_handler::reserved_pointer> turn_handler::reserve(turn_request request) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto turn = std::make_shared<reserved_turn>();
  turn->settings = *shared->partner(request.partner).find_program(request.program);
  turn->begun = shared->runtime.now();
  auto& reservation = turn->reservation;
  reservation.partner = request.partner;
  reservation.program = request.program;
  reservation.turn = request.turn;
  reservation.request_id = request.request_id;
  reservation.owner = shared->place.name;
  reservation.owner_incarnation = shared->incarnation;
  reservation.budget = turn->settings.budget_tokens;
  reservation.amount = request.most_tokens;
  reservation.lease_microseconds = seconds_of(turn->settings.turn_seconds) + 2 * ledger_timeout;
  turn->request = std::move(request);
  auto result = co_await shared->conversations.reserve(reservation, turn->begun + ledger_timeout);
  if (result.status != reservation_status::granted) {
    co_await self->reject_unreserved(turn, std::move(result));
    co_return nullptr;
  }
  turn->record = result.now;
  turn->lease_end = turn->begun + reservation.lease_microseconds - ledger_timeout;
  turn->deadline = turn->begun + seconds_of(turn->settings.turn_seconds);
  co_return turn;
}

task<> turn_handler::reject_unreserved(reserved_pointer turn, ledger::reservation_result result) {
  auto self = shared_from_this();
  auto& shared = *self->context_;
  auto& out = turn->request.out;
  switch (result.status) {
    case reservation_status::granted:
      break;
    case reservation_status::busy:
      shared.count_rejection("turn open");
      reject(out, 409, "another turn of the program is open", executed::no, 1);
      break;
    case reservation_status::budget_spent:
      shared.count_rejection("budget spent");
      reject(out, 402, "the program's budget is spent", executed::no, 0,
             {{"spent", result.now.spent}, {"request_id", turn->request.request_id}});
      break;
    case reservation_status::already_ended:
      co_await self->send_outcome_before(turn, *result.before);
      break;
    case reservation_status::disk_full:
      shared.count_rejection("disks full");
      reject(out, 503, "the ledger's disks have no room for new work", executed::no, shared.retry_after(5));
      break;
    case reservation_status::unreachable:
    case reservation_status::unknown:
      // No engine has heard of it, and this request ends here.
      shared.count_rejection("ledger");
      reject(out, 503, "the ledger can't be reached by a majority", executed::no, shared.retry_after(1));
      if (result.status == reservation_status::unknown) co_await self->abort_if_reserved(turn);
      break;
  }
}

// A reservation whose answer was lost may stand; it is closed, so that it doesn't lapse at its full amount.
task<> turn_handler::abort_if_reserved(reserved_pointer turn) {
  auto shared = context_;
  auto& request = turn->request;
  auto now = co_await shared->conversations.read(request.partner, request.program,
                                                 shared->runtime.now() + ledger_timeout);
  bool ours = now && !now->open.empty() && now->open.front().request_id == request.request_id;
  if (ours)
    co_await shared->conversations.abort_turn(turn->reservation, now->epoch, 0,
                                              shared->runtime.now() + ledger_timeout);
}

task<> turn_handler::send_outcome_before(reserved_pointer turn, ledger::ended_turn before) {
  auto shared = context_;
  auto content = co_await shared->conversations.read_turn(before.digest, turn->begun + 2 * ledger_timeout);
  if (content)
    send_stored(*shared, turn->request, *content);
  else
    reject(turn->request.out, 503, "the turn is done, but its outcome can't be read now", executed::unknown,
           shared->retry_after(1));
}

void turn_handler::remember(const std::string& digest, const ledger::turn_content& content) {
  // They never change, so that any of them may go at any time.
  if (contents_.size() > max_contents)
    contents_.erase(contents_.begin(), std::next(contents_.begin(), contents_dropped_at_once));
  contents_[digest] = content;
}

task<std::optional<turn_handler::chain>> turn_handler::read_chain(ledger::conversation_record record,
                                                                  microseconds deadline) {
  auto self = shared_from_this();
  chain remembered;
  std::string digest = record.digest;
  while (remembered.size() < static_cast<std::size_t>(record.length)) {
    auto found = self->contents_.find(digest);
    if (found == self->contents_.end()) break;
    remembered.push_back(found->second);
    digest = found->second.previous;
  }
  std::reverse(remembered.begin(), remembered.end());
  auto missing = record;
  missing.digest = digest;
  missing.length = record.length - static_cast<std::int64_t>(remembered.size());
  if (missing.length == 0 && !digest.empty()) co_return std::nullopt;
  auto turns = co_await self->context_->conversations.read_chain(missing, deadline);
  if (!turns) co_return std::nullopt;
  for (auto each = turns->rbegin(); each != turns->rend(); ++each) {
    self->remember(digest, *each);
    digest = each->previous;
  }
  turns->insert(turns->end(), remembered.begin(), remembered.end());
  co_return turns;
}

// The record remembers its latest endings only; the chain remembers them all.
task<bool> turn_handler::answer_from_chain(reserved_pointer turn, chain turns) {
  if (broken("names")) co_return false;
  auto shared = context_;
  auto same_name = [&turn](auto& each) { return each.turn == turn->request.turn; };
  auto before = std::find_if(turns.begin(), turns.end(), same_name);
  if (before == turns.end()) co_return false;
  co_await shared->conversations.abort_turn(turn->reservation, turn->record.epoch, 0,
                                            shared->runtime.now() + ledger_timeout);
  send_stored(*shared, turn->request, *before);
  co_return true;
}

bool turn_handler::may_go_on(reserved_turn& turn) const {
  auto& shared = *context_;
  auto& request = turn.request;
  if (!shared.is_fresh() || !shared.config->partners.contains(request.partner)) return false;
  auto& section = shared.partner(request.partner);
  const auto* now = section.find_program(request.program);
  if (!now) return false;
  // What was put out under another prefix or model can't be gone on with under the new one.
  bool same = now->shared_prefix == turn.settings.shared_prefix && now->model == turn.settings.model;
  if (!same && !turn.progress->tokens.empty()) {
    turn.failure = "the program's prefix or model was changed";
    return false;
  }
  turn.settings = *now;
  return section.models.contains(now->model);
}

// A later attempt goes on where the last one broke off: the same tokens in front, the rest of the reservation
// behind.
turn_subject turn_handler::subject_of(const reserved_turn& turn, const chain& turns) const {
  auto& request = turn.request;
  auto& model = context_->partner(request.partner).models.at(turn.settings.model);
  auto prompt = prompt_of(turn.settings, turns, request.prompt);
  auto& put_out = turn.progress->tokens;
  if (!broken("splice")) prompt.insert(prompt.end(), put_out.begin(), put_out.end());
  auto shared_tokens = prefix::tokenize(turn.settings.shared_prefix).size();
  auto most_tokens = request.most_tokens - static_cast<std::int64_t>(put_out.size());
  return {request.partner, request.program, request.request_id, model,         turn.settings,
          prompt,          shared_tokens,   most_tokens,        turn.deadline, turn.lease_end};
}

task<bool> turn_handler::wait_for_capacity(reserved_pointer turn) {
  auto until = std::min(turn->deadline, turn->begun + seconds_of(context_->config->limit.queue_seconds));
  turn->failure = until < context_->ends_at ? "no engine came free in time" : "this proxy is ending";
  return context_->capacity.wait(std::min(until, context_->ends_at));
}

void turn_handler::log_placement(const reserved_turn& turn, const turn_plan& plan) const {
  context_->logger.info("turn placed", {{"request_id", turn.request.request_id},
                                        {"partner", turn.request.partner},
                                        {"program", turn.request.program},
                                        {"turn", turn.request.turn},
                                        {"engine", plan.destination_name},
                                        {"attempt", plan.attempt},
                                        {"revision", plan.config_revision},
                                        {"source", plan.order.source}});
}

// The configuration may have changed since the last attempt; each plan is made under one view of it.
task<attempt_outcome> turn_handler::run_attempts(reserved_pointer turn, chain turns) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::vector<interning::symbol> avoid;
  auto outcome = attempt_outcome::failed;
  for (int attempt = 1; attempt <= max_attempts && outcome == attempt_outcome::failed;) {
    // Nobody waits for it any more: no engine needs to hear of it.
    if (turn->request.out->closed()) co_return attempt_outcome::client_gone;
    if (!self->may_go_on(*turn)) break;
    auto subject = self->subject_of(*turn, turns);
    if (subject.most_tokens <= 0) co_return attempt_outcome::complete;
    auto planned = plan_turn(subject, shared->planning(avoid, attempt), shared->engines.rows(),
                             shared->prefixes, shared->runtime.random());
    auto* plan = std::get_if<turn_plan>(&planned);
    if (!plan && std::get<unplanned>(planned) == unplanned::hopeless && !broken("hope")) {
      // The last engine that could have taken it is gone: it is answered now, not at the end of its wait.
      turn->failure = no_engine;
      break;
    }
    if (!plan) {
      bool capacity = co_await self->wait_for_capacity(turn);
      if (!capacity) break;
      continue;
    }
    self->log_placement(*turn, *plan);
    avoid.push_back(plan->destination);
    auto next = std::make_shared<turn_attempt>(shared, std::move(*plan), turn->request, turn->progress);
    outcome = co_await next->run();
    ++attempt;
  }
  co_return outcome;
}

task<> turn_handler::commit(reserved_pointer turn) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto& request = turn->request;
  auto& progress = *turn->progress;
  ledger::turn_content content;
  content.previous = turn->record.digest;
  content.partner = request.partner;
  content.program = request.program;
  content.turn = request.turn;
  content.prompt = request.prompt;
  content.output = progress.text;
  content.generation = turn->record.generation;
  content.prompt_tokens = prefix::tokenize(request.prompt);
  content.output_tokens = progress.tokens;
  auto tokens = static_cast<std::int64_t>(progress.tokens.size());
  auto settled = co_await shared->conversations.commit_turn(turn->reservation, turn->record.epoch, content,
                                                            tokens, turn->settings.keep_seconds,
                                                            shared->runtime.now() + ledger_timeout);
  if (settled != ledger::settlement_status::settled) {
    // Not durable, or superseded: to the client the turn isn't complete.
    shared->logger.count("herontally_turns_total{how=\"unsettled\"}");
    send_end(*shared, request, progress, stream_end::cut,
             {{"reason", "the ledger could not settle the turn"}});
    co_return;
  }
  self->remember(ledger::digest_of(ledger::to_text(content)), content);
  shared->logger.count("herontally_turns_total{how=\"complete\"}");
  send_end(*shared, request, progress, stream_end::complete,
           {{"tokens", tokens}, {"spent", turn->record.spent + tokens}, {"length", turn->record.length + 1}});
}

// What was put out is spent. The client is answered first; the ledger's answer changes nothing for it.
task<> turn_handler::abort(reserved_pointer turn, attempt_outcome outcome) {
  auto shared = context_;
  shared->logger.count("herontally_turns_total{how=\"cut\"}");
  std::string reason = turn->failure;
  if (outcome == attempt_outcome::lease_over) reason = "the turn's lease is over";
  if (outcome == attempt_outcome::too_slow) reason = "the client reads too slowly";
  send_end(*shared, turn->request, *turn->progress, stream_end::cut, {{"reason", reason}});
  co_await shared->conversations.abort_turn(turn->reservation, turn->record.epoch,
                                            static_cast<std::int64_t>(turn->progress->tokens.size()),
                                            shared->runtime.now() + ledger_timeout);
}

}  // namespace herontally::proxy
