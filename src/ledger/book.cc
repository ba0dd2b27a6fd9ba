#include "ledger/book.h"

#include <algorithm>

#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

book::book(consensus::proposer stores, std::function<bool(const std::string&, std::int64_t)> gone)
    : stores_(std::move(stores)), gone_(std::move(gone)) {}

static bool is_content(const std::string& digest, const std::string& body) {
  return digest_of(body) == digest;
}

// A grant whose proxy vanished is settled at its full amount: what it streamed can't be known any more.
static void close_lapsed(head& now) {
  auto& left = now.open.front();
  now.spent += left.amount;
  add_ending(now, {left.turn, "lapsed", "", left.request_id, left.amount});
  now.open.clear();
}

task<open_result> book::open_turn(turn_wish wish, microseconds deadline) {
  std::map<std::string, bool> pages;
  while (true) {
    auto step = co_await open_with(wish, pages, deadline);
    if (step.needed.empty()) {
      if (step.result.end == open_end::spent && step.result.now.told_spent.size() > told_in_head)
        co_await shelve(wish, step.result.now, deadline);
      co_return step.result;
    }
    auto told = co_await told_before(step.needed, wish.turn, deadline);
    // Without the pages nobody knows whether this turn was told that it never runs.
    if (!told) co_return open_result{};
    pages[step.needed] = *told;
  }
}

task<book::open_step> book::open_with(turn_wish wish, std::map<std::string, bool> pages,
                                      microseconds deadline) {
  auto needed = std::make_shared<std::string>();
  auto result = std::make_shared<open_result>();
  auto runtime = stores_.endpoint().runtime();
  auto gone = gone_;
  auto logger = stores_.endpoint().logger();
  auto mutate = [wish, result, runtime, gone, pages, needed,
                 logger](const std::optional<std::string>& text) -> std::optional<std::string> {
    head now = from_text(text);
    bool changed = false;
    result->before.reset();
    needed->clear();
    if (!now.readable) {
      // Reported and left alone: a head that this version can't read is nobody's to overwrite.
      logger.error("a program's head can't be read", {{"program", wish.program}});
      logger.count("herontally_unreadable_records_total");
      result->end = open_end::unreachable;
      return std::nullopt;
    }
    if (!now.open.empty()) {
      auto& other = now.open.front();
      // Our own earlier round went through, though its answer was lost.
      if (other.request_id == wish.request_id) {
        result->end = open_end::granted;
        result->now = now;
        return std::nullopt;
      }
      bool over =
          runtime.wall() > other.lease_until || gone(other.owner, other.owner_incarnation) || broken("open");
      if (!over) {
        result->end = open_end::busy;
        result->now = now;
        return std::nullopt;
      }
      close_lapsed(now);
      changed = true;
    }
    auto decide = [&](open_end end) -> std::optional<std::string> {
      result->end = end;
      result->now = now;
      if (!changed) return std::nullopt;
      return to_text(now);
    };
    // A turn that was cut or lapsed may be tried again; one that is in the chain gives its outcome again.
    if (auto* before = find_done(now, wish.turn)) {
      result->before = *before;
      return decide(open_end::ended);
    }
    if (was_told_spent(now, wish.turn) && !broken("told")) return decide(open_end::spent);
    if (!now.told_pages.empty() && !broken("told")) {
      auto known = pages.find(now.told_pages);
      if (known == pages.end()) {
        *needed = now.told_pages;
        return std::nullopt;
      }
      if (known->second) return decide(open_end::spent);
    }
    // The conversation's keeping time is over: this turn begins a new one.
    if (is_overdue(now, runtime.wall())) begin_conversation(now);
    if (now.spent >= wish.budget && !broken("budget")) {
      // Written down before it is said, so that no later proxy runs this turn under a larger budget.
      now.told_spent.insert(now.told_spent.begin(), wish.turn);
      changed = true;
      return decide(open_end::spent);
    }
    now.epoch += 1;
    grant mine{wish.turn,   wish.request_id,
               wish.owner,  wish.owner_incarnation,
               wish.amount, runtime.wall() + wish.lease_microseconds};
    now.open.push_back(mine);
    changed = true;
    return decide(open_end::granted);
  };
  auto changed = co_await stores_.change(head_key(wish.partner, wish.program), mutate, deadline);
  open_step step;
  step.needed = *needed;
  auto& out = step.result;
  out = *result;
  switch (changed.status) {
    case change_status::committed:
    case change_status::declined:
      out.now = from_text(changed.value);
      break;
    case change_status::unknown:
      out.end = open_end::unknown;
      break;
    case change_status::unreachable:
      out.end = open_end::unreachable;
      break;
    case change_status::disk_full:
      out.end = open_end::full;
      break;
  }
  co_return step;
}

