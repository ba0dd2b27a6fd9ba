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
      place(std::move(given)),
      logger(given_logger),
      endpoint(handle, place.name, given_logger),
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
  if (place.speaks > 0) endpoint.set_version(place.speaks);
}

bool context::is_fresh() const {
  if (broken("freshness")) return config.has_value();
  return config && fresh_at >= 0 && runtime.now() - fresh_at <= config_distribution::max_config_age;
}

bool context::has_ended(const std::string& owner, std::int64_t proxy_incarnation) const {
  auto found = members.find(owner);
  if (found == members.end() || found->second.role != rpc::node_role::proxy) return false;
  auto& member = found->second;
  return member.incarnation > proxy_incarnation ||
         (member.incarnation == proxy_incarnation && !member.is_live());
}

planning_context context::planning(std::vector<interning::symbol> avoid, int attempt) const {
  return {*config, ranks, runtime.now(), std::move(avoid), attempt};
}

void context::count_rejection(const std::string& reason) const {
  logger.count("herontally_rejections_total{reason=\"" + reason + "\"}");
}

int context::retry_after(std::int64_t least) const {
  constexpr std::int64_t longest = 30;
  // The more that wait, the wider apart: what a second can serve is about what waits for a second.
  auto crowd = static_cast<std::uint64_t>(capacity.size() * 4 / std::max<std::int64_t>(1, place.queue));
  auto spread = static_cast<std::uint64_t>(least) + 1 + crowd;
  auto drawn = static_cast<std::int64_t>(runtime.draw(spread));
  return static_cast<int>(std::min(longest, least + drawn));
}

std::optional<in_flight_guard> context::admit(const std::string& peer, const http_api::writer& out) {
  std::string client = peer.substr(0, peer.rfind(':'));
  bool node_limit = requests_in_flight >= place.requests;
  if (node_limit || requests_by_client[client] >= config->limit.requests_per_client) {
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

task<> context::linger(in_flight_guard taken, interning::symbol engine) {
  // The word that a request is given up may come in behind the next request, and may be lost with the
  // channel.
  constexpr microseconds message_time = 100 * millisecond;
  constexpr microseconds longest = 2 * second;
  auto self = shared_from_this();
  auto begun = self->runtime.now();
  while (self->engines.row(engine).report_requested_at < begun + message_time &&
         self->runtime.now() < begun + longest)
    co_await self->runtime.sleep(50 * millisecond);
  taken = in_flight_guard();
}

}  // namespace herontally::proxy
