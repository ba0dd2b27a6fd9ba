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
constexpr std::size_t max_cached_contents = 4000, contents_evicted_at_once = 1000;
constexpr std::int64_t default_turns_per_engine = 8;
constexpr const char* no_engine = "no engine of the model can take turns";

bool is_usable(const placement::engine& engine) {
  return engine.live && !engine.draining && !engine.evacuated;
}

// Why a turn's body is invalid; empty if it is valid.
std::string body_error(const json& body) {
  if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string())
    return "the body must be a JSON object with a string \"prompt\"";
  bool turn_fits =
      !body.contains("turn") || (body["turn"].is_string() && interning::is_plain_name(body["turn"]));
  if (!turn_fits) return "turn must be a plain name";
  bool tokens_fit = !body.contains("max_tokens") ||
                    (body["max_tokens"].is_number_integer() && body["max_tokens"].get<std::int64_t>() >= 1);
  return tokens_fit ? "" : "max_tokens must be a whole number from 1";
}

// The program's shared prefix, the tokens of the earlier turns exactly as they were stored, and the new
// prompt.
std::vector<std::int64_t> prompt_of(const configuration::program& settings,
                                    const std::vector<ledger::turn_content>& turns,
                                    const std::string& new_prompt) {
  auto prompt = prefix::tokenize(settings.shared_prefix);
  for (auto& turn : turns) {
    prompt.insert(prompt.end(), turn.prompt_tokens.begin(), turn.prompt_tokens.end());
    prompt.insert(prompt.end(), turn.output_tokens.begin(), turn.output_tokens.end());
  }
  auto new_tokens = prefix::tokenize(new_prompt);
  prompt.insert(prompt.end(), new_tokens.begin(), new_tokens.end());
  return prompt;
}

microseconds to_microseconds(double seconds) { return static_cast<microseconds>(seconds * second); }

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
  auto error = body_error(body);
  if (!error.empty()) {
    reject(out, 400, error, executed::no);
    return std::nullopt;
  }
  turn_request turn;
  turn.request_id = shared.node_settings.name + "-" + shared.runtime.random_name();
  turn.partner = partner;
  turn.program = program;
  // A turn without a name from the client can't be requested again.
  turn.turn = body.value("turn", turn.request_id);
  turn.prompt = body["prompt"];
  turn.max_tokens = std::min(settings->turn_tokens, body.value("max_tokens", settings->turn_tokens));
  turn.out = out;
  return turn;
}

bool turn_handler::has_usable_engine(const turn_request& turn, const std::string& model) const {
  auto engines = placement_engines(context_->engines.rows(), "model", turn.partner, model,
                                   context_->make_planning_context({}, 1));
  return std::any_of(engines.begin(), engines.end(), is_usable);
}

// The queue length divided by this proxy's slots at the usable engines, times the average duration of a turn.
std::int64_t turn_handler::expected_wait_seconds(const turn_request& turn, const std::string& model) const {
  auto& shared = *context_;
  if (shared.capacity.size() == 0) return 0;
  auto engines = placement_engines(shared.engines.rows(), "model", turn.partner, model,
                                   shared.make_planning_context({}, 1));
  auto usable = std::count_if(engines.begin(), engines.end(), is_usable);
  auto& models = shared.partner(turn.partner).models;
  auto found = models.find(model);
  auto turns_per_engine = found == models.end() ? default_turns_per_engine : found->second.turns_per_engine;
  double slots = static_cast<double>(usable * turns_per_engine) / static_cast<double>(shared.ranks.proxies);
  double rounds = static_cast<double>(shared.capacity.size()) / std::max(1.0, slots);
  return std::llround(rounds * shared.turn_seconds);
}

