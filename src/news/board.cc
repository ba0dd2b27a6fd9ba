#include "news/board.h"

#include <algorithm>

namespace herontally::news {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

struct board::state {
  runtime::handle runtime;
  std::int64_t revision = 0, engines_epoch = 0, engines_sequence = 0;
  microseconds engines_confirmed = -1;
  std::string text, engines;
  std::vector<runtime::slot<bool>> waiting;
  explicit state(runtime::handle handle) : runtime(std::move(handle)) {}
  void wake() {
    for (auto& each : waiting) each.set(true);
    waiting.clear();
  }
};

board::board(runtime::handle runtime) : state_(std::make_shared<state>(std::move(runtime))) {}
std::int64_t board::revision() const { return state_->revision; }
const std::string& board::state_text() const { return state_->text; }
const std::string& board::engines_text() const { return state_->engines; }
std::int64_t board::engines_epoch() const { return state_->engines_epoch; }
std::int64_t board::engines_sequence() const { return state_->engines_sequence; }
void board::stir() const { state_->wake(); }

bool board::set_state(std::int64_t revision, const std::string& text) {
  if (revision <= state_->revision) return false;
  state_->revision = revision;
  state_->text = text;
  state_->wake();
  return true;
}

void board::engines_confirmed(microseconds moment) {
  state_->engines_confirmed = std::max(state_->engines_confirmed, moment);
}
std::int64_t board::engines_age_milliseconds() const {
  if (state_->engines_confirmed < 0) return -1;
  return (state_->runtime.now() - state_->engines_confirmed) / millisecond + 1;
}

bool board::set_engines(std::int64_t epoch, std::int64_t sequence, const std::string& text) {
  auto next = std::make_pair(epoch, sequence);
  if (next <= std::make_pair(state_->engines_epoch, state_->engines_sequence)) return false;
  state_->engines_epoch = epoch;
  state_->engines_sequence = sequence;
  state_->engines = text;
  state_->wake();
  return true;
}

task<rpc::config_update_reply> board::answer(rpc::config_update_request request,
                                             std::function<std::int64_t()> age) const {
  auto here = state_;
  auto known = std::make_pair(request.engines_epoch, request.engines_sequence);
  auto none = [&] {
    return here->revision <= request.revision &&
           std::make_pair(here->engines_epoch, here->engines_sequence) <= known;
  };
  microseconds wait = std::clamp<std::int64_t>(request.wait_milliseconds, 0, 2000) * millisecond;
  if (none() && wait > 0) {
    runtime::slot<bool> bell(here->runtime);
    here->waiting.push_back(bell);
    auto timer = here->runtime.after(wait, [bell] { bell.set(false); });
    co_await bell.wait();
    here->runtime.cancel(timer);
    std::erase_if(here->waiting, [](auto& each) { return each.is_set(); });
  }
  rpc::config_update_reply reply;
  reply.revision = here->revision;
  if (here->revision > request.revision) reply.config = here->text;
  reply.engines_epoch = here->engines_epoch;
  reply.engines_sequence = here->engines_sequence;
  if (std::make_pair(here->engines_epoch, here->engines_sequence) > known) reply.engines = here->engines;
  reply.age_milliseconds = age();
  reply.engines_age_milliseconds = engines_age_milliseconds();
  co_return reply;
}

struct freshness::state {
  runtime::handle runtime;
  std::string own_name;
  microseconds vouched = -1;
  std::map<std::string, microseconds> heard;
  std::vector<std::string> edges, before;

  // The latest moment that a majority of the set has reached; our own word always counts as of now.
  microseconds quorum_moment(const std::vector<std::string>& set) const {
    if (set.empty() || vouched < 0) return -1;
    std::vector<microseconds> moments;
    for (auto& name : set) {
      auto found = heard.find(name);
      moments.push_back(name == own_name ? runtime.now() : found == heard.end() ? -1 : found->second);
    }
    std::sort(moments.rbegin(), moments.rend());
    return moments[set.size() / 2];
  }
};

freshness::freshness(runtime::handle runtime, std::string own_name)
    : state_(std::make_shared<state>(state{std::move(runtime), std::move(own_name), -1, {}, {}, {}})) {}
void freshness::vouched(microseconds moment) { state_->vouched = std::max(state_->vouched, moment); }
void freshness::heard_edge(const std::string& name, microseconds moment) {
  auto& known = state_->heard.emplace(name, -1).first->second;
  known = std::max(known, moment);
}
void freshness::edges(const std::vector<std::string>& now, const std::vector<std::string>& before) {
  state_->edges = now;
  state_->before = before;
}
std::map<std::string, std::int64_t> freshness::ages_milliseconds() const {
  std::map<std::string, std::int64_t> ages;
  for (auto& [name, moment] : state_->heard)
    if (moment >= 0 && state_->runtime.now() - moment <= longest_age)
      ages[name] = (state_->runtime.now() - moment) / millisecond + 1;
  return ages;
}
bool freshness::settled() const { return state_->vouched >= 0; }
microseconds freshness::moment() const {
  auto by_edges = state_->quorum_moment(state_->edges);
  if (!state_->before.empty()) by_edges = std::min(by_edges, state_->quorum_moment(state_->before));
  return std::max(state_->vouched, by_edges);
}

}  // namespace herontally::news
