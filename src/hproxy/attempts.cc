// One attempt at an engine, the queue before it, and what is learned after it.
#include "hproxy/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hproxy {

constexpr microseconds slice = 400 * millisecond;
constexpr microseconds longest_silence = 10 * second;

bool node::state::could_serve(const std::string& kind, const std::string& partner,
                              const std::string& serves) const {
  for (auto& each :
       gateway::engines_of(const_cast<state*>(this)->engines.rows(), kind, partner, serves, context({}, 1)))
    if (each.live && !each.draining && !each.evacuated) return true;
  return false;
}

// Those ahead of us, over what the engines give back, at the pace of late.
std::int64_t node::state::expected_wait_seconds(const std::string& kind, const std::string& partner,
                                                const std::string& serves) const {
  if (waiting == 0) return 0;
  std::int64_t usable = 0;
  for (auto& each :
       gateway::engines_of(const_cast<state*>(this)->engines.rows(), kind, partner, serves, context({}, 1)))
    usable += each.live && !each.draining && !each.evacuated ? 1 : 0;
  auto model = desired->partners.at(partner).models.find(serves);
  std::int64_t each_engine =
      model == desired->partners.at(partner).models.end() ? 8 : model->second.turns_per_engine;
  double seats = std::max(1.0, static_cast<double>(usable * each_engine) / static_cast<double>(proxies));
  return static_cast<std::int64_t>(static_cast<double>(waiting) / seats * turn_seconds + 0.5);
}

task<bool> node::state::wait_for_room(microseconds deadline) {
  auto self = shared_from_this();
  auto left = deadline - self->runtime.now();
  if (left <= 0) co_return false;
  ++self->waiting;
  seat counted([weak = self->weak_from_this()] {
    if (auto here = weak.lock()) --here->waiting;
  });
  runtime::slot<bool> bell(self->runtime);
  self->room.push_back(bell);
  auto timer = self->runtime.after(left, [bell] { bell.set(false); });
  bool room = co_await bell.wait();
  self->runtime.cancel(timer);
  std::erase_if(self->room, [](auto& each) { return each.is_set(); });
  co_return room;
}

void node::state::wake_room() {
  for (auto& each : room) each.set(true);
  room.clear();
}

// The word that a request is given up may come in behind the next request, and may be lost with the channel.
constexpr microseconds word_travels = 100 * millisecond;
constexpr microseconds longest_linger = 2 * second;

task<> node::state::linger(seat taken, interning::symbol engine) {
  auto self = shared_from_this();
  auto begun = self->runtime.now();
  while (self->engines.row(engine).report_asked < begun + word_travels &&
         self->runtime.now() < begun + longest_linger)
    co_await self->runtime.sleep(50 * millisecond);
  taken = seat();
}

task<attempt_end> node::state::carry_out(gateway::turn_plan plan, turn_request incoming,
                                         std::shared_ptr<progress> done) {
  auto self = shared_from_this();
  auto begun = self->runtime.now();
  auto destination = plan.destination;
  auto source = plan.source;
  {
    auto& row = self->engines.row(destination);
    ++row.unseen;
    ++row.ours;
    if (source) {
      ++row.our_borrows;
      ++self->engines.row(*source).our_pulls;
    }
  }
  seat taken([weak = self->weak_from_this(), destination, source] {
    auto here = weak.lock();
    if (!here) return;
    --here->engines.row(destination).ours;
    if (source) {
      --here->engines.row(destination).our_borrows;
      --here->engines.row(*source).our_pulls;
    }
    here->wake_room();
  });
  self->logger.count("herontally_placements_total");
  if (source) self->logger.count("herontally_pulls_named_total");
  self->held.note(destination, plan.hashes, self->runtime.now());
  bool was_started = done->sent_on;
  done->sent_on = true;
  engine::completion stream(self->runtime, plan.order);
  std::vector<std::int64_t> output;
  auto heard = self->runtime.now();
  while (true) {
    auto event = co_await stream.next(slice);
    auto now = self->runtime.now();
    // A proxy that was frozen past its lease may have been superseded: it passes nothing on any more.
    auto give_up = [&](attempt_end how) {
      self->runtime.spawn(self->linger(std::move(taken), destination));
      return how;
    };
    if (now >= plan.lease_end) co_return give_up(attempt_end::lease_over);
    if (now >= plan.deadline) co_return give_up(attempt_end::failed);
    if (incoming.out->closed()) co_return give_up(attempt_end::client_gone);
    if (auto* next = std::get_if<engine::piece>(&event)) {
      heard = now;
      auto room = static_cast<std::size_t>(incoming.most_tokens) - done->tokens.size();
      // The grant bounds what goes out, whatever the engine sends.
      if (next->tokens.size() > room) next->tokens.resize(room);
      if (next->tokens.empty()) continue;
      output.insert(output.end(), next->tokens.begin(), next->tokens.end());
      done->tokens.insert(done->tokens.end(), next->tokens.begin(), next->tokens.end());
      done->text += next->text;
      self->logger.count("herontally_tokens_streamed_total", static_cast<double>(next->tokens.size()));
      self->send_piece(incoming, *done, *next);
      auto most = static_cast<std::size_t>(self->desired->limit.client_buffer_kilobytes) * 1024;
      if (incoming.out->backlog() > most) {
        self->logger.count("herontally_slow_clients_cut_total");
        co_return give_up(attempt_end::too_slow);
      }
      continue;
    }
    if (auto* last = std::get_if<engine::summary>(&event)) {
      double took = static_cast<double>(now - begun) / second;
      self->turn_seconds = 0.9 * self->turn_seconds + 0.1 * took;
      self->learn_from(plan, *last, output);
      co_return attempt_end::complete;
    }
    if (auto* failed = std::get_if<engine::failure>(&event)) {
      self->logger.warn(
          "attempt failed",
          {{"request_id", incoming.request_id}, {"engine", plan.destination_name}, {"why", failed->why}});
      self->logger.count("herontally_attempts_failed_total");
      self->held.forget(destination);
      if (!failed->ran && failed->status == 0) {
        // Not one byte reached it, so that this attempt has told no engine anything.
        done->sent_on = was_started;
        self->engines.failed(destination);
      }
      auto end = broken("complete") ? attempt_end::complete : attempt_end::failed;
      co_return failed->status == 0 ? give_up(end) : end;
    }
    bool silent_and_gone = now - heard > 2 * second && !self->engines.row(destination).answers;
    if (silent_and_gone || now - heard > longest_silence) {
      self->logger.warn("attempt silent",
                        {{"request_id", incoming.request_id}, {"engine", plan.destination_name}});
      self->logger.count("herontally_attempts_failed_total");
      co_return give_up(attempt_end::failed);
    }
  }
}

