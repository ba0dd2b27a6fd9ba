#include "replica_storage/cell.h"

#include <string.h>

namespace herontally::replica_storage {

namespace {

constexpr std::size_t number_bytes = sizeof(std::int64_t);
constexpr std::size_t ballot_bytes = 2 * number_bytes;
constexpr std::size_t cell_header_bytes = 2 * ballot_bytes;

void put_ballot(char* out, const rpc::ballot& ballot) {
  memcpy(out, &ballot.counter, number_bytes);
  memcpy(out + number_bytes, &ballot.proposer, number_bytes);
}

rpc::ballot get_ballot(const char* bytes) {
  rpc::ballot ballot;
  memcpy(&ballot.counter, bytes, number_bytes);
  memcpy(&ballot.proposer, bytes + number_bytes, number_bytes);
  return ballot;
}

}  // namespace

std::optional<std::string> cell::accepted_value() const {
  if (accepted.counter == 0) return std::nullopt;
  return value;
}

std::string pack(const cell& content) {
  std::string out(cell_header_bytes, '\0');
  put_ballot(out.data(), content.promised);
  put_ballot(out.data() + ballot_bytes, content.accepted);
  return out + content.value;
}

cell_ballots unpack_ballots(std::string_view bytes) {
  if (bytes.size() < cell_header_bytes) return {};
  return {get_ballot(bytes.data()), get_ballot(bytes.data() + ballot_bytes)};
}

cell unpack_cell(std::string_view bytes) {
  auto ballots = unpack_ballots(bytes);
  cell content{ballots.promised, ballots.accepted, {}};
  if (bytes.size() >= cell_header_bytes) content.value = bytes.substr(cell_header_bytes);
  return content;
}

cell_ballots ballots_of(const storage::listed_record& record) {
  if (!is_register(record.key) || !record.value) return {};
  return unpack_ballots(*record.value);
}

}  // namespace herontally::replica_storage
