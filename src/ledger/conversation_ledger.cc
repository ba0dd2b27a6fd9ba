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

// Settles the open reservation of a proxy that disappeared at its full amount, because the actual output is
// unknown.
void settle_lapsed_reservation(conversation_record& current) {
  auto& lapsed = current.open.front();
  current.spent += lapsed.amount;
  add_ended_turn(current, {lapsed.turn, turn_outcome::lapsed, "", lapsed.request_id, lapsed.amount});
  current.open.clear();
}

// Inputs of a reservation decision.
struct reservation_context {
  reservation_request request;
  std::map<std::string, bool> pages;
  std::int64_t wall = 0;
  conversation_ledger::ended_check owner_ended;
  std::int64_t new_lease_until() const { return wall + request.lease_microseconds; }
};

// Result of a reservation decision. `changed` is set if the record must be written.
struct reservation_decision {
  reservation_status status = reservation_status::unreachable;
  std::optional<ended_turn> earlier_outcome;
  std::string needed_page;
  bool changed = false;
};

// Decides from the open reservation, and settles it first if it is abandoned. Returns false if no open
// reservation prevents this one.
bool decide_from_open_reservation(conversation_record& current, const reservation_context& context,
                                  reservation_decision& decision) {
  if (current.open.empty()) return false;
  auto& other = current.open.front();
  // An earlier round of this request was accepted, but its reply was lost.
  if (other.request_id == context.request.request_id) {
    decision.status = reservation_status::granted;
    return true;
  }
  bool abandoned = context.wall > other.lease_until ||
                   context.owner_ended(other.owner, other.owner_incarnation) || broken("open");
  if (!abandoned) {
    decision.status = reservation_status::busy;
    return true;
  }
  settle_lapsed_reservation(current);
  decision.changed = true;
  return false;
}

// Decides from earlier outcomes of this turn: a refused or completed turn isn't run again, an aborted or
// lapsed one may be. Returns false if the turn may run.
bool decide_from_history(conversation_record& current, const reservation_context& context,
                         reservation_decision& decision) {
  if (auto* completed = find_completed_turn(current, context.request.turn)) {
    decision.earlier_outcome = *completed;
    decision.status = reservation_status::already_ended;
    return true;
  }
  decision.status = reservation_status::budget_spent;
  if (broken("refused")) return false;
  if (was_refused(current, context.request.turn)) return true;
  if (current.refused_archive.empty()) return false;
  auto page = context.pages.find(current.refused_archive);
  if (page == context.pages.end()) {
    decision.needed_page = current.refused_archive;
    decision.changed = false;
    return true;
  }
  return page->second;
}

reservation_decision decide_reservation(conversation_record& current, const reservation_context& context) {
  reservation_decision decision;
  if (decide_from_open_reservation(current, context, decision) ||
      decide_from_history(current, context, decision))
    return decision;
  // The conversation's retention has ended; this turn starts a new conversation.
  if (is_expired(current, context.wall)) reset_conversation(current);
  decision.changed = true;
  if (current.spent >= context.request.budget && !broken("budget")) {
    // The refusal is made durable before it is reported, so that no proxy runs this turn later under a larger
    // budget.
    current.refused_turns.insert(current.refused_turns.begin(), context.request.turn);
    decision.status = reservation_status::budget_spent;
    return decision;
  }
  current.epoch += 1;
  auto& request = context.request;
  current.open.push_back({request.turn, request.request_id, request.owner, request.owner_incarnation,
                          request.amount, context.new_lease_until()});
  decision.status = reservation_status::granted;
  return decision;
}

}  // namespace

bool matches_digest(const std::string& digest, const std::string& body) { return digest_of(body) == digest; }

conversation_ledger::conversation_ledger(consensus::proposer proposer, ended_check owner_ended)
    : proposer_(std::move(proposer)), owner_ended_(std::move(owner_ended)) {}

task<reservation_result> conversation_ledger::reserve(reservation_request request, microseconds deadline) {
  page_lookups pages;
  while (true) {
    auto attempt = co_await try_reserve(request, pages, deadline);
    if (attempt.needed_page.empty()) {
      auto& current = attempt.result.now;
      bool needs_archiving = current.refused_turns.size() > max_refused_in_record;
      if (attempt.result.status == reservation_status::budget_spent && needs_archiving)
        co_await archive_refused(request, current, deadline);
      co_return attempt.result;
    }
    auto refused = co_await was_archived_as_refused(attempt.needed_page, request.turn, deadline);
    // Without all pages it is unknown whether this turn was refused.
    if (!refused) co_return reservation_result{};
    pages[attempt.needed_page] = *refused;
  }
}

