#include "rpc/envelope.h"

#include "rpc/schema_table.h"

namespace herontally::rpc {

namespace {

// In the order of the schema.
enum envelope_field : std::size_t { field_version, field_kind, field_sender, field_body };

struct envelope_schema {
  const schema_table& table = schema_of(protocol_version);
  int branch = *table.branch_of("envelope");
};

const envelope_schema& schema() {
  static const envelope_schema known;
  return known;
}

std::optional<avro_value_t> field_of(avro_value_t* record, envelope_field which) {
  avro_value_t field;
  if (avro_value_get_by_index(record, which, &field, nullptr) != 0) return std::nullopt;
  return field;
}

bool set_text(avro_value_t* record, envelope_field which, const std::string& text) {
  auto field = field_of(record, which);
  // avro-c counts the closing zero in a string's length.
  return field && text.find('\0') == std::string::npos &&
         avro_value_set_string_len(&*field, text.c_str(), text.size() + 1) == 0;
}

bool set_all(avro_value_t* record, const envelope& cover) {
  auto version = field_of(record, field_version);
  auto body = field_of(record, field_body);
  return version && avro_value_set_int(&*version, cover.version) == 0 &&
         set_text(record, field_kind, cover.kind) && set_text(record, field_sender, cover.sender) && body &&
         avro_value_set_bytes(&*body, const_cast<char*>(cover.body.data()), cover.body.size()) == 0;
}

bool get_text(avro_value_t* record, envelope_field which, std::string& out) {
  auto field = field_of(record, which);
  const char* text = nullptr;
  std::size_t size = 0;
  if (!field || avro_value_get_string(&*field, &text, &size) != 0 || size == 0) return false;
  out.assign(text, size - 1);
  return true;
}

bool get_body(avro_value_t* record, std::string& out) {
  auto field = field_of(record, field_body);
  const void* bytes = nullptr;
  std::size_t size = 0;
  if (!field || avro_value_get_bytes(&*field, &bytes, &size) != 0) return false;
  out.assign(static_cast<const char*>(bytes), size);
  return true;
}

bool get_all(avro_value_t* record, envelope& out) {
  auto version = field_of(record, field_version);
  std::int32_t number = 0;
  if (!version || avro_value_get_int(&*version, &number) != 0) return false;
  out.version = number;
  return get_text(record, field_kind, out.kind) && get_text(record, field_sender, out.sender) &&
         get_body(record, out.body);
}

}  // namespace

std::optional<std::string> encode_envelope(const envelope& cover) {
  borrowed_value borrowed(schema().table, schema().branch);
  if (!borrowed.get() || !set_all(borrowed.get(), cover)) return std::nullopt;
  auto bytes = bytes_of(borrowed.get());
  if (bytes) borrowed.give_back(bytes->size());
  return bytes;
}

std::optional<envelope> decode_envelope(const std::string& bytes) {
  borrowed_value borrowed(schema().table, schema().branch);
  envelope cover;
  bool readable = borrowed.get() && read_bytes(bytes, borrowed.get()) && get_all(borrowed.get(), cover);
  if (!readable) return std::nullopt;
  borrowed.give_back(bytes.size());
  return cover;
}

}  // namespace herontally::rpc
