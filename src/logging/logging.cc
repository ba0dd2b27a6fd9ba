#include "logging/logging.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <cstdio>
#include <iostream>
#include <unordered_map>

namespace herontally::logging {

namespace {
log4cplus::Logger& root_logger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("herontally");
  return logger;
}
}  // namespace

void start(const std::string& program, const std::string& level) {
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
  // The message is a complete JSON line; the layout adds only the line break.
  appender->setLayout(std::unique_ptr<log4cplus::Layout>(new log4cplus::PatternLayout("%m%n")));
  root_logger().addAppender(appender);
  root_logger().setLogLevel(log4cplus::getLogLevelManager().fromString(level));
  (void)program;
}

// The value of a counter or gauge.
struct metric {
  double value = 0;
  bool is_counter = false;
};

// Lets the map find names given as std::string_view without making strings of them.
struct string_view_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

struct logger::state {
  std::string node;
  sink line_sink;
  // Looked up by string_view, so that counting in an existing metric allocates nothing.
  std::unordered_map<std::string, metric, string_view_hash, std::equal_to<>> metrics;

  metric& metric_of(std::string_view name) {
    auto found = metrics.find(name);
    if (found == metrics.end()) found = metrics.emplace(name, metric{}).first;
    return found->second;
  }
};

logger::logger(std::string node, sink line_sink) : state_(std::make_shared<state>()) {
  state_->node = std::move(node);
  state_->line_sink = std::move(line_sink);
}

// Whether a line of up to `max_line_bytes` can be written without waiting for whoever reads the log: a pipe
// that is reported writable takes that much at once.
static bool log_is_writable() {
  pollfd standard_error{STDERR_FILENO, POLLOUT, 0};
  int ready = 0;
  do {
    ready = poll(&standard_error, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready != 0;
}

static std::string line_of(const json& fields) {
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

static void emit(log4cplus::LogLevel level, const char* level_name, const logger& target,
                 const std::string& node, const logger::sink& line_sink, const std::string& event,
                 json fields) {
  // Includes the line break.
  constexpr std::size_t max_line_bytes = PIPE_BUF - 1;
  // Disabled levels return before any text is built.
  if (!line_sink && !root_logger().isEnabledFor(level)) return;
  fields["level"] = level_name;
  fields["node"] = node;
  fields["event"] = event;
  if (line_sink) return line_sink(level_name, fields);
  // A process must not stand still because nobody reads its log.
  if (!log_is_writable()) return target.count("herontally_log_lines_dropped_total");
  auto time = std::chrono::duration_cast<std::chrono::microseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  fields["time_us"] = time;
  auto line = line_of(fields);
  if (line.size() > max_line_bytes)
    line = line_of({{"level", level_name},
                    {"node", node},
                    {"event", event},
                    {"time_us", time},
                    {"omitted_bytes", line.size()}});
  // After a failed write, as on a full disk, the stream would write nothing any more.
  std::cerr.clear();
  root_logger().log(level, line);
}

bool logger::logs_info() const {
  return state_->line_sink || root_logger().isEnabledFor(log4cplus::INFO_LOG_LEVEL);
}
void logger::debug(const std::string& event, json fields) const {
  emit(log4cplus::DEBUG_LOG_LEVEL, "debug", *this, state_->node, state_->line_sink, event, std::move(fields));
}
void logger::info(const std::string& event, json fields) const {
  emit(log4cplus::INFO_LOG_LEVEL, "info", *this, state_->node, state_->line_sink, event, std::move(fields));
}
void logger::warn(const std::string& event, json fields) const {
  emit(log4cplus::WARN_LOG_LEVEL, "warn", *this, state_->node, state_->line_sink, event, std::move(fields));
}
void logger::error(const std::string& event, json fields) const {
  emit(log4cplus::ERROR_LOG_LEVEL, "error", *this, state_->node, state_->line_sink, event, std::move(fields));
}

void logger::count(std::string_view name, double amount) const {
  auto& counter = state_->metric_of(name);
  counter.value += amount;
  counter.is_counter = true;
}
void logger::gauge(std::string_view name, double value) const { state_->metric_of(name).value = value; }
double logger::value(std::string_view name) const {
  auto found = state_->metrics.find(name);
  return found == state_->metrics.end() ? 0 : found->second.value;
}

std::string logger::metrics() const {
  std::string text;
  std::string previous_family;
  std::map<std::string_view, metric> sorted(state_->metrics.begin(), state_->metrics.end());
  for (auto& [name, sample] : sorted) {
    std::string family(name.substr(0, name.find('{')));
    // A metric family has one TYPE line, before its first sample. A family's name is the part before the
    // labels.
    if (family != previous_family)
      text += "# TYPE " + family + (sample.is_counter ? " counter\n" : " gauge\n");
    previous_family = family;
    char number[40];
    snprintf(number, sizeof number, " %.17g\n", sample.value);
    text.append(name).append(number);
  }
  return text;
}

}  // namespace herontally::logging
