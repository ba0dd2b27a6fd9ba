// The messages of voters and of those who write through them, one struct for each record of the schema.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace herontally::wire {

struct ballot {
  std::int64_t counter = 0, proposer = 0;
  auto operator<=>(const ballot&) const = default;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ballot, counter, proposer)
};

struct voter_receipt {
  static constexpr const char* record = "voter_receipt";
  std::string verdict;
  ballot promised, accepted;
  std::string value, view;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(voter_receipt, verdict, promised, accepted, value, view)
};
struct voter_ask {
  static constexpr const char* record = "voter_ask";
  using receipt = voter_receipt;
  std::string step, voter;
  std::int64_t view = 0;
  std::string key;
  wire::ballot ballot;
  std::string value;
  bool urgent = false;
  // With an accept: the voter promises the proposer's next ballot as well.
  bool ahead = false;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(voter_ask, step, voter, view, key, ballot, value, urgent, ahead)
};

// Receipts that only carry a verdict.
#define HERONTALLY_VERDICT(name)                  \
  struct name {                                   \
    static constexpr const char* record = #name;  \
    std::string verdict;                          \
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(name, verdict) \
  };
HERONTALLY_VERDICT(content_put_receipt)
HERONTALLY_VERDICT(install_view_receipt)
HERONTALLY_VERDICT(handover_receipt)
HERONTALLY_VERDICT(in_force_receipt)
#undef HERONTALLY_VERDICT

struct content_put {
  static constexpr const char* record = "content_put";
  using receipt = content_put_receipt;
  std::string voter, digest, body;
  bool urgent = false;
  std::int64_t view = 0;  // refused by a voter of another one; 0: of any
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(content_put, voter, digest, body, urgent, view)
};

struct chain_receipt {
  static constexpr const char* record = "chain_receipt";
  std::vector<std::string> bodies;
  // "yes": by the voter that was asked, in the asker's view. Only then is a missing body lacking there.
  std::string verdict;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(chain_receipt, bodies, verdict)
};
struct chain_ask {
  static constexpr const char* record = "chain_ask";
  using receipt = chain_receipt;
  std::string voter, digest;
  std::int64_t limit = 0;
  std::int64_t view = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(chain_ask, voter, digest, limit, view)
};

struct keys_receipt {
  static constexpr const char* record = "keys_receipt";
  std::string verdict;
  std::vector<std::string> keys;
  std::vector<ballot> ballots;  // accepted, in the order of the keys
  bool more = false;
  std::vector<ballot> promised;  // in the order of the keys
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(keys_receipt, verdict, keys, ballots, more, promised)
};
struct keys_ask {
  static constexpr const char* record = "keys_ask";
  using receipt = keys_receipt;
  std::string voter, after;
  std::int64_t limit = 0;
  std::int64_t range = -1;  // of this range alone; -1: of all
  std::int64_t view = 0;    // refused by a voter of another one; 0: of any
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(keys_ask, voter, after, limit, range, view)
};

// Records as a voter keeps them, in the order asked for; fewer when they are too many for one message. An
// empty value: it has none.
struct records_receipt {
  static constexpr const char* record = "records_receipt";
  std::string verdict;
  std::vector<std::string> values;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(records_receipt, verdict, values)
};
struct records_ask {
  static constexpr const char* record = "records_ask";
  using receipt = records_receipt;
  std::string voter;
  std::int64_t view = 0;
  std::vector<std::string> records;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(records_ask, voter, view, records)
};
// Asks a voter to fetch what a majority of the voters before a joint view holds. `refused` names the records
// that it could not take over because of a promise of its own; the caller settles each by a round.
struct fill_receipt {
  static constexpr const char* record = "fill_receipt";
  std::string verdict;
  std::vector<std::string> refused;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(fill_receipt, verdict, refused)
};
struct fill_ask {
  static constexpr const char* record = "fill_ask";
  using receipt = fill_receipt;
  std::string voter;
  std::int64_t view = 0;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(fill_ask, voter, view)
};

struct sums_receipt {
  static constexpr const char* record = "sums_receipt";
  std::string verdict;
  std::vector<std::int64_t> sums;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(sums_receipt, verdict, sums)
};
struct sums_ask {
  static constexpr const char* record = "sums_ask";
  using receipt = sums_receipt;
  std::string voter;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(sums_ask, voter)
};

struct identify_receipt {
  static constexpr const char* record = "identify_receipt";
  std::string voter, view;
  bool empty = true;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(identify_receipt, voter, view, empty)
};
struct identify_ask {
  static constexpr const char* record = "identify_ask";
  using receipt = identify_receipt;
  std::string group;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(identify_ask, group)
};

struct install_view {
  static constexpr const char* record = "install_view";
  using receipt = install_view_receipt;
  std::string voter, view;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(install_view, voter, view)
};

struct handover {
  static constexpr const char* record = "handover";
  using receipt = handover_receipt;
  std::string voter;
  std::int64_t view = 0;
  std::string key;
  wire::ballot ballot;
  std::string value;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(handover, voter, view, key, ballot, value)
};

}  // namespace herontally::wire
