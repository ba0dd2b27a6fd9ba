// A node's entry in the cluster membership, with the names of its role and status on the wire.
//
// The membership protocol itself is in membership/.
#pragma once
#include <cstdint>
#include <string>

#include "serialization/enum_words.h"
#include "serialization/json_fields.h"

namespace herontally::rpc {

// A node's role. `unrecognized` is a role that this version doesn't know; it is never sent.
enum class node_role { unrecognized, core, store, agent, proxy };
HERONTALLY_ENUM_WORDS(node_role, {{node_role::unrecognized, nullptr},
                                  {node_role::core, "hcore"},
                                  {node_role::store, "hstore"},
                                  {node_role::agent, "hagent"},
                                  {node_role::proxy, "hproxy"}})

// The states of SWIM, and `left` for a node that announced its shutdown. `unrecognized` is a status that this
// version doesn't know; it is never sent.
enum class member_status { unrecognized, alive, suspect, dead, left };
HERONTALLY_ENUM_WORDS(member_status, {{member_status::unrecognized, nullptr},
                                      {member_status::alive, "alive"},
                                      {member_status::suspect, "suspect"},
                                      {member_status::dead, "dead"},
                                      {member_status::left, "left"}})

// The name of a role or a status on the wire, in logs and in the operator API; empty for `unrecognized`.
template <class Enum>
std::string wire_name(Enum value) {
  auto* name = serialization::word_of(value);
  return name ? name : "";
}

// One entry of the membership, keyed by `name`. Addresses are ip:port.
struct member {
  std::string name;
  node_role role = node_role::unrecognized;
  std::string zone;
  std::string inner;  // where the node is probed: its rpc address; for a proxy that of its agent
  std::string http;   // where the node serves HTTP; for a proxy its rpc address
  // Wall-clock time of the node's start, in microseconds since 1970. Increases with every restart.
  std::int64_t incarnation = 0;
  member_status status = member_status::alive;
  // Incremented by a live node to refute a suspicion of the same incarnation.
  std::int64_t refutations = 0;

  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(json_field(&member::name, "name"), json_field(&member::role, "role"),
                           json_field(&member::zone, "zone"), json_field(&member::inner, "inner"),
                           json_field(&member::http, "http"), json_field(&member::incarnation, "incarnation"),
                           json_field(&member::status, "status"), json_field(&member::refutations, "doubt"));
  }

  // Alive, or suspected but not yet declared dead.
  bool is_live() const { return status == member_status::alive || status == member_status::suspect; }
};

}  // namespace herontally::rpc
