// A voter's catching up under a joint view: it fetches from a majority of the voters before, many records in
// a message.
//
// Why nothing is missed: each source has the joint view when it lists, so that it takes nothing under the
// view before any more. A value that was chosen there was accepted by a majority, which shares a voter with
// the majority of sources; the highest ballot that any of them accepted is taken over. Promises are taken
// over too: a ballot of the view before that was prepared at a majority, and accepted by few or none, must
// not be passed by a lower ballot of a later view, whose value it would then outrank. What is written under
// the joint view needs a majority of the new voters anyway. A copy is taken like a late accept: never under a
// ballot that is promised here. What that refuses is settled by rounds of its own.
#include "register/voter_state.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

constexpr microseconds page_timeout = 1500 * millisecond;
constexpr std::size_t page_bytes = 256 << 10, page_records = 256;

wire::records_receipt voter::state::records(const wire::records_ask& question) const {
  wire::records_receipt receipt;
  receipt.verdict = question.voter != id ? "unknown voter" : question.view != current.number ? "view" : "yes";
  if (wiping || !opened) receipt.verdict = "failed";
  if (receipt.verdict != "yes") return receipt;
  std::size_t bytes = 0;
  for (auto& record : question.records) {
    if (!receipt.values.empty() && bytes > page_bytes) break;
    bool held = holds(record);
    auto value = read(record);
    // It is here but can't be read: another voter has to be the source.
    if (held && !value) {
      receipt.verdict = "failed";
      receipt.values.clear();
      return receipt;
    }
    receipt.values.push_back(value.value_or(""));
    bytes += receipt.values.back().size() + record.size();
  }
  return receipt;
}

runtime::slot<bool> voter::state::take_copy(const std::string& record, std::string bytes,
                                            std::shared_ptr<std::set<std::string>> refused) {
  runtime::slot<bool> done(port.runtime());
  auto& holder = bucket_for_writing(record, bytes.size());
  command work;
  work.urgent = true;
  work.bytes = bytes.size();
  work.apply = [&holder, record, bytes = std::move(bytes), refused, done](auto& overlay) {
    if (record[0] != 'k') {
      if (!holder.holds(overlay, record)) overlay[record] = bytes;
    } else {
      auto own = holder.read(overlay, record);
      cell mine = own ? cell::unpack(*own) : cell{}, copy = cell::unpack(bytes);
      bool newer = copy.accepted > mine.accepted;
      if (newer && copy.accepted < mine.promised) refused->insert(record);
      if (newer && copy.accepted >= mine.promised) {
        mine.promised = mine.accepted = copy.accepted;
        mine.value = copy.value;
      }
      if (!broken("fill_promise")) mine.promised = std::max(mine.promised, copy.promised);
      overlay[record] = cell::pack(mine);
    }
    return [done](bool lasting, bool) { done.set(lasting); };
  };
  holder.queue.push(std::move(work));
  return done;
}

task<bool> voter::state::fetch_page(voter_place source, std::int64_t number, std::vector<std::string> wanted,
                                    std::shared_ptr<std::set<std::string>> refused) {
  auto self = shared_from_this();
  std::vector<runtime::slot<bool>> waits;
  std::size_t from = 0;
  while (from < wanted.size()) {
    wire::records_ask question{source.id, number, {}};
    for (std::size_t each = from; each < wanted.size() && each < from + page_records; ++each)
      question.records.push_back(wanted[each]);
    auto result = co_await self->port.ask(source.address, std::move(question), page_timeout);
    auto* receipt = std::get_if<wire::records_receipt>(&result);
    if (!receipt || receipt->verdict != "yes" || receipt->values.empty()) co_return false;
    for (auto& value : receipt->values) {
      if (from == wanted.size()) break;
      // Removed since it was listed: nobody needs it any more.
      if (!value.empty()) waits.push_back(self->take_copy(wanted[from], std::move(value), refused));
      ++from;
    }
  }
  bool all = true;
  for (auto& wait : waits) {
    bool lasting = co_await wait.wait();
    all = all && lasting;
  }
  co_return all;
}

bool voter::state::lacks(const std::string& record, const wire::ballot& accepted,
                         const wire::ballot& promised) const {
  if (record[0] != 'k') return !holds(record);
  auto own = read(record);
  if (!own) return true;
  auto mine = cell::unpack_ballots(*own);
  return accepted > mine.accepted || promised > mine.promised;
}

