// Logging of an operation that is retried until it succeeds, such as listening at an address that another
// process still holds. The first failure is logged at once, later ones once per period, and the success after
// failures too.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::runtime {

// The log of one retried operation.
class retry_log {
 public:
  // `operation` says in the log what is retried, `fields` on what.
  retry_log(handle runtime, logging::logger logger, std::string operation, logging::json fields);
  // Call after each failed attempt. `reason` may be empty.
  void failed(const std::string& reason);
  // Call after the attempt that succeeded.
  void succeeded();

 private:
  std::int64_t elapsed_milliseconds() const;

  handle runtime_;
  logging::logger logger_;
  std::string operation_;
  logging::json fields_;
  microseconds started_;
  microseconds next_report_;
  int failures_ = 0;
};

}  // namespace herontally::runtime
