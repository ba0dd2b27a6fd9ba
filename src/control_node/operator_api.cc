#include "control_node/operator_api.h"

#include "schema_operators.h"
#include "serialization/bounded_json.h"

namespace herontally::control_node {

using http_api::executed;
using http_api::reject;
using http_api::reply_json;

namespace {

constexpr microseconds read_timeout = second;
constexpr const char* no_majority = "no majority of the core can be reached";

std::map<std::string, std::string> version_tag(std::int64_t version) {
  return {{"ETag", "\"" + std::to_string(version) + "\""}};
}

void reply_report(const http_api::writer& out, const change_report& report) {
  json body{{"version", report.now.version}, {"revision", report.now.revision}};
  auto tag = version_tag(report.now.version);
  switch (report.outcome) {
    case change_outcome::applied:
      body["in_force"] = true;
      return reply_json(out, 200, body, tag);
    case change_outcome::chosen:
      body["in_force"] = false;
      return reply_json(out, 202, body, tag);
    case change_outcome::stale:
      return reject(out, 412, "the expected version is not the current one", executed::no, 0, body);
    case change_outcome::invalid:
      body["faults"] = report.violations;
      return reject(out, 422, "the desired state is faulty", executed::no, 0, body);
    case change_outcome::forbidden:
      return reject(out, 403, report.reason, executed::no);
    case change_outcome::conflict:
      return reject(out, 409, report.reason, executed::no);
    case change_outcome::unreachable:
      return reject(out, 503, no_majority, executed::no, 1);
    case change_outcome::unknown:
      return reject(out, 503, "the change may have been chosen; get the version", executed::unknown, 1);
  }
}

// The If-Match header. Nothing: there is none; -1: it names no version.
std::optional<std::int64_t> expected_version(const runtime::inbound_request& request) {
  constexpr std::size_t max_digits = 18;
  auto found = request.headers.find("if-match");
  if (found == request.headers.end()) return std::nullopt;
  std::string text = found->second;
  std::erase(text, '"');
  bool number =
      !text.empty() && text.size() <= max_digits && text.find_first_not_of("0123456789") == std::string::npos;
  return number ? std::stoll(text) : -1;
}

// What a PUT or PATCH asks for.
struct document_change {
  json body;
  bool patch = false;
  std::string partner;
  std::int64_t expected_version = 0;
};

json document_after(const json& current, const document_change& asked) {
  if (asked.patch) {
    json next = current;
    next.merge_patch(asked.body);
    return next;
  }
  // A partner that puts its whole section leaves the others' as they are.
  bool own_section =
      asked.partner != all_partners && asked.body.size() == 1 && asked.body.contains("partners");
  if (!own_section) return asked.body;
  json next = current;
  for (auto& [name, section] : asked.body["partners"].items()) next["partners"][name] = section;
  return next;
}

// A partner's operators see their own section and the shared one.
json visible_document(const json& document, const std::string& partner) {
  if (partner == all_partners) return document;
  json visible = document, own = json::object();
  if (visible["partners"].contains(partner)) own[partner] = visible["partners"][partner];
  visible["partners"] = own;
  return visible;
}

bool is_address_list(const json& body, const std::string& group) {
  if (!body.is_object() || !body.contains(group)) return false;
  auto& list = body[group];
  if (!list.is_array() || list.size() % 2 == 0) return false;
  for (auto& address : list)
    if (!address.is_string() || !settings::is_address(address.get<std::string>())) return false;
  return true;
}

// A member under each address; the first one without a node is unknown.
std::vector<consensus::voter_info> voters_at(const json& addresses, const membership::member_list& members) {
  std::vector<consensus::voter_info> voters;
  for (auto& address : addresses) {
    consensus::voter_info voter{"", address.get<std::string>(), "", ""};
    for (auto& member : members.all()) {
      if (member.inner != voter.address) continue;
      voter.node = member.name;
      voter.zone = member.zone;
    }
    voters.push_back(voter);
  }
  return voters;
}

}  // namespace

std::optional<std::string> operator_api::partner_of(const runtime::inbound_request& request) const {
  auto token = http_api::bearer(request);
  for (auto& known : context_->place.operators)
    if (!token.empty() && known.token == token) return known.partner;
  return std::nullopt;
}

task<> operator_api::change(edit wanted, http_api::writer out) {
  auto self = shared_from_this();
  auto report = co_await self->changes_->change(std::move(wanted));
  reply_report(out, report);
}

task<> operator_api::read_config(http_api::writer out, std::string partner) {
  auto shared = context_;
  auto result =
      co_await shared->catalog.read(configuration::config_key, shared->runtime.now() + read_timeout);
  if (!result.known()) {
    reject(out, 503, no_majority, executed::no, 1);
    co_return;
  }
  auto content = configuration::record_or_empty(result.value);
  json body{{"version", content.version},
            {"revision", content.revision},
            {"desired", visible_document(content.document, partner)}};
  reply_json(out, 200, body, version_tag(content.version));
}

task<> operator_api::change_config(runtime::inbound_request request, http_api::writer out,
                                   std::string partner) {
  auto self = shared_from_this();
  document_change asked;
  asked.body = serialization::parse_bounded(request.body).value_or(json());
  asked.patch = request.method == "PATCH";
  asked.partner = partner;
  if (!asked.body.is_object()) {
    reject(out, 400, "the body is not a JSON object", executed::no);
    co_return;
  }
  auto expected = expected_version(request);
  if (!expected) {
    reject(out, 428, "If-Match with the expected version is needed", executed::no);
    co_return;
  }
  asked.expected_version = *expected;
  edit wanted = [self, asked](const configuration::record& current, const std::string& change_id) {
    if (current.version != asked.expected_version) return edit_result{};
    return judge(current, document_after(current.document, asked), asked.partner, change_id,
                 site_state_of(*self->context_));
  };
  co_await self->change(wanted, out);
}

task<> operator_api::serve_config(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  auto partner = self->partner_of(request);
  if (!partner) {
    reject(out, 401, "a bearer token from the settings is needed", executed::no);
  } else if (request.method == "GET") {
    co_await self->read_config(out, *partner);
  } else if (request.method == "PUT" || request.method == "PATCH") {
    co_await self->change_config(std::move(request), out, *partner);
  } else {
    reject(out, 405, "use GET, PUT or PATCH", executed::no);
  }
}

task<> operator_api::serve_evacuation(runtime::inbound_request request, http_api::writer out,
                                      std::string zone) {
  auto self = shared_from_this();
  auto partner = self->partner_of(request);
  if (!partner || (request.method != "PUT" && request.method != "DELETE")) {
    reject(out, partner ? 405 : 401, partner ? "use PUT or DELETE" : "a bearer token is needed",
           executed::no);
    co_return;
  }
  bool begin = request.method == "PUT";
  edit wanted = [self, zone, begin, partner = *partner](const configuration::record& current,
                                                        const std::string& change_id) {
    json document = current.document;
    auto zones = configuration::shared_names(document, configuration::evacuated_zones);
    if (begin)
      zones.insert(zone);
    else
      zones.erase(zone);
    configuration::set_shared_names(document, configuration::evacuated_zones, zones);
    return judge(current, std::move(document), partner, change_id, site_state_of(*self->context_));
  };
  co_await self->change(wanted, out);
}

task<> operator_api::begin_retirement(http_api::writer out, std::string partner, std::string node) {
  auto self = shared_from_this();
  edit wanted = [self, node, partner](const configuration::record& current, const std::string& change_id) {
    json document = current.document;
    auto nodes = configuration::shared_names(document, configuration::retiring_storage);
    if (!nodes.insert(node).second) {
      edit_result refusal;
      refusal.refusal = change_outcome::conflict;
      refusal.reason = node + " is retiring already";
      return refusal;
    }
    configuration::set_shared_names(document, configuration::retiring_storage, nodes);
    return judge(current, std::move(document), partner, change_id, site_state_of(*self->context_));
  };
  co_await self->change(wanted, out);
}

task<> operator_api::serve_retirement(runtime::inbound_request request, http_api::writer out,
                                      std::string node) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto partner = self->partner_of(request);
  if (!partner) {
    reject(out, 401, "a bearer token is needed", executed::no);
    co_return;
  }
  if (request.method == "PUT") {
    co_await self->begin_retirement(out, *partner, node);
    co_return;
  }
  auto agreed = co_await reconfiguration::agreed_view(shared->catalog, store_group,
                                                      shared->runtime.now() + read_timeout);
  auto config = shared->current_config();
  if (!agreed || !config) {
    reject(out, 503, "the storage view can't be read now", executed::no, 1);
    co_return;
  }
  bool holds = false, moving = agreed->joint();
  for (auto& voter : agreed->all_voters()) holds = holds || voter.node == node;
  bool retiring =
      configuration::shared_names(config->document, configuration::retiring_storage).contains(node);
  // All copies of every key stand elsewhere once a view without the node counts, and no other before it.
  bool may_go = retiring && !holds && !moving;
  json body{{"node", node},     {"retiring", retiring},   {"holds_copies", holds},
            {"moving", moving}, {"view", agreed->number}, {"may_go", may_go}};
  if (request.method == "DELETE" && !may_go)
    reject(out, 409, retiring ? "it still holds one of three copies" : "no retirement was started",
           executed::no, 1, body);
  else
    reply_json(out, 200, body);
}

