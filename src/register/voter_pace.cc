#include "register/voter_pace.h"

#include <algorithm>

namespace herontally::reg {

// With many writers to a voter this bounds what waits there: 64 of them leave 6 MB.
constexpr std::size_t most_unanswered_bytes = 96 << 10;
constexpr runtime::microseconds late_messages_wait = 2 * runtime::second;

using byte_counts = std::map<std::string, std::size_t>;

static void take_off(byte_counts& counts, const std::string& voter, std::size_t bytes) {
  auto found = counts.find(voter);
  if (found == counts.end()) return;
  found->second -= std::min(found->second, bytes);
  // Voters come and go with their identities.
  if (found->second == 0) counts.erase(found);
}

voter_pace::voter_pace(runtime::handle runtime)
    : runtime_(std::move(runtime)), unanswered_(std::make_shared<byte_counts>()) {}

void voter_pace::sent(const std::string& voter, std::size_t bytes) { (*unanswered_)[voter] += bytes; }

void voter_pace::answered(const std::string& voter, std::size_t bytes) {
  take_off(*unanswered_, voter, bytes);
}

void voter_pace::timed_out(const std::string& voter, std::size_t bytes) {
  std::weak_ptr<byte_counts> weak = unanswered_;
  runtime_.after(late_messages_wait, [weak, voter, bytes] {
    if (auto counts = weak.lock()) take_off(*counts, voter, bytes);
  });
}

bool voter_pace::behind(const std::string& voter) const {
  auto found = unanswered_->find(voter);
  return found != unanswered_->end() && found->second > most_unanswered_bytes;
}

}  // namespace herontally::reg
