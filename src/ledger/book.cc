#include "ledger/book.h"

#include "runtime/breaks.h"

namespace herontally::ledger {

using reg::change_end;
using runtime::microseconds;
using runtime::task;

book::book(reg::proposer stores, std::function<bool(const std::string&, std::int64_t)> gone)
    : stores_(std::move(stores)), gone_(std::move(gone)) {}

// A grant whose proxy vanished is settled at its full amount: what it streamed can't be known any more.
static void close_lapsed(head& now) {
  auto& left = now.open.front();
  now.spent += left.amount;
  add_ending(now, {left.turn, "lapsed", "", left.visit, left.amount});
  now.open.clear();
}

task<open_result> book::open_turn(turn_wish wish, microseconds deadline) {
  auto result = std::make_shared<open_result>();
  auto runtime = stores_.port().runtime();
  auto gone = gone_;
  auto mutate = [wish, result, runtime,
                 gone](const std::optional<std::string>& text) -> std::optional<std::string> {
    head now = from_text(text);
    bool changed = false;
    result->before.reset();
    if (!now.open.empty()) {
      auto& other = now.open.front();
      // Our own earlier round went through, though its answer was lost.
      if (other.visit == wish.visit) {
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
    if (now.keep_until != 0 && now.length > 0 && runtime.wall() > now.keep_until) {
      // The conversation's keeping time is over: this turn begins a new one.
      now.digest.clear();
      now.length = 0;
      now.generation += 1;
    }
    if (now.spent >= wish.budget && !broken("budget")) {
      // Written down before it is said, so that no later proxy runs this turn under a larger budget.
      now.told_spent.insert(now.told_spent.begin(), wish.turn);
      if (now.told_spent.size() > 256) now.told_spent.resize(256);
      changed = true;
      return decide(open_end::spent);
    }
    now.epoch += 1;
    grant mine{wish.turn,   wish.visit,
               wish.owner,  wish.owner_incarnation,
               wish.amount, runtime.wall() + wish.lease_microseconds};
    now.open.push_back(mine);
    changed = true;
    return decide(open_end::granted);
  };
  auto changed = co_await stores_.change(head_key(wish.partner, wish.program), mutate, deadline);
  open_result out = *result;
  switch (changed.end) {
    case change_end::settled:
    case change_end::declined:
      out.now = from_text(changed.value);
      break;
    case change_end::unknown:
      out.end = open_end::unknown;
      break;
    case change_end::unreachable:
    case change_end::full:
      out.end = open_end::unreachable;
      break;
  }
  co_return out;
}

static bool is_content(const std::string& digest, const std::string& body) {
  return digest_of(body) == digest;
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
  auto runtime = stores_.port().runtime();
  auto mutate = [wish, epoch, last, keep_seconds, mine,
                 runtime](const std::optional<std::string>& text) -> std::optional<std::string> {
    head now = from_text(text);
    *mine = false;
    bool still = !now.open.empty() && now.open.front().visit == wish.visit && now.epoch == epoch;
    if (broken("fence")) still = true;
    if (!still) {
      // An earlier round of this settlement may have gone through; otherwise somebody superseded us.
      auto* before = find_visit(now, wish.visit);
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
  bool known = changed.end == change_end::settled || changed.end == change_end::declined;
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
  ending last{wish.turn, "done", digest, wish.visit, tokens};
  co_return co_await settle(std::move(wish), epoch, std::move(last), keep_seconds, deadline);
}

task<settle_end> book::settle_cut(turn_wish wish, std::int64_t epoch, std::int64_t tokens,
                                  microseconds deadline) {
  ending last{wish.turn, "cut", "", wish.visit, tokens};
  co_return co_await settle(std::move(wish), epoch, std::move(last), 0, deadline);
}

task<std::optional<head>> book::look(std::string partner, std::string program, microseconds deadline) {
  auto result = co_await stores_.read(head_key(partner, program), deadline);
  if (result.end != change_end::settled && result.end != change_end::declined) co_return std::nullopt;
  co_return from_text(result.value);
}

task<book::call_result> book::begin_call(std::string key, call_receipt first, microseconds deadline) {
  auto result = std::make_shared<call_result>();
  auto mutate = [first, result](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto now = receipt_from(text);
    if (now && now->body_digest != first.body_digest) {
      result->end = call_end::mismatch;
      return std::nullopt;
    }
    // A shot that was agreed never to run leaves the key free for the next one.
    bool free = !now || now->state == "not-run";
    if (!free) {
      result->end = now->visit == first.visit || broken("started") ? call_end::mine : call_end::found;
      result->receipt = *now;
      return std::nullopt;
    }
    // This visit's own shot was already ended as not run, by somebody else: it must not come back.
    if (now && now->visit == first.visit) {
      result->end = call_end::found;
      result->receipt = *now;
      return std::nullopt;
    }
    call_receipt next = first;
    next.shot = now ? now->shot + 1 : 1;
    result->end = call_end::mine;
    result->receipt = next;
    return to_text(next);
  };
  auto changed = co_await stores_.change(std::move(key), mutate, deadline);
  call_result out = *result;
  if (changed.end == change_end::unknown) out.end = call_end::unknown;
  if (changed.end == change_end::unreachable || changed.end == change_end::full)
    out.end = call_end::unreachable;
  co_return out;
}

task<bool> book::end_call(std::string key, call_receipt last, microseconds deadline) {
  auto mine = std::make_shared<bool>(false);
  auto mutate = [last, mine](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto now = receipt_from(text);
    *mine = now && now->visit == last.visit && now->shot == last.shot && now->state == last.state;
    bool still = now && now->visit == last.visit && now->shot == last.shot && now->state == "started";
    if (!still) return std::nullopt;
    *mine = true;
    return to_text(last);
  };
  auto changed = co_await stores_.change(std::move(key), mutate, deadline, true);
  bool known = changed.end == change_end::settled || changed.end == change_end::declined;
  co_return known&&* mine;
}

task<book::call_look> book::look_call(std::string key, microseconds deadline) {
  auto result = co_await stores_.read(std::move(key), deadline);
  call_look look;
  look.read = result.end == change_end::settled || result.end == change_end::declined;
  look.receipt = receipt_from(result.value);
  co_return look;
}

}  // namespace herontally::ledger
