#include "agent/draining_watch.h"

#include "engine/listing.h"
#include "runtime/breaks.h"
#include "serialization/bounded_json.h"

namespace herontally::agent {

using json = nlohmann::json;

// A list older than this may miss that an engine has begun to drain. The rest of the time until requests to a
// draining engine must have stopped is needed to poll the platform and to inform the proxy.
constexpr microseconds max_list_age = 1200 * millisecond;
constexpr microseconds platform_timeout = 500 * millisecond;

bool draining_watch::is_outdated(std::int64_t age_milliseconds) const {
  return age_milliseconds < 0 || age_milliseconds * millisecond > max_list_age;
}

bool draining_watch::accepts_engine_list(const rpc::config_update_reply& reply) {
  bool accepted =
      !is_outdated(reply.engines_age_milliseconds) || knows_draining_engines() || broken("outlook");
  list_deferred_ = !accepted;
  return accepted;
}

bool draining_watch::knows_draining_engines() const {
  return platform_polled_ || context_->configs.engines_version().sequence > 0;
}

// Names of the draining engines in a response of the built-in engine list protocol; nullopt if it is
// unusable.
static std::optional<std::vector<std::string>> draining_in(const runtime::http_outcome& result) {
  auto* response = std::get_if<runtime::http_response>(&result);
  bool answered = response && response->status == 200;
  auto document = answered ? serialization::parse_bounded_object(response->body) : std::nullopt;
  bool usable = document && document->contains("engines") && (*document)["engines"].is_array();
  if (!usable) return std::nullopt;
  std::vector<std::string> draining;
  for (auto& engine : (*document)["engines"])
    if (serialization::text_member(engine, "state", "running") != "running")
      draining.push_back(serialization::text_member(engine, "name"));
  return draining;
}

task<std::optional<std::vector<std::string>>> draining_watch::fetch_draining() {
  auto shared = context_;
  if (!shared->platform_adapter) {
    runtime::http_request request;
    request.path = "/v1/engines";
    auto result = co_await runtime::http_fetch(shared->runtime, shared->node_settings.platform, request,
                                               platform_timeout);
    co_return draining_in(result);
  }
  auto listing = co_await engine::fetch_listing(shared->runtime, shared->node_settings.platform,
                                                shared->platform_adapter, platform_timeout);
  if (!listing) co_return std::nullopt;
  std::vector<std::string> draining;
  for (auto& engine : listing->engines)
    if (engine.draining) draining.push_back(engine.id);
  co_return draining;
}

task<> draining_watch::poll_platform() {
  auto self = shared_from_this();
  auto draining = co_await self->fetch_draining();
  self->context_->logger.count("herontally_platform_looks_total");
  if (draining && *draining != self->draining_) {
    self->draining_ = *draining;
    self->context_->configs.wake_waiters();
  }
  self->platform_polled_ = true;
}

// Polls less often with an adapter, because all nodes share one rate limit of the platform and each call
// is charged for. The random part keeps the edges from polling at the same time.
microseconds draining_watch::poll_delay(bool outdated) {
  auto jitter = [this](microseconds range) {
    return static_cast<microseconds>(context_->runtime.draw(static_cast<std::uint64_t>(range)));
  };
  if (!context_->platform_adapter) return 400 * millisecond + jitter(200 * millisecond);
  return outdated ? second + jitter(300 * millisecond) : 300 * millisecond;
}

task<> draining_watch::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    bool outdated = self->is_outdated(shared->configs.engines_age_milliseconds());
    if (!outdated) self->draining_.clear();
    bool needed = shared->configs.engines_version().sequence > 0 || self->list_deferred_;
    bool can_poll = shared->platform_adapter ? !shared->node_settings.platform.empty() : !broken("outlook");
    if (outdated && needed && can_poll) co_await self->poll_platform();
    co_await shared->runtime.sleep(self->poll_delay(outdated));
  }
}

}  // namespace herontally::agent
