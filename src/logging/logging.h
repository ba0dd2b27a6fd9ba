// Log events as JSON lines, and the metrics of a node in the text format of Prometheus. Serving them at
// /metrics is left to the nodes.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace herontally::logging {

using json = nlohmann::json;

// Sets up logging to standard error at this level (DEBUG, INFO, WARN, ERROR or OFF). Called once by each
// program.
void start(const std::string& program, const std::string& level);

// The log and the metrics of one node; copies share both. Not thread-safe.
class logger {
 public:
  // Gets the line's fields, among them "level", "node" and "event", at every level. Used by simulated nodes
  // and tests.
  using sink = std::function<void(const std::string& level, const json& line)>;
  // Without a sink, lines are written to standard error through log4cplus, with a "time_us" field added. A
  // line that would have to wait for its reader is dropped and counted; of one beyond PIPE_BUF bytes only the
  // event is written.
  explicit logger(std::string node, sink line_sink = {});
  // Logs an event: a fixed text, with its details in further fields.
  void debug(const std::string& event, json fields = json::object()) const;
  void info(const std::string& event, json fields = json::object()) const;
  void warn(const std::string& event, json fields = json::object()) const;
  void error(const std::string& event, json fields = json::object()) const;

  // Whether lines of level info are written. For callers that log often, so that they can skip making the
  // fields.
  bool logs_info() const;

  // Counters and gauges by name. Labels are part of the name, in the notation of Prometheus:
  // name{label="value"}.
  void count(std::string_view name, double amount = 1) const;
  void gauge(std::string_view name, double value) const;
  // 0 if there is no such metric.
  double value(std::string_view name) const;
  // All metrics in the text format of Prometheus, sorted by name.
  std::string metrics() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::logging
