#include "http_api/document_limit.h"

#include <algorithm>

namespace herontally::http_api {

namespace {

// Of one value: its place in a growing list or its node in a map, and the allocations of a list or map.
constexpr std::size_t bytes_per_value = 96;
constexpr int unavailable = 503;

// Each value but the first follows one of these; in strings they count as well.
bool begins_value(char letter) { return letter == ',' || letter == ':' || letter == '[' || letter == '{'; }

}  // namespace

std::size_t parsed_size(const std::string& text) {
  auto values = static_cast<std::size_t>(std::count_if(text.begin(), text.end(), begins_value));
  return text.size() + bytes_per_value * values;
}

bool admit_document(const runtime::inbound_request& request, const writer& out) {
  if (!out->reserve || out->reserve(parsed_size(request.body))) return true;
  reject(out, unavailable, "no memory for the document", executed::no, 1);
  return false;
}

}  // namespace herontally::http_api
