#include "consensus/send_window.h"

#include <algorithm>

namespace herontally::consensus {

// Limit for one proposer and voter. With many proposers it bounds what is queued at the voter: 64 proposers
// leave 6 MB there.
constexpr std::size_t max_in_flight_bytes = 96 << 10;
// How long a message that timed out may still be queued at the voter.
constexpr runtime::microseconds late_message_lifetime = 2 * runtime::second;

using byte_counts = std::map<std::string, std::size_t>;

static void subtract(byte_counts& counts, const std::string& voter, std::size_t bytes) {
  auto found = counts.find(voter);
  if (found == counts.end()) return;
  found->second -= std::min(found->second, bytes);
  // Identities of replaced voters are never used again, so their entries would accumulate.
  if (found->second == 0) counts.erase(found);
}

send_window::send_window(runtime::handle runtime)
    : runtime_(std::move(runtime)), in_flight_(std::make_shared<byte_counts>()) {}

void send_window::sent(const std::string& voter, std::size_t bytes) { (*in_flight_)[voter] += bytes; }

void send_window::acknowledged(const std::string& voter, std::size_t bytes) {
  subtract(*in_flight_, voter, bytes);
}

void send_window::timed_out(const std::string& voter, std::size_t bytes) {
  std::weak_ptr<byte_counts> weak = in_flight_;
  runtime_.after(late_message_lifetime, [weak, voter, bytes] {
    if (auto counts = weak.lock()) subtract(*counts, voter, bytes);
  });
}

bool send_window::is_full(const std::string& voter) const {
  auto found = in_flight_->find(voter);
  return found != in_flight_->end() && found->second > max_in_flight_bytes;
}

}  // namespace herontally::consensus
