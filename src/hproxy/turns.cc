// A turn from the client's request to its last piece.
#include "hproxy/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hproxy {

constexpr microseconds ledger_patience = 2500 * millisecond;

task<> node::state::turn(runtime::inbound_request request, gateway::writer out, std::string partner,
                         std::string program) {
  auto self = shared_from_this();
  auto& section = self->desired->partners.at(partner);
  const auto* settings = interning::is_plain_name(program) ? section.find_program(program) : nullptr;
  if (!settings) {
    gateway::reject(out, 404, "no such program", gateway::executed::no);
    co_return;
  }
  auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string()) {
    gateway::reject(out, 400, "the body must be a JSON object with a string \"prompt\"",
                    gateway::executed::no);
    co_return;
  }
  bool turn_fits =
      !body.contains("turn") || (body["turn"].is_string() && interning::is_plain_name(body["turn"]));
  bool tokens_fit = !body.contains("max_tokens") ||
                    (body["max_tokens"].is_number_integer() && body["max_tokens"].get<std::int64_t>() >= 1);
  if (!turn_fits || !tokens_fit) {
    gateway::reject(out, 400,
                    turn_fits ? "max_tokens must be a whole number from 1" : "turn must be a plain name",
                    gateway::executed::no);
    co_return;
  }
  turn_request incoming;
  incoming.request_id = self->place.name + "-" + self->runtime.random_name();
  incoming.partner = partner;
  incoming.program = program;
  // Without a name of the client's, a turn can't be asked for again.
  incoming.turn = body.value("turn", incoming.request_id);
  incoming.prompt = body["prompt"];
  incoming.most_tokens = std::min(settings->turn_tokens, body.value("max_tokens", settings->turn_tokens));
  incoming.peer = request.peer;
  incoming.out = out;
  if (!self->could_serve("model", partner, settings->model)) {
    self->refused("no engine");
    gateway::reject(out, 503, "no engine of the model can take turns", gateway::executed::no,
                    self->retry_after_seconds(2));
    co_return;
  }
  auto wait = self->expected_wait_seconds("model", partner, settings->model);
  if (self->waiting >= self->place.queue || static_cast<double>(wait) > self->desired->limit.queue_seconds) {
    // It would be given up later; so it is given up now.
    self->refused("overload");
    gateway::reject(out, 429, "all engines of the model are busy", gateway::executed::no,
                    self->retry_after_seconds(std::max<std::int64_t>(1, wait)));
    co_return;
  }
  co_await self->run_turn(std::move(incoming));
}

static json request_fields(const turn_request& incoming) {
  return {{"request_id", incoming.request_id},
          {"partner", incoming.partner},
          {"program", incoming.program},
          {"turn", incoming.turn}};
}

// The tokens that the chain names, as they were, between the program's shared prefix and the new prompt.
static std::vector<std::int64_t> prompt_of(const configuration::program& settings,
                                           const std::vector<ledger::turn_content>& turns,
                                           const std::string& asked) {
  auto prompt = prefix::tokenize(settings.shared_prefix);
  for (auto& each : turns) {
    prompt.insert(prompt.end(), each.prompt_tokens.begin(), each.prompt_tokens.end());
    prompt.insert(prompt.end(), each.output_tokens.begin(), each.output_tokens.end());
  }
  auto fresh = prefix::tokenize(asked);
  prompt.insert(prompt.end(), fresh.begin(), fresh.end());
  return prompt;
}

