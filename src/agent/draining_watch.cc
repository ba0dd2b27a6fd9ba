#include "agent/draining_watch.h"

#include "engine/listing.h"
#include "runtime/breaks.h"
#include "serialization/bounded_json.h"

namespace herontally::agent {

using json = nlohmann::json;

// An older list may have missed that an engine drains. The rest of the time until requests must have stopped
// goes to the look itself and to the way to the proxy.
constexpr microseconds max_list_age = 1200 * millisecond;
constexpr microseconds platform_timeout = 500 * millisecond;

bool draining_watch::is_old(std::int64_t age_milliseconds) const {
  return age_milliseconds < 0 || age_milliseconds * millisecond > max_list_age;
}

bool draining_watch::may_take_list(const rpc::config_update_reply& reply) {
  bool may = !is_old(reply.engines_age_milliseconds) || is_informed() || broken("outlook");
  list_waiting_ = !may;
  return may;
}

bool draining_watch::is_informed() const {
  return looked_ || context_->configs.engines_version().sequence > 0;
}

// Draining engines in the product's own list protocol.
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
    auto result =
        co_await runtime::http_fetch(shared->runtime, shared->place.platform, request, platform_timeout);
    co_return draining_in(result);
  }
  auto listing = co_await engine::fetch_listing(shared->runtime, shared->place.platform,
                                                shared->platform_adapter, platform_timeout);
  if (!listing) co_return std::nullopt;
  std::vector<std::string> draining;
  for (auto& engine : listing->engines)
    if (engine.draining) draining.push_back(engine.id);
  co_return draining;
}

task<> draining_watch::look() {
  auto self = shared_from_this();
  auto draining = co_await self->fetch_draining();
  self->context_->logger.count("herontally_platform_looks_total");
  if (draining && *draining != self->draining_) {
    self->draining_ = *draining;
    self->context_->configs.wake_waiters();
  }
  self->looked_ = true;
}

// With an adapter less often: all nodes share one rate, and each call is priced. Uneven pauses keep the edges
// from asking all at once.
microseconds draining_watch::pause(bool old) {
  auto draw = [this](microseconds spread) {
    return static_cast<microseconds>(context_->runtime.draw(static_cast<std::uint64_t>(spread)));
  };
  if (!context_->platform_adapter) return 400 * millisecond + draw(200 * millisecond);
  return old ? second + draw(300 * millisecond) : 300 * millisecond;
}

task<> draining_watch::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    bool old = self->is_old(shared->configs.engines_age_milliseconds());
    if (!old) self->draining_.clear();
    bool of_use = shared->configs.engines_version().sequence > 0 || self->list_waiting_;
    bool can_look = shared->platform_adapter ? !shared->place.platform.empty() : !broken("outlook");
    if (old && of_use && can_look) co_await self->look();
    co_await shared->runtime.sleep(self->pause(old));
  }
}

}  // namespace herontally::agent
