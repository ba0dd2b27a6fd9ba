// A newcomer's first records: fetched by itself from a majority of the view before, many in a message.
//
// Why nothing is missed: each source has the joint view when it lists, so that it takes nothing under the
// view before any more. A value that was chosen there was accepted by a majority, which shares a voter with
// the majority of sources; the newcomer takes the highest ballot that any of them has. What is written under
// the joint view needs a majority of the new voters anyway. A copy is taken like a late accept: never under
// the ballot that the newcomer has promised. What that refuses is settled by rounds of its own.
#include "register/voter_state.h"

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
    receipt.values.push_back(read(record).value_or(""));
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
    auto own = holder.read(overlay, record);
    if (record[0] != 'k') {
      if (!own) overlay[record] = bytes;
    } else {
      cell mine = own ? cell::unpack(*own) : cell{}, copy = cell::unpack(bytes);
      if (copy.accepted > mine.accepted && copy.accepted < mine.promised) refused->insert(record);
      if (copy.accepted > mine.accepted && copy.accepted >= mine.promised) {
        mine.promised = mine.accepted = copy.accepted;
        mine.value = copy.value;
        overlay[record] = cell::pack(mine);
      }
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
      auto own = self->read(record);
      bool newer = own && record[0] == 'k' && receipt->ballots[each] > cell::unpack(*own).accepted;
      if (!own || newer) wanted.push_back(record);
    }
    bool taken = co_await self->fetch_page(source, number, std::move(wanted), refused);
    if (!taken) co_return false;
    if (!receipt->more || receipt->keys.empty()) co_return true;
    after = receipt->keys.back();
  }
  co_return false;
}

task<wire::fill_receipt> voter::state::fill(wire::fill_ask question) {
  auto self = shared_from_this();
  wire::fill_receipt receipt;
  receipt.verdict = "failed";
  bool mine = question.voter == self->id && question.view == self->current.number;
  if (!mine || self->wiping || self->current.before.empty()) co_return receipt;
  auto refused = std::make_shared<std::set<std::string>>();
  view joint = self->current;
  std::set<std::string> heard;
  auto enough = [&heard](const std::string& id) { return heard.count(id) > 0; };
  for (auto& source : joint.before) {
    if (view::majority(joint.before, enough)) break;
    // A voter that stays is one of the view before as well; its own records are the newcomer's already.
    bool whole = source.id == self->id;
    if (!whole) whole = co_await self->fetch_from(source, joint.number, refused);
    if (whole) heard.insert(source.id);
  }
  if (!view::majority(joint.before, enough) || self->current.number != joint.number) co_return receipt;
  receipt.verdict = "yes";
  receipt.refused.assign(refused->begin(), refused->end());
  co_return receipt;
}

}  // namespace herontally::reg