// What the engines did, beside what the index had foretold.
void node::state::learn_from(const gateway::turn_plan& plan, const engine::summary& last,
                             const std::vector<std::int64_t>& output) {
  auto now = runtime.now();
  auto whole = plan.order.prompt;
  whole.insert(whole.end(), output.begin(), output.end());
  held.note(plan.destination, prefix::block_hashes(plan.order.identity, whole), now);
  logger.count("herontally_prompt_tokens_total", static_cast<double>(last.prompt_tokens));
  logger.count("herontally_cached_tokens_total", static_cast<double>(last.cached_tokens));
  if (plan.source) {
    logger.count("herontally_pull_bytes_total", static_cast<double>(last.bytes_moved));
    logger.count("herontally_pull_blocks_found_total", static_cast<double>(last.blocks_found));
    logger.count("herontally_pull_blocks_missed_total",
                 static_cast<double>(last.blocks_asked - last.blocks_found));
    if (last.pull_failed) logger.count("herontally_pull_fallbacks_total");
    // A lender that broke off proved nothing about what it holds; one that answered did.
    auto found = static_cast<std::size_t>(std::max<std::int64_t>(0, last.blocks_found));
    if (!last.pull_failed)
      held.correct(*plan.source, plan.order.source_blocks, found, plan.order.source_blocks.size());
    else
      held.correct(*plan.source, {}, 0, 1);
  }
  auto cached = static_cast<std::size_t>(last.cached_tokens /
                                         std::max<std::int64_t>(1, plan.order.identity.block_tokens));
  if (plan.destination_blocks > 0)
    held.correct(plan.destination, {}, std::min(cached, plan.destination_blocks), plan.destination_blocks);
}

void node::state::keep_content(const std::string& digest, const ledger::turn_content& content) {
  // A bounded memory of contents; they never change, so any of them may go at any time.
  if (contents.size() > 4000) contents.erase(contents.begin(), std::next(contents.begin(), 1000));
  contents[digest] = content;
}

task<std::optional<std::vector<ledger::turn_content>>> node::state::chain_of(ledger::head now,
                                                                             microseconds deadline) {
  auto self = shared_from_this();
  std::vector<ledger::turn_content> turns;
  std::string digest = now.digest;
  while (turns.size() < static_cast<std::size_t>(now.length)) {
    auto found = self->contents.find(digest);
    if (found == self->contents.end()) break;
    turns.push_back(found->second);
    digest = found->second.previous;
  }
  std::reverse(turns.begin(), turns.end());
  auto missing = now;
  missing.digest = digest;
  missing.length = now.length - static_cast<std::int64_t>(turns.size());
  if (missing.length == 0 && !digest.empty()) co_return std::nullopt;
  auto rest = co_await self->book.chain(missing, deadline);
  if (!rest) co_return std::nullopt;
  std::string at = digest;
  for (auto each = rest->rbegin(); each != rest->rend(); ++each) {
    self->keep_content(at, *each);
    at = each->previous;
  }
  rest->insert(rest->end(), turns.begin(), turns.end());
  co_return rest;
}

}  // namespace herontally::hproxy
