#include "proxy/context.h"

#include <algorithm>

#include "runtime/breaks.h"

namespace herontally::proxy {

task<bool> capacity_queue::wait(microseconds deadline) {
  auto self = state_;
  auto left = deadline - self->runtime.now();
  if (left <= 0) co_return false;
  ++self->waiting;
  in_flight_guard counted([self] { --self->waiting; });
  runtime::slot<bool> notifier(self->runtime);
  self->waiters.push_back(notifier);
  auto timer = self->runtime.after(left, [notifier] { notifier.set(false); });
  bool notified = co_await notifier.wait();
  self->runtime.cancel(timer);
  std::erase_if(self->waiters, [](auto& waiter) { return waiter.is_set(); });
  co_return notified;
}

void capacity_queue::notify_all() {
  for (auto& waiter : state_->waiters) waiter.set(true);
  state_->waiters.clear();
}

context::context(runtime::handle handle, settings::settings given, logging::logger given_logger,
                 platform_options options)
    : runtime(handle),
      node_settings(std::move(given)),
      logger(given_logger),
      endpoint(handle, node_settings.name, given_logger),
      stores(endpoint, "store"),
      conversations(stores,
                    [this](const std::string& owner, std::int64_t owner_incarnation) {
                      return has_ended(owner, owner_incarnation);
                    }),
      calls(stores),
      platform(std::move(options)),
      engines(handle, given_logger),
      trace(handle),
      capacity(handle),
      incarnation(handle.wall()) {
  if (node_settings.protocol_version > 0) endpoint.set_version(node_settings.protocol_version);
}

bool context::is_fresh() const {
  if (broken("freshness")) return config.has_value();
  return config && config_fresh_at >= 0 &&
         runtime.now() - config_fresh_at <= config_distribution::max_config_age;
}

bool context::has_ended(const std::string& owner, std::int64_t proxy_incarnation) const {
  auto found = members.find(owner);
  if (found == members.end() || found->second.role != rpc::node_role::proxy) return false;
  auto& member = found->second;
  return member.incarnation > proxy_incarnation ||
         (member.incarnation == proxy_incarnation && !member.is_live());
}

planning_context context::make_planning_context(std::vector<interning::symbol> avoid, int attempt) const {
  return {*config, ranks, runtime.now(), std::move(avoid), attempt};
}

void context::count_rejection(const std::string& reason) const {
  logger.count("herontally_rejections_total{reason=\"" + reason + "\"}");
}

int context::retry_after(std::int64_t min_seconds) const {
  constexpr std::int64_t max_seconds = 30;
  // The random range grows with the queue, by 4 s for a full one: the engines serve in a second about as many
  // requests as wait for a second.
  auto queue_share =
      static_cast<std::uint64_t>(capacity.size() * 4 / std::max<std::int64_t>(1, node_settings.queue));
  auto range = static_cast<std::uint64_t>(min_seconds) + 1 + queue_share;
  auto offset = static_cast<std::int64_t>(runtime.draw(range));
  return static_cast<int>(std::min(max_seconds, min_seconds + offset));
}

std::optional<in_flight_guard> context::admit(const std::string& peer, const http_api::writer& out) {
  std::string client = peer.substr(0, peer.rfind(':'));
  bool node_limit = requests_in_flight >= node_settings.requests;
  if (node_limit || requests_by_client[client] >= config->limits.requests_per_client) {
    count_rejection(node_limit ? "request limit" : "client limit");
    http_api::reject(out, 429, node_limit ? "too many requests" : "too many requests of this client",
                     executed::no, retry_after(1));
    return std::nullopt;
  }
  ++requests_in_flight;
  ++requests_by_client[client];
  return in_flight_guard([weak = weak_from_this(), client] {
    auto self = weak.lock();
    if (!self) return;
    --self->requests_in_flight;
    if (--self->requests_by_client[client] == 0) self->requests_by_client.erase(client);
  });
}

task<> context::hold_until_reported(in_flight_guard guard, interning::symbol engine) {
  // The engine may learn that a request was abandoned only after the next request has arrived, or, if the
  // connection is lost, not at all. So the report must be requested some time after the abandonment, and the
  // wait is bounded.
  constexpr microseconds message_time = 100 * millisecond;
  constexpr microseconds max_wait = 2 * second;
  auto self = shared_from_this();
  auto started_at = self->runtime.now();
  while (self->engines.row(engine).report_requested_at < started_at + message_time &&
         self->runtime.now() < started_at + max_wait)
    co_await self->runtime.sleep(50 * millisecond);
  guard = in_flight_guard();
}

}  // namespace herontally::proxy
