#include "ledger/conversation_record.h"

#include <algorithm>

#include "serialization/bounded_json.h"

namespace herontally::ledger {

using json = nlohmann::json;

constexpr std::size_t max_endings = 24;

std::string to_text(const conversation_record& content) {
  json out = content.unknown_fields.is_object() ? content.unknown_fields : json::object();
  out.update(json(content));
  return dump(out);
}

// A record that can't be read is no empty record: nothing may be reserved or settled over it.
static conversation_record unreadable_record() {
  conversation_record content;
  content.readable = false;
  return content;
}

conversation_record conversation_from_text(const std::optional<std::string>& text) {
  if (!text) return {};
  auto stored = serialization::parse_bounded_object(*text, serialization::max_record_depth);
  if (!stored) return unreadable_record();
  auto document = with_defaults(std::move(*stored), {{"told_pages", ""}});
  try {
    auto content = document.get<conversation_record>();
    for (auto& each : content.endings)
      if (each.outcome == turn_outcome::unrecognized) return unreadable_record();
    json known = content;
    for (auto& [name, value] : known.items()) document.erase(name);
    content.unknown_fields = std::move(document);
    return content;
  } catch (const json::exception&) {
    return unreadable_record();
  }
}

std::string conversation_key(const std::string& partner, const std::string& program) {
  return "p/" + partner + "/" + program;
}

bool is_expired(const conversation_record& content, std::int64_t wall) {
  return content.readable && content.length > 0 && content.keep_until != 0 &&
         wall > content.keep_until + retention_margin;
}

void begin_conversation(conversation_record& content) {
  content.digest.clear();
  content.length = 0;
  content.generation += 1;
  std::erase_if(content.endings, [](auto& each) { return each.outcome == turn_outcome::done; });
}

const ended_turn* find_done(const conversation_record& content, const std::string& turn) {
  for (auto& each : content.endings)
    if (each.turn == turn && each.outcome == turn_outcome::done) return &each;
  return nullptr;
}

const ended_turn* find_request(const conversation_record& content, const std::string& request_id) {
  for (auto& each : content.endings)
    if (each.request_id == request_id) return &each;
  return nullptr;
}

void add_ending(conversation_record& content, ended_turn last) {
  content.endings.insert(content.endings.begin(), std::move(last));
  if (content.endings.size() > max_endings) content.endings.resize(max_endings);
}

bool was_refused(const conversation_record& content, const std::string& turn) {
  auto& turns = content.refused_turns;
  return std::find(turns.begin(), turns.end(), turn) != turns.end();
}

std::string to_text(const refused_page& content) { return dump(json(content)); }
std::optional<refused_page> refused_page_from_text(const std::string& text) {
  return parse<refused_page>(text);
}

std::string to_text(const turn_content& content) { return dump(json(content)); }
std::optional<turn_content> turn_content_from_text(const std::string& text) {
  return parse<turn_content>(text);
}

}  // namespace herontally::ledger
