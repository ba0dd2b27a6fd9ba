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

std::map<std::string, std::string> etag_header(std::int64_t version) {
  return {{"ETag", "\"" + std::to_string(version) + "\""}};
}

void reply_change_report(const http_api::writer& out, const change_report& report) {
  json body{{"version", report.now.version}, {"revision", report.now.revision}};
  auto etag = etag_header(report.now.version);
  switch (report.outcome) {
    case change_outcome::applied:
      body["in_force"] = true;
      return reply_json(out, 200, body, etag);
    case change_outcome::chosen:
      body["in_force"] = false;
      return reply_json(out, 202, body, etag);
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

// The version in the If-Match header. Nothing: there is no such header; -1: it doesn't hold a version, which
// matches none.
std::optional<std::int64_t> expected_version(const runtime::inbound_request& request) {
  constexpr std::size_t max_digits = 18;  // as many always fit into 64 bits
  auto found = request.headers.find("if-match");
  if (found == request.headers.end()) return std::nullopt;
  std::string text = found->second;
  std::erase(text, '"');
  bool number =
      !text.empty() && text.size() <= max_digits && text.find_first_not_of("0123456789") == std::string::npos;
  return number ? std::stoll(text) : -1;
}

// The change that a PUT or PATCH of the document asks for.
struct document_change {
  json body;
  bool patch = false;  // a JSON merge patch; otherwise the whole document or a partner's section
  std::string partner;
  std::int64_t expected_version = 0;
};

// The document as it would be after the change.
json document_after(const json& current, const document_change& requested) {
  if (requested.patch) {
    json next = current;
    next.merge_patch(requested.body);
    return next;
  }
  // A PUT of a partner's own section leaves the other partners' sections as they are.
  bool own_section =
      requested.partner != all_partners && requested.body.size() == 1 && requested.body.contains("partners");
  if (!own_section) return requested.body;
  json next = current;
  for (auto& [name, section] : requested.body["partners"].items()) next["partners"][name] = section;
  return next;
}

// The part of the document that a partner's operators may see: their own section and the shared one.
json visible_document(const json& document, const std::string& partner) {
  if (partner == all_partners) return document;
  json visible = document, own = json::object();
  if (visible["partners"].contains(partner)) own[partner] = visible["partners"][partner];
  visible["partners"] = own;
  return visible;
}

// Whether `body` lists an odd number of ip:port for the group.
bool is_address_list(const json& body, const std::string& group) {
  if (!body.is_object() || !body.contains(group)) return false;
  auto& list = body[group];
  if (!list.is_array() || list.size() % 2 == 0) return false;
  for (auto& address : list)
    if (!address.is_string() || !settings::is_address(address.get<std::string>())) return false;
  return true;
}

// A voter for each address, with the name and zone of the member there; `node` is empty if no member is known
// at the address.
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

std::optional<std::string> operator_api::authorized_partner(const runtime::inbound_request& request) const {
  auto token = http_api::bearer_token(request);
  for (auto& known : context_->node_settings.operators)
    if (!token.empty() && known.token == token) return known.partner;
  return std::nullopt;
}

task<> operator_api::change(edit requested_edit, http_api::writer out) {
  auto self = shared_from_this();
  auto report = co_await self->changes_->change(std::move(requested_edit));
  reply_change_report(out, report);
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
  reply_json(out, 200, body, etag_header(content.version));
}

task<> operator_api::change_config(runtime::inbound_request request, http_api::writer out,
                                   std::string partner) {
  auto self = shared_from_this();
  document_change requested;
  requested.body = serialization::parse_bounded(request.body).value_or(json());
  requested.patch = request.method == "PATCH";
  requested.partner = partner;
  if (!requested.body.is_object()) {
    reject(out, 400, "the body is not a JSON object", executed::no);
    co_return;
  }
  auto expected = expected_version(request);
  if (!expected) {
    reject(out, 428, "If-Match with the expected version is needed", executed::no);
    co_return;
  }
  requested.expected_version = *expected;
  edit requested_edit = [self, requested](const configuration::record& current,
                                          const std::string& change_id) {
    if (current.version != requested.expected_version) return edit_result{};
    return validate_change(current, document_after(current.document, requested), requested.partner, change_id,
                           deployment_state_of(*self->context_));
  };
  co_await self->change(requested_edit, out);
}

task<> operator_api::serve_config(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  auto partner = self->authorized_partner(request);
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
  auto partner = self->authorized_partner(request);
  if (!partner || (request.method != "PUT" && request.method != "DELETE")) {
    reject(out, partner ? 405 : 401, partner ? "use PUT or DELETE" : "a bearer token is needed",
           executed::no);
    co_return;
  }
  bool begin = request.method == "PUT";
  edit requested_edit = [self, zone, begin, partner = *partner](const configuration::record& current,
                                                                const std::string& change_id) {
    json document = current.document;
    auto zones = configuration::shared_list(document, configuration::evacuated_zones);
    if (begin)
      zones.insert(zone);
    else
      zones.erase(zone);
    configuration::set_shared_list(document, configuration::evacuated_zones, zones);
    return validate_change(current, std::move(document), partner, change_id,
                           deployment_state_of(*self->context_));
  };
  co_await self->change(requested_edit, out);
}

task<> operator_api::begin_retirement(http_api::writer out, std::string partner, std::string node) {
  auto self = shared_from_this();
  edit requested_edit = [self, node, partner](const configuration::record& current,
                                              const std::string& change_id) {
    json document = current.document;
    auto nodes = configuration::shared_list(document, configuration::retiring_storage);
    if (!nodes.insert(node).second) {
      edit_result refusal;
      refusal.refusal = change_outcome::conflict;
      refusal.reason = node + " is retiring already";
      return refusal;
    }
    configuration::set_shared_list(document, configuration::retiring_storage, nodes);
    return validate_change(current, std::move(document), partner, change_id,
                           deployment_state_of(*self->context_));
  };
  co_await self->change(requested_edit, out);
}

task<> operator_api::serve_retirement(runtime::inbound_request request, http_api::writer out,
                                      std::string node) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto partner = self->authorized_partner(request);
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
  bool holds_copies = false, moving = agreed->joint();
  for (auto& voter : agreed->all_voters()) holds_copies = holds_copies || voter.node == node;
  bool retiring =
      configuration::shared_list(config->document, configuration::retiring_storage).contains(node);
  // Once the agreed view lacks the node and isn't joint, all copies of every key are on other voters.
  bool removable = retiring && !holds_copies && !moving;
  json body{{"node", node},     {"retiring", retiring},   {"holds_copies", holds_copies},
            {"moving", moving}, {"view", agreed->number}, {"may_go", removable}};
  if (request.method == "DELETE" && !removable)
    reject(out, 409, retiring ? "it still holds one of three copies" : "no retirement was started",
           executed::no, 1, body);
  else
    reply_json(out, 200, body);
}

task<bool> operator_api::found_group(std::string group, json addresses, http_api::writer out) {
  constexpr microseconds founding_timeout = 5 * second;
  auto shared = context_;
  auto voters = voters_at(addresses, shared->members);
  for (auto& voter : voters) {
    if (!voter.node.empty()) continue;
    reject(out, 503, "no member is known at " + voter.address, executed::no, 1);
    co_return false;
  }
  auto founded = co_await reconfiguration::bootstrap_group(shared->endpoint, group, voters,
                                                           shared->runtime.now() + founding_timeout);
  if (auto* error = std::get_if<reconfiguration::move_error>(&founded)) {
    using reconfiguration::move_error;
    bool already_founded = *error == move_error::already_member || *error == move_error::not_empty;
    reject(out, already_founded ? 409 : 503,
           already_founded ? group + " has begun already" : "a voter can't be reached", executed::no,
           already_founded ? 0 : 1);
    co_return false;
  }
  auto first_view = std::get<consensus::view>(founded);
  (group == core_group ? shared->catalog : shared->stores).learn_view(first_view);
  auto written = co_await shared->catalog.change(reconfiguration::view_register_key(group),
                                                 reconfiguration::set_first_view_if_absent(first_view),
                                                 shared->runtime.now() + founding_timeout, true);
  if (!written.value)
    reject(out, 503, "the first view could not be settled; ask again", executed::unknown, 1);
  co_return written.value.has_value();
}

task<> operator_api::serve_bootstrap(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  if (self->authorized_partner(request) != all_partners) {
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
    bool founded = co_await self->found_group(group, body[group], out);
    if (!founded) co_return;
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
  if (http_api::serve_common_endpoints(request, out, self->context_->logger, ready)) co_return;
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
