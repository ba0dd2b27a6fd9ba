// Avro binary encoding of the typed messages, which are the records of schema/inner.avsc.
//
// A protocol version adds fields at the end of top-level records only, marked "since" in the schema and with
// a default, which is that of the struct's member. So an older node reads the front of what it doesn't know,
// and a newer one keeps the defaults of what it isn't sent.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "rpc/message_value.h"
#include "rpc/protocol_version.h"
#include "rpc/schema_table.h"

namespace herontally::rpc {

// How avro-c handles a message as a version of the schema has it. A newer version than ours is read as far as
// we know it.
template <class Message>
const value_class& class_of(const char* record, int version) {
  static std::map<int, value_class> classes;
  int known = std::min(version, protocol_version);
  auto found = classes.find(known);
  if (found == classes.end())
    found = classes.emplace(known, message_value::make_class<Message>(schema_of(known).record(record))).first;
  return found->second;
}

// The bytes of a message as the record of this name. Nothing if it holds what can't be sent: a text with a
// zero byte, or a value of an enumeration that has no word.
template <class Message>
std::optional<std::string> encode_record(const char* record, const Message& message,
                                         int version = protocol_version) {
  return write_value(class_of<Message>(record, version), &message);
}

// The message that `bytes` hold, or nothing; `version` is the sender's. Bytes from outside may be anything:
// length is bounded, and nothing is allocated before it is known to be there.
template <class Message>
std::optional<Message> decode_record(const char* record, const std::string& bytes,
                                     int version = protocol_version) {
  std::optional<Message> message(std::in_place);
  if (!read_value(class_of<Message>(record, version), bytes, &*message)) return std::nullopt;
  return message;
}

template <class Message>
std::optional<std::string> encode(const Message& message, int version = protocol_version) {
  return encode_record(Message::kind, message, version);
}

template <class Message>
std::optional<Message> decode(const std::string& bytes, int version = protocol_version) {
  return decode_record<Message>(Message::kind, bytes, version);
}

}  // namespace herontally::rpc
