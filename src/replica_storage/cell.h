// What a voter stores under the key of a register: the ballots that it promised and accepted, and the
// accepted value.
//
//   promised counter 8 | promised proposer 8 | accepted counter 8 | accepted proposer 8 | value
//
// Integers are little-endian, as the machine has them.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "rpc/consensus_messages.h"
#include "storage/log_store.h"

namespace herontally::replica_storage {

struct cell_ballots {
  rpc::ballot promised, accepted;
};

struct cell {
  rpc::ballot promised, accepted;
  std::string value;

  // Nothing if no value was accepted yet.
  std::optional<std::string> accepted_value() const;
};

std::string pack(const cell& content);
// An empty cell for bytes that are too few.
cell unpack_cell(std::string_view bytes);
cell_ballots unpack_ballots(std::string_view bytes);

// Record keys: registers under "k/", contents by digest under "c/", and a voter's own records under "@".
constexpr std::string_view register_prefix = "k/";
constexpr std::string_view content_prefix = "c/";
// Records that come and go with every turn of a program.
constexpr std::string_view program_record_prefix = "k/program/";
constexpr std::string_view turn_record_prefix = "c/turn/";
// A voter's identity and its installed view, stored in every bucket.
constexpr const char* identity_record = "@voter";
constexpr const char* view_record = "@view";

inline std::string register_record(const std::string& key) { return std::string(register_prefix) + key; }
inline std::string content_record(const std::string& digest) { return std::string(content_prefix) + digest; }
// The register's key or the content's digest.
inline std::string key_of(const std::string& record) { return record.substr(register_prefix.size()); }
inline bool is_register(const std::string& record) { return record[0] == register_prefix[0]; }
inline bool is_content(const std::string& record) { return record[0] == content_prefix[0]; }
// Stored by the voter for itself: never handed to another one.
inline bool is_own_record(const std::string& record) { return record[0] == '@'; }

// The ballots of a listed record; contents have none. Register cells are in memory always.
cell_ballots ballots_of(const storage::listed_record& record);
// The least key after this one.
inline std::string just_after(const std::string& key) { return key + '\0'; }

}  // namespace herontally::replica_storage
