// Changes of the desired state: chosen at a majority, then in force at a majority of the edges.
#include "hcore/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hcore {

bool node::state::widely_in_force(const desired::record& content) const {
  if (broken("edges")) return true;
  auto has = [&](const std::string& name) {
    auto found = in_force.find(name);
    return found != in_force.end() && found->second >= content.revision;
  };
  auto majority = [&](const std::vector<std::string>& set) {
    std::size_t count = 0;
    for (auto& name : set) count += has(name) ? 1 : 0;
    return count * 2 > set.size() || set.empty();
  };
  return majority(content.edges) && majority(content.edges_before);
}

task<bool> node::state::await_force(desired::record content, microseconds deadline) {
  auto self = shared_from_this();
  while (!self->widely_in_force(content)) {
    auto left = deadline - self->runtime.now();
    if (left <= 0) co_return false;
    runtime::slot<bool> bell(self->runtime);
    self->force_waits.push_back(bell);
    auto timer = self->runtime.after(left, [bell] { bell.set(false); });
    co_await bell.wait();
    self->runtime.cancel(timer);
    std::erase_if(self->force_waits, [](auto& each) { return each.is_set(); });
  }
  co_return true;
}

static task<> tell_one(rpc::endpoint endpoint, std::string address, rpc::config_committed_request word) {
  co_await endpoint.call(std::move(address), std::move(word), 500 * millisecond);
}

task<> node::state::tell_chosen(desired::record content) {
  rpc::config_committed_request word{content.revision, desired::to_text(desired::for_news(content))};
  for (auto& each : known.live(rpc::node_role::core))
    if (each.name != place.name) runtime.spawn(tell_one(endpoint, each.inner, word));
  co_return;
}

task<change_report> node::state::change(edit wanted, bool document_change) {
  auto self = shared_from_this();
  std::string writer = self->place.name + "-" + self->runtime.random_name();
  // Bounds count from the ask: what is acknowledged at 3 s is in force, or its door stopped, 1.5 s later.
  auto asked = self->runtime.now();
  auto report = std::make_shared<change_report>();
  auto applied = std::make_shared<bool>(false);
  auto mutate = [wanted, writer, report, applied,
                 document_change](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto read = text ? desired::from_text(*text) : std::nullopt;
    desired::record current = read ? *read : desired::empty_record();
    report->now = current;
    // An earlier round of this very change went through, though its answer was lost.
    *applied = desired::has_writer(current, writer);
    if (*applied) return std::nullopt;
    edit_verdict verdict = wanted(current);
    report->end = verdict.against;
    report->faults = verdict.faults;
    report->why = verdict.why;
    if (!verdict.document) return std::nullopt;
    // For edge changes the document carries the whole record.
    desired::record next = document_change
                               ? desired::next_of(current, verdict.document, writer)
                               : desired::next_of(verdict.document->get<desired::record>(), {}, writer);
    return desired::to_text(next);
  };
  auto result = co_await self->catalog.change(desired::register_key, mutate, asked + 2500 * millisecond);
  change_report out = *report;
  if (result.status == consensus::change_status::declined && !*applied) co_return out;
  if (result.status == consensus::change_status::unreachable ||
      result.status == consensus::change_status::disk_full) {
    out.end = change_report::ending::unreachable;
    co_return out;
  }
  if (result.status == consensus::change_status::unknown || !result.value) {
    out.end = change_report::ending::unknown;
    co_return out;
  }
  auto chosen = desired::from_text(*result.value);
  out.now = chosen ? *chosen : out.now;
  self->note(out.now.revision, "chosen", "register");
  self->learn(*result.value, "register");
  self->logger.info("desired state chosen", {{"revision", out.now.revision}, {"version", out.now.version}});
  co_await self->tell_chosen(out.now);
  bool forced = co_await self->await_force(out.now, asked + 3 * second);
  out.end = forced ? change_report::ending::in_force : change_report::ending::chosen;
  self->note(out.now.revision, forced ? "acknowledged" : "not confirmed", "edges");
  co_return out;
}

task<change_report> node::state::change_edges(std::function<bool(desired::record&)> move) {
  auto wanted = [move](const desired::record& current) {
    edit_verdict verdict;
    desired::record next = current;
    if (move(next)) verdict.document = json(next);
    return verdict;
  };
  co_return co_await change(wanted, false);
}

// Edges join the acknowledging set when they first ask for news, and leave it after a long absence.
// Each step needs a majority of the set before it, so that no two majorities can miss each other.
task<> node::state::keep_edges() {
  auto self = shared_from_this();
  while (true) {
    co_await self->runtime.sleep(300 * millisecond +
                                 static_cast<microseconds>(self->runtime.draw(100 * millisecond)));
    auto now = self->current();
    bool responsible = self->voters_duty.mine();
    if (!responsible || self->confirmed < 0) continue;
    desired::record content = now ? *now : desired::empty_record();
    std::vector<std::string> wanted;
    for (auto& each : self->known.all()) {
      if (each.role != rpc::node_role::agent) continue;
      bool live = each.status == rpc::member_status::alive || each.status == rpc::member_status::suspect;
      auto& since = self->gone_since[each.name];
      if (live) since = 0;
      if (!live && since == 0) since = self->runtime.now();
      bool listed = std::find(content.edges.begin(), content.edges.end(), each.name) != content.edges.end();
      bool long_gone =
          !live && (each.status == rpc::member_status::left || self->runtime.now() - since > 30 * second);
      if ((listed && !long_gone) || (!listed && live)) wanted.push_back(each.name);
    }
    for (auto& name : content.edges)
      if (!self->known.find(name)) wanted.push_back(name);
    std::sort(wanted.begin(), wanted.end());
    if (!content.edges_before.empty()) {
      // The joint step is over once it is in force at both majorities.
      bool wide = self->widely_in_force(content);
      if (!wide || self->joint_revision != content.revision) {
        self->joint_revision = wide ? content.revision : 0;
        self->joint_since = self->runtime.now();
        continue;
      }
      // A door that still counts by the list before must have stopped: it may be this much behind.
      if (self->runtime.now() - self->joint_since <= news::longest_age) continue;
      auto expected = content.revision;
      std::function<bool(desired::record&)> end_joint = [expected](desired::record& next) {
        if (next.revision < expected || next.edges_before.empty()) return false;
        next.edges_before.clear();
        return true;
      };
      co_await self->change_edges(end_joint);
      continue;
    }
    if (wanted == content.edges) continue;
    std::function<bool(desired::record&)> begin_joint = [wanted](desired::record& next) {
      if (!next.edges_before.empty() || next.edges == wanted) return false;
      next.edges_before = next.edges;
      next.edges = wanted;
      return true;
    };
    co_await self->change_edges(begin_joint);
  }
}

}  // namespace herontally::hcore
