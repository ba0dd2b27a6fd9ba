// Evacuations and retirements, and what stands against a change besides its shape.
#include "hcore/node_state.h"

namespace herontally::hcore {

static std::set<std::string> names_in(const json& document, const char* field) {
  if (!document.contains("shared")) return {};
  return document["shared"].value(field, std::set<std::string>());
}

// Only what the change adds is looked at: a machine or zone that went away meanwhile blocks nothing else.
std::vector<desired::fault> node::state::stands_against(const json& before, const json& next) const {
  std::vector<desired::fault> faults;
  std::set<std::string> zones, engine_zones;
  std::map<std::string, bool> storage;  // by name: can it keep copies now
  for (auto& each : known.all()) {
    zones.insert(each.zone);
    if (each.role == rpc::node_role::store)
      storage[each.name] =
          each.status == rpc::member_status::alive || each.status == rpc::member_status::suspect;
  }
  auto engines = json::parse(board.engines_text(), nullptr, false);
  if (engines.is_array())
    for (auto& each : engines)
      if (each.is_object() && each.value("state", "running") == "running")
        engine_zones.insert(each.value("zone", ""));
  zones.insert(engine_zones.begin(), engine_zones.end());
  auto was = names_in(before, "evacuated_zones"), evacuated = names_in(next, "evacuated_zones");
  for (auto& zone : evacuated)
    if (!was.count(zone) && !zones.count(zone))
      faults.push_back({"/shared/evacuated_zones", "nothing stands in zone " + zone});
  auto& in_use = engine_zones.empty() ? zones : engine_zones;
  bool none_left = std::includes(evacuated.begin(), evacuated.end(), in_use.begin(), in_use.end());
  if (evacuated != was && none_left && !in_use.empty() && evacuated.size() > was.size())
    faults.push_back({"/shared/evacuated_zones", "no zone in use would be left"});

  auto went = names_in(before, "retiring_storage"), retiring = names_in(next, "retiring_storage");
  std::size_t left = 0;
  for (auto& [name, live] : storage) left += live && !retiring.count(name) ? 1 : 0;
  for (auto& node : retiring) {
    if (went.count(node)) continue;
    if (!storage.count(node))
      faults.push_back({"/shared/retiring_storage", "no storage machine is named " + node});
    else if (left < stores.current_view().voters.size())
      faults.push_back({"/shared/retiring_storage", "too few storage machines would be left for " +
                                                        std::to_string(stores.current_view().voters.size()) +
                                                        " copies; start a spare first"});
  }
  return faults;
}

// What every change of the document has in common: own sections only, right shape, something changed.
edit_verdict node::state::judge(const desired::record& current, json next, const std::string& partner) const {
  edit_verdict verdict;
  auto reach = desired::differs(current.document, next);
  for (auto& name : reach.partners)
    if (partner != "*" && partner != name) verdict.why = "the token may not change partner " + name;
  if (partner != "*" && reach.shared) verdict.why = "the token may not change the shared section";
  if (!verdict.why.empty()) {
    verdict.against = change_report::ending::forbidden;
    return verdict;
  }
  verdict.faults = desired::check(next);
  if (verdict.faults.empty()) verdict.faults = stands_against(current.document, next);
  if (!verdict.faults.empty()) {
    verdict.against = change_report::ending::faulty;
    return verdict;
  }
  verdict.document = std::move(next);
  return verdict;
}

task<> node::state::zone_request(runtime::inbound_request request, gateway::writer out, std::string zone) {
  auto self = shared_from_this();
  auto partner = self->partner_of(request);
  if (!partner || (request.method != "PUT" && request.method != "DELETE")) {
    gateway::drop(out, partner ? 405 : 401, partner ? "use PUT or DELETE" : "a bearer token is needed", "no");
    co_return;
  }
  bool begin = request.method == "PUT";
  auto wanted = [self, zone, begin, who = *partner](const desired::record& current) {
    json next = current.document;
    std::set<std::string> zones = next["shared"].value("evacuated_zones", std::set<std::string>());
    if (begin)
      zones.insert(zone);
    else
      zones.erase(zone);
    next["shared"]["evacuated_zones"] = zones;
    return self->judge(current, std::move(next), who);
  };
  auto result = co_await self->change(wanted, true);
  self->report(out, result);
}

task<> node::state::storage_request(runtime::inbound_request request, gateway::writer out, std::string node) {
  auto self = shared_from_this();
  auto partner = self->partner_of(request);
  if (!partner) {
    gateway::drop(out, 401, "a bearer token is needed", "no");
    co_return;
  }
  if (request.method == "PUT") {
    auto wanted = [self, node, who = *partner](const desired::record& current) {
      json next = current.document;
      std::set<std::string> nodes = next["shared"].value("retiring_storage", std::set<std::string>());
      if (!nodes.insert(node).second) {
        edit_verdict verdict;
        verdict.against = change_report::ending::conflict;
        verdict.why = node + " is retiring already";
        return verdict;
      }
      next["shared"]["retiring_storage"] = nodes;
      return self->judge(current, std::move(next), who);
    };
    auto result = co_await self->change(wanted, true);
    self->report(out, result);
    co_return;
  }
  auto agreed = co_await reconfiguration::agreed_view(self->catalog, "store", self->runtime.now() + second);
  auto content = self->current();
  if (!agreed || !content) {
    gateway::drop(out, 503, "the storage view can't be read now", "no", 1);
    co_return;
  }
  bool holds = false, moving = !agreed->previous_voters.empty();
  for (auto& voter : agreed->all_voters()) holds = holds || voter.node == node;
  bool retiring = desired::state_of(*content).retiring_storage.count(node) > 0;
  json body{{"node", node},
            {"retiring", retiring},
            {"holds_copies", holds},
            {"moving", moving},
            {"view", agreed->number}};
  // Three copies of every key stand elsewhere once a view without the node, and no other before it, counts.
  bool may_go = retiring && !holds && !moving;
  body["may_go"] = may_go;
  if (request.method == "DELETE" && !may_go) {
    gateway::drop(out, 409, retiring ? "it still holds one of three copies" : "no retirement was started",
                  "no", 1, body);
    co_return;
  }
  gateway::reply_json(out, 200, body);
}

}  // namespace herontally::hcore
