// The operator's calls where a dialect speaks for the platform. A change is acknowledged once a majority of
// the cores has chosen it; the edges learn it within the platform's own bound.
#include <openssl/evp.h>

#include "hcore/node_state.h"

namespace herontally::hcore {

using dialect::reply_terms;
using dialect::result;

// Callers give a node up after a second of silence.
constexpr microseconds command_time = 800 * millisecond;
// So long after its start a core may not have heard of every machine.
constexpr microseconds acquaintance = 5 * second;

static std::string digest_of(const dialect::change_command& asked) {
  std::string text = std::to_string(asked.expected) + (asked.partial ? "/part/" : "/whole/") + asked.body;
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), raw, &size, EVP_sha256(), nullptr);
  std::string out;
  for (unsigned each = 0; each < 16 && each < size; ++each) {
    out += "0123456789abcdef"[raw[each] / 16];
    out += "0123456789abcdef"[raw[each] % 16];
  }
  return out;
}

static result end_of(consensus::change_status end, result verdict) {
  if (end == consensus::change_status::unknown) return result::unclear;
  if (end == consensus::change_status::unreachable || end == consensus::change_status::disk_full)
    return result::unreachable;
  return verdict;
}

// A change of the record. `wanted` gives the next record, or nothing and the call's end in `terms`.
task<reply_terms> node::state::command_change(
    std::function<std::optional<desired::record>(const desired::record&, reply_terms&)> wanted) {
  auto self = shared_from_this();
  auto terms = std::make_shared<reply_terms>();
  auto mutate = [wanted, terms](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto read = text ? desired::from_text(*text) : std::nullopt;
    *terms = reply_terms{};
    auto next = wanted(read ? *read : desired::empty_record(), *terms);
    if (!next) return std::nullopt;
    return desired::to_text(*next);
  };
  auto changed =
      co_await self->catalog.change(desired::register_key, mutate, self->runtime.now() + command_time, true);
  reply_terms out = *terms;
  out.end = end_of(changed.status, out.end);
  if (changed.status != consensus::change_status::committed || !changed.value) co_return out;
  self->learn(*changed.value, "register");
  auto chosen = desired::from_text(*changed.value);
  if (chosen) co_await self->tell_chosen(*chosen);
  co_return out;
}

task<reply_terms> node::state::change_routing(dialect::change_command asked) {
  auto self = shared_from_this();
  std::string digest = digest_of(asked), writer = self->place.name + "-" + self->runtime.random_name();
  auto wanted = [self, asked, digest, writer](const desired::record& current,
                                              reply_terms& terms) -> std::optional<desired::record> {
    terms.version = desired::routing_version(current);
    // The same call again, after an answer that was lost: also an earlier round of this very change.
    if (auto* taken = desired::find_taken(current, digest)) {
      terms.version = taken->version;
      return std::nullopt;
    }
    if (asked.expected < 0) {
      terms.end = result::invalid;
      terms.faults.push_back({"", "does not say which version it builds on"});
      return std::nullopt;
    }
    if (asked.expected != terms.version) {
      terms.end = result::stale;
      return std::nullopt;
    }
    auto sent = current.sent.empty() ? std::nullopt : std::optional<std::string>(current.sent);
    auto read = self->surroundings->read_configuration(sent, asked);
    if (auto* faults = std::get_if<std::vector<routing::fault>>(&read)) {
      terms.end = result::invalid;
      terms.faults = *faults;
      return std::nullopt;
    }
    auto& next = std::get<dialect::configuration>(read);
    if (next.table.version <= terms.version) {
      terms.end = result::invalid;
      terms.faults.push_back({"/version", "is not above the current one"});
      return std::nullopt;
    }
    terms.version = next.table.version;
    return desired::next_routing(current, next.sent, next.table, digest, writer);
  };
  auto terms = co_await self->command_change(wanted);
  if (terms.end == result::done) self->logger.info("routing table chosen", {{"version", terms.version}});
  co_return terms;
}

task<reply_terms> node::state::read_routing() {
  auto self = shared_from_this();
  auto read = co_await self->catalog.read(desired::register_key, self->runtime.now() + command_time);
  reply_terms terms;
  // Reading writes nothing of its own, so that an unfinished one is only out of reach.
  bool known = read.known();
  auto content = known && read.value ? desired::from_text(*read.value) : std::nullopt;
  terms.end = !known                              ? result::unreachable
              : content && !content->sent.empty() ? result::done
                                                  : result::unknown_name;
  if (content) terms.document = content->sent;
  if (content) terms.version = desired::routing_version(*content);
  co_return terms;
}

// Whether the zone is known, and whether one would be left, is the operator's affair on this path.
task<reply_terms> node::state::evacuate(dialect::evacuation_command asked, caller_check abandoned) {
  auto self = shared_from_this();
  std::string writer = self->place.name + "-" + self->runtime.random_name();
  auto moved = std::make_shared<bool>(false);
  auto wanted = [asked, writer, abandoned, moved](const desired::record& current,
                                                  reply_terms& terms) -> std::optional<desired::record> {
    if (abandoned()) {
      terms.end = result::unreachable;
      return std::nullopt;
    }
    json document = current.document;
    auto& shared = document["shared"];
    std::set<std::string> zones = shared.value("evacuated_zones", std::set<std::string>());
    *moved = asked.begin ? zones.insert(asked.zone).second : zones.erase(asked.zone) > 0;
    if (!*moved) return std::nullopt;
    shared["evacuated_zones"] = zones;
    return desired::next_of(current, document, writer);
  };
  auto terms = co_await self->command_change(wanted);
  if (terms.end == result::done && *moved)
    self->logger.info(asked.begin ? "evacuation begun" : "evacuation ended", {{"zone", asked.zone}});
  co_return terms;
}

