#include "runtime/retry_log.h"

namespace herontally::runtime {

namespace {
constexpr microseconds report_period = 10 * second;
}  // namespace

retry_log::retry_log(handle runtime, logging::logger logger, std::string operation, logging::json fields)
    : runtime_(std::move(runtime)),
      logger_(std::move(logger)),
      operation_(std::move(operation)),
      fields_(std::move(fields)),
      started_(runtime_.now()),
      next_report_(started_) {}

std::int64_t retry_log::elapsed_milliseconds() const { return (runtime_.now() - started_) / millisecond; }

void retry_log::failed(const std::string& reason) {
  ++failures_;
  logger_.count("herontally_start_retries_total");
  if (runtime_.now() < next_report_) return;
  next_report_ = runtime_.now() + report_period;
  auto fields = fields_;
  fields["reason"] = reason;
  fields["attempts"] = failures_;
  fields["elapsed_ms"] = elapsed_milliseconds();
  logger_.warn(operation_ + " failed; retrying", std::move(fields));
}

void retry_log::succeeded() {
  if (failures_ == 0) return;
  auto fields = fields_;
  fields["attempts"] = failures_ + 1;
  fields["elapsed_ms"] = elapsed_milliseconds();
  logger_.warn(operation_ + " succeeded after retries", std::move(fields));
}

}  // namespace herontally::runtime
