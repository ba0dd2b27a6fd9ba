#include "runtime/overload_manager.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace herontally::runtime {

namespace {

// Closing a connection that holds less would free next to nothing.
constexpr std::size_t min_shed_bytes = 4096;
// After a failed accept, such as for lack of descriptors; the listener would fail again at once.
constexpr timeval accept_retry_delay{0, 100000};

// The error callback of a listener gets the argument of its accept callback, which may belong to evhttp.
std::unordered_map<evconnlistener*, overload_manager*>& managers_by_listener() {
  static std::unordered_map<evconnlistener*, overload_manager*> managers;
  return managers;
}

}  // namespace

connection_usage::connection_usage(std::shared_ptr<overload_manager> manager, std::size_t descriptors,
                                   std::function<void()> close)
    : manager_(std::move(manager)), close_(std::move(close)) {
  position_ = manager_->connections_.insert(manager_->connections_.end(), this);
  add_descriptors(descriptors);
}

connection_usage::~connection_usage() {
  manager_->bytes_ -= bytes_;
  manager_->descriptors_ -= descriptors_;
  manager_->connections_.erase(position_);
}

void connection_usage::set_bytes(std::size_t bytes) {
  manager_->bytes_ += bytes;
  manager_->bytes_ -= bytes_;
  bytes_ = bytes;
  manager_->check();
}

void connection_usage::add_descriptors(std::size_t count) {
  descriptors_ += count;
  manager_->descriptors_ += count;
  manager_->check();
}

void connection_usage::touch() {
  auto& order = manager_->connections_;
  order.splice(order.end(), order, position_);
}

memory_reservation::~memory_reservation() { manager_->reserved_bytes_ -= bytes_; }

bool memory_reservation::grow(std::size_t bytes) { return grow_within(manager_->limits_.peer_bytes, bytes); }

bool memory_reservation::admit_client_request(std::size_t bytes) {
  return grow_within(manager_->limits_.client_request_bytes, bytes);
}

bool memory_reservation::grow_within(std::size_t limit, std::size_t bytes) {
  if (manager_->reserved_bytes_ + bytes > limit) return false;
  bytes_ += bytes;
  manager_->reserved_bytes_ += bytes;
  manager_->check();
  return true;
}

overload_manager::overload_manager(event_base* base, const resource_limits& limits)
    : base_(base), limits_(limits) {
  shed_event_ = event_new(
      base_, -1, 0, [](evutil_socket_t, short, void* raw) { static_cast<overload_manager*>(raw)->shed(); },
      this);
  resume_event_ = event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* raw) { static_cast<overload_manager*>(raw)->set_accepting(true); },
      this);
}

overload_manager::~overload_manager() { stop(); }

void overload_manager::stop() {
  for (auto* each : {std::exchange(shed_event_, nullptr), std::exchange(resume_event_, nullptr)})
    if (each) event_free(each);
  while (!listeners_.empty()) remove_listener(*listeners_.begin());
}

void overload_manager::add_listener(evconnlistener* listener) {
  listeners_.insert(listener);
  managers_by_listener()[listener] = this;
  evconnlistener_set_error_cb(listener, on_accept_error);
  if (!accepting_) evconnlistener_disable(listener);
}

void overload_manager::remove_listener(evconnlistener* listener) {
  listeners_.erase(listener);
  managers_by_listener().erase(listener);
}

void overload_manager::on_accept_error(evconnlistener* listener, void*) {
  auto found = managers_by_listener().find(listener);
  if (found != managers_by_listener().end()) found->second->pause_after_accept_error();
}

// Connections are closed later, from the loop: the caller may be in a callback of one of them.
void overload_manager::check() {
  if (!shed_event_) return;
  bool over_descriptors = descriptors_ >= limits_.accepted_descriptors;
  if (over_descriptors) set_accepting(false);
  if (over_descriptors || over_memory()) event_active(shed_event_, EV_TIMEOUT, 0);
}

void overload_manager::shed() {
  // Some below the bounds, so that not each further connection costs a pass of the loop.
  auto enough_memory = limits_.peer_bytes - limits_.peer_bytes / 16;
  if (over_memory())
    while (bytes_ + reserved_bytes_ > enough_memory && close_largest()) {
    }
  auto enough = limits_.accepted_descriptors - limits_.accepted_descriptors / 16;
  if (descriptors_ >= limits_.accepted_descriptors)
    while (descriptors_ > enough && close_least_recent()) {
    }
  set_accepting(true);
}

bool overload_manager::close_largest() {
  auto largest = std::max_element(connections_.begin(), connections_.end(),
                                  [](auto* left, auto* right) { return left->bytes_ < right->bytes_; });
  if (largest == connections_.end() || (*largest)->bytes_ < min_shed_bytes) return false;
  close(*largest);
  return true;
}

bool overload_manager::close_least_recent() {
  auto idle = std::find_if(connections_.begin(), connections_.end(), [](auto* each) { return !each->busy_; });
  if (idle == connections_.end()) return false;
  close(*idle);
  return true;
}

void overload_manager::close(connection_usage* victim) {
  ++closed_connections_;
  // A copy, since closing destroys the victim.
  auto close_connection = victim->close_;
  close_connection();
}

void overload_manager::set_accepting(bool accepting) {
  if (accepting_ == accepting) return;
  accepting_ = accepting;
  for (auto* listener : listeners_) {
    if (accepting)
      evconnlistener_enable(listener);
    else
      evconnlistener_disable(listener);
  }
}

void overload_manager::pause_after_accept_error() {
  set_accepting(false);
  event_add(resume_event_, &accept_retry_delay);
}

}  // namespace herontally::runtime
