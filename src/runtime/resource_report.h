// What a process pays: a log line at fixed intervals, and gauges, with its processor time, its peak memory
// and the work that the time goes to.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::runtime {

struct resource_use {
  microseconds processor_time = 0;  // of the whole process, since its start
  std::int64_t peak_kilobytes = 0;  // of resident memory
};
resource_use resources_in_use();

// Runs until the process stops.
task<> report_resources_forever(handle runtime, logging::logger logger);

}  // namespace herontally::runtime
