// Reads the process's resource usage and logs it periodically.
#include "runtime/resource_report.h"

#include <sys/resource.h>

namespace herontally::runtime {

namespace {

constexpr microseconds report_period = 10 * second;

microseconds duration_of(const timeval& time) { return time.tv_sec * second + time.tv_usec; }

// A counter whose growth since the previous log line is logged with the processor time.
struct reported_counter {
  const char* field;
  const char* metric;
  double last = 0;
};

}  // namespace

resource_usage current_resource_usage() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return {};
  return {duration_of(usage.ru_utime) + duration_of(usage.ru_stime), usage.ru_maxrss};
}

task<> report_resources_forever(handle runtime, logging::logger logger) {
  std::vector<reported_counter> counters{
      {"bytes_sent", "herontally_inner_asked_bytes_total"},
      {"messages_served", "herontally_inner_messages_total"},
      {"bytes_served", "herontally_inner_bytes_total"},
      {"member_entries_examined", "herontally_member_entries_examined_total"},
      {"member_rows_sent", "herontally_member_rows_sent_total"},
      {"records_caught_up", "herontally_catch_up_records_total"},
  };
  auto previous_processor_time = current_resource_usage().processor_time;
  while (true) {
    co_await runtime.sleep(report_period);
    auto current = current_resource_usage();
    nlohmann::json fields{{"processor_ms", (current.processor_time - previous_processor_time) / millisecond},
                          {"peak_kb", current.peak_kilobytes}};
    previous_processor_time = current.processor_time;
    for (auto& counter : counters) {
      auto value = logger.value(counter.metric);
      fields[counter.field] = value - counter.last;
      counter.last = value;
    }
    logger.gauge("herontally_peak_resident_kilobytes", static_cast<double>(current.peak_kilobytes));
    logger.gauge("herontally_processor_milliseconds",
                 static_cast<double>(current.processor_time) / static_cast<double>(millisecond));
    if (runtime.table().connections_shed) {
      auto shed = runtime.table().connections_shed();
      fields["connections_shed"] = shed;
      logger.gauge("herontally_connections_shed", static_cast<double>(shed));
    }
    logger.info("resources", std::move(fields));
  }
}

}  // namespace herontally::runtime