// Founds one group and writes its first view. False: the request was answered with what stands against it.
task<bool> operator_api::begin_group(std::string group, json addresses, http_api::writer out) {
  constexpr microseconds found_timeout = 5 * second;
  auto shared = context_;
  auto voters = voters_at(addresses, shared->members);
  for (auto& voter : voters) {
    if (!voter.node.empty()) continue;
    reject(out, 503, "no member is known at " + voter.address, executed::no, 1);
    co_return false;
  }
  auto begun = co_await reconfiguration::begin_group(shared->endpoint, group, voters,
                                                     shared->runtime.now() + found_timeout);
  if (auto* why = std::get_if<reconfiguration::move_error>(&begun)) {
    using reconfiguration::move_error;
    bool there = *why == move_error::already_there || *why == move_error::not_empty;
    reject(out, there ? 409 : 503, there ? group + " has begun already" : "a voter can't be reached",
           executed::no, there ? 0 : 1);
    co_return false;
  }
  auto first = std::get<consensus::view>(begun);
  (group == core_group ? shared->catalog : shared->stores).learn(first);
  auto written = co_await shared->catalog.change(reconfiguration::view_register_key(group),
                                                 reconfiguration::first_view_if_none(first),
                                                 shared->runtime.now() + found_timeout, true);
  if (!written.value)
    reject(out, 503, "the first view could not be settled; ask again", executed::unknown, 1);
  co_return written.value.has_value();
}