task<bool> voter::state::fetch_from(voter_place source, std::int64_t number,
                                    std::shared_ptr<std::set<std::string>> refused) {
  auto self = shared_from_this();
  std::string after;
  while (self->current.number == number) {
    wire::keys_ask question{source.id, after, 1000, -1, number};
    auto result = co_await self->port.ask(source.address, std::move(question), page_timeout);
    auto* receipt = std::get_if<wire::keys_receipt>(&result);
    if (!receipt || receipt->verdict != "yes") co_return false;
    std::vector<std::string> wanted;
    for (std::size_t each = 0; each < receipt->keys.size() && each < receipt->ballots.size(); ++each) {
      auto& record = receipt->keys[each];
      auto promised = each < receipt->promised.size() ? receipt->promised[each] : wire::ballot{};
      if (self->lacks(record, receipt->ballots[each], promised)) wanted.push_back(record);
    }
    bool taken = co_await self->fetch_page(source, number, std::move(wanted), refused);
    if (!taken) co_return false;
    if (!receipt->more || receipt->keys.empty()) co_return true;
    after = receipt->keys.back();
  }
  co_return false;
}

task<> voter::state::report_source(voter_place source, std::int64_t number,
                                   std::shared_ptr<std::set<std::string>> refused,
                                   runtime::mailbox<source_result> results) {
  auto self = shared_from_this();
  std::string voter = source.id;
  bool whole = co_await self->fetch_from(std::move(source), number, std::move(refused));
  results.push({voter, whole});
}

// One source after the other, since the first one brings nearly everything; the next one begins beside it
// when it is slow, so that a slow disk or machine among the sources doesn't hold up the rest.
task<bool> voter::state::fetch_majority(view joint, std::shared_ptr<std::set<std::string>> refused) {
  constexpr microseconds slow_source = 1000 * millisecond;
  auto self = shared_from_this();
  auto runtime = port.runtime();
  std::set<std::string> whole;
  auto enough = [&whole](const std::string& voter) { return whole.count(voter) > 0; };
  std::vector<voter_place> sources;
  for (auto& place : joint.before) {
    // A voter that stays is one of the voters before as well; its own records are here already.
    if (place.id == self->id) whole.insert(place.id);
    if (place.id != self->id) sources.push_back(place);
  }
  // Several joining voters don't all begin at the same source.
  auto first = sources.empty() ? 0 : runtime.draw(sources.size());
  std::rotate(sources.begin(), sources.begin() + static_cast<std::ptrdiff_t>(first), sources.end());
  runtime::mailbox<source_result> results(runtime);
  std::size_t begun = 0, ended = 0;
  while (!view::majority(joint.before, enough)) {
    if (begun == sources.size() && ended == begun) co_return false;
    if (begun < sources.size())
      runtime.spawn(report_source(sources[begun++], joint.number, refused, results));
    auto result = co_await results.pop(begun < sources.size() ? slow_source : page_timeout);
    if (self->current.number != joint.number) co_return false;
    if (!result) continue;
    ++ended;
    if (result->whole) whole.insert(result->voter);
  }
  co_return true;
}

task<> voter::state::run_fill(view joint) {
  auto self = shared_from_this();
  auto refused = std::make_shared<std::set<std::string>>();
  bool done = co_await self->fetch_majority(joint, refused);
  wire::fill_receipt receipt;
  receipt.verdict = done && self->current.number == joint.number ? "yes" : "failed";
  receipt.refused.assign(refused->begin(), refused->end());
  auto waiting = std::exchange(self->fill_waits, {});
  self->filling_view = 0;
  if (done) self->filled = {joint.number, receipt};
  for (auto& wait : waiting) wait.set(receipt);
}

// Asked again while it runs, a fill answers both; asked again after its end, it answers at once: what was
// chosen since then stands at a majority of the new voters.
task<wire::fill_receipt> voter::state::fill(wire::fill_ask question) {
  auto self = shared_from_this();
  wire::fill_receipt receipt;
  receipt.verdict = "failed";
  bool mine = question.voter == self->id && question.view == self->current.number;
  if (!mine || self->wiping || !self->current.joint()) co_return receipt;
  if (self->filled.first == question.view) co_return self->filled.second;
  bool other_runs = self->filling_view != 0 && self->filling_view != question.view;
  if (other_runs) co_return receipt;
  runtime::slot<wire::fill_receipt> done(self->port.runtime());
  self->fill_waits.push_back(done);
  if (self->filling_view == 0) {
    self->filling_view = question.view;
    self->port.runtime().spawn(self->run_fill(self->current));
  }
  co_return co_await done.wait();
}

}  // namespace herontally::reg
