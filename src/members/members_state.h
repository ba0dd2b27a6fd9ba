// Internal to the members package.
#pragma once
#include <cmath>

#include "members/members.h"

namespace herontally::members {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

constexpr std::size_t rumours_each = 14;

inline int severity(const std::string& status) {
  if (status == "alive") return 0;
  if (status == "suspect") return 1;
  return status == "dead" ? 2 : 3;
}
// A newer life beats an older one, a refutation beats what it refutes, and else the worse status counts.
inline bool supersedes(const wire::member& next, const wire::member& old) {
  if (next.incarnation != old.incarnation) return next.incarnation > old.incarnation;
  if (next.doubt != old.doubt) return next.doubt > old.doubt;
  return severity(next.status) > severity(old.status);
}
inline bool is_live(const wire::member& entry) { return severity(entry.status) < 2; }

struct row {
  wire::member entry;
  int sent = 0;
  microseconds since = 0;
};

struct members::state : std::enable_shared_from_this<members::state> {
  wire::port port;
  wire::member self;
  std::vector<std::string> seeds;
  timing pace;
  std::map<std::string, row> rows;
  std::vector<std::string> order;
  std::function<void(const wire::member&)> handler;
  bool leaving = false;
  std::int64_t version = 0;
  state(wire::port from, wire::member own, std::vector<std::string> first, timing given)
      : port(std::move(from)), self(std::move(own)), seeds(std::move(first)), pace(given) {}

  void put(const wire::member& entry) {
    rows[entry.name] = row{entry, 0, port.runtime().now()};
    ++version;
  }

  // Of the live rows, by FNV-1a, which all builds share. The dead are left out: nodes forget them at
  // different times, and one that takes a dead node for live has another sum.
  std::int64_t sum() const {
    std::uint64_t mixed = 14695981039346656037u;
    auto mix = [&mixed](const std::string& text) {
      for (unsigned char letter : text) mixed = (mixed ^ letter) * 1099511628211u;
      mixed = (mixed ^ 0xff) * 1099511628211u;
    };
    for (auto& [name, each] : rows) {
      if (!is_live(each.entry)) continue;
      mix(name);
      mix(each.entry.status);
      mix(std::to_string(each.entry.incarnation));
      mix(std::to_string(each.entry.doubt));
    }
    // 0 stands for no sum.
    return static_cast<std::int64_t>(mixed | 1);
  }

  void hear(const wire::member& rumour) {
    if (rumour.name == self.name) {
      // Somebody doubts this life of ours: say louder that it goes on.
      if (rumour.incarnation == self.incarnation && rumour.status != "alive" && rumour.doubt >= self.doubt &&
          !leaving) {
        self.doubt = rumour.doubt + 1;
        put(self);
      }
      return;
    }
    auto found = rows.find(rumour.name);
    if (found != rows.end() && !supersedes(rumour, found->second.entry)) return;
    bool changed = found == rows.end() || is_live(found->second.entry) != is_live(rumour) ||
                   found->second.entry.incarnation != rumour.incarnation;
    put(rumour);
    if (changed && handler) handler(rumour);
    if (changed)
      port.journal().info("member",
                          {{"member", rumour.name}, {"status", rumour.status}, {"zone", rumour.zone}});
  }

  std::vector<wire::member> choose(bool full) {
    std::vector<wire::member> chosen;
    int most = 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(rows.size() + 2))));
    std::vector<row*> sorted;
    for (auto& [name, each] : rows)
      if (full || each.sent < most) sorted.push_back(&each);
    // What was told least often goes first.
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](row* left, row* right) { return left->sent < right->sent; });
    if (!full && sorted.size() > rumours_each) sorted.resize(rumours_each);
    for (auto* each : sorted) {
      ++each->sent;
      chosen.push_back(each->entry);
    }
    return chosen;
  }

  void doubt(const std::string& name, std::int64_t incarnation) {
    auto found = rows.find(name);
    if (found == rows.end() || found->second.entry.status != "alive" ||
        found->second.entry.incarnation != incarnation)
      return;
    auto suspected = found->second.entry;
    suspected.status = "suspect";
    hear(suspected);
  }

  void bury() {
    auto now = port.runtime().now();
    std::vector<wire::member> buried;
    for (auto entry = rows.begin(); entry != rows.end();) {
      auto& each = entry->second;
      if (each.entry.status == "suspect" && now - each.since > pace.suspicion) {
        buried.push_back(each.entry);
        buried.back().status = "dead";
      }
      bool gone = !is_live(each.entry) && now - each.since > pace.forget;
      if (gone) ++version;
      entry = gone ? rows.erase(entry) : std::next(entry);
    }
    for (auto& each : buried) hear(each);
  }

  std::optional<wire::member> next_target() {
    for (int attempt = 0; attempt < 2; ++attempt) {
      while (!order.empty()) {
        auto name = order.back();
        order.pop_back();
        auto found = rows.find(name);
        // A row that an agent keeps for its proxy is reached at the agent's own address.
        bool other = found != rows.end() && found->second.entry.inner != self.inner;
        if (other && is_live(found->second.entry)) return found->second.entry;
      }
      for (auto& [name, each] : rows) order.push_back(name);
      std::shuffle(order.begin(), order.end(), port.runtime().random());
    }
    return std::nullopt;
  }

  task<bool> probe_one(std::string address, bool full, microseconds timeout);
  static task<> second_opinion(std::shared_ptr<state> here, std::string helper, std::string target,
                               runtime::mailbox<bool> box);
  static task<> check(std::shared_ptr<state> here, wire::member target);
  static task<> prober(std::shared_ptr<state> here);
};

}  // namespace herontally::members
