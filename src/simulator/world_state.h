// Internal to simulator: the world's event queue and links, and the runtime backend of one machine
// incarnation.
#pragma once
#include <queue>
#include <unordered_set>

#include "simulator/world.h"

namespace simulator {

namespace rt = herontally::runtime;

// Work that is due at a virtual time; events of the same time run in the order of their numbers.
struct scheduled_event {
  microseconds when = 0;
  std::uint64_t number = 0;
  std::string machine;  // that the work runs on; empty: none, it always runs
  std::uint64_t life = 0;
  std::function<void()> work;
  bool operator<(const scheduled_event& other) const {
    return when != other.when ? when > other.when : number > other.number;
  }
};

struct message_call;
struct http_exchange;

struct world::state : std::enable_shared_from_this<world::state> {
  microseconds now = 0;
  std::mt19937_64 random;
  std::uint64_t next = 1;
  std::priority_queue<scheduled_event> event_queue;
  std::unordered_set<std::uint64_t> cancelled;
  std::map<std::string, std::unique_ptr<struct machine>> machines;
  std::map<std::string, std::string> listeners;  // machine that listens, by address
  std::set<std::pair<std::string, std::string>> cuts;
  // Messages held back by a cut, by link (sender and receiver).
  std::map<std::pair<std::string, std::string>, std::vector<std::function<void()>>> held_messages;
  // By link: no later message arrives before this, so that held-back messages keep their place.
  std::map<std::pair<std::string, std::string>, microseconds> earliest_arrivals;
  std::vector<std::weak_ptr<message_call>> calls;
  std::map<std::uint64_t, std::shared_ptr<http_exchange>> exchanges;
  network net;

  // Number of open pooled exchanges of a client with an address.
  std::size_t open_exchanges(const std::string& client, const std::string& address) const;
  // Queues work for one incarnation of a machine; returns the event's number, by which it can be cancelled.
  std::uint64_t schedule(microseconds delay, std::string machine, std::uint64_t life,
                         std::function<void()> work);
  // Processes the next event; false when none is due by `until`.
  bool step(microseconds until);
  // Runs `work` on the receiver after the link's latency, or at `not_before` plus the link's own delay; held
  // back while the link is cut.
  void transmit(const std::string& from, const std::string& to, std::uint64_t to_life,
                std::function<void()> work, std::size_t bytes, microseconds not_before = 0);
  // Draw the latency of a message, and whether it is lost.
  microseconds draw_latency();
  bool draw_loss();
  // The running machine that listens at the address; nullptr: none.
  struct machine* listener_at(const std::string& address);
  // Whether the machine is up in this incarnation.
  bool is_running(const std::string& name, std::uint64_t life) const;

  rt::backend make_backend(struct machine* self);
  void bind_messages(struct machine* self, rt::backend& backend);
  void bind_http(struct machine* self, rt::backend& backend);
  void bind_disk(struct machine* self, rt::backend& backend);
  // Close the open channels and HTTP exchanges of a process that ends, visibly to its peers.
  void close_channels(const std::string& name);
  void close_http_exchanges(const std::string& name);
  // Applies a machine's failure to its disk.
  void apply_disk_loss(struct machine& self, disk_loss loss);
};

}  // namespace simulator
