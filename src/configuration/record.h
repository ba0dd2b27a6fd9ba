// The configuration record that the cores keep in their replicated register: the operators' document, the
// edges that must have it in force, and the ids that tell a repeated change from a new one. The functions
// here only compute the next record; the caller writes it to the register.
//
// Design: docs/control.md. The JSON keys are part of the stored data and must not change.
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

// Key of the register that holds the record.
constexpr const char* config_key = "desired";

// A routing change that was applied: the digest of the operator's call and the version of the routing table
// that it produced. Recognizes a call that is retried after its reply was lost.
struct applied_change {
  std::string digest;
  std::int64_t version = 0;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&applied_change::digest, "digest"),
                           json_field(&applied_change::version, "version"));
  }
};

// How many applied changes a record keeps. An applied change is retried until its reply arrives, while up to
// eight others are in progress concurrently; 128 covers sixteen rounds of eight.
constexpr std::size_t max_applied_changes = 128;

// `version` counts the changes of the operators' document and `revision` counts every change, so that
// distribution can compare records by one number.
struct record {
  std::int64_t revision = 0, version = 0;
  json document = json::object();
  // The edge machines, a majority of which must have a change in force before it is acknowledged. While the
  // set changes, a majority of the previous set is required as well.
  std::vector<std::string> edges, previous_edges;
  std::vector<std::string> change_ids;  // of the latest changes, newest first
  // For a platform adapter: the operator's routing document exactly as it was sent, the routing table
  // compiled from it (null: none was sent yet), and its latest changes, newest first. The operator's own
  // version number is in `routing`.
  std::string operator_source;
  json routing;
  std::vector<applied_change> applied_changes;
};
void to_json(json& document, const record& from);
void from_json(const json& document, record& to);

// A record of revision 0 whose document has empty sections.
record empty_record();
// The record as JSON text.
std::string to_text(const record& content);
// nullopt if the text isn't a record.
std::optional<record> record_from_text(const std::string& text);
// The record in a register's value; an empty record if there is no value or it can't be read.
record record_or_empty(const std::optional<std::string>& text);

// Whether the change with this id is among the latest 64 changes.
bool has_change(const record& content, const std::string& change_id);
// The record's next revision. `version` increases only if a new document is given.
record next_revision(const record& content, std::optional<json> document, const std::string& change_id);
// The next revision with a new routing table. `operator_source` is the operator's document as it was sent,
// and `digest` the digest of the operator's call.
record next_routing(const record& content, std::string operator_source, const routing::table& table,
                    const std::string& digest, const std::string& change_id);
// The applied change with this digest, or nullptr.
const applied_change* find_applied(const record& content, const std::string& digest);
// The operator's version number of the routing table; 0 if there is no table.
std::int64_t routing_version(const record& content);
// The record for distribution, without `operator_source` and `applied_changes`, which only the cores need.
record without_operator_source(const record& content);

// The names in a list of the document's shared section; `list` is `evacuated_zones` or `retiring_storage`.
// Empty if there is no such list.
std::set<std::string> shared_list(const json& document, const char* list);
// Replaces the names in a list of the document's shared section.
void set_shared_list(json& document, const char* list, const std::set<std::string>& names);
constexpr const char* evacuated_zones = "evacuated_zones";
constexpr const char* retiring_storage = "retiring_storage";

// A fault in a document: a JSON pointer to the faulty value, and a message.
struct violation {
  std::string pointer, message;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&violation::pointer, "pointer"),
                           json_field(&violation::message, "what"));
  }
};
// All violations of a document: those of the JSON Schema or, if there are none, invalid references between
// its parts and invalid calendar times. Empty if the document is valid.
std::vector<violation> validate(const json& document);

// The partners whose sections differ between two documents, and whether the shared section differs.
struct section_changes {
  std::vector<std::string> partners;
  bool shared = false;
};
// Compares two documents by section. A missing section equals an empty one, except that an added or removed
// partner always counts as changed.
section_changes changed_sections(const json& before, const json& after);

}  // namespace herontally::configuration
