#include "control_node/config_reader.h"

namespace herontally::control_node {

constexpr microseconds read_period = 200 * millisecond;

std::int64_t config_reader::age_milliseconds() const {
  if (confirmed_at_ < 0) return -1;
  return (context_->runtime.now() - confirmed_at_) / millisecond + 1;
}

void config_reader::report_metrics() const {
  auto& logger = context_->logger;
  auto age_milliseconds = (context_->runtime.now() - confirmed_at_) / millisecond;
  logger.gauge("herontally_confirmed_age_milliseconds", static_cast<double>(age_milliseconds));
  logger.gauge("herontally_view", static_cast<double>(voter_.current_view().number));
  logger.gauge("herontally_voter_bytes", static_cast<double>(voter_.records().live_bytes()));
}

task<> config_reader::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    microseconds started = shared->runtime.now();
    auto result = co_await shared->catalog.read(configuration::config_key, started + second);
    if (result.known()) {
      if (result.value) shared->learn_config(*result.value, "register");
      self->confirmed_at_ = started;
    }
    self->report_metrics();
    co_await shared->runtime.sleep(read_period);
  }
}

}  // namespace herontally::control_node
