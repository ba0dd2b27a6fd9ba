// The desired state as the register keeps it, and its checked form.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "routing/table.h"

namespace herontally::desired {

using json = nlohmann::json;

// A change that was taken: a digest of the operator's call, and the version that it made. A call that is
// made again after a lost answer is known by it.
struct taken_change {
  std::string digest;
  std::int64_t version = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(taken_change, digest, version)
};

// How many taken changes a record remembers. An order that was taken is sent again for as long as its answer
// stays away, while up to eight others are under way beside it; sixteen rounds of eight cover that.
constexpr std::size_t most_taken = 128;

// `version` counts the operators' changes, `revision` every change, so that news has one number to follow.
struct record {
  std::int64_t revision = 0, version = 0;
  json document = json::object();
  // Edge machines whose majority must have a change in force before it is acknowledged. While the set
  // changes, a majority of the one before is needed too.
  std::vector<std::string> edges, edges_before;
  std::vector<std::string> writers;  // the latest changes' ids, newest first
  // What an adapter's operator sent, as it was sent; what it means to those who route (null: nothing yet);
  // and the latest changes of it, newest first. The operator's own number stands in `routing`.
  std::string sent;
  json routing;
  std::vector<taken_change> taken;
};
void to_json(json& document, const record& from);
void from_json(const json& document, record& to);

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
// The record after an operator's change of the routing table.
record next_routing(const record& content, std::string sent, const routing::table& table,
                    const std::string& digest, const std::string& writer);
const taken_change* find_taken(const record& content, const std::string& digest);
std::int64_t routing_version(const record& content);
// Without what only the register needs, for those who are told.
record for_news(const record& content);

// Every fault of a document: its shape by the shared schema, then what it refers to.
std::vector<fault> check(const json& document);
// Which partners' sections differ, and whether the shared one does.
struct reach {
  std::vector<std::string> partners;
  bool shared = false;
};
reach differs(const json& before, const json& after);

}  // namespace herontally::desired
