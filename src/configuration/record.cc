#include "configuration/record.h"

#include <algorithm>

#include "serialization/bounded_json.h"

namespace herontally::configuration {

// Fields that were added after the first version of the record format are omitted while they are empty, and
// are optional on reading.
void to_json(json& document, const record& from) {
  document = {{"revision", from.revision},           {"version", from.version},
              {"document", from.document},           {"edges", from.edges},
              {"edges_before", from.previous_edges}, {"writers", from.change_ids}};
  if (!from.operator_source.empty()) document["sent"] = from.operator_source;
  if (!from.routing.is_null()) document["routing"] = from.routing;
  if (!from.applied_changes.empty()) document["taken"] = from.applied_changes;
}

void from_json(const json& document, record& to) {
  document.at("revision").get_to(to.revision);
  document.at("version").get_to(to.version);
  to.document = document.at("document");
  document.at("edges").get_to(to.edges);
  document.at("edges_before").get_to(to.previous_edges);
  document.at("writers").get_to(to.change_ids);
  to.operator_source = document.value("sent", std::string());
  to.routing = document.value("routing", json());
  to.applied_changes = document.value("taken", std::vector<applied_change>());
}

record empty_record() {
  record content;
  content.document = {{"shared", json::object()}, {"partners", json::object()}};
  return content;
}

std::string to_text(const record& content) { return json(content).dump(); }

std::optional<record> record_from_text(const std::string& text) {
  auto document = serialization::parse_bounded_object(text, serialization::max_record_depth);
  if (!document) return std::nullopt;
  try {
    return document->get<record>();
  } catch (const json::exception&) {
    // A record of another version that can't be read counts as missing.
    return std::nullopt;
  }
}

record record_or_empty(const std::optional<std::string>& text) {
  auto content = text ? record_from_text(*text) : std::nullopt;
  return content ? *content : empty_record();
}

bool has_change(const record& content, const std::string& change_id) {
  auto& ids = content.change_ids;
  return std::find(ids.begin(), ids.end(), change_id) != ids.end();
}

record next_revision(const record& content, std::optional<json> document, const std::string& change_id) {
  // A retry of a change whose reply was lost is recognized by its id, as long as fewer than this many changes
  // followed it.
  constexpr std::size_t max_change_ids = 64;
  record next = content;
  next.revision += 1;
  if (document) {
    next.version += 1;
    next.document = std::move(*document);
  }
  next.change_ids.insert(next.change_ids.begin(), change_id);
  if (next.change_ids.size() > max_change_ids) next.change_ids.resize(max_change_ids);
  return next;
}

record next_routing(const record& content, std::string operator_source, const routing::table& table,
                    const std::string& digest, const std::string& change_id) {
  record next = next_revision(content, {}, change_id);
  next.operator_source = std::move(operator_source);
  next.routing = table;
  next.applied_changes.insert(next.applied_changes.begin(), applied_change{digest, table.version});
  // An operator stops retrying a call long before this many others can follow it.
  if (next.applied_changes.size() > max_applied_changes) next.applied_changes.resize(max_applied_changes);
  return next;
}

const applied_change* find_applied(const record& content, const std::string& digest) {
  for (auto& change : content.applied_changes)
    if (change.digest == digest) return &change;
  return nullptr;
}

std::int64_t routing_version(const record& content) {
  return content.routing.is_object() ? content.routing.value("version", std::int64_t{0}) : 0;
}

record without_operator_source(const record& content) {
  record distributed = content;
  distributed.operator_source.clear();
  distributed.applied_changes.clear();
  return distributed;
}

std::set<std::string> shared_list(const json& document, const char* list) {
  if (!document.contains("shared")) return {};
  return document["shared"].value(list, std::set<std::string>());
}

void set_shared_list(json& document, const char* list, const std::set<std::string>& names) {
  document["shared"][list] = names;
}

section_changes changed_sections(const json& before, const json& after) {
  section_changes found;
  auto section = [](const json& from, const char* name) {
    return from.contains(name) ? from[name] : json::object();
  };
  found.shared = section(before, "shared") != section(after, "shared");
  auto old_partners = section(before, "partners");
  auto new_partners = section(after, "partners");
  for (auto& [name, old_section] : old_partners.items())
    if (!new_partners.contains(name) || new_partners[name] != old_section) found.partners.push_back(name);
  for (auto& [name, new_section] : new_partners.items())
    if (!old_partners.contains(name)) found.partners.push_back(name);
  return found;
}

}  // namespace herontally::configuration
