// Validates an operators' document: first against the JSON Schema, then the references between its parts and
// the calendar times.
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
  // Parsed once, from the schema text that is compiled into the program.
  static auto* parsed = [] {
    auto* target = new valijson::Schema();
    static const json document = json::parse(schema_operators);
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(document), *target);
    return target;
  }();
  return *parsed;
}

// Escapes a JSON pointer token (RFC 6901).
std::string escape_token(const std::string& part) {
  std::string escaped;
  for (char character : part) {
    if (character == '~')
      escaped += "~0";
    else if (character == '/')
      escaped += "~1";
    else
      escaped += character;
  }
  return escaped;
}

// Converts valijson's path to a JSON pointer. valijson gives it as parts such as "<root>", "[partners]",
// "[0]".
std::string json_pointer_of(const std::vector<std::string>& context) {
  std::string pointer;
  for (auto& part : context)
    if (part.size() > 2 && part.front() == '[' && part.back() == ']')
      pointer += "/" + escape_token(part.substr(1, part.size() - 2));
  return pointer;
}

void check_schema(const json& document, std::vector<violation>& violations) {
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(document), &results)) return;
  valijson::ValidationResults::Error error;
  std::map<std::string, std::string> message_by_pointer;
  while (results.popError(error)) {
    auto pointer = json_pointer_of(error.context);
    if (!message_by_pointer.contains(pointer)) message_by_pointer[pointer] = error.description;
  }
  for (auto& [pointer, message] : message_by_pointer) {
    // valijson also reports each value that contains the faulty one as not matching its schema.
    // Such an error is reported only if there is none at a deeper pointer.
    auto inner = message_by_pointer.upper_bound(pointer);
    bool covered = inner != message_by_pointer.end() &&
                   inner->first.compare(0, pointer.size() + 1, pointer + "/") == 0 &&
                   message.find("chema") != std::string::npos;
    if (!covered) violations.push_back({pointer, message});
  }
}

struct reference_check {
  std::vector<violation>& violations;
  // Reports a violation if `entry[field]` names no entry of this kind in the section.
  void require_entry(const json& section, const std::string& within, const char* kind, const json& entry,
                     const char* field, const std::string& pointer) {
    if (!entry.contains(field)) return;
    std::string name = entry[field];
    if (!section.contains(kind) || !section[kind].contains(name))
      violations.push_back(
          {pointer + "/" + field, std::string("names no entry of ") + within + "/" + kind + ": " + name});
  }
};

void check_partner(const json& section, const std::string& pointer, std::vector<violation>& violations) {
  reference_check references{violations};
  auto for_each_entry = [&](const char* kind, auto check_entry) {
    if (!section.contains(kind)) return;
    for (auto& [name, entry] : section[kind].items())
      check_entry(entry, pointer + "/" + kind + "/" + escape_token(name));
  };
  for_each_entry("programs", [&](const json& entry, const std::string& entry_pointer) {
    references.require_entry(section, pointer, "models", entry, "model", entry_pointer);
    references.require_entry(section, pointer, "tables", entry, "table", entry_pointer);
  });
  for_each_entry("routes", [&](const json& entry, const std::string& entry_pointer) {
    references.require_entry(section, pointer, "applications", entry, "application", entry_pointer);
    references.require_entry(section, pointer, "tables", entry, "table", entry_pointer);
  });
  for_each_entry("tables", [&](const json& entry, const std::string& entry_pointer) {
    if (!entry.contains("minCachedTokenDelta")) return;
    for (auto& [model, delta] : entry["minCachedTokenDelta"].items())
      if (!section.contains("models") || !section["models"].contains(model))
        violations.push_back(
            {entry_pointer + "/minCachedTokenDelta/" + escape_token(model), "names no model of " + pointer});
  });
  for_each_entry("calendars", [&](const json& entry, const std::string& entry_pointer) {
    references.require_entry(section, pointer, "programs", entry, "program", entry_pointer);
    references.require_entry(section, pointer, "tables", entry, "table", entry_pointer);
    auto parsed = parse_cron(entry["cron"].get<std::string>());
    if (auto* message = std::get_if<std::string>(&parsed))
      violations.push_back({entry_pointer + "/cron", *message});
    auto* schedule = std::get_if<cron>(&parsed);
    if (schedule && !ever_matches(*schedule))
      violations.push_back({entry_pointer + "/cron", "names a day that never comes"});
  });
}

}  // namespace

std::vector<violation> validate(const json& document) {
  std::vector<violation> violations;
  check_schema(document, violations);
  // References can be checked only in a document that matches the schema.
  if (!violations.empty()) return violations;
  for (auto& [name, section] : document["partners"].items())
    check_partner(section, "/partners/" + escape_token(name), violations);
  return violations;
}

}  // namespace herontally::configuration
