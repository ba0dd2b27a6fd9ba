// The version of the protocol between nodes (the "inner" protocol of settings and metrics).
#pragma once

namespace herontally::rpc {

// The newest version, which this build uses. Nodes one version older or newer are accepted, all others are
// refused.
constexpr int protocol_version = 6;

}  // namespace herontally::rpc
