// The voter's answers to messages.
#include "register/voter_state.h"
#include "runtime/breaks.h"

namespace herontally::reg {

using runtime::task;

static std::string identity_check(const std::string& own, const std::string& asked) {
  return own == asked ? "" : "unknown voter";
}

task<wire::voter_receipt> voter::state::vote(wire::voter_ask question) {
  auto self = shared_from_this();
  wire::voter_receipt receipt;
  receipt.verdict = identity_check(self->id, question.voter);
  // Only the view that this voter has installed counts: whoever holds another one is told which.
  bool other_view = question.view != self->current.number && !broken("view");
  if (receipt.verdict.empty() && other_view) receipt.verdict = "view";
  if (!self->current.voters.empty()) receipt.view = view_text(self->current);
  if (self->wiping || !self->opened) receipt.verdict = "failed";
  if (!receipt.verdict.empty()) co_return receipt;
  receipt.view.clear();
  std::string record = "k/" + question.key;
  auto& holder = self->bucket_of(record);
  // New work is refused at its first step, so that nothing half-begun is left of it.
  constexpr std::size_t room_for_accept = 4096;
  if (question.step == "prepare" && !question.urgent && !holder.store.has_room(room_for_accept, false)) {
    self->port.journal().count("herontally_disk_full_total");
    receipt.verdict = "full";
    co_return receipt;
  }
  runtime::slot<wire::voter_receipt> done(self->port.runtime());
  std::int64_t asked_view = question.view;
  command work;
  work.urgent = question.urgent;
  work.bytes = 2 * record.size() + question.value.size() + 64 + holder.store.value_bytes(record);
  work.apply = [self, &holder, record, question, receipt, done, asked_view](auto& overlay) mutable {
    auto bytes = holder.read(overlay, record);
    cell content = bytes ? cell::unpack(*bytes) : cell{};
    // The view may have moved on while the command waited.
    bool moved_on = self->current.number != asked_view && !broken("view");
    if (moved_on || self->wiping) {
      receipt.verdict = "view";
    } else if (question.step == "prepare" && (question.ballot > content.promised || broken("promise"))) {
      content.promised = question.ballot;
      overlay[record] = cell::pack(content);
      receipt.verdict = "yes";
    } else if (question.step == "accept" && (question.ballot >= content.promised || broken("promise"))) {
      content.promised = content.accepted = question.ballot;
      content.value = question.value;
      if (question.ahead && !broken("ahead")) content.promised.counter += 1;
      overlay[record] = cell::pack(content);
      receipt.verdict = "yes";
    } else {
      receipt.verdict = question.step == "fetch" ? "yes" : "behind";
    }
    receipt.promised = content.promised;
    receipt.accepted = content.accepted;
    // A writer that has just sent the value doesn't need it back.
    if (question.step != "accept") receipt.value = content.value;
    return [self, question, receipt, done](bool lasting, bool full) mutable {
      if (!lasting) {
        receipt = wire::voter_receipt{};
        receipt.verdict = full ? "full" : "failed";
      }
      if (lasting && question.step == "accept" && receipt.verdict == "yes" && self->accepted_handler)
        self->accepted_handler(question.key, question.value);
      done.set(receipt);
    };
  };
  holder.queue.push(std::move(work));
  co_return co_await done.wait();
}

task<wire::content_put_receipt> voter::state::put(wire::content_put question) {
  auto self = shared_from_this();
  wire::content_put_receipt receipt;
  receipt.verdict = identity_check(self->id, question.voter);
  if (self->wiping) receipt.verdict = "failed";
  auto other_view = [self](std::int64_t asked) { return asked != 0 && asked != self->current.number; };
  if (receipt.verdict.empty() && other_view(question.view)) receipt.verdict = "view";
  if (!receipt.verdict.empty()) co_return receipt;
  std::string record = "c/" + question.digest;
  auto& holder = self->bucket_for_writing(record, question.body.size());
  runtime::slot<std::string> done(self->port.runtime());
  command work;
  work.urgent = question.urgent;
  work.bytes = record.size() + question.body.size();
  // One copy of the body waits, and goes on to the disk.
  work.apply = [&holder, record, asked = question.view, body = std::move(question.body), done, other_view,
                self](auto& overlay) mutable {
    // The view may have moved on while the command waited.
    bool refused = other_view(asked) || self->wiping;
    // Contents never change, so what is there already is right.
    if (!refused && !holder.holds(overlay, record)) overlay[record] = std::move(body);
    return [done, refused](bool lasting, bool full) {
      done.set(refused ? "view" : lasting ? "yes" : full ? "full" : "failed");
    };
  };
  holder.queue.push(std::move(work));
  receipt.verdict = co_await done.wait();
  co_return receipt;
}

wire::chain_receipt voter::state::chain(const wire::chain_ask& question) const {
  wire::chain_receipt receipt;
  receipt.verdict = identity_check(id, question.voter);
  if (receipt.verdict.empty() && question.view != current.number) receipt.verdict = "view";
  if (wiping || !opened) receipt.verdict = "failed";
  if (receipt.verdict.empty()) receipt.verdict = "yes";
  std::string digest = question.digest;
  std::size_t bytes = 0;
  while (!digest.empty() && receipt.bodies.size() < static_cast<std::size_t>(question.limit)) {
    auto body = read("c/" + digest);
    // A message holds only so much; the asker goes on from the last body that it got.
    if (!body || (bytes > 0 && bytes + body->size() > (8u << 20))) break;
    bytes += body->size();
    // The first line names the content before; behind it there may be bytes that are no JSON.
    auto line = static_cast<std::ptrdiff_t>(std::min(body->find('\n'), body->size()));
    auto document = nlohmann::json::parse(body->begin(), body->begin() + line, nullptr, false);
    receipt.bodies.push_back(std::move(*body));
    digest = document.is_object() ? document.value("previous", "") : "";
  }
  return receipt;
}

wire::keys_receipt voter::state::keys(const wire::keys_ask& question) const {
  wire::keys_receipt receipt;
  receipt.verdict = identity_check(id, question.voter);
  if (receipt.verdict.empty() && question.view != 0 && question.view != current.number)
    receipt.verdict = "view";
  if (!receipt.verdict.empty()) return receipt;
  receipt.verdict = "yes";
  // The buckets' records, merged in order.
  std::map<std::string, record_ballots> merged;
  std::size_t limit = static_cast<std::size_t>(std::clamp<std::int64_t>(question.limit, 1, 5000));
  for (auto& each : buckets) {
    std::size_t taken = 0;
    each->store.list_from(just_after(question.after), [&](const disk::listed_record& record) {
      if (record.key[0] == '@') return true;
      if (question.range >= 0 && static_cast<std::int64_t>(record.range) != question.range) return true;
      merged[record.key] = ballots_of(record);
      return ++taken <= limit;
    });
  }
  for (auto& [key, ballots] : merged) {
    if (receipt.keys.size() == limit) {
      receipt.more = true;
      break;
    }
    receipt.keys.push_back(key);
    receipt.ballots.push_back(ballots.accepted);
    receipt.promised.push_back(ballots.promised);
  }
  return receipt;
}

task<bool> voter::state::install(view chosen) {
  auto self = shared_from_this();
  if (chosen.number <= current.number) co_return chosen.number == current.number&& chosen == current;
  bool left_out = !chosen.has(id);
  if (broken("early_wipe")) left_out = left_out || !view::contains(chosen.voters, id);
  if (left_out) {
    // Left out by a chosen view: what is kept here may be stale, and must never vote again.
    if (current.number == 0) co_return false;
    wiping = true;
    bool done = co_await begin_anew();
    wiping = !done;
    co_return done;
  }
  if (installing && chosen.number <= installing->number && chosen != *installing) co_return false;
  // Everybody who notices that this voter lags sends it the view: one writing of it is enough.
  if (installing && *installing == chosen) {
    while (installing && *installing == chosen) co_await port.runtime().sleep(2 * runtime::millisecond);
    co_return current == chosen;
  }
  installing = chosen;
  std::vector<disk::change> changes;
  changes.push_back({view_key, view_text(chosen)});
  // The bucket's owners do the writing, so that a batch of theirs is not cut in two.
  std::vector<runtime::slot<bool>> waits;
  for (auto& each : buckets) {
    runtime::slot<bool> done(port.runtime());
    command work;
    work.urgent = true;
    work.apply = [changes, done](auto& overlay) {
      overlay[changes[0].key] = changes[0].value;
      return [done](bool lasting, bool) { done.set(lasting); };
    };
    each->queue.push(std::move(work));
    waits.push_back(done);
  }
  bool all = true;
  for (auto& wait : waits) {
    bool lasting = co_await wait.wait();
    all = all && lasting;
  }
  if (installing == chosen) installing.reset();
  if (!all) co_return false;
  if (chosen.number > current.number) current = chosen;
  port.journal().info("view installed", {{"group", choice.group}, {"view", chosen.number}});
  if (view_handler) view_handler(current);
  co_return true;
}

void voter::state::serve() {
  auto self = shared_from_this();
  port.on<wire::voter_ask>([self](wire::voter_ask question) { return self->vote(std::move(question)); });
  port.on<wire::content_put>([self](wire::content_put question) { return self->put(std::move(question)); });
  port.on<wire::handover>([self](wire::handover question) { return self->take_over(std::move(question)); });
  port.on<wire::chain_ask>(
      [self](wire::chain_ask question) -> task<wire::chain_receipt> { co_return self->chain(question); });
  port.on<wire::keys_ask>(
      [self](wire::keys_ask question) -> task<wire::keys_receipt> { co_return self->keys(question); });
  port.on<wire::records_ask>([self](wire::records_ask question) -> task<wire::records_receipt> {
    co_return self->records(question);
  });
  port.on<wire::fill_ask>([self](wire::fill_ask question) { return self->fill(std::move(question)); });
  port.on<wire::sums_ask>(
      [self](wire::sums_ask question) -> task<wire::sums_receipt> { co_return self->sums(question); });
  port.on<wire::identify_ask>([self](wire::identify_ask question) -> task<wire::identify_receipt> {
    wire::identify_receipt receipt;
    if (question.group != self->choice.group || self->wiping) co_return receipt;
    receipt.voter = self->id;
    if (!self->current.voters.empty()) receipt.view = view_text(self->current);
    receipt.empty = true;
    for (auto& each : self->buckets)
      each->store.list_from("", [&receipt](const disk::listed_record& record) {
        receipt.empty = receipt.empty && record.key[0] == '@';
        return receipt.empty;
      });
    co_return receipt;
  });
  port.on<wire::install_view>([self](wire::install_view question) -> task<wire::install_view_receipt> {
    auto chosen = view_from(question.view);
    bool usable = chosen.group == self->choice.group && chosen.number > 0;
    // The identity may differ only when the view itself names this voter as left out.
    if (usable && question.voter != self->id) co_return wire::install_view_receipt{"unknown voter"};
    bool done = false;
    if (usable) done = co_await self->install(std::move(chosen));
    co_return wire::install_view_receipt{done ? "yes" : "failed"};
  });
}

}  // namespace herontally::reg