// Rejects at once what would be abandoned later.
bool turn_handler::admit(const turn_request& turn, const std::string& model) {
  auto& shared = *context_;
  if (!has_usable_engine(turn, model)) {
    shared.count_rejection("no engine");
    reject(turn.out, 503, no_engine, executed::no, shared.retry_after(2));
    return false;
  }
  auto wait = expected_wait_seconds(turn, model);
  bool too_long = static_cast<double>(wait) > shared.config->limits.queue_seconds;
  if (shared.capacity.size() < shared.node_settings.queue && !too_long) return true;
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
    reserved->failure_reason = "the program's chain can't be read in full";
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
  turn->started_at = shared->runtime.now();
  auto& reservation = turn->reservation;
  reservation.partner = request.partner;
  reservation.program = request.program;
  reservation.turn = request.turn;
  reservation.request_id = request.request_id;
  reservation.owner = shared->node_settings.name;
  reservation.owner_incarnation = shared->incarnation;
  reservation.budget = turn->settings.budget_tokens;
  reservation.amount = request.max_tokens;
  reservation.lease_microseconds = to_microseconds(turn->settings.turn_seconds) + 2 * ledger_timeout;
  turn->request = std::move(request);
  auto result = co_await shared->conversations.reserve(reservation, turn->started_at + ledger_timeout);
  if (result.status != reservation_status::granted) {
    co_await self->reject_unreserved(turn, std::move(result));
    co_return nullptr;
  }
  turn->record = result.now;
  turn->lease_end = turn->started_at + reservation.lease_microseconds - ledger_timeout;
  turn->deadline = turn->started_at + to_microseconds(turn->settings.turn_seconds);
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
      co_await self->send_earlier_outcome(turn, *result.earlier_outcome);
      break;
    case reservation_status::disk_full:
      shared.count_rejection("disks full");
      reject(out, 503, "the ledger's disks have no room for new work", executed::no, shared.retry_after(5));
      break;
    case reservation_status::unreachable:
    case reservation_status::unknown:
      // No engine has received the turn, and none will: the request ends here.
      shared.count_rejection("ledger");
      reject(out, 503, "the ledger can't be reached by a majority", executed::no, shared.retry_after(1));
      if (result.status == reservation_status::unknown) co_await self->abort_if_reserved(turn);
      break;
  }
}

// A reservation left open would expire, and its full amount would be counted as spent.
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

task<> turn_handler::send_earlier_outcome(reserved_pointer turn, ledger::ended_turn earlier) {
  auto shared = context_;
  auto content =
      co_await shared->conversations.read_turn(earlier.digest, turn->started_at + 2 * ledger_timeout);
  if (content)
    send_stored(*shared, turn->request, *content);
  else
    reject(turn->request.out, 503, "the turn is done, but its outcome can't be read now", executed::unknown,
           shared->retry_after(1));
}

void turn_handler::cache_content(const std::string& digest, const ledger::turn_content& content) {
  // Contents are immutable and can be read again, so any entry may be evicted.
  if (cached_contents_.size() > max_cached_contents)
    cached_contents_.erase(cached_contents_.begin(),
                           std::next(cached_contents_.begin(), contents_evicted_at_once));
  cached_contents_[digest] = content;
}

task<std::optional<turn_handler::chain>> turn_handler::read_chain(ledger::conversation_record record,
                                                                  microseconds deadline) {
  auto self = shared_from_this();
  chain cached;
  std::string digest = record.digest;
  while (cached.size() < static_cast<std::size_t>(record.length)) {
    auto found = self->cached_contents_.find(digest);
    if (found == self->cached_contents_.end()) break;
    cached.push_back(found->second);
    digest = found->second.previous;
  }
  std::reverse(cached.begin(), cached.end());
  auto missing = record;
  missing.digest = digest;
  missing.length = record.length - static_cast<std::int64_t>(cached.size());
  if (missing.length == 0 && !digest.empty()) co_return std::nullopt;
  auto turns = co_await self->context_->conversations.read_chain(missing, deadline);
  if (!turns) co_return std::nullopt;
  for (auto each = turns->rbegin(); each != turns->rend(); ++each) {
    self->cache_content(digest, *each);
    digest = each->previous;
  }
  turns->insert(turns->end(), cached.begin(), cached.end());
  co_return turns;
}

// The ledger record lists only the most recent turns, so a repeated older turn is found in the chain alone.
task<bool> turn_handler::answer_from_chain(reserved_pointer turn, chain turns) {
  if (broken("names")) co_return false;
  auto shared = context_;
  auto same_name = [&turn](auto& each) { return each.turn == turn->request.turn; };
  auto found = std::find_if(turns.begin(), turns.end(), same_name);
  if (found == turns.end()) co_return false;
  co_await shared->conversations.abort_turn(turn->reservation, turn->record.epoch, 0,
                                            shared->runtime.now() + ledger_timeout);
  send_stored(*shared, turn->request, *found);
  co_return true;
}

bool turn_handler::can_continue(reserved_turn& turn) const {
  auto& shared = *context_;
  auto& request = turn.request;
  if (!shared.is_fresh() || !shared.config->partners.contains(request.partner)) return false;
  auto& section = shared.partner(request.partner);
  const auto* now = section.find_program(request.program);
  if (!now) return false;
  // Output generated under another prefix or model can't be continued under the new one.
  bool unchanged = now->shared_prefix == turn.settings.shared_prefix && now->model == turn.settings.model;
  if (!unchanged && !turn.progress->tokens.empty()) {
    turn.failure_reason = "the program's prefix or model was changed";
    return false;
  }
  turn.settings = *now;
  return section.models.contains(now->model);
}

