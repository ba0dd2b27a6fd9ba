// Validates an operators' document: its shape by the shared JSON Schema, then the references between its
// parts.
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "configuration/cron.h"
#include "configuration/record.h"
#include "schema_operators.h"

namespace herontally::configuration {

namespace {

const valijson::Schema& schema() {
  // Parsed once: the text is part of the program.
  static auto* parsed = [] {
    auto* target = new valijson::Schema();
    static const json document = json::parse(schema_operators);
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(document), *target);
    return target;
  }();
  return *parsed;
}

std::string escape(const std::string& part) {
  std::string out;
  for (char letter : part) {
    if (letter == '~')
      out += "~0";
    else if (letter == '/')
      out += "~1";
    else
      out += letter;
  }
  return out;
}

// valijson names the path in pieces such as "<root>", "[partners]", "[0]".
std::string pointer_of(const std::vector<std::string>& context) {
  std::string pointer;
  for (auto& part : context)
    if (part.size() > 2 && part.front() == '[' && part.back() == ']')
      pointer += "/" + escape(part.substr(1, part.size() - 2));
  return pointer;
}

void check_shape(const json& document, std::vector<violation>& violations) {
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(document), &results)) return;
  valijson::ValidationResults::Error error;
  std::map<std::string, std::string> deepest;
  while (results.popError(error)) {
    auto pointer = pointer_of(error.context);
    if (!deepest.contains(pointer)) deepest[pointer] = error.description;
  }
  for (auto& [pointer, what] : deepest) {
    // An outer place is only blamed for what lies inside it when nothing more exact is known.
    auto inner = deepest.upper_bound(pointer);
    bool covered = inner != deepest.end() &&
                   inner->first.compare(0, pointer.size() + 1, pointer + "/") == 0 &&
                   what.find("chema") != std::string::npos;
    if (!covered) violations.push_back({pointer, what});
  }
}

struct cross_check {
  std::vector<violation>& violations;
  void named(const json& section, const std::string& within, const char* kind, const json& entry,
             const char* field, const std::string& pointer) {
    if (!entry.contains(field)) return;
    std::string name = entry[field];
    if (!section.contains(kind) || !section[kind].contains(name))
      violations.push_back(
          {pointer + "/" + field, std::string("names no entry of ") + within + "/" + kind + ": " + name});
  }
};

void check_partner(const json& section, const std::string& pointer, std::vector<violation>& violations) {
  cross_check cross{violations};
  auto each = [&](const char* kind, auto check_entry) {
    if (!section.contains(kind)) return;
    for (auto& [name, entry] : section[kind].items())
      check_entry(entry, pointer + "/" + kind + "/" + escape(name));
  };
  each("programs", [&](const json& entry, const std::string& place) {
    cross.named(section, pointer, "models", entry, "model", place);
    cross.named(section, pointer, "tables", entry, "table", place);
  });
  each("routes", [&](const json& entry, const std::string& place) {
    cross.named(section, pointer, "applications", entry, "application", place);
    cross.named(section, pointer, "tables", entry, "table", place);
  });
  each("tables", [&](const json& entry, const std::string& place) {
    if (!entry.contains("minCachedTokenDelta")) return;
    for (auto& [model, delta] : entry["minCachedTokenDelta"].items())
      if (!section.contains("models") || !section["models"].contains(model))
        violations.push_back(
            {place + "/minCachedTokenDelta/" + escape(model), "names no model of " + pointer});
  });
  each("calendars", [&](const json& entry, const std::string& place) {
    cross.named(section, pointer, "programs", entry, "program", place);
    cross.named(section, pointer, "tables", entry, "table", place);
    auto parsed = parse_cron(entry["cron"].get<std::string>());
    if (auto* why = std::get_if<std::string>(&parsed)) violations.push_back({place + "/cron", *why});
    auto* when = std::get_if<cron>(&parsed);
    if (when && !ever_matches(*when)) violations.push_back({place + "/cron", "names a day that never comes"});
  });
}

}  // namespace

std::vector<violation> validate(const json& document) {
  std::vector<violation> violations;
  check_shape(document, violations);
  // References are looked at only in a document of the right shape.
  if (!violations.empty()) return violations;
  for (auto& [name, section] : document["partners"].items())
    check_partner(section, "/partners/" + escape(name), violations);
  return violations;
}

}  // namespace herontally::configuration
