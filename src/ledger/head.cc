#include "ledger/head.h"

#include <openssl/evp.h>

#include <algorithm>

namespace herontally::ledger {

using json = nlohmann::json;

namespace {
constexpr std::size_t endings_kept = 24;

std::string dump(const json& content) { return content.dump(-1, ' ', false, json::error_handler_t::replace); }

template <class T>
std::optional<T> parse(const std::string& text) {
  auto document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    return document.get<T>();
  } catch (const json::exception&) {
    // What another layer wrote and this one can't read counts as absent.
    return std::nullopt;
  }
}
}  // namespace

std::string to_text(const head& content) {
  json out = content.unknown.is_object() ? content.unknown : json::object();
  out.update(json(content));
  return dump(out);
}

// Fields that came with later versions: an older one's record lacks them.
static json with_defaults(json document, const json& later) {
  for (auto& [name, value] : later.items())
    if (!document.contains(name)) document[name] = value;
  return document;
}

head from_text(const std::optional<std::string>& text) {
  if (!text) return {};
  head content;
  auto document = json::parse(*text, nullptr, false);
  content.readable = document.is_object();
  if (!content.readable) return content;
  document = with_defaults(std::move(document), {{"told_pages", ""}});
  try {
    content = document.get<head>();
    json known = content;
    for (auto& [name, value] : known.items()) document.erase(name);
    content.unknown = std::move(document);
  } catch (const json::exception&) {
    // A head that can't be read is no empty head: nothing may be granted or settled over it.
    content = {};
    content.readable = false;
  }
  return content;
}

bool is_overdue(const head& content, std::int64_t wall) {
  return content.readable && content.length > 0 && content.keep_until != 0 &&
         wall > content.keep_until + keep_margin;
}

void begin_conversation(head& content) {
  content.digest.clear();
  content.length = 0;
  content.generation += 1;
  std::erase_if(content.endings, [](const ending& each) { return each.how == "done"; });
}

std::string to_text(const told_page& content) { return dump(json(content)); }
std::optional<told_page> told_page_from(const std::string& text) { return parse<told_page>(text); }

const ending* find_done(const head& content, const std::string& turn) {
  for (auto& each : content.endings)
    if (each.turn == turn && each.how == "done") return &each;
  return nullptr;
}
const ending* find_request(const head& content, const std::string& request_id) {
  for (auto& each : content.endings)
    if (each.request_id == request_id) return &each;
  return nullptr;
}

void add_ending(head& content, ending last) {
  content.endings.insert(content.endings.begin(), std::move(last));
  if (content.endings.size() > endings_kept) content.endings.resize(endings_kept);
}

bool was_told_spent(const head& content, const std::string& turn) {
  return std::find(content.told_spent.begin(), content.told_spent.end(), turn) != content.told_spent.end();
}

std::string to_text(const turn_content& content) { return dump(content); }
std::optional<turn_content> content_from(const std::string& text) { return parse<turn_content>(text); }

std::string digest_of(const std::string& text) {
  unsigned char raw[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), raw, &size, EVP_sha256(), nullptr);
  static const char digits[] = "0123456789abcdef";
  std::string out;
  for (unsigned int position = 0; position < size; ++position) {
    out += digits[raw[position] >> 4];
    out += digits[raw[position] & 15];
  }
  return out;
}

std::string head_key(const std::string& partner, const std::string& program) {
  return "p/" + partner + "/" + program;
}
std::string call_record_key(const std::string& partner, const std::string& route, const std::string& key) {
  // The client's key may hold any bytes and any length; its digest doesn't.
  return "r/" + partner + "/" + route + "/" + digest_of(key).substr(0, 40);
}

std::string to_text(const call_record& content) { return dump(content); }
std::optional<call_record> call_record_from(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  auto document = json::parse(*text, nullptr, false);
  auto found = document.is_object() ? parse<call_record>(dump(with_defaults(document, {{"keep_until", 0}})))
                                    : std::nullopt;
  if (found) return found;
  // There is a receipt, whatever it says: the call may have run.
  call_record unread;
  unread.state = "started";
  unread.readable = false;
  return unread;
}

}  // namespace herontally::ledger
