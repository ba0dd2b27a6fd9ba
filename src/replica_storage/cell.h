// The acceptor state that a voter stores for a register (the ballots that it promised and accepted, and the
// accepted value), its byte layout, and the keys of a voter's records. The voting rules are in replication/.
//
// Layout of a cell, sizes in bytes:
//
//   promised counter 8 | promised proposer 8 | accepted counter 8 | accepted proposer 8 | value
//
// Integers are in the byte order of the machine, which is little-endian.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "rpc/consensus_messages.h"
#include "storage/log_store.h"

namespace herontally::replica_storage {

// The highest ballot that was promised, and the ballot of the accepted value; counter 0: none yet.
struct cell_ballots {
  rpc::ballot promised, accepted;
};

// The acceptor state of one register.
struct cell {
  rpc::ballot promised, accepted;
  std::string value;

  // std::nullopt if no value was accepted yet.
  std::optional<std::string> accepted_value() const;
};

// Encodes a cell in the layout above.
std::string pack(const cell& content);
// Decodes a cell, or only its ballots. Bytes shorter than the ballots give an empty cell and empty ballots.
cell unpack_cell(std::string_view bytes);
cell_ballots unpack_ballots(std::string_view bytes);

// Record keys: registers under "k/", contents by digest under "c/", and a voter's own records under "@".
constexpr std::string_view register_prefix = "k/";
constexpr std::string_view content_prefix = "c/";
// Records that are written and removed with every turn of a program.
constexpr std::string_view program_record_prefix = "k/program/";
constexpr std::string_view turn_record_prefix = "c/turn/";
// A voter's identity, its installed view and its founding claim, stored in every bucket.
constexpr const char* identity_record = "@voter";
constexpr const char* view_record = "@view";
constexpr const char* founding_claim_record = "@founding";

inline std::string register_record(const std::string& key) { return std::string(register_prefix) + key; }
inline std::string content_record(const std::string& digest) { return std::string(content_prefix) + digest; }
// The register's key or the content's digest: the record's key without its prefix, which is two bytes long
// for both kinds.
inline std::string key_of(const std::string& record) { return record.substr(register_prefix.size()); }
inline bool is_register(const std::string& record) { return record[0] == register_prefix[0]; }
inline bool is_content(const std::string& record) { return record[0] == content_prefix[0]; }
// Whether the record describes the voter itself; such records are never sent to another voter.
inline bool is_local_record(const std::string& record) { return record[0] == '@'; }

// The ballots of a listed record; empty for contents, which have none. The values of registers are always in
// memory, so that this doesn't read the disk.
cell_ballots ballots_of(const storage::listed_record& record);
// The smallest key that sorts after this one.
inline std::string next_key(const std::string& key) { return key + '\0'; }

}  // namespace herontally::replica_storage
