#include "config_distribution/config_store.h"

#include <algorithm>

namespace herontally::config_distribution {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

// Upper limit of the wait that a request may ask for.
constexpr std::int64_t max_wait_milliseconds = 2000;

struct config_store::state {
  runtime::handle runtime;
  std::int64_t revision = 0;
  std::string config;
  engine_list_version engines_version;
  std::string engines;
  microseconds engines_confirmed = -1;
  std::vector<runtime::slot<bool>> waiters;

  explicit state(runtime::handle handle) : runtime(std::move(handle)) {}
  void wake() {
    for (auto& waiter : waiters) waiter.set(true);
    waiters.clear();
  }
  bool has_update_for(const rpc::config_update_request& request) const {
    engine_list_version known{request.engines_epoch, request.engines_sequence};
    return revision > request.revision || engines_version > known;
  }
};

config_store::config_store(runtime::handle runtime) : state_(std::make_shared<state>(std::move(runtime))) {}
std::int64_t config_store::revision() const { return state_->revision; }
const std::string& config_store::config_text() const { return state_->config; }
const std::string& config_store::engines_text() const { return state_->engines; }
engine_list_version config_store::engines_version() const { return state_->engines_version; }
void config_store::wake_waiters() const { state_->wake(); }

bool config_store::set_config(std::int64_t revision, const std::string& text) {
  if (revision <= state_->revision) return false;
  state_->revision = revision;
  state_->config = text;
  state_->wake();
  return true;
}

bool config_store::set_engines(engine_list_version version, const std::string& text) {
  if (version <= state_->engines_version) return false;
  state_->engines_version = version;
  state_->engines = text;
  state_->wake();
  return true;
}

void config_store::confirm_engines(microseconds time) {
  state_->engines_confirmed = std::max(state_->engines_confirmed, time);
}

std::int64_t config_store::engines_age_milliseconds() const {
  if (state_->engines_confirmed < 0) return -1;
  return (state_->runtime.now() - state_->engines_confirmed) / millisecond + 1;
}

task<rpc::config_update_reply> config_store::wait_for_update(rpc::config_update_request request,
                                                             std::function<std::int64_t()> config_age) const {
  auto self = state_;
  microseconds wait =
      std::clamp<std::int64_t>(request.wait_milliseconds, 0, max_wait_milliseconds) * millisecond;
  if (!self->has_update_for(request) && wait > 0) {
    runtime::slot<bool> notifier(self->runtime);
    self->waiters.push_back(notifier);
    auto timer = self->runtime.after(wait, [notifier] { notifier.set(false); });
    co_await notifier.wait();
    self->runtime.cancel(timer);
    std::erase_if(self->waiters, [](auto& waiter) { return waiter.is_set(); });
  }
  rpc::config_update_reply reply;
  reply.revision = self->revision;
  if (self->revision > request.revision) reply.config = self->config;
  reply.engines_epoch = self->engines_version.epoch;
  reply.engines_sequence = self->engines_version.sequence;
  engine_list_version known{request.engines_epoch, request.engines_sequence};
  if (self->engines_version > known) reply.engines = self->engines;
  reply.age_milliseconds = config_age();
  reply.engines_age_milliseconds = engines_age_milliseconds();
  co_return reply;
}

}  // namespace herontally::config_distribution