// An attempt continues where the previous one stopped: the tokens generated so far are appended to the
// prompt, and the limit is what remains of the reservation.
turn_plan_input turn_handler::plan_input_of(const reserved_turn& turn, const chain& turns) const {
  auto& request = turn.request;
  auto& model = context_->partner(request.partner).models.at(turn.settings.model);
  auto prompt = prompt_of(turn.settings, turns, request.prompt);
  auto& generated = turn.progress->tokens;
  if (!broken("splice")) prompt.insert(prompt.end(), generated.begin(), generated.end());
  auto shared_tokens = prefix::tokenize(turn.settings.shared_prefix).size();
  auto max_tokens = request.max_tokens - static_cast<std::int64_t>(generated.size());
  return {request.partner, request.program, request.request_id, model,         turn.settings,
          prompt,          shared_tokens,   max_tokens,         turn.deadline, turn.lease_end};
}

task<bool> turn_handler::wait_for_capacity(reserved_pointer turn) {
  auto until =
      std::min(turn->deadline, turn->started_at + to_microseconds(context_->config->limits.queue_seconds));
  turn->failure_reason =
      until < context_->queue_deadline ? "no engine came free in time" : "this proxy is ending";
  return context_->capacity.wait(std::min(until, context_->queue_deadline));
}

void turn_handler::log_placement(const reserved_turn& turn, const turn_plan& plan) const {
  context_->logger.info("turn placed", {{"request_id", turn.request.request_id},
                                        {"partner", turn.request.partner},
                                        {"program", turn.request.program},
                                        {"turn", turn.request.turn},
                                        {"engine", plan.destination_name},
                                        {"attempt", plan.attempt},
                                        {"revision", plan.config_revision},
                                        {"source", plan.request.source}});
}

// The configuration may change between attempts; each plan is made under a single revision.
task<attempt_outcome> turn_handler::run_attempts(reserved_pointer turn, chain turns) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::vector<interning::symbol> avoid;
  auto outcome = attempt_outcome::failed;
  for (int attempt = 1; attempt <= max_attempts && outcome == attempt_outcome::failed;) {
    // The client has closed its connection: no engine needs to run the turn.
    if (turn->request.out->closed()) co_return attempt_outcome::client_gone;
    if (!self->can_continue(*turn)) break;
    auto input = self->plan_input_of(*turn, turns);
    if (input.max_tokens <= 0) co_return attempt_outcome::complete;
    auto planned = plan_turn(input, shared->make_planning_context(avoid, attempt), shared->engines.rows(),
                             shared->prefixes, shared->runtime.random());
    auto* plan = std::get_if<turn_plan>(&planned);
    if (!plan && std::get<plan_failure>(planned) == plan_failure::no_usable_engine && !broken("hope")) {
      // No engine is left that could take the turn: reject it now instead of at the end of its wait.
      turn->failure_reason = no_engine;
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
  auto status = co_await shared->conversations.commit_turn(turn->reservation, turn->record.epoch, content,
                                                           tokens, turn->settings.keep_seconds,
                                                           shared->runtime.now() + ledger_timeout);
  if (status != ledger::settlement_status::settled) {
    // The turn is not durable or was superseded, so the client must not receive it as complete.
    shared->logger.count("herontally_turns_total{how=\"unsettled\"}");
    send_end(*shared, request, progress, stream_end::cut,
             {{"reason", "the ledger could not settle the turn"}});
    co_return;
  }
  self->cache_content(ledger::digest_of(ledger::to_text(content)), content);
  shared->logger.count("herontally_turns_total{how=\"complete\"}");
  send_end(*shared, request, progress, stream_end::complete,
           {{"tokens", tokens}, {"spent", turn->record.spent + tokens}, {"length", turn->record.length + 1}});
}

// The tokens generated so far are spent. The client is answered first, because the result of the ledger
// operation doesn't change its answer.
task<> turn_handler::abort(reserved_pointer turn, attempt_outcome outcome) {
  auto shared = context_;
  shared->logger.count("herontally_turns_total{how=\"cut\"}");
  std::string reason = turn->failure_reason;
  if (outcome == attempt_outcome::lease_over) reason = "the turn's lease is over";
  if (outcome == attempt_outcome::too_slow) reason = "the client reads too slowly";
  send_end(*shared, turn->request, *turn->progress, stream_end::cut, {{"reason", reason}});
  co_await shared->conversations.abort_turn(turn->reservation, turn->record.epoch,
                                            static_cast<std::int64_t>(turn->progress->tokens.size()),
                                            shared->runtime.now() + ledger_timeout);
}

}  // namespace herontally::proxy
