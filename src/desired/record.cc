#include "desired/record.h"

#include <algorithm>

namespace herontally::desired {

// What came later than the first version of this record is left out while it is empty, and may be missing.
void to_json(json& document, const record& from) {
  document = {{"revision", from.revision}, {"version", from.version},           {"document", from.document},
              {"edges", from.edges},       {"edges_before", from.edges_before}, {"writers", from.writers}};
  if (!from.sent.empty()) document["sent"] = from.sent;
  if (!from.routing.is_null()) document["routing"] = from.routing;
  if (!from.taken.empty()) document["taken"] = from.taken;
}

void from_json(const json& document, record& to) {
  document.at("revision").get_to(to.revision);
  document.at("version").get_to(to.version);
  to.document = document.at("document");
  document.at("edges").get_to(to.edges);
  document.at("edges_before").get_to(to.edges_before);
  document.at("writers").get_to(to.writers);
  to.sent = document.value("sent", std::string());
  to.routing = document.value("routing", json());
  to.taken = document.value("taken", std::vector<taken_change>());
}

record empty_record() {
  record content;
  content.document = {{"shared", json::object()}, {"partners", json::object()}};
  return content;
}

std::string to_text(const record& content) { return json(content).dump(); }

std::optional<record> from_text(const std::string& text) {
  auto document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    return document.get<record>();
  } catch (const json::exception&) {
    // Another version's record that can't be read counts as none.
    return std::nullopt;
  }
}

bool has_writer(const record& content, const std::string& writer) {
  return std::find(content.writers.begin(), content.writers.end(), writer) != content.writers.end();
}

record next_of(const record& content, std::optional<json> document, const std::string& writer) {
  record next = content;
  next.revision += 1;
  if (document) {
    next.version += 1;
    next.document = std::move(*document);
  }
  // A writer whose answer was lost finds its change here, as long as fewer than these came after it.
  next.writers.insert(next.writers.begin(), writer);
  if (next.writers.size() > 64) next.writers.resize(64);
  return next;
}

record next_routing(const record& content, std::string sent, const routing::table& table,
                    const std::string& digest, const std::string& writer) {
  record next = next_of(content, {}, writer);
  next.sent = std::move(sent);
  next.routing = table;
  next.taken.insert(next.taken.begin(), taken_change{digest, table.version});
  // An operator gives a call up long before this many others could come after it.
  if (next.taken.size() > most_taken) next.taken.resize(most_taken);
  return next;
}

const taken_change* find_taken(const record& content, const std::string& digest) {
  for (auto& each : content.taken)
    if (each.digest == digest) return &each;
  return nullptr;
}

std::int64_t routing_version(const record& content) {
  return content.routing.is_object() ? content.routing.value("version", std::int64_t{0}) : 0;
}

record for_news(const record& content) {
  record told = content;
  told.sent.clear();
  told.taken.clear();
  return told;
}

reach differs(const json& before, const json& after) {
  reach found;
  auto part = [](const json& from, const char* name) {
    return from.contains(name) ? from[name] : json::object();
  };
  found.shared = part(before, "shared") != part(after, "shared");
  auto old_partners = part(before, "partners");
  auto new_partners = part(after, "partners");
  for (auto& [name, section] : old_partners.items())
    if (!new_partners.contains(name) || new_partners[name] != section) found.partners.push_back(name);
  for (auto& [name, section] : new_partners.items())
    if (!old_partners.contains(name)) found.partners.push_back(name);
  return found;
}

}  // namespace herontally::desired
