// The version of the inner protocol.
#pragma once

namespace herontally::rpc {

// What this code speaks. A node one version older or newer is understood; any other is refused.
constexpr int protocol_version = 6;

}  // namespace herontally::rpc