static std::string previous_of(const std::string& body) {
  auto content = content_from(body);
  return content ? content->previous : std::string();
}

task<std::optional<std::vector<turn_content>>> book::chain(head of, microseconds deadline) {
  std::vector<turn_content> turns;
  if (of.length == 0) co_return turns;
  auto bodies = co_await stores_.fetch_chain(of.digest, static_cast<std::size_t>(of.length), is_content,
                                             previous_of, deadline);
  // Anything but the whole chain that the head names is no chain.
  if (!bodies) co_return std::nullopt;
  for (auto body = bodies->rbegin(); body != bodies->rend(); ++body) {
    auto content = content_from(*body);
    if (!content) co_return std::nullopt;
    turns.push_back(std::move(*content));
  }
  co_return turns;
}

task<std::optional<turn_content>> book::content(std::string digest, microseconds deadline) {
  auto none = [](const std::string&) { return std::string(); };
  auto bodies = co_await stores_.fetch_chain(digest, 1, is_content, none, deadline);
  if (!bodies) co_return std::nullopt;
  co_return content_from((*bodies)[0]);
}

task<settle_end> book::settle(turn_wish wish, std::int64_t epoch, ending last, std::int64_t keep_seconds,
                              microseconds deadline) {
  auto mine = std::make_shared<bool>(false);
  auto runtime = stores_.endpoint().runtime();
  auto mutate = [wish, epoch, last, keep_seconds, mine,
                 runtime](const std::optional<std::string>& text) -> std::optional<std::string> {
    head now = from_text(text);
    *mine = false;
    bool still = now.readable && !now.open.empty() && now.open.front().request_id == wish.request_id &&
                 now.epoch == epoch;
    if (broken("fence")) still = true;
    if (!still) {
      // An earlier round of this settlement may have gone through; otherwise somebody superseded us.
      auto* before = find_request(now, wish.request_id);
      *mine = before && before->how == last.how && before->digest == last.digest;
      return std::nullopt;
    }
    *mine = true;
    now.open.clear();
    now.spent += last.tokens;
    if (last.how == "done") {
      now.digest = last.digest;
      now.length += 1;
      now.keep_until = runtime.wall() + keep_seconds * runtime::second;
    }
    add_ending(now, last);
    return to_text(now);
  };
  auto changed = co_await stores_.change(head_key(wish.partner, wish.program), mutate, deadline, true);
  bool known = changed.known();
  if (!known) co_return settle_end::unreachable;
  co_return *mine ? settle_end::settled : settle_end::superseded;
}

task<settle_end> book::settle_done(turn_wish wish, std::int64_t epoch, turn_content content,
                                   std::int64_t tokens, std::int64_t keep_seconds, microseconds deadline) {
  std::string text = to_text(content);
  std::string digest = digest_of(text);
  // The content lasts at a majority before any head can name it.
  bool stored = co_await stores_.put_content(digest, std::move(text), deadline, true);
  if (!stored) co_return settle_end::unreachable;
  ending last{wish.turn, "done", digest, wish.request_id, tokens};
  co_return co_await settle(std::move(wish), epoch, std::move(last), keep_seconds, deadline);
}

task<settle_end> book::settle_cut(turn_wish wish, std::int64_t epoch, std::int64_t tokens,
                                  microseconds deadline) {
  ending last{wish.turn, "cut", "", wish.request_id, tokens};
  co_return co_await settle(std::move(wish), epoch, std::move(last), 0, deadline);
}

task<std::optional<head>> book::look(std::string partner, std::string program, microseconds deadline) {
  auto result = co_await stores_.read(head_key(partner, program), deadline);
  if (!result.known()) co_return std::nullopt;
  auto now = from_text(result.value);
  if (!now.readable) co_return std::nullopt;
  co_return now;
}

}  // namespace herontally::ledger
