// Reports the process's resource usage, as a log line every ten seconds and as gauges: processor time, peak
// memory and counters of the work that takes the time.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::runtime {

struct resource_usage {
  microseconds processor_time = 0;  // user and system time of the process since its start
  std::int64_t peak_kilobytes = 0;  // peak resident memory
};
// Zeros when the usage can't be read.
resource_usage current_resource_usage();

// Runs until the process stops.
task<> report_resources_forever(handle runtime, logging::logger logger);

}  // namespace herontally::runtime
