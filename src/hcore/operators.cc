// The operators' API.
#include "hcore/node_state.h"
#include "schema_operators.h"

namespace herontally::hcore {

std::optional<std::string> node::state::partner_of(const runtime::inbound_request& request) const {
  auto token = gateway::bearer(request);
  for (auto& each : place.operators)
    if (!token.empty() && each.token == token) return each.partner;
  return std::nullopt;
}

void node::state::report(const gateway::writer& out, const change_report& result) const {
  using ending = change_report::ending;
  json body{{"version", result.now.version}, {"revision", result.now.revision}};
  std::map<std::string, std::string> tag{{"ETag", "\"" + std::to_string(result.now.version) + "\""}};
  switch (result.end) {
    case ending::in_force:
      body["in_force"] = true;
      return gateway::reply_json(out, 200, body, tag);
    case ending::chosen:
      // Chosen for good, but too few edges have it yet: not an acknowledgement.
      body["in_force"] = false;
      return gateway::reply_json(out, 202, body, tag);
    case ending::stale:
      return gateway::drop(out, 412, "the expected version is not the current one", "no", 0, body);
    case ending::faulty:
      body["faults"] = result.faults;
      return gateway::drop(out, 422, "the desired state is faulty", "no", 0, body);
    case ending::forbidden:
      return gateway::drop(out, 403, result.why, "no");
    case ending::conflict:
      return gateway::drop(out, 409, result.why, "no");
    case ending::unreachable:
      return gateway::drop(out, 503, "no majority of the core can be reached", "no", 1);
    case ending::unknown:
      return gateway::drop(out, 503, "the change may have been chosen; get the version", "unknown", 1);
  }
}

static std::optional<std::int64_t> expected_version(const runtime::inbound_request& request) {
  auto found = request.headers.find("if-match");
  if (found == request.headers.end()) return std::nullopt;
  std::string text = found->second;
  std::erase(text, '"');
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
    return -1;
  return std::stoll(text);
}

task<> node::state::desired_request(runtime::inbound_request request, gateway::writer out) {
  auto self = shared_from_this();
  auto partner = self->partner_of(request);
  if (!partner) {
    gateway::drop(out, 401, "a bearer token from the settings is needed", "no");
    co_return;
  }
  if (request.method == "GET") {
    auto result = co_await self->catalog.read(desired::register_key, self->runtime.now() + second);
    if (!result.known()) {
      gateway::drop(out, 503, "no majority of the core can be reached", "no", 1);
      co_return;
    }
    auto read = result.value ? desired::from_text(*result.value) : std::nullopt;
    desired::record content = read ? *read : desired::empty_record();
    // A partner's operators see their own section and the shared one.
    if (*partner != "*") {
      json own = json::object();
      if (content.document["partners"].contains(*partner))
        own[*partner] = content.document["partners"][*partner];
      content.document["partners"] = own;
    }
    json body{{"version", content.version}, {"revision", content.revision}, {"desired", content.document}};
    gateway::reply_json(out, 200, body, {{"ETag", "\"" + std::to_string(content.version) + "\""}});
    co_return;
  }
  if (request.method != "PUT" && request.method != "PATCH") {
    gateway::drop(out, 405, "use GET, PUT or PATCH", "no");
    co_return;
  }
  auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    gateway::drop(out, 400, "the body is not a JSON object", "no");
    co_return;
  }
  auto expected = expected_version(request);
  if (!expected) {
    gateway::drop(out, 428, "If-Match with the expected version is needed", "no");
    co_return;
  }
  bool patch = request.method == "PATCH";
  std::string who = *partner;
  auto wanted = [self, body, patch, who, version = *expected](const desired::record& current) {
    if (current.version != version) return edit_verdict{};
    json next = body;
    if (patch) {
      next = current.document;
      next.merge_patch(body);
    }
    // A partner that puts its whole section leaves the others' as they are.
    if (!patch && who != "*" && body.size() == 1 && body.contains("partners")) {
      next = current.document;
      for (auto& [name, section] : body["partners"].items()) next["partners"][name] = section;
    }
    return self->judge(current, std::move(next), who);
  };
  auto result = co_await self->change(wanted, true);
  self->report(out, result);
}

task<> node::state::serve_request(runtime::inbound_request request, gateway::writer out) {
  auto self = shared_from_this();
  if (gateway::common_pages(request, out, self->logger, self->ready && !self->leaving)) co_return;
  auto parts = gateway::split_path(request.path);
  if (request.path == "/v1/desired") {
    co_await self->desired_request(std::move(request), out);
  } else if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "zones" && parts[3] == "evacuation") {
    co_await self->zone_request(std::move(request), out, parts[2]);
  } else if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "storage" && parts[3] == "retirement") {
    co_await self->storage_request(std::move(request), out, parts[2]);
  } else if (request.path == "/v1/bootstrap" && request.method == "POST") {
    if (self->partner_of(request) == "*")
      co_await self->bootstrap_request(std::move(request), out);
    else
      gateway::drop(out, 401, "a bearer token for every section is needed", "no");
  } else if (request.path == "/v1/members" && request.method == "GET") {
    gateway::reply_json(out, 200, {{"members", self->known.all()}});
  } else if (request.path == "/v1/engines" && request.method == "GET") {
    auto engines = json::parse(self->board.engines_text(), nullptr, false);
    json body{{"engines", engines.is_array() ? engines : json::array()},
              {"epoch", self->board.engines_epoch()},
              {"sequence", self->board.engines_sequence()}};
    gateway::reply_json(out, 200, body);
  } else if (request.path == "/v1/schema" && request.method == "GET") {
    gateway::reply_text(out, "application/json", schema_operators);
  } else {
    gateway::drop(out, 404, "no such page", "no");
  }
}

}  // namespace herontally::hcore
