// Archives the turns that were refused because the budget was spent, once a conversation's record lists too
// many.
#include <algorithm>

#include "ledger/conversation_ledger.h"

namespace herontally::ledger {

using runtime::microseconds;
using runtime::task;

task<std::optional<bool>> conversation_ledger::was_archived_as_refused(std::string page, std::string turn,
                                                                       microseconds deadline) {
  auto no_previous = [](const std::string&) { return std::string(); };
  while (!page.empty()) {
    auto bodies = co_await proposer_.fetch_chain(page, 1, matches_digest, no_previous, deadline);
    auto content = bodies ? refused_page_from_text((*bodies)[0]) : std::nullopt;
    if (!content) co_return std::nullopt;
    auto& turns = content->refused_turns;
    if (std::find(turns.begin(), turns.end(), turn) != turns.end()) co_return true;
    page = content->previous;
  }
  co_return false;
}

task<> conversation_ledger::archive_refused(reservation_request request, conversation_record record,
                                            microseconds deadline) {
  auto kept = static_cast<std::ptrdiff_t>(max_refused_in_record / 2);
  refused_page page{record.refused_archive,
                    {record.refused_turns.begin() + kept, record.refused_turns.end()}};
  std::string page_text = to_text(page), digest = digest_of(page_text);
  bool stored = co_await proposer_.put_content(digest, page_text, deadline, true);
  if (!stored) co_return;
  auto mutate = [page, digest](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto next = conversation_from_text(text);
    auto& turns = next.refused_turns;
    auto& moved = page.refused_turns;
    bool unchanged = next.readable && next.refused_archive == page.previous && turns.size() >= moved.size() &&
                     std::equal(moved.rbegin(), moved.rend(), turns.rbegin());
    if (!unchanged) return std::nullopt;
    turns.resize(turns.size() - moved.size());
    next.refused_archive = digest;
    return to_text(next);
  };
  co_await proposer_.change(conversation_key(request.partner, request.program), mutate, deadline, true);
}

}  // namespace herontally::ledger
