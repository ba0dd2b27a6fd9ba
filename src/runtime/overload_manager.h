// Bounds what peers can make this process keep: the memory of unfinished requests, unread output and requests
// in progress, and the descriptors of accepted connections. When a bound is exceeded, connections are closed:
// for memory those that hold the most, for descriptors those without a request in progress that have been
// inactive the longest. One per process; internal to the runtime.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <vector>

#include "runtime/resource_limits.h"

struct event;
struct event_base;
struct evconnlistener;

namespace herontally::runtime {

class overload_manager;

// The usage of one connection. It is registered with its manager until it is destroyed.
class connection_usage {
 public:
  // `close` closes the connection, which destroys this object. It is called from the loop only.
  connection_usage(std::shared_ptr<overload_manager> manager, std::size_t descriptors,
                   std::function<void()> close);
  ~connection_usage();
  connection_usage(const connection_usage&) = delete;
  // The bytes that closing the connection would free.
  void set_bytes(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }
  // Adds descriptors to those that the connection occupies.
  void add_descriptors(std::size_t count);
  // A busy connection has a request in progress and isn't closed for its descriptor.
  void set_busy(bool busy) { busy_ = busy; }
  // The peer has sent something.
  void touch();

 private:
  friend class overload_manager;
  std::shared_ptr<overload_manager> manager_;
  std::size_t bytes_ = 0, descriptors_ = 0;
  bool busy_ = false;
  std::function<void()> close_;
  std::list<connection_usage*>::iterator position_;
};

// Memory of a request in progress, which is kept until the reservation is destroyed.
class memory_reservation {
 public:
  explicit memory_reservation(std::shared_ptr<overload_manager> manager) : manager_(std::move(manager)) {}
  ~memory_reservation();
  memory_reservation(const memory_reservation&) = delete;
  // Reserves further bytes; false: all reservations together would exceed the memory of connections.
  bool grow(std::size_t bytes);
  // The same for a client's request before it begins, which leaves memory for what has begun.
  bool admit_client_request(std::size_t bytes);

 private:
  bool grow_within(std::size_t limit, std::size_t bytes);

  std::shared_ptr<overload_manager> manager_;
  std::size_t bytes_ = 0;
};

class overload_manager : public std::enable_shared_from_this<overload_manager> {
 public:
  overload_manager(event_base* base, const resource_limits& limits);
  ~overload_manager();
  // Frees what belongs to the event base; nothing is closed from then on.
  void stop();
  overload_manager(const overload_manager&) = delete;
  // While descriptors are short, the listener accepts nothing. It must be removed before it is freed.
  void add_listener(evconnlistener* listener);
  void remove_listener(evconnlistener* listener);
  const resource_limits& limits() const { return limits_; }
  // Connections closed so far because a bound was exceeded.
  std::uint64_t closed_connections() const { return closed_connections_; }

 private:
  friend class connection_usage;
  friend class memory_reservation;
  bool over_memory() const { return bytes_ + reserved_bytes_ > limits_.peer_bytes; }
  void check();
  void shed();
  bool close_largest();
  bool close_least_recent();
  void close(connection_usage* victim);
  void set_accepting(bool accepting);
  void pause_after_accept_error();
  static void on_accept_error(evconnlistener* listener, void* argument);

  event_base* base_;
  resource_limits limits_;
  std::list<connection_usage*> connections_;  // least recently active first
  std::set<evconnlistener*> listeners_;
  std::size_t bytes_ = 0, reserved_bytes_ = 0, descriptors_ = 0;
  std::uint64_t closed_connections_ = 0;
  bool accepting_ = true;
  struct event* shed_event_ = nullptr;
  struct event* resume_event_ = nullptr;
};

}  // namespace herontally::runtime
