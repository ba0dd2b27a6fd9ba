// The desired state as the register keeps it, and its checked form.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace herontally::desired {

using json = nlohmann::json;

// `version` counts the operators' changes, `revision` every change, so that news has one number to follow.
struct record {
  std::int64_t revision = 0, version = 0;
  json document = json::object();
  // Edge machines whose majority must have a change in force before it is acknowledged. While the set
  // changes, a majority of the one before is needed too.
  std::vector<std::string> edges, edges_before;
  std::vector<std::string> writers;  // the latest changes' ids, newest first
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(record, revision, version, document, edges, edges_before, writers)
};

constexpr const char* register_key = "desired";
record empty_record();
std::string to_text(const record& content);
std::optional<record> from_text(const std::string& text);
bool has_writer(const record& content, const std::string& writer);
// The next revision; the operators' version moves only when the document does.
record next_of(const record& content, std::optional<json> document, const std::string& writer);

struct fault {
  std::string pointer, what;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(fault, pointer, what)
};
// Every fault of a document: its shape by the shared schema, then what it refers to.
std::vector<fault> check(const json& document);
// Which partners' sections differ, and whether the shared one does.
struct reach {
  std::vector<std::string> partners;
  bool shared = false;
};
reach differs(const json& before, const json& after);

}  // namespace herontally::desired
