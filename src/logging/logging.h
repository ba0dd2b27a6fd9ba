// Logs as JSON lines, and counters that /metrics shows.
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

// Called once by each program; a simulated node gets its own sink instead.
void start(const std::string& program, const std::string& level);

class logger {
 public:
  using sink = std::function<void(const std::string& level, const json& line)>;
  // Without a sink, lines go through log4cplus to standard error.
  explicit logger(std::string node, sink out = {});
  void debug(const std::string& what, json fields = json::object()) const;
  void info(const std::string& what, json fields = json::object()) const;
  void warn(const std::string& what, json fields = json::object()) const;
  void error(const std::string& what, json fields = json::object()) const;

  // Whether somebody reads lines of level info: before the fields of one are made again and again.
  bool logs_info() const;

  // Counters and gauges by name; labels are part of the name, as Prometheus writes them.
  void count(std::string_view name, double amount = 1) const;
  void gauge(std::string_view name, double value) const;
  double value(std::string_view name) const;
  std::string metrics() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::logging
