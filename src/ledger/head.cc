#include "ledger/head.h"

#include <openssl/evp.h>

#include <algorithm>

namespace herontally::ledger {

using json = nlohmann::json;

namespace {
constexpr std::size_t endings_kept = 24;
constexpr std::size_t told_kept = 256;

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

std::string to_text(const head& content) { return dump(content); }
head from_text(const std::optional<std::string>& text) {
  if (!text) return {};
  return parse<head>(*text).value_or(head{});
}

const ending* find_done(const head& content, const std::string& turn) {
  for (auto& each : content.endings)
    if (each.turn == turn && each.how == "done") return &each;
  return nullptr;
}
const ending* find_visit(const head& content, const std::string& visit) {
  for (auto& each : content.endings)
    if (each.visit == visit) return &each;
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
std::string receipt_key(const std::string& partner, const std::string& route, const std::string& key) {
  // The visitor's key may hold any bytes and any length; its digest doesn't.
  return "r/" + partner + "/" + route + "/" + digest_of(key).substr(0, 40);
}

std::string to_text(const call_receipt& content) { return dump(content); }
std::optional<call_receipt> receipt_from(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  return parse<call_receipt>(*text);
}

}  // namespace herontally::ledger
