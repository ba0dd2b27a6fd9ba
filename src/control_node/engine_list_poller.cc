#include "control_node/engine_list_poller.h"

#include "engine/listing.h"
#include "serialization/bounded_json.h"

namespace herontally::control_node {

namespace {

constexpr microseconds platform_timeout = 800 * millisecond;
constexpr microseconds own_poll_period = 250 * millisecond;
// An unchanged list is published again this often, for cores that were unreachable when it was new.
constexpr microseconds republish_period = 400 * millisecond;
constexpr microseconds adapter_check_period = 50 * millisecond;
// Used instead of adapter_check_period until this core has a list.
constexpr microseconds first_list_check_period = 10 * millisecond;
constexpr microseconds min_adapter_poll_period = 500 * millisecond;
// Without a list no node can serve, so the platform is polled again this soon while it doesn't answer.
constexpr microseconds first_list_retry_period = 250 * millisecond;
constexpr double min_list_rate = 0.1;

}  // namespace

task<> engine_list_poller::run() {
  return context_->platform_adapter ? run_with_adapter() : run_own_protocol();
}

void engine_list_poller::update_epoch() {
  auto epoch = context_->engine_list_role.epoch();
  if (published_epoch_ == epoch) return;
  published_epoch_ = epoch;
  publisher_->begin_epoch();
}

void engine_list_poller::report_draining(const std::string& engine, const std::string& entry) const {
  bool is_new = publisher_->last_published().find(entry) == std::string::npos;
  if (is_new) context_->logger.info("engine leaves", {{"engine", engine}, {"says", "platform"}});
}

void engine_list_poller::handle_own_list(const json& engines) {
  std::string text = engines.dump();
  update_epoch();
  bool republish_due = context_->runtime.now() - last_published_at_ > republish_period;
  bool changed = text != publisher_->last_published();
  if (!changed && !republish_due) return;
  for (auto& engine : engines) {
    bool draining = serialization::text_member(engine, "state", "running") != "running";
    if (draining) report_draining(serialization::text_member(engine, "name"), engine.dump());
  }
  if (changed)
    context_->logger.info("engine list changed", {{"engines", engines.size()}, {"epoch", published_epoch_}});
  last_published_at_ = context_->runtime.now();
  publisher_->publish(text);
}

task<> engine_list_poller::run_own_protocol() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    co_await shared->runtime.sleep(own_poll_period);
    if (!shared->engine_list_role.is_owner()) continue;
    runtime::http_request request;
    request.path = "/v1/engines";
    auto result = co_await runtime::http_fetch(shared->runtime, shared->node_settings.platform, request,
                                               platform_timeout);
    auto* response = std::get_if<runtime::http_response>(&result);
    bool answered = response && response->status == 200;
    auto document = answered ? serialization::parse_bounded_object(response->body) : std::nullopt;
    bool usable = document && document->contains("engines") && (*document)["engines"].is_array();
    if (usable)
      self->handle_own_list((*document)["engines"]);
    else
      shared->logger.count("herontally_platform_silent_total");
  }
}

// While cores start up the role passes from one to another. A new owner without a list polls at once, since
// every node waits for the first list; this costs a few more calls to the platform than waiting until the
// owner no longer changes. A new owner that has a list waits for a full poll period, counted from when it
// became owner, since its predecessor may just have polled.
bool engine_list_poller::is_poll_due() {
  auto& shared = *context_;
  if (!shared.engine_list_role.is_owner() || shared.node_settings.platform.empty()) return false;
  auto now = shared.runtime.now();
  bool no_list = shared.configs.engines_text().empty();
  bool new_epoch = polled_epoch_ != shared.engine_list_role.epoch();
  if (new_epoch) {
    polled_epoch_ = shared.engine_list_role.epoch();
    last_polled_at_ = now;
  }
  if (no_list && new_epoch) return true;
  return now - last_polled_at_ >= (no_list ? first_list_retry_period : adapter_poll_period_);
}

task<> engine_list_poller::poll_with_adapter() {
  auto self = shared_from_this();
  auto shared = self->context_;
  bool no_list = shared->configs.engines_text().empty();
  self->last_polled_at_ = shared->runtime.now();
  auto epoch_at_poll = shared->engine_list_role.epoch();
  auto listing = co_await engine::fetch_listing(shared->runtime, shared->node_settings.platform,
                                                shared->platform_adapter, platform_timeout);
  if (!listing) {
    shared->logger.count("herontally_platform_silent_total");
    co_return;
  }
  // Another core owns the role by now, or has published a first list meanwhile: that one takes precedence.
  bool superseded = epoch_at_poll != shared->engine_list_role.epoch() || !shared->engine_list_role.is_owner();
  if (superseded || (no_list && !shared->configs.engines_text().empty())) co_return;
  // Polls use at most half of the shared rate: edges that are cut off from the cores poll the platform
  // themselves.
  double rate = std::max(shared->node_settings.list_rate, min_list_rate);
  self->adapter_poll_period_ =
      std::max(min_adapter_poll_period, static_cast<microseconds>(listing->pages * 2 / rate * second));
  self->update_epoch();
  std::string text = engine::to_json_text(listing->engines);
  for (auto& engine : listing->engines)
    if (engine.draining) self->report_draining(engine.id, json(engine).dump());
  if (text != shared->configs.engines_text())
    shared->logger.info("engine list changed",
                        {{"engines", listing->engines.size()}, {"epoch", self->published_epoch_}});
  self->publisher_->publish(text);
}

task<> engine_list_poller::run_with_adapter() {
  auto self = shared_from_this();
  while (true) {
    bool no_list = self->context_->configs.engines_text().empty();
    co_await self->context_->runtime.sleep(no_list ? first_list_check_period : adapter_check_period);
    if (self->is_poll_due()) co_await self->poll_with_adapter();
  }
}

}  // namespace herontally::control_node
