// The inner protocol's codec: whatever is written is read again, and no bytes from outside do harm.
#include <catch2/catch.hpp>
#include <random>

#include "rpc/codec.h"
#include "rpc/control_messages.h"

using namespace herontally;

namespace {

std::string random_bytes(std::mt19937_64& random, std::size_t most) {
  std::string out(random() % (most + 1), '\0');
  for (auto& letter : out) letter = static_cast<char>(random());
  return out;
}

rpc::vote_request random_ask(std::mt19937_64& random) {
  rpc::vote_request ask;
  ask.phase = random() % 2 ? rpc::vote_phase::prepare : rpc::vote_phase::accept;
  ask.voter = std::to_string(random());
  ask.view = static_cast<std::int64_t>(random());
  ask.key = "k" + std::to_string(random());
  ask.ballot = {static_cast<std::int64_t>(random()), static_cast<std::int64_t>(random())};
  ask.value = random_bytes(random, 400);
  ask.urgent = random() % 2;
  return ask;
}

}  // namespace

TEST_CASE("messages come back as they were sent") {
  std::mt19937_64 random(7);
  for (int turn = 0; turn < 500; ++turn) {
    auto ask = random_ask(random);
    nlohmann::json before = ask;
    auto bytes = rpc::encode("voter_ask", before);
    REQUIRE(std::holds_alternative<std::string>(bytes));
    auto after = rpc::decode("voter_ask", std::get<std::string>(bytes));
    REQUIRE(std::holds_alternative<nlohmann::json>(after));
    REQUIRE(std::get<nlohmann::json>(after) == before);
  }
}

TEST_CASE("a message that misses a field or has a wrong type is not encoded") {
  nlohmann::json whole = rpc::put_content_request{"v", "d", "b", true};
  for (auto& [field, value] : whole.items()) {
    auto broken = whole;
    broken.erase(field);
    REQUIRE(std::holds_alternative<rpc::codec_error>(rpc::encode("content_put", broken)));
    broken[field] = nlohmann::json::array();
    REQUIRE(std::holds_alternative<rpc::codec_error>(rpc::encode("content_put", broken)));
  }
  REQUIRE(std::get<rpc::codec_error>(rpc::encode("nothing", whole)) == rpc::codec_error::unknown_record);
}

TEST_CASE("garbage, cut and flipped bytes are refused or read as some value, never worse") {
  std::mt19937_64 random(11);
  const char* records[] = {"envelope", "voter_ask", "voter_receipt", "probe", "news_receipt", "keys_receipt"};
  int refused = 0, read = 0;
  for (int turn = 0; turn < 4000; ++turn) {
    std::string bytes;
    if (turn % 3 == 0) {
      bytes = random_bytes(random, 200);
    } else {
      bytes = std::get<std::string>(rpc::encode("voter_ask", random_ask(random)));
      if (turn % 3 == 1) bytes.resize(random() % bytes.size());
      if (turn % 3 == 2) bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    auto result = rpc::decode(records[random() % 6], bytes);
    (std::holds_alternative<nlohmann::json>(result) ? read : refused) += 1;
  }
  // Both happen: most garbage is refused, but a flipped letter inside a text is still a text.
  REQUIRE(refused > 1000);
  REQUIRE(read > 10);
}

TEST_CASE("a version before and a version after are read, and what they lack or add does no harm") {
  rpc::config_update_reply reply;
  reply.revision = 7;
  reply.engines = "[]";
  reply.engines_age_milliseconds = 12;
  reply.draining_engines = {"e1"};
  // The last version without these fields.
  constexpr int older = 2;
  auto bytes = std::get<std::string>(rpc::encode("news_receipt", reply, older));
  auto read =
      std::get<nlohmann::json>(rpc::decode("news_receipt", bytes, older)).get<rpc::config_update_reply>();
  REQUIRE(read.revision == 7);
  REQUIRE(read.engines_age_milliseconds == -1);
  REQUIRE(read.draining_engines.empty());
  // Read as if it were of this version it would be cut short: the sender's version decides.
  REQUIRE(std::holds_alternative<rpc::codec_error>(rpc::decode("news_receipt", bytes)));
  auto newer = std::get<std::string>(rpc::encode("news_receipt", reply)) + "more";
  auto known = std::get<nlohmann::json>(rpc::decode("news_receipt", newer, rpc::protocol_version + 1))
                   .get<rpc::config_update_reply>();
  REQUIRE(known.draining_engines == reply.draining_engines);
  // And the older reads the front of what this version writes.
  auto front =
      std::get<nlohmann::json>(
          rpc::decode("news_receipt", std::get<std::string>(rpc::encode("news_receipt", reply)), older))
          .get<rpc::config_update_reply>();
  REQUIRE(front.revision == 7);
}

TEST_CASE("the version next to this one is read both ways") {
  constexpr int older = rpc::protocol_version - 1;
  rpc::config_update_reply reply;
  reply.revision = 7;
  reply.members = "[]";
  reply.members_version = 9;
  reply.members_since = 8;
  auto bytes = std::get<std::string>(rpc::encode("news_receipt", reply, older));
  auto read =
      std::get<nlohmann::json>(rpc::decode("news_receipt", bytes, older)).get<rpc::config_update_reply>();
  REQUIRE(read.members_version == 9);
  REQUIRE(read.members_since == 0);
  REQUIRE(std::holds_alternative<rpc::codec_error>(rpc::decode("news_receipt", bytes)));
  auto whole = std::get<std::string>(rpc::encode("news_receipt", reply));
  auto front =
      std::get<nlohmann::json>(rpc::decode("news_receipt", whole, older)).get<rpc::config_update_reply>();
  REQUIRE(front.members == reply.members);
}

TEST_CASE("a record without the field that came with version 5 is read both ways") {
  constexpr int older = 4;
  rpc::list_records_reply listed;
  listed.status = rpc::reply_status::ok;
  listed.keys = {"k/a"};
  listed.ballots = {{3, 1}};
  listed.promised = {{4, 1}};
  auto bytes = std::get<std::string>(rpc::encode("keys_receipt", listed, older));
  auto read =
      std::get<nlohmann::json>(rpc::decode("keys_receipt", bytes, older)).get<rpc::list_records_reply>();
  REQUIRE(read.keys == listed.keys);
  REQUIRE(read.promised.empty());
  REQUIRE(std::holds_alternative<rpc::codec_error>(rpc::decode("keys_receipt", bytes)));
  auto whole = std::get<std::string>(rpc::encode("keys_receipt", listed));
  auto front =
      std::get<nlohmann::json>(rpc::decode("keys_receipt", whole, older)).get<rpc::list_records_reply>();
  REQUIRE(front.ballots == listed.ballots);
}
