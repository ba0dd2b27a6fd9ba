#include "engine/engine_monitor.h"

#include <algorithm>

namespace herontally::engine {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

constexpr microseconds report_period = 300 * millisecond;
constexpr microseconds report_timeout = 900 * millisecond;

struct engine_monitor::state : std::enable_shared_from_this<engine_monitor::state> {
  runtime::handle runtime;
  logging::logger logger;
  interning::symbol_table symbols;
  std::vector<engine_state> rows;
  std::function<void(const engine_state&)> reset_handler;
  std::function<void()> report_handler;
  bool started = false;
  state(runtime::handle handle, logging::logger given_logger)
      : runtime(std::move(handle)), logger(std::move(given_logger)) {}

  void add(const engine_state& listed);
  void apply(engine_state& row, const engine_state& listed);
  void mark_unlisted();
  void apply_report(engine_state& row, const std::string& text);
  static task<> poll(std::shared_ptr<state> self, interning::symbol number);
};

engine_monitor::engine_monitor(runtime::handle runtime, logging::logger logger)
    : state_(std::make_shared<state>(std::move(runtime), std::move(logger))) {}
std::vector<engine_state>& engine_monitor::rows() { return state_->rows; }
engine_state& engine_monitor::row(interning::symbol number) { return state_->rows[number]; }
void engine_monitor::on_reset(std::function<void(const engine_state&)> handler) {
  state_->reset_handler = std::move(handler);
}
void engine_monitor::on_report(std::function<void()> handler) { state_->report_handler = std::move(handler); }
void engine_monitor::mark_unreachable(interning::symbol number) { state_->rows[number].healthy = false; }

void engine_monitor::start() {
  state_->started = true;
  for (auto& row : state_->rows) state_->runtime.spawn(state::poll(state_, row.number));
}

// Nullopt if a field is missing or has the wrong type.
static std::optional<engine_state> entry_from(const json& entry) {
  engine_state listed;
  try {
    listed.name = entry.at("name");
    listed.kind = entry.at("kind");
    listed.partner = entry.at("partner");
    listed.serves = entry.at("serves");
    listed.address = entry.at("address");
    listed.zone = entry.value("zone", "");
    listed.weights = entry.value("weights", "");
    listed.draining_by_platform = entry.value("state", "running") != "running";
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return listed;
}

void engine_monitor::state::add(const engine_state& listed) {
  auto number = symbols.intern(listed.name);
  rows.resize(number + 1);
  rows[number].number = number;
  rows[number].address = listed.address;
  rows[number].weights = listed.weights;
  apply(rows[number], listed);
  if (started) runtime.spawn(poll(shared_from_this(), number));
}

void engine_monitor::state::apply(engine_state& row, const engine_state& listed) {
  bool replaced = row.address != listed.address || row.weights != listed.weights;
  bool starts_draining = listed.draining_by_platform && !row.draining_by_platform;
  bool known = !row.name.empty();
  if (starts_draining) logger.info("engine leaves", {{"engine", listed.name}, {"says", "platform"}});
  row.name = listed.name;
  row.kind = listed.kind;
  row.partner = listed.partner;
  row.serves = listed.serves;
  row.address = listed.address;
  row.zone = listed.zone;
  row.weights = listed.weights;
  row.draining_by_platform = listed.draining_by_platform;
  row.listed = true;
  if (replaced) {
    row.healthy = false;
    row.process_start_time = 0;
  }
  if (known && (replaced || starts_draining) && reset_handler) reset_handler(row);
}

void engine_monitor::state::mark_unlisted() {
  for (auto& row : rows) {
    if (row.listed || !row.healthy) continue;
    row.healthy = false;
    if (reset_handler) reset_handler(row);
  }
}

void engine_monitor::set_list(const std::string& text) {
  auto document = json::parse(text, nullptr, false);
  if (!document.is_array()) return;
  auto* self = state_.get();
  for (auto& row : self->rows) row.listed = false;
  for (auto& entry : document) {
    if (!entry.is_object()) continue;
    auto listed = entry_from(entry);
    if (!listed) {
      // One unreadable entry doesn't affect the others.
      self->logger.warn("unreadable entry in the engine list");
    } else if (auto number = self->symbols.find(listed->name)) {
      self->apply(self->rows[*number], *listed);
    } else {
      self->add(*listed);
    }
  }
  self->mark_unlisted();
  if (self->report_handler) self->report_handler();
}

void engine_monitor::set_draining(const std::vector<std::string>& names) {
  auto* self = state_.get();
  for (auto& row : self->rows) {
    bool named = std::find(names.begin(), names.end(), row.name) != names.end();
    if (!named || row.draining_by_platform) continue;
    self->logger.info("engine leaves", {{"engine", row.name}, {"says", "platform, to the agent"}});
    row.draining_by_platform = true;
    if (self->reset_handler) self->reset_handler(row);
  }
}

// The first sample with this name in Prometheus text format; `missing` if there is none.
static double metric_value(const std::string& text, const std::string& name, double missing) {
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

void engine_monitor::state::apply_report(engine_state& row, const std::string& text) {
  double start_time = metric_value(text, "process_start_time_seconds", 0);
  bool draining = metric_value(text, "herontally_engine_draining", 0) > 0;
  bool restarted = start_time != row.process_start_time;
  if (restarted) {
    // A restarted engine has lost its cache and starts slowly again.
    row.process_start_time = start_time;
    row.first_ready =
        runtime.now() -
        static_cast<microseconds>(metric_value(text, "herontally_engine_ready_seconds", 0) * runtime::second);
    if (reset_handler) reset_handler(row);
  }
  if (draining && !row.draining_by_engine)
    logger.info("engine leaves", {{"engine", row.name}, {"says", "itself"}});
  if (draining && !row.draining_by_engine && reset_handler) reset_handler(row);
  row.draining_by_engine = draining;
  row.queue = static_cast<std::int64_t>(metric_value(text, "vllm:num_requests_waiting", 0));
  row.running = static_cast<std::int64_t>(metric_value(text, "vllm:num_requests_running", 0));
  row.healthy = true;
  row.reported_at = runtime.now();
}

task<> engine_monitor::state::poll(std::shared_ptr<state> self, interning::symbol number) {
  while (true) {
    auto requested_at = self->runtime.now();
    std::string address = self->rows[number].address;
    if (self->rows[number].listed) {
      // The report counts the requests that were sent before it was requested.
      std::int64_t sent_before = self->rows[number].sent_since_report;
      runtime::http_request request;
      request.path = "/metrics";
      auto result = co_await runtime::http_fetch(self->runtime, address, request, report_timeout);
      auto& row = self->rows[number];
      auto* response = std::get_if<runtime::http_response>(&result);
      if (row.address == address) {
        if (response && response->status == 200) {
          row.sent_since_report = std::max<std::int64_t>(0, row.sent_since_report - sent_before);
          row.report_requested_at = requested_at;
          self->apply_report(row, response->body);
        } else {
          row.healthy = false;
        }
        if (self->report_handler) self->report_handler();
      }
    }
    auto jitter = static_cast<microseconds>(self->runtime.draw(60 * millisecond));
    co_await self->runtime.sleep(
        std::max(20 * millisecond, report_period + jitter - (self->runtime.now() - requested_at)));
  }
}

}  // namespace herontally::engine
