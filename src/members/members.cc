#include "members/members.h"

#include "members/members_state.h"

namespace herontally::members {

members::members(wire::port port, wire::member self, std::vector<std::string> seeds, timing pace)
    : state_(std::make_shared<state>(std::move(port), std::move(self), std::move(seeds), pace)) {
  // A node's lives are ordered by the time they began.
  if (state_->self.incarnation == 0) state_->self.incarnation = state_->port.runtime().wall();
  state_->version = state_->self.incarnation;
  state_->put(state_->self);
}

void members::start() {
  auto here = state_;
  here->port.on<wire::probe>([here](wire::probe question) -> task<wire::probe_receipt> {
    wire::probe_receipt receipt;
    for (auto& rumour : question.rumours) here->hear(rumour);
    if (!question.target.empty()) {
      bool reached = co_await here->probe_one(question.target, false, here->pace.direct);
      receipt.reached = reached;
    }
    // Equal tables are not told to each other: they are nearly always equal.
    receipt.sum = here->sum();
    receipt.rumours = here->choose(question.full && question.sum != receipt.sum);
    co_return receipt;
  });
  here->port.runtime().spawn(state::prober(here));
}

task<> members::leave() {
  auto here = state_;
  here->leaving = true;
  here->self.status = "left";
  here->put(here->self);
  int told = 0;
  for (auto& each : all()) {
    if (each.name == here->self.name || each.status != "alive" || told++ >= 4) continue;
    co_await here->probe_one(each.inner, false, here->pace.direct);
  }
}

std::vector<wire::member> members::all() const {
  std::vector<wire::member> list;
  for (auto& [name, each] : state_->rows) list.push_back(each.entry);
  return list;
}

std::vector<wire::member> members::live(const std::string& role) const {
  std::vector<wire::member> list;
  for (auto& [name, each] : state_->rows)
    if (is_live(each.entry) && each.entry.role == role) list.push_back(each.entry);
  return list;
}

std::optional<wire::member> members::find(const std::string& name) const {
  auto found = state_->rows.find(name);
  if (found == state_->rows.end()) return std::nullopt;
  return found->second.entry;
}

const wire::member& members::self() const { return state_->self; }

bool members::is_gone(const std::string& name, std::int64_t incarnation) const {
  auto found = state_->rows.find(name);
  if (found == state_->rows.end()) return false;
  auto& entry = found->second.entry;
  return entry.incarnation > incarnation || (entry.incarnation == incarnation && !is_live(entry));
}

void members::on_change(std::function<void(const wire::member&)> handler) {
  state_->handler = std::move(handler);
}
void members::hear(const std::vector<wire::member>& rumours) {
  for (auto& rumour : rumours) state_->hear(rumour);
}

std::int64_t members::version() const { return state_->version; }

std::string members::to_text() const {
  nlohmann::json list = all();
  return list.dump();
}

std::vector<wire::member> from_text(const std::string& text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_array()) return {};
  try {
    return document.get<std::vector<wire::member>>();
  } catch (const nlohmann::json::exception&) {
    // A list that can't be read counts as no news.
    return {};
  }
}

wire::member row_of(const settings::settings& place, const std::string& role) {
  wire::member row;
  row.name = place.name;
  row.role = role;
  row.zone = place.zone;
  row.inner = place.inner;
  row.http = place.http;
  return row;
}

}  // namespace herontally::members
