// Internal to simulator: events, links and the making of a runtime for one life of a machine.
#pragma once
#include <queue>
#include <unordered_set>

#include "simulator/world.h"

namespace simulator {

namespace rt = herontally::runtime;

struct happening {
  microseconds when = 0;
  std::uint64_t number = 0;
  std::string machine;  // empty: the world's own
  std::uint64_t life = 0;
  std::function<void()> work;
  bool operator<(const happening& other) const {
    return when != other.when ? when > other.when : number > other.number;
  }
};

struct message_call;
struct http_exchange;

struct world::state : std::enable_shared_from_this<world::state> {
  microseconds now = 0;
  std::mt19937_64 random;
  std::uint64_t next = 1;
  std::priority_queue<happening> happenings;
  std::unordered_set<std::uint64_t> cancelled;
  std::map<std::string, std::unique_ptr<struct machine>> machines;
  std::map<std::string, std::string> by_address;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<std::pair<std::string, std::string>, std::vector<std::function<void()>>> held;
  std::map<std::pair<std::string, std::string>, microseconds> floors;  // when what was held is through
  std::vector<std::weak_ptr<message_call>> calls;
  std::map<std::uint64_t, std::shared_ptr<http_exchange>> exchanges;
  network net;

  // Pooled exchanges of a client with an address that are under way.
  std::size_t open_to(const std::string& client, const std::string& address) const;
  std::uint64_t schedule(microseconds delay, std::string machine, std::uint64_t life,
                         std::function<void()> work);
  bool step(microseconds until);
  // Carries work over the link and runs it as the receiver's; held while the link is cut.
  void carry(const std::string& from, const std::string& to, std::uint64_t to_life,
             std::function<void()> work, std::size_t bytes, microseconds not_before = 0);
  microseconds latency();
  bool is_lost();
  struct machine* listening(const std::string& address);
  bool lives(const std::string& name, std::uint64_t life) const;

  rt::backend make(struct machine* self);
  void bind_inner(struct machine* self, rt::backend& table);
  void bind_http(struct machine* self, rt::backend& table);
  void bind_disk(struct machine* self, rt::backend& table);
  void break_inner(const std::string& name);
  void break_http(const std::string& name);
  void lose(struct machine& self, disk_loss loss);
};

}  // namespace simulator
