// Turns that were refused for a spent budget, when there are more of them than a record should hold.
#include <algorithm>

#include "ledger/conversation_ledger.h"

namespace herontally::ledger {

using runtime::microseconds;
using runtime::task;

// Whether the turn is in this page or in an older one; nothing when they can't all be read now.
task<std::optional<bool>> conversation_ledger::was_archived_as_refused(std::string page, std::string turn,
                                                                       microseconds deadline) {
  auto none = [](const std::string&) { return std::string(); };
  while (!page.empty()) {
    auto bodies = co_await stores_.fetch_chain(page, 1, is_content, none, deadline);
    auto content = bodies ? refused_page_from_text((*bodies)[0]) : std::nullopt;
    if (!content) co_return std::nullopt;
    auto& turns = content->refused_turns;
    if (std::find(turns.begin(), turns.end(), turn) != turns.end()) co_return true;
    page = content->previous;
  }
  co_return false;
}

// Moves the oldest of them to a page of their own: written first, and only then left out of the record.
task<> conversation_ledger::archive_refused(reservation_request request, conversation_record now,
                                            microseconds deadline) {
  auto kept = static_cast<std::ptrdiff_t>(max_refused_in_record / 2);
  refused_page page{now.refused_archive, {now.refused_turns.begin() + kept, now.refused_turns.end()}};
  std::string text = to_text(page), digest = digest_of(text);
  bool stored = co_await stores_.put_content(digest, text, deadline, true);
  if (!stored) co_return;
  auto mutate = [page, digest](const std::optional<std::string>& current) -> std::optional<std::string> {
    auto next = conversation_from_text(current);
    auto& turns = next.refused_turns;
    auto& moved = page.refused_turns;
    bool same = next.readable && next.refused_archive == page.previous && turns.size() >= moved.size() &&
                std::equal(moved.rbegin(), moved.rend(), turns.rbegin());
    if (!same) return std::nullopt;
    turns.resize(turns.size() - moved.size());
    next.refused_archive = digest;
    return to_text(next);
  };
  co_await stores_.change(conversation_key(request.partner, request.program), mutate, deadline, true);
}

}  // namespace herontally::ledger
