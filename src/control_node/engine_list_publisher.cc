#include "control_node/engine_list_publisher.h"

namespace herontally::control_node {

using rpc::reply_status;

constexpr microseconds publish_timeout = 300 * millisecond;
// Bounds the map of receivers, which otherwise keeps the incarnations of cores that ended long ago.
constexpr std::size_t max_tracked_receivers = 64;
constexpr const char* fenced_role = "platform";

void engine_list_publisher::begin_epoch() {
  sequence_ = 0;
  last_text_.clear();
}

// A core that has accepted this version in its current incarnation gets a confirmation, without the text.
task<> engine_list_publisher::send_to(rpc::member receiver, list_version version, std::string text) {
  auto self = shared_from_this();
  auto incarnation = receiver.name + "/" + std::to_string(receiver.incarnation);
  auto accepted = self->accepted_by_.find(incarnation);
  if (accepted != self->accepted_by_.end() && accepted->second == version) text.clear();
  rpc::engine_list_request request{version.epoch, version.sequence, std::move(text)};
  auto result =
      co_await self->context_->endpoint.call(std::move(receiver.inner), std::move(request), publish_timeout);
  auto* reply = std::get_if<rpc::engine_list_reply>(&result);
  if (reply && reply->status == reply_status::ballot_outdated)
    self->context_->engine_list_role.step_down(reply->epoch);
  if (reply && reply->status == reply_status::ok)
    self->accepted_by_[incarnation] = version;
  else
    self->accepted_by_.erase(incarnation);
}

void engine_list_publisher::publish(const std::string& text) {
  if (text != last_text_) ++sequence_;
  last_text_ = text;
  list_version version{context_->engine_list_role.epoch(), sequence_};
  if (accepted_by_.size() > max_tracked_receivers) accepted_by_.clear();
  for (auto& core : context_->members.live(rpc::node_role::core))
    context_->runtime.spawn(send_to(core, version, text));
}

rpc::engine_list_reply engine_list_publisher::handle(const rpc::engine_list_request& request) {
  auto& configs = context_->configs;
  // An owner that was superseded must not replace a newer list by its old one.
  bool admitted = fence_.admit(fenced_role, request.epoch);
  auto highest = fence_.highest(fenced_role);
  if (!admitted) return {reply_status::ballot_outdated, highest};
  list_version version{request.epoch, request.sequence};
  // A request without a text only confirms a list, which this core must have.
  if (request.engines.empty() && version != configs.engines_version())
    return {reply_status::content_missing, highest};
  configs.set_engines(version, request.engines);
  // The owner polled the platform just before it sent the request, which may have been under way for as long
  // as its timeout.
  configs.confirm_engines(context_->runtime.now() - publish_timeout);
  // The edges must learn of the confirmation at once, since they act on the age of the list.
  configs.wake_waiters();
  return {reply_status::ok, highest};
}

}  // namespace herontally::control_node