// Only a core that has run for a while can tell that there is no such machine.
static result missing(microseconds up) {
  return up < acquaintance ? result::unreachable : result::unknown_name;
}

task<reply_terms> node::state::retire(dialect::retire_command asked, caller_check abandoned) {
  auto self = shared_from_this();
  reply_terms out;
  auto agreed =
      co_await reconfiguration::agreed_view(self->catalog, "store", self->runtime.now() + command_time / 2);
  if (!agreed) {
    out.end = result::unreachable;
    co_return out;
  }
  // What one node's membership lacks, just after a start or beside a cut, the agreed list may have.
  auto listed = co_await self->agreed_storage(self->runtime.now() + command_time / 2);
  if (!listed) {
    out.end = result::unreachable;
    co_return out;
  }
  std::set<std::string> names = listed->known, live = listed->live;
  for (auto& each : self->known.all())
    if (each.role == rpc::node_role::store) names.insert(each.name);
  for (auto& each : self->known.live(rpc::node_role::store)) live.insert(each.name);
  for (auto& voter : agreed->all_voters()) names.insert(voter.node);
  std::string writer = self->place.name + "-" + self->runtime.random_name();
  auto up = self->runtime.now() - self->began;
  auto copies = agreed->voters.size();
  auto wanted = [asked, names, live, writer, up, copies, abandoned](
                    const desired::record& current, reply_terms& terms) -> std::optional<desired::record> {
    if (abandoned()) {
      terms.end = result::unreachable;
      return std::nullopt;
    }
    json document = current.document;
    auto& shared = document["shared"];
    std::set<std::string> retiring = shared.value("retiring_storage", std::set<std::string>());
    // Under way, and asked for again: that is what was asked for.
    if (retiring.count(asked.node)) return std::nullopt;
    if (!names.count(asked.node)) {
      terms.end = missing(up);
      return std::nullopt;
    }
    retiring.insert(asked.node);
    std::size_t left = 0;
    for (auto& name : live) left += retiring.count(name) ? 0 : 1;
    if (left < copies) {
      terms.end = up < acquaintance ? result::unreachable : result::too_few;
      return std::nullopt;
    }
    shared["retiring_storage"] = retiring;
    return desired::next_of(current, document, writer);
  };
  co_return co_await self->command_change(wanted);
}

task<reply_terms> node::state::retire_status(dialect::retire_status_command asked) {
  auto self = shared_from_this();
  reply_terms out;
  out.end = result::unreachable;
  auto deadline = self->runtime.now() + command_time;
  auto read = co_await self->catalog.read(desired::register_key, deadline);
  if (!read.known()) co_return out;
  // Read after the wish: a view from before it could miss a move that has begun since.
  auto agreed = co_await reconfiguration::agreed_view(self->catalog, "store", deadline);
  if (!agreed) co_return out;
  auto content = read.value ? desired::from_text(*read.value) : std::nullopt;
  json shared = content ? content->document.value("shared", json::object()) : json::object();
  bool retiring = shared.value("retiring_storage", std::set<std::string>()).count(asked.node) > 0;
  bool holds = false;
  for (auto& voter : agreed->all_voters()) holds = holds || voter.node == asked.node;
  auto row = self->known.find(asked.node);
  bool named = retiring || holds || (row && row->role == rpc::node_role::store);
  bool empty = retiring && !holds && agreed->previous_voters.empty();
  out.end = empty ? result::done : named ? result::rolling : missing(self->runtime.now() - self->began);
  co_return out;
}

task<reply_terms> node::state::execute(dialect::command asked, caller_check abandoned) {
  if (auto* change = std::get_if<dialect::change_command>(&asked))
    co_return co_await change_routing(std::move(*change));
  if (std::holds_alternative<dialect::read_command>(asked)) co_return co_await read_routing();
  if (auto* zone = std::get_if<dialect::evacuation_command>(&asked))
    co_return co_await evacuate(*zone, abandoned);
  if (auto* node = std::get_if<dialect::retire_command>(&asked)) co_return co_await retire(*node, abandoned);
  if (auto* node = std::get_if<dialect::retire_status_command>(&asked))
    co_return co_await retire_status(*node);
  reply_terms terms;
  auto* unknown = std::get_if<dialect::unknown_command>(&asked);
  terms.end = unknown && unknown->known_path ? result::invalid : result::unknown_name;
  co_return terms;
}

task<> node::state::control_request(runtime::inbound_request request, gateway::writer out) {
  auto self = shared_from_this();
  auto asked = self->surroundings->read_command(request);
  auto terms = co_await self->execute(asked, self->caller_gone(out));
  self->logger.count("herontally_commands_total");
  out->reply(self->surroundings->write_reply(asked, terms));
}

}  // namespace herontally::hcore