task<conversation_ledger::reservation_attempt> conversation_ledger::try_reserve(reservation_request request,
                                                                                page_lookups pages,
                                                                                microseconds deadline) {
  auto attempt = std::make_shared<reservation_attempt>();
  auto runtime = proposer_.endpoint().runtime();
  auto logger = proposer_.endpoint().logger();
  auto mutate = [request, pages, attempt, runtime, logger,
                 ended = owner_ended_](const std::optional<std::string>& text) -> std::optional<std::string> {
    *attempt = reservation_attempt{};
    auto current = conversation_from_text(text);
    if (!current.readable) {
      // A record that this version can't read is reported and must not be overwritten.
      logger.error("conversation record can't be read", {{"program", request.program}});
      logger.count("herontally_unreadable_records_total");
      return std::nullopt;
    }
    auto decision = decide_reservation(current, {request, pages, runtime.wall(), ended});
    attempt->needed_page = decision.needed_page;
    attempt->result = {decision.status, current, decision.earlier_outcome};
    if (!decision.changed) return std::nullopt;
    return to_text(current);
  };
  auto changed =
      co_await proposer_.change(conversation_key(request.partner, request.program), mutate, deadline);
  auto out = *attempt;
  if (changed.known()) out.result.now = conversation_from_text(changed.value);
  if (changed.status == change_status::unknown) out.result.status = reservation_status::unknown;
  if (changed.status == change_status::unreachable) out.result.status = reservation_status::unreachable;
  if (changed.status == change_status::disk_full) out.result.status = reservation_status::disk_full;
  co_return out;
}

task<std::optional<std::vector<turn_content>>> conversation_ledger::read_chain(conversation_record record,
                                                                               microseconds deadline) {
  std::vector<turn_content> turns;
  if (record.length == 0) co_return turns;
  auto bodies = co_await proposer_.fetch_chain(record.digest, static_cast<std::size_t>(record.length),
                                               matches_digest, previous_of, deadline);
  // A partial chain must not be used as the conversation's history.
  if (!bodies) co_return std::nullopt;
  for (auto body = bodies->rbegin(); body != bodies->rend(); ++body) {
    auto content = turn_content_from_text(*body);
    if (!content) co_return std::nullopt;
    turns.push_back(std::move(*content));
  }
  co_return turns;
}

task<std::optional<turn_content>> conversation_ledger::read_turn(std::string digest, microseconds deadline) {
  auto no_previous = [](const std::string&) { return std::string(); };
  auto bodies = co_await proposer_.fetch_chain(digest, 1, matches_digest, no_previous, deadline);
  if (!bodies) co_return std::nullopt;
  co_return turn_content_from_text((*bodies)[0]);
}

task<settlement_status> conversation_ledger::settle(reservation_request request, std::int64_t epoch,
                                                    ended_turn ended, std::int64_t keep_seconds,
                                                    microseconds deadline) {
  auto settled = std::make_shared<bool>(false);
  auto runtime = proposer_.endpoint().runtime();
  auto mutate = [request, epoch, ended, keep_seconds, settled,
                 runtime](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto current = conversation_from_text(text);
    bool owns_reservation = current.readable && !current.open.empty() &&
                            current.open.front().request_id == request.request_id && current.epoch == epoch;
    if (!owns_reservation && !broken("fence")) {
      // Either an earlier round of this settlement was accepted, or the reservation was superseded.
      auto* earlier = find_turn_of_request(current, request.request_id);
      *settled = earlier && earlier->outcome == ended.outcome && earlier->digest == ended.digest;
      return std::nullopt;
    }
    *settled = true;
    current.open.clear();
    current.spent += ended.tokens;
    if (ended.outcome == turn_outcome::done) {
      current.digest = ended.digest;
      current.length += 1;
      current.keep_until = runtime.wall() + keep_seconds * runtime::second;
    }
    add_ended_turn(current, ended);
    return to_text(current);
  };
  auto changed =
      co_await proposer_.change(conversation_key(request.partner, request.program), mutate, deadline, true);
  if (!changed.known()) co_return settlement_status::unreachable;
  co_return *settled ? settlement_status::settled : settlement_status::superseded;
}

task<settlement_status> conversation_ledger::commit_turn(reservation_request request, std::int64_t epoch,
                                                         turn_content content, std::int64_t tokens,
                                                         std::int64_t keep_seconds, microseconds deadline) {
  std::string text = to_text(content);
  std::string digest = digest_of(text);
  // The content must be durable at a majority before any record refers to it.
  bool stored = co_await proposer_.put_content(digest, std::move(text), deadline, true);
  if (!stored) co_return settlement_status::unreachable;
  ended_turn ended{request.turn, turn_outcome::done, digest, request.request_id, tokens};
  co_return co_await settle(std::move(request), epoch, std::move(ended), keep_seconds, deadline);
}

task<settlement_status> conversation_ledger::abort_turn(reservation_request request, std::int64_t epoch,
                                                        std::int64_t tokens, microseconds deadline) {
  ended_turn ended{request.turn, turn_outcome::aborted, "", request.request_id, tokens};
  co_return co_await settle(std::move(request), epoch, std::move(ended), 0, deadline);
}

task<std::optional<conversation_record>> conversation_ledger::read(std::string partner, std::string program,
                                                                   microseconds deadline) {
  auto result = co_await proposer_.read(conversation_key(partner, program), deadline);
  if (!result.known()) co_return std::nullopt;
  auto current = conversation_from_text(result.value);
  if (!current.readable) co_return std::nullopt;
  co_return current;
}

}  // namespace herontally::ledger
