// The configuration as the cores' register keeps it: the operators' document, the edges that must have it in
// force, and what tells a repeated change from a new one.
//
// Source: docs/control.md. JSON keys are part of the stored data and stay as they are.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/table.h"
#include "serialization/json_fields.h"

namespace herontally::configuration {

using json = nlohmann::json;

// The register that holds the record.
constexpr const char* config_key = "desired";

// A change that was applied: a digest of the operator's call, and the version that it made. A call that is
// repeated after a lost answer is recognised by it.
struct applied_change {
  std::string digest;
  std::int64_t version = 0;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&applied_change::digest, "digest"),
                           json_field(&applied_change::version, "version"));
  }
};

// How many applied changes a record remembers. A change that was applied is sent again for as long as its
// answer stays away, while up to eight others are under way beside it; sixteen rounds of eight cover that.
constexpr std::size_t max_applied_changes = 128;

// `version` counts the operators' changes, `revision` every change, so that distribution has one number to
// follow.
struct record {
  std::int64_t revision = 0, version = 0;
  json document = json::object();
  // Edge machines whose majority must have a change in force before it is acknowledged. While the set
  // changes, a majority of the previous one is needed too.
  std::vector<std::string> edges, previous_edges;
  std::vector<std::string> change_ids;  // of the latest changes, newest first
  // What an adapter's operator sent, as it was sent; what it means to those who route (null: nothing yet);
  // and the latest changes of it, newest first. The operator's own number is in `routing`.
  std::string operator_source;
  json routing;
  std::vector<applied_change> applied_changes;
};
void to_json(json& document, const record& from);
void from_json(const json& document, record& to);

record empty_record();
std::string to_text(const record& content);
// Nothing for a text that is no record.
std::optional<record> record_from_text(const std::string& text);
// The record in a register's value: an empty one if there is none, or if it can't be read.
record record_or_empty(const std::optional<std::string>& text);

// Whether the change with this id is among the latest ones.
bool has_change(const record& content, const std::string& change_id);
// The next revision. The operators' version moves only with a new document.
record next_revision(const record& content, std::optional<json> document, const std::string& change_id);
// The record after an operator's change of the routing table. `digest` is that of the call.
record next_routing(const record& content, std::string operator_source, const routing::table& table,
                    const std::string& digest, const std::string& change_id);
// The applied change with this digest, or nullptr.
const applied_change* find_applied(const record& content, const std::string& digest);
// The operator's number of the routing table; 0: there is none.
std::int64_t routing_version(const record& content);
// Without what only the cores need, for distribution.
record without_operator_source(const record& content);

// Names in a list of the document's shared section, such as "evacuated_zones" and "retiring_storage".
std::set<std::string> shared_names(const json& document, const char* list);
void set_shared_names(json& document, const char* list, const std::set<std::string>& names);
constexpr const char* evacuated_zones = "evacuated_zones";
constexpr const char* retiring_storage = "retiring_storage";

// Where a document is wrong: a JSON pointer, and what is wrong there.
struct violation {
  std::string pointer, message;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&violation::pointer, "pointer"),
                           json_field(&violation::message, "what"));
  }
};
// All violations of a document: of the shared JSON Schema and, if there are none, of references between its
// parts.
std::vector<violation> validate(const json& document);

// Which partners' sections differ, and whether the shared one does.
struct section_changes {
  std::vector<std::string> partners;
  bool shared = false;
};
section_changes changed_sections(const json& before, const json& after);

}  // namespace herontally::configuration