task<> operator_api::serve_bootstrap(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  if (self->partner_of(request) != all_partners) {
    reject(out, 401, "a bearer token for every section is needed", executed::no);
    co_return;
  }
  auto body = serialization::parse_bounded(request.body).value_or(json());
  for (std::string group : {core_group, store_group}) {
    if (is_address_list(body, group)) continue;
    reject(out, 400, group + " must list an odd number of ip:port", executed::no);
    co_return;
  }
  for (std::string group : {core_group, store_group}) {
    bool begun = co_await self->begin_group(group, body[group], out);
    if (!begun) co_return;
  }
  reply_json(out, 200, {{"begun", true}});
}

void operator_api::serve_status_page(const runtime::inbound_request& request,
                                     const http_api::writer& out) const {
  auto& shared = *context_;
  bool get = request.method == "GET";
  if (get && request.path == "/v1/members") {
    reply_json(out, 200, {{"members", shared.members.all()}});
  } else if (get && request.path == "/v1/engines") {
    auto engines = json::parse(shared.configs.engines_text(), nullptr, false);
    auto version = shared.configs.engines_version();
    json body{{"engines", engines.is_array() ? engines : json::array()},
              {"epoch", version.epoch},
              {"sequence", version.sequence}};
    reply_json(out, 200, body);
  } else if (get && request.path == "/v1/schema") {
    http_api::reply_text(out, "application/json", schema_operators);
  } else {
    reject(out, 404, "no such page", executed::no);
  }
}

task<> operator_api::serve(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  bool ready = self->reader_->is_confirmed() && !self->context_->leaving;
  if (http_api::common_pages(request, out, self->context_->logger, ready)) co_return;
  auto parts = http_api::split_path(request.path);
  bool item = parts.size() == 4 && parts[0] == "v1";
  if (request.path == "/v1/desired")
    co_await self->serve_config(std::move(request), out);
  else if (item && parts[1] == "zones" && parts[3] == "evacuation")
    co_await self->serve_evacuation(std::move(request), out, parts[2]);
  else if (item && parts[1] == "storage" && parts[3] == "retirement")
    co_await self->serve_retirement(std::move(request), out, parts[2]);
  else if (request.path == "/v1/bootstrap" && request.method == "POST")
    co_await self->serve_bootstrap(std::move(request), out);
  else
    self->serve_status_page(request, out);
}

}  // namespace herontally::control_node