task<> node::state::run_turn(turn_request incoming) {
  auto self = shared_from_this();
  auto out = incoming.out;
  configuration::program settings =
      *self->desired->partners.at(incoming.partner).find_program(incoming.program);
  auto begun = self->runtime.now();
  ledger::turn_wish wish;
  wish.partner = incoming.partner;
  wish.program = incoming.program;
  wish.turn = incoming.turn;
  wish.request_id = incoming.request_id;
  wish.owner = self->place.name;
  wish.owner_incarnation = self->incarnation;
  wish.budget = settings.budget_tokens;
  wish.amount = incoming.most_tokens;
  wish.lease_microseconds = static_cast<microseconds>(settings.turn_seconds * second) + 2 * ledger_patience;
  auto opened = co_await self->book.open_turn(wish, begun + ledger_patience);
  switch (opened.end) {
    case ledger::open_end::granted:
      break;
    case ledger::open_end::busy:
      self->refused("turn open");
      gateway::reject(out, 409, "another turn of the program is open", gateway::executed::no, 1);
      co_return;
    case ledger::open_end::spent:
      self->refused("budget spent");
      gateway::reject(out, 402, "the program's budget is spent", gateway::executed::no, 0,
                      {{"spent", opened.now.spent}, {"request_id", incoming.request_id}});
      co_return;
    case ledger::open_end::ended:
      co_await self->replay(incoming, *opened.before, begun + 2 * ledger_patience);
      co_return;
    case ledger::open_end::full:
      self->refused("disks full");
      gateway::reject(out, 503, "the ledger's disks have no room for new work", gateway::executed::no,
                      self->retry_after_seconds(5));
      co_return;
    case ledger::open_end::unreachable:
    case ledger::open_end::unknown:
      // No engine has heard of it, and this request ends here.
      self->refused("ledger");
      gateway::reject(out, 503, "the ledger can't be reached by a majority", gateway::executed::no,
                      self->retry_after_seconds(1));
      if (opened.end == ledger::open_end::unknown) {
        auto now = co_await self->book.look(incoming.partner, incoming.program,
                                            self->runtime.now() + ledger_patience);
        bool mine = now && !now->open.empty() && now->open.front().request_id == incoming.request_id;
        if (mine) co_await self->book.settle_cut(wish, now->epoch, 0, self->runtime.now() + ledger_patience);
      }
      co_return;
  }
  auto epoch = opened.now.epoch;
  auto done = std::make_shared<progress>();
  auto lease_end = begun + wish.lease_microseconds - ledger_patience;
  auto deadline = begun + static_cast<microseconds>(settings.turn_seconds * second);
  auto turns = co_await self->chain_of(opened.now, std::min(deadline, self->runtime.now() + ledger_patience));
  auto same_name = [&incoming](const ledger::turn_content& each) { return each.turn == incoming.turn; };
  if (turns && !broken("names")) {
    // The head remembers its latest endings only; the chain remembers them all.
    auto before = std::find_if(turns->begin(), turns->end(), same_name);
    if (before != turns->end()) {
      co_await self->book.settle_cut(wish, epoch, 0, self->runtime.now() + ledger_patience);
      self->give_again(incoming, *before);
      co_return;
    }
  }
  std::string reason = "the program's chain can't be read in full";
  attempt_end last = attempt_end::failed;
  if (turns) {
    std::vector<interning::symbol> avoid;
    reason = "no engine could finish the turn";
    for (int attempt = 1; attempt <= 4 && last == attempt_end::failed; ++attempt) {
      // The desired state may have changed since the last attempt; each plan is made under one view of it.
      if (!self->fresh() || !self->desired->partners.count(incoming.partner)) break;
      // Nobody waits for it any more: no engine needs to hear of it.
      if (incoming.out->closed()) {
        last = attempt_end::client_gone;
        break;
      }
      auto& section = self->desired->partners.at(incoming.partner);
      const auto* now = section.find_program(incoming.program);
      if (!now) break;
      // What was given out under another prefix or model can't be gone on with under the new one.
      bool same = now->shared_prefix == settings.shared_prefix && now->model == settings.model;
      if (!same && !done->tokens.empty()) {
        reason = "the program's prefix or model was changed";
        break;
      }
      settings = *now;
      auto model = section.models.find(settings.model);
      if (model == section.models.end()) break;
      auto prompt = prompt_of(settings, *turns, incoming.prompt);
      auto shared = prefix::tokenize(settings.shared_prefix).size();
      gateway::turn_subject subject{
          incoming.partner, incoming.program, incoming.request_id, model->second, settings, prompt, shared, 0,
          deadline,         lease_end};
      // A later attempt goes on where the last one broke off: same tokens in front, the rest of the grant
      // behind.
      bool spliced = broken("splice");
      if (!spliced) subject.prompt.insert(subject.prompt.end(), done->tokens.begin(), done->tokens.end());
      subject.most_tokens = incoming.most_tokens - static_cast<std::int64_t>(done->tokens.size());
      if (subject.most_tokens <= 0) {
        last = attempt_end::complete;
        break;
      }
      auto planned = gateway::plan_turn(subject, self->context(avoid, attempt), self->engines.rows(),
                                        self->held, self->runtime.random());
      auto* plan = std::get_if<gateway::turn_plan>(&planned);
      if (!plan && std::get<gateway::unplanned>(planned) == gateway::unplanned::hopeless && !broken("hope")) {
        // The last engine that could have taken it is gone: it is answered now, not at the end of its wait.
        reason = "no engine of the model can take turns";
        break;
      }
      if (!plan) {
        auto until = std::min(deadline,
                              begun + static_cast<microseconds>(self->desired->limit.queue_seconds * second));
        reason = "no engine came free in time";
        bool room = co_await self->wait_for_room(until);
        if (!room) break;
        --attempt;
        continue;
      }
      json fields = request_fields(incoming);
      fields["engine"] = plan->destination_name;
      fields["attempt"] = attempt;
      fields["revision"] = plan->desired_revision;
      fields["source"] = plan->order.source;
      self->logger.info("turn placed", fields);
      avoid.push_back(plan->destination);
      last = co_await self->carry_out(std::move(*plan), incoming, done);
    }
  }
  if (last == attempt_end::complete) {
    ledger::turn_content content;
    content.previous = opened.now.digest;
    content.partner = incoming.partner;
    content.program = incoming.program;
    content.turn = incoming.turn;
    content.prompt = incoming.prompt;
    content.output = done->text;
    content.generation = opened.now.generation;
    content.prompt_tokens = prefix::tokenize(incoming.prompt);
    content.output_tokens = done->tokens;
    auto tokens = static_cast<std::int64_t>(done->tokens.size());
    auto settled = co_await self->book.settle_done(wish, epoch, content, tokens, settings.keep_seconds,
                                                   self->runtime.now() + ledger_patience);
    if (settled == ledger::settle_end::settled) {
      self->keep_content(ledger::digest_of(ledger::to_text(content)), content);
      self->logger.count("herontally_turns_total{how=\"complete\"}");
      self->send_end(
          incoming, *done, "complete",
          {{"tokens", tokens}, {"spent", opened.now.spent + tokens}, {"length", opened.now.length + 1}});
      co_return;
    }
    // Not lasting, or superseded: to the client the turn isn't complete.
    self->logger.count("herontally_turns_total{how=\"unsettled\"}");
    self->send_end(incoming, *done, "cut", {{"reason", "the ledger could not settle the turn"}});
    co_return;
  }
  self->logger.count("herontally_turns_total{how=\"cut\"}");
  if (last == attempt_end::lease_over) reason = "the turn's lease is over";
  if (last == attempt_end::too_slow) reason = "the client reads too slowly";
  // What went out is spent. The client is told first; the ledger's answer changes nothing for it.
  self->send_end(incoming, *done, "cut", {{"reason", reason}});
  co_await self->book.settle_cut(wish, epoch, static_cast<std::int64_t>(done->tokens.size()),
                                 self->runtime.now() + ledger_patience);
}

}  // namespace herontally::hproxy
