#include "engine/watch.h"

#include <algorithm>

namespace herontally::engine {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

constexpr microseconds report_period = 300 * millisecond;
constexpr microseconds report_timeout = 900 * millisecond;

struct watch::state : std::enable_shared_from_this<watch::state> {
  runtime::handle runtime;
  logging::logger logger;
  interning::symbol_table numbers;
  std::vector<engine_row> rows;
  std::function<void(const engine_row&)> reset;
  std::function<void()> reported;
  bool started = false;
  state(runtime::handle handle, logging::logger lines)
      : runtime(std::move(handle)), logger(std::move(lines)) {}

  void take_report(engine_row& row, const std::string& text);
  static task<> poll(std::shared_ptr<state> self, interning::symbol number);
};

watch::watch(runtime::handle runtime, logging::logger logger)
    : state_(std::make_shared<state>(std::move(runtime), std::move(logger))) {}
std::vector<engine_row>& watch::rows() { return state_->rows; }
engine_row& watch::row(interning::symbol number) { return state_->rows[number]; }
void watch::on_reset(std::function<void(const engine_row&)> handler) { state_->reset = std::move(handler); }
void watch::on_report(std::function<void()> handler) { state_->reported = std::move(handler); }
void watch::failed(interning::symbol number) { state_->rows[number].answers = false; }

void watch::start() {
  state_->started = true;
  for (auto& row : state_->rows) state_->runtime.spawn(state::poll(state_, row.number));
}

void watch::list(const std::string& text) {
  auto document = json::parse(text, nullptr, false);
  if (!document.is_array()) return;
  auto* self = state_.get();
  for (auto& row : self->rows) row.listed = false;
  for (auto& entry : document) {
    if (!entry.is_object()) continue;
    std::string name, address;
    engine_row fresh;
    try {
      fresh.name = entry.at("name");
      fresh.kind = entry.at("kind");
      fresh.partner = entry.at("partner");
      fresh.serves = entry.at("serves");
      fresh.address = entry.at("address");
      fresh.zone = entry.value("zone", "");
      fresh.weights = entry.value("weights", "");
      fresh.leaving = entry.value("state", "running") != "running";
    } catch (const json::exception&) {
      // One entry that can't be read doesn't hide the others.
      self->logger.warn("engine entry can't be read");
      continue;
    }
    auto number = self->numbers.intern(fresh.name);
    bool is_new = number >= self->rows.size();
    if (is_new) {
      self->rows.resize(number + 1);
      self->rows[number].number = number;
    }
    auto& row = self->rows[number];
    bool moved = !is_new && (row.address != fresh.address || row.weights != fresh.weights);
    bool left = !is_new && fresh.leaving && !row.leaving;
    if (fresh.leaving && !row.leaving)
      self->logger.info("engine leaves", {{"engine", fresh.name}, {"says", "platform"}});
    row.name = fresh.name;
    row.kind = fresh.kind;
    row.partner = fresh.partner;
    row.serves = fresh.serves;
    row.zone = fresh.zone;
    row.weights = fresh.weights;
    if (moved) {
      row.answers = false;
      row.born = 0;
    }
    row.address = fresh.address;
    row.leaving = fresh.leaving;
    row.listed = true;
    if ((moved || left) && self->reset) self->reset(row);
    if (is_new && self->started) self->runtime.spawn(state::poll(state_, number));
  }
  for (auto& row : self->rows)
    if (!row.listed && row.answers) {
      row.answers = false;
      if (self->reset) self->reset(row);
    }
  if (self->reported) self->reported();
}

void watch::leaving(const std::vector<std::string>& names) {
  auto* self = state_.get();
  for (auto& row : self->rows) {
    bool named = std::find(names.begin(), names.end(), row.name) != names.end();
    if (!named || row.leaving) continue;
    self->logger.info("engine leaves", {{"engine", row.name}, {"says", "platform, to the agent"}});
    row.leaving = true;
    if (self->reset) self->reset(row);
  }
}

static double sample(const std::string& text, const std::string& name, double missing) {
  std::size_t position = 0;
  while ((position = text.find(name, position)) != std::string::npos) {
    bool at_start = position == 0 || text[position - 1] == '\n';
    std::size_t end = position + name.size();
    position = end;
    if (!at_start || end >= text.size() || (text[end] != ' ' && text[end] != '{')) continue;
    std::size_t line = text.find('\n', end);
    std::size_t space = text.rfind(' ', line == std::string::npos ? line : line - 1);
    return atof(text.c_str() + space);
  }
  return missing;
}

void watch::state::take_report(engine_row& row, const std::string& text) {
  double born = sample(text, "process_start_time_seconds", 0);
  bool draining = sample(text, "herontally_engine_draining", 0) > 0;
  bool new_life = born != row.born;
  if (new_life) {
    // A new life starts cold and holds nothing of what the old one held.
    row.born = born;
    row.first_ready =
        runtime.now() -
        static_cast<microseconds>(sample(text, "herontally_engine_ready_seconds", 0) * runtime::second);
    if (reset) reset(row);
  }
  if (draining && !row.draining) logger.info("engine leaves", {{"engine", row.name}, {"says", "itself"}});
  if (draining && !row.draining && reset) reset(row);
  row.draining = draining;
  row.queue = static_cast<std::int64_t>(sample(text, "vllm:num_requests_waiting", 0));
  row.running = static_cast<std::int64_t>(sample(text, "vllm:num_requests_running", 0));
  row.answers = true;
  row.reported_at = runtime.now();
}

task<> watch::state::poll(std::shared_ptr<state> self, interning::symbol number) {
  while (true) {
    auto begun = self->runtime.now();
    std::string address = self->rows[number].address;
    if (self->rows[number].listed) {
      // What we sent on before this question is in its answer.
      std::int64_t before = self->rows[number].sent_since_report;
      runtime::http_request request;
      request.path = "/metrics";
      auto result = co_await runtime::http_fetch(self->runtime, address, request, report_timeout);
      auto& row = self->rows[number];
      auto* response = std::get_if<runtime::http_response>(&result);
      if (row.address == address) {
        if (response && response->status == 200) {
          row.sent_since_report = std::max<std::int64_t>(0, row.sent_since_report - before);
          row.report_asked = begun;
          self->take_report(row, response->body);
        } else {
          row.answers = false;
        }
        if (self->reported) self->reported();
      }
    }
    auto jitter = static_cast<microseconds>(self->runtime.draw(60 * millisecond));
    co_await self->runtime.sleep(
        std::max(20 * millisecond, report_period + jitter - (self->runtime.now() - begun)));
  }
}

}  // namespace herontally::engine
