#include "ledger/conversation_ledger.h"

#include "runtime/breaks.h"

namespace herontally::ledger {

using consensus::change_status;
using runtime::microseconds;
using runtime::task;

namespace {

std::string previous_of(const std::string& body) {
  auto content = turn_content_from_text(body);
  return content ? content->previous : std::string();
}

// A reservation whose proxy vanished is settled at its full amount: what was put out can't be known any more.
void close_lapsed(conversation_record& now) {
  auto& left = now.open.front();
  now.spent += left.amount;
  add_ending(now, {left.turn, turn_outcome::lapsed, "", left.request_id, left.amount});
  now.open.clear();
}

// What one run of the mutator decides from.
struct reservation_context {
  reservation_request request;
  std::map<std::string, bool> pages;
  std::int64_t wall = 0;
  conversation_ledger::ended_check owner_ended;
  std::int64_t new_lease_until() const { return wall + request.lease_microseconds; }
};

// What it decided. `changed`: the record is to be written.
struct reservation_decision {
  reservation_status status = reservation_status::unreachable;
  std::optional<ended_turn> before;
  std::string needed_page;
  bool changed = false;
};

// An open reservation that isn't abandoned decides alone. False: it doesn't stand in the way.
bool decide_by_open(conversation_record& now, const reservation_context& with,
                    reservation_decision& decision) {
  if (now.open.empty()) return false;
  auto& other = now.open.front();
  // Our own earlier round went through, though its answer was lost.
  if (other.request_id == with.request.request_id) {
    decision.status = reservation_status::granted;
    return true;
  }
  bool abandoned = with.wall > other.lease_until || with.owner_ended(other.owner, other.owner_incarnation) ||
                   broken("open");
  if (!abandoned) {
    decision.status = reservation_status::busy;
    return true;
  }
  close_lapsed(now);
  decision.changed = true;
  return false;
}

// A turn that was refused, or is finished, has its answer already. An aborted or lapsed one may be tried
// again.
bool decide_by_history(conversation_record& now, const reservation_context& with,
                       reservation_decision& decision) {
  if (auto* done = find_done(now, with.request.turn)) {
    decision.before = *done;
    decision.status = reservation_status::already_ended;
    return true;
  }
  decision.status = reservation_status::budget_spent;
  if (broken("refused")) return false;
  if (was_refused(now, with.request.turn)) return true;
  if (now.refused_archive.empty()) return false;
  auto page = with.pages.find(now.refused_archive);
  if (page == with.pages.end()) {
    decision.needed_page = now.refused_archive;
    decision.changed = false;
    return true;
  }
  return page->second;
}

reservation_decision decide(conversation_record& now, const reservation_context& with) {
  reservation_decision decision;
  if (decide_by_open(now, with, decision) || decide_by_history(now, with, decision)) return decision;
  // The conversation's retention is over: this turn begins a new one.
  if (is_expired(now, with.wall)) begin_conversation(now);
  decision.changed = true;
  if (now.spent >= with.request.budget && !broken("budget")) {
    // Written down before it is said, so that no later proxy runs this turn under a larger budget.
    now.refused_turns.insert(now.refused_turns.begin(), with.request.turn);
    decision.status = reservation_status::budget_spent;
    return decision;
  }
  now.epoch += 1;
  auto& request = with.request;
  now.open.push_back({request.turn, request.request_id, request.owner, request.owner_incarnation,
                      request.amount, with.new_lease_until()});
  decision.status = reservation_status::granted;
  return decision;
}

}  // namespace

bool is_content(const std::string& digest, const std::string& body) { return digest_of(body) == digest; }

conversation_ledger::conversation_ledger(consensus::proposer stores, ended_check owner_ended)
    : stores_(std::move(stores)), owner_ended_(std::move(owner_ended)) {}

task<reservation_result> conversation_ledger::reserve(reservation_request request, microseconds deadline) {
  read_pages pages;
  while (true) {
    auto attempt = co_await try_reserve(request, pages, deadline);
    if (attempt.needed_page.empty()) {
      auto& now = attempt.result.now;
      bool overfull = now.refused_turns.size() > max_refused_in_record;
      if (attempt.result.status == reservation_status::budget_spent && overfull)
        co_await archive_refused(request, now, deadline);
      co_return attempt.result;
    }
    auto refused = co_await was_archived_as_refused(attempt.needed_page, request.turn, deadline);
    // Without the pages nobody knows whether this turn was refused for good.
    if (!refused) co_return reservation_result{};
    pages[attempt.needed_page] = *refused;
  }
}

task<conversation_ledger::reservation_attempt> conversation_ledger::try_reserve(reservation_request request,
                                                                                read_pages pages,
                                                                                microseconds deadline) {
  auto attempt = std::make_shared<reservation_attempt>();
  auto runtime = stores_.endpoint().runtime();
  auto logger = stores_.endpoint().logger();
  auto mutate = [request, pages, attempt, runtime, logger,
                 ended = owner_ended_](const std::optional<std::string>& text) -> std::optional<std::string> {
    *attempt = reservation_attempt{};
    auto now = conversation_from_text(text);
    if (!now.readable) {
      // Reported and left alone: a record that this version can't read is nobody's to overwrite.
      logger.error("a program's head can't be read", {{"program", request.program}});
      logger.count("herontally_unreadable_records_total");
      return std::nullopt;
    }
    auto decision = decide(now, {request, pages, runtime.wall(), ended});
    attempt->needed_page = decision.needed_page;
    attempt->result = {decision.status, now, decision.before};
    if (!decision.changed) return std::nullopt;
    return to_text(now);
  };
  auto changed =
      co_await stores_.change(conversation_key(request.partner, request.program), mutate, deadline);
  auto out = *attempt;
  if (changed.known()) out.result.now = conversation_from_text(changed.value);
  if (changed.status == change_status::unknown) out.result.status = reservation_status::unknown;
  if (changed.status == change_status::unreachable) out.result.status = reservation_status::unreachable;
  if (changed.status == change_status::disk_full) out.result.status = reservation_status::disk_full;
  co_return out;
}

task<std::optional<std::vector<turn_content>>> conversation_ledger::read_chain(conversation_record of,
                                                                               microseconds deadline) {
  std::vector<turn_content> turns;
  if (of.length == 0) co_return turns;
  auto bodies = co_await stores_.fetch_chain(of.digest, static_cast<std::size_t>(of.length), is_content,
                                             previous_of, deadline);
  // Anything but the whole chain that the record names is no chain.
  if (!bodies) co_return std::nullopt;
  for (auto body = bodies->rbegin(); body != bodies->rend(); ++body) {
    auto content = turn_content_from_text(*body);
    if (!content) co_return std::nullopt;
    turns.push_back(std::move(*content));
  }
  co_return turns;
}

task<std::optional<turn_content>> conversation_ledger::read_turn(std::string digest, microseconds deadline) {
  auto none = [](const std::string&) { return std::string(); };
  auto bodies = co_await stores_.fetch_chain(digest, 1, is_content, none, deadline);
  if (!bodies) co_return std::nullopt;
  co_return turn_content_from_text((*bodies)[0]);
}

task<settlement_status> conversation_ledger::settle(reservation_request request, std::int64_t epoch,
                                                    ended_turn last, std::int64_t keep_seconds,
                                                    microseconds deadline) {
  auto settled = std::make_shared<bool>(false);
  auto runtime = stores_.endpoint().runtime();
  auto mutate = [request, epoch, last, keep_seconds, settled,
                 runtime](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto now = conversation_from_text(text);
    bool open = now.readable && !now.open.empty() && now.open.front().request_id == request.request_id &&
                now.epoch == epoch;
    if (!open && !broken("fence")) {
      // An earlier round of this settlement may have gone through; otherwise somebody superseded us.
      auto* before = find_request(now, request.request_id);
      *settled = before && before->outcome == last.outcome && before->digest == last.digest;
      return std::nullopt;
    }
    *settled = true;
    now.open.clear();
    now.spent += last.tokens;
    if (last.outcome == turn_outcome::done) {
      now.digest = last.digest;
      now.length += 1;
      now.keep_until = runtime.wall() + keep_seconds * runtime::second;
    }
    add_ending(now, last);
    return to_text(now);
  };
  auto changed =
      co_await stores_.change(conversation_key(request.partner, request.program), mutate, deadline, true);
  if (!changed.known()) co_return settlement_status::unreachable;
  co_return *settled ? settlement_status::settled : settlement_status::superseded;
}

task<settlement_status> conversation_ledger::commit_turn(reservation_request request, std::int64_t epoch,
                                                         turn_content content, std::int64_t tokens,
                                                         std::int64_t keep_seconds, microseconds deadline) {
  std::string text = to_text(content);
  std::string digest = digest_of(text);
  // The content is durable at a majority before any record can name it.
  bool stored = co_await stores_.put_content(digest, std::move(text), deadline, true);
  if (!stored) co_return settlement_status::unreachable;
  ended_turn last{request.turn, turn_outcome::done, digest, request.request_id, tokens};
  co_return co_await settle(std::move(request), epoch, std::move(last), keep_seconds, deadline);
}

task<settlement_status> conversation_ledger::abort_turn(reservation_request request, std::int64_t epoch,
                                                        std::int64_t tokens, microseconds deadline) {
  ended_turn last{request.turn, turn_outcome::aborted, "", request.request_id, tokens};
  co_return co_await settle(std::move(request), epoch, std::move(last), 0, deadline);
}

task<std::optional<conversation_record>> conversation_ledger::read(std::string partner, std::string program,
                                                                   microseconds deadline) {
  auto result = co_await stores_.read(conversation_key(partner, program), deadline);
  if (!result.known()) co_return std::nullopt;
  auto now = conversation_from_text(result.value);
  if (!now.readable) co_return std::nullopt;
  co_return now;
}

}  // namespace herontally::ledger
