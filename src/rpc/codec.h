// Avro binary encoding and decoding of the typed messages, which are the records of schema/inner.avsc.
//
// A protocol version adds fields only at the end of top-level records. Each added field is marked "since" in
// the schema and has a default, which is also the default of the struct's member. An older node therefore
// decodes the fields that it knows and ignores the bytes that follow, and a newer node leaves the members
// that it isn't sent at their defaults.
//
// Envelopes and transport are in rpc/endpoint.h.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "rpc/message_value.h"
#include "rpc/protocol_version.h"
#include "rpc/schema_table.h"

namespace herontally::rpc {

// The value class of a message for the given version of the schema; cached. Versions newer than
// `protocol_version` are treated as `protocol_version`. Aborts if the struct doesn't fit the record.
template <class Message>
const value_class& value_class_for(const char* record, int version) {
  static std::map<int, value_class> classes;
  int supported = std::min(version, protocol_version);
  auto found = classes.find(supported);
  if (found == classes.end())
    found = classes
                .emplace(supported,
                         message_value::make_class<Message>(schema_for_version(supported).record(record)))
                .first;
  return found->second;
}

// Encodes a message as the record of this name. Returns nullopt if a member can't be encoded: a string with a
// zero byte, or an enum value that has no name on the wire.
template <class Message>
std::optional<std::string> encode_record(const char* record, const Message& message,
                                         int version = protocol_version) {
  return write_value(value_class_for<Message>(record, version), &message);
}

// Decodes a message; nullopt if `bytes` don't hold one. `version` is the sender's protocol version. The bytes
// are untrusted: array lengths and single allocations are bounded, so that a declared length alone can't
// exhaust memory.
template <class Message>
std::optional<Message> decode_record(const char* record, const std::string& bytes,
                                     int version = protocol_version) {
  std::optional<Message> message(std::in_place);
  if (!read_value(value_class_for<Message>(record, version), bytes, &*message)) return std::nullopt;
  return message;
}

// Encodes a message as the record named by `Message::kind`.
template <class Message>
std::optional<std::string> encode(const Message& message, int version = protocol_version) {
  return encode_record(Message::kind, message, version);
}

// Decodes the record named by `Message::kind`.
template <class Message>
std::optional<Message> decode(const std::string& bytes, int version = protocol_version) {
  return decode_record<Message>(Message::kind, bytes, version);
}

}  // namespace herontally::rpc
