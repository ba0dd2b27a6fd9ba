#include "desired/record.h"

#include <algorithm>

namespace herontally::desired {

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
