// What surrounds each message, written and read without a JSON value between: every message passes here.
// Internal to the rpc package.
#pragma once
#include <optional>

#include "rpc/control_messages.h"

namespace herontally::rpc {

// Nothing if a text can't be sent, which holds for those with a zero byte.
std::optional<std::string> encode_envelope(const envelope& cover);
// Nothing if the bytes are no envelope.
std::optional<envelope> decode_envelope(const std::string& bytes);

}  // namespace herontally::rpc
