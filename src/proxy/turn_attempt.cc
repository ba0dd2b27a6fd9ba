#include "proxy/turn_attempt.h"

#include <algorithm>

#include "runtime/breaks.h"

namespace herontally::proxy {

namespace {

// How often the end conditions are checked while the engine sends nothing.
constexpr microseconds poll_period = 400 * millisecond;
// How long an attempt waits for data from its engine.
constexpr microseconds max_silence = 10 * second;
// The limit for an engine whose load reports fail as well.
constexpr microseconds max_silence_unhealthy = 2 * second;

}  // namespace

in_flight_guard turn_attempt::count_in_flight() {
  auto destination = plan_.destination;
  auto source = plan_.source;
  auto& row = context_->engines.row(destination);
  ++row.sent_since_report;
  ++row.in_flight;
  if (source) {
    ++row.pulls_as_destination;
    ++context_->engines.row(*source).pulls_as_source;
  }
  return in_flight_guard([weak = std::weak_ptr<context>(context_), destination, source] {
    auto shared = weak.lock();
    if (!shared) return;
    --shared->engines.row(destination).in_flight;
    if (source) {
      --shared->engines.row(destination).pulls_as_destination;
      --shared->engines.row(*source).pulls_as_source;
    }
    shared->capacity.notify_all();
  });
}

std::optional<attempt_outcome> turn_attempt::end_condition() const {
  auto now = context_->runtime.now();
  // A proxy that was suspended past its lease may have been superseded by another one and must not send more
  // output.
  if (now >= plan_.lease_end) return attempt_outcome::lease_over;
  if (now >= plan_.deadline) return attempt_outcome::failed;
  if (turn_.out->closed()) return attempt_outcome::client_gone;
  return std::nullopt;
}

attempt_outcome turn_attempt::abandon(attempt_outcome outcome) {
  context_->runtime.spawn(context_->hold_until_reported(std::move(in_flight_), plan_.destination));
  return outcome;
}

std::optional<attempt_outcome> turn_attempt::handle_chunk(engine::completion_chunk& chunk) {
  auto& progress = *progress_;
  auto& shared = *context_;
  last_chunk_at_ = shared.runtime.now();
  // Output is limited to the reserved tokens, whatever the engine sends.
  auto left = static_cast<std::size_t>(turn_.max_tokens) - progress.tokens.size();
  if (chunk.tokens.size() > left) chunk.tokens.resize(left);
  if (chunk.tokens.empty()) return std::nullopt;
  output_.insert(output_.end(), chunk.tokens.begin(), chunk.tokens.end());
  progress.tokens.insert(progress.tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
  progress.text += chunk.text;
  shared.logger.count("herontally_tokens_streamed_total", static_cast<double>(chunk.tokens.size()));
  send_piece(turn_, progress, chunk);
  auto max_backlog = static_cast<std::size_t>(shared.config->limits.client_buffer_kilobytes) * 1024;
  if (turn_.out->backlog() <= max_backlog) return std::nullopt;
  shared.logger.count("herontally_slow_clients_cut_total");
  return attempt_outcome::too_slow;
}

void turn_attempt::correct_prefix_index(const engine::completion_summary& summary) {
  auto& prefixes = context_->prefixes;
  if (plan_.source) {
    auto found = static_cast<std::size_t>(std::max<std::int64_t>(0, summary.blocks_found));
    // A failed pull says nothing about which blocks the source holds; a completed one does.
    if (!summary.pull_failed)
      prefixes.report_outcome(*plan_.source, plan_.request.source_blocks, found,
                              plan_.request.source_blocks.size());
    else
      prefixes.report_outcome(*plan_.source, {}, 0, 1);
  }
  auto block_tokens = std::max<std::int64_t>(1, plan_.request.identity.block_tokens);
  auto cached = static_cast<std::size_t>(summary.cached_tokens / block_tokens);
  auto expected = plan_.destination_blocks;
  if (expected > 0) prefixes.report_outcome(plan_.destination, {}, std::min(cached, expected), expected);
}

void turn_attempt::handle_summary(const engine::completion_summary& summary) {
  auto& shared = *context_;
  auto now = shared.runtime.now();
  constexpr double new_sample_weight = 0.1;
  double duration = static_cast<double>(now - started_at_) / second;
  shared.turn_seconds = (1 - new_sample_weight) * shared.turn_seconds + new_sample_weight * duration;
  auto tokens = plan_.request.prompt;
  tokens.insert(tokens.end(), output_.begin(), output_.end());
  shared.prefixes.record_use(plan_.destination, prefix::block_hashes(plan_.request.identity, tokens), now);
  auto& logger = shared.logger;
  logger.count("herontally_prompt_tokens_total", static_cast<double>(summary.prompt_tokens));
  logger.count("herontally_cached_tokens_total", static_cast<double>(summary.cached_tokens));
  if (plan_.source) {
    logger.count("herontally_pull_bytes_total", static_cast<double>(summary.bytes_moved));
    logger.count("herontally_pull_blocks_found_total", static_cast<double>(summary.blocks_found));
    logger.count("herontally_pull_blocks_missed_total",
                 static_cast<double>(summary.blocks_requested - summary.blocks_found));
    if (summary.pull_failed) logger.count("herontally_pull_fallbacks_total");
  }
  correct_prefix_index(summary);
}

void turn_attempt::handle_failure(const engine::completion_failure& failure) {
  auto& shared = *context_;
  shared.logger.warn(
      "attempt failed",
      {{"request_id", turn_.request_id}, {"engine", plan_.destination_name}, {"why", failure.reason}});
  shared.logger.count("herontally_attempts_failed_total");
  shared.prefixes.forget(plan_.destination);
  bool not_sent = !failure.may_have_run && failure.status == 0;
  if (!not_sent) return;
  // Nothing was sent, so this attempt has reached no engine.
  progress_->may_have_reached_engine = may_have_reached_engine_before_;
  shared.engines.mark_unreachable(plan_.destination);
}

bool turn_attempt::is_unresponsive() const {
  auto silence = context_->runtime.now() - last_chunk_at_;
  bool healthy = context_->engines.row(plan_.destination).healthy;
  return silence > max_silence || (silence > max_silence_unhealthy && !healthy);
}

task<attempt_outcome> turn_attempt::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  self->started_at_ = self->last_chunk_at_ = shared->runtime.now();
  self->in_flight_ = self->count_in_flight();
  shared->logger.count("herontally_placements_total");
  if (self->plan_.source) shared->logger.count("herontally_pulls_named_total");
  shared->prefixes.record_use(self->plan_.destination, self->plan_.hashes, shared->runtime.now());
  self->may_have_reached_engine_before_ = std::exchange(self->progress_->may_have_reached_engine, true);
  engine::completion stream(shared->runtime, self->plan_.request);
  while (true) {
    auto event = co_await stream.next(poll_period);
    if (auto ended = self->end_condition()) co_return self->abandon(*ended);
    if (auto* chunk = std::get_if<engine::completion_chunk>(&event)) {
      if (auto ended = self->handle_chunk(*chunk)) co_return self->abandon(*ended);
    } else if (auto* summary = std::get_if<engine::completion_summary>(&event)) {
      self->handle_summary(*summary);
      self->in_flight_ = in_flight_guard();
      co_return attempt_outcome::complete;
    } else if (auto* failure = std::get_if<engine::completion_failure>(&event)) {
      self->handle_failure(*failure);
      auto outcome = broken("complete") ? attempt_outcome::complete : attempt_outcome::failed;
      if (failure->status == 0) co_return self->abandon(outcome);
      self->in_flight_ = in_flight_guard();
      co_return outcome;
    } else if (self->is_unresponsive()) {
      shared->logger.warn("attempt abandoned: no data from the engine",
                          {{"request_id", self->turn_.request_id}, {"engine", self->plan_.destination_name}});
      shared->logger.count("herontally_attempts_failed_total");
      co_return self->abandon(attempt_outcome::failed);
    }
  }
}

}  // namespace herontally::proxy
