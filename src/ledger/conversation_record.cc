#include "ledger/conversation_record.h"

#include <algorithm>

#include "serialization/bounded_json.h"

namespace herontally::ledger {

using json = nlohmann::json;

constexpr std::size_t max_ended_turns = 24;

std::string to_text(const conversation_record& record) {
  json out = record.unknown_fields.is_object() ? record.unknown_fields : json::object();
  out.update(json(record));
  return dump(out);
}

// An unreadable record must not be treated as an empty one, or it would be overwritten by a reservation or
// settlement.
static conversation_record unreadable_record() {
  conversation_record record;
  record.readable = false;
  return record;
}

conversation_record conversation_from_text(const std::optional<std::string>& text) {
  if (!text) return {};
  auto stored = serialization::parse_bounded_object(*text, serialization::max_record_depth);
  if (!stored) return unreadable_record();
  auto document = with_defaults(std::move(*stored), {{"told_pages", ""}});
  try {
    auto record = document.get<conversation_record>();
    for (auto& each : record.endings)
      if (each.outcome == turn_outcome::unrecognized) return unreadable_record();
    json known = record;
    for (auto& [name, value] : known.items()) document.erase(name);
    record.unknown_fields = std::move(document);
    return record;
  } catch (const json::exception&) {
    return unreadable_record();
  }
}

std::string conversation_key(const std::string& partner, const std::string& program) {
  return "p/" + partner + "/" + program;
}

bool is_expired(const conversation_record& record, std::int64_t wall) {
  return record.readable && record.length > 0 && record.keep_until != 0 &&
         wall > record.keep_until + retention_margin;
}

void reset_conversation(conversation_record& record) {
  record.digest.clear();
  record.length = 0;
  record.generation += 1;
  std::erase_if(record.endings, [](auto& each) { return each.outcome == turn_outcome::done; });
}

const ended_turn* find_completed_turn(const conversation_record& record, const std::string& turn) {
  for (auto& each : record.endings)
    if (each.turn == turn && each.outcome == turn_outcome::done) return &each;
  return nullptr;
}

const ended_turn* find_turn_of_request(const conversation_record& record, const std::string& request_id) {
  for (auto& each : record.endings)
    if (each.request_id == request_id) return &each;
  return nullptr;
}

void add_ended_turn(conversation_record& record, ended_turn turn) {
  record.endings.insert(record.endings.begin(), std::move(turn));
  if (record.endings.size() > max_ended_turns) record.endings.resize(max_ended_turns);
}

bool was_refused(const conversation_record& record, const std::string& turn) {
  auto& turns = record.refused_turns;
  return std::find(turns.begin(), turns.end(), turn) != turns.end();
}

std::string to_text(const refused_page& page) { return dump(json(page)); }
std::optional<refused_page> refused_page_from_text(const std::string& text) {
  return parse_record<refused_page>(text);
}

std::string to_text(const turn_content& content) { return dump(json(content)); }
std::optional<turn_content> turn_content_from_text(const std::string& text) {
  return parse_record<turn_content>(text);
}

}  // namespace herontally::ledger
