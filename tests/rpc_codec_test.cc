// The codec of the messages between nodes: encoded messages decode to the same values, across versions too,
// and untrusted bytes do no harm.
#include <catch2/catch.hpp>
#include <random>

#include "generic_codec.h"
#include "rpc/codec.h"
#include "rpc/control_messages.h"
#include "rpc/quota_messages.h"

using namespace herontally;

namespace {

std::string random_bytes(std::mt19937_64& random, std::size_t max_size) {
  std::string out(random() % (max_size + 1), '\0');
  for (auto& character : out) character = static_cast<char>(random());
  return out;
}

rpc::vote_request random_request(std::mt19937_64& random) {
  rpc::vote_request request;
  request.phase = random() % 2 ? rpc::vote_phase::prepare : rpc::vote_phase::accept;
  request.voter = std::to_string(random());
  request.view = static_cast<std::int64_t>(random());
  request.key = "k" + std::to_string(random());
  request.ballot = {static_cast<std::int64_t>(random()), static_cast<std::int64_t>(random())};
  request.value = random_bytes(random, 400);
  request.urgent = random() % 2;
  return request;
}

}  // namespace

TEST_CASE("messages decode to what was encoded, and have the same bytes as with the generic codec") {
  std::mt19937_64 random(7);
  for (int iteration = 0; iteration < 500; ++iteration) {
    auto request = random_request(random);
    auto bytes = rpc::encode(request);
    REQUIRE(bytes);
    REQUIRE(*bytes == std::get<std::string>(tests::encode_generic("voter_ask", request)));
    auto decoded = rpc::decode<rpc::vote_request>(*bytes);
    REQUIRE(decoded);
    REQUIRE(nlohmann::json(*decoded) == nlohmann::json(request));
  }
}

TEST_CASE("a message with a missing field or a field of a wrong type is not encoded") {
  nlohmann::json whole = rpc::put_content_request{"v", "d", "b", true};
  for (auto& [field, value] : whole.items()) {
    auto broken = whole;
    broken.erase(field);
    REQUIRE(std::holds_alternative<tests::codec_error>(tests::encode_generic("content_put", broken)));
    broken[field] = nlohmann::json::array();
    REQUIRE(std::holds_alternative<tests::codec_error>(tests::encode_generic("content_put", broken)));
  }
  REQUIRE(std::get<tests::codec_error>(tests::encode_generic("nothing", whole)) ==
          tests::codec_error::unknown_record);
}

TEST_CASE("a string with a zero byte and an enum value without a wire name are not encoded") {
  rpc::vote_request request;
  request.phase = rpc::vote_phase::read;
  REQUIRE(rpc::encode(request));
  request.key = std::string("a\0b", 3);
  REQUIRE_FALSE(rpc::encode(request));
  request.key = "key";
  request.value = std::string("a\0b", 3);
  REQUIRE(rpc::decode<rpc::vote_request>(*rpc::encode(request))->value == request.value);
  request.phase = rpc::vote_phase::unrecognized;
  REQUIRE_FALSE(rpc::encode(request));
}

TEST_CASE("an enum name that this version doesn't know is decoded as unrecognized") {
  nlohmann::json reply = rpc::put_content_reply{rpc::reply_status::ok};
  reply["status"] = "a later word";
  auto bytes = std::get<std::string>(tests::encode_generic("content_put_receipt", reply));
  REQUIRE(rpc::decode<rpc::put_content_reply>(bytes)->status == rpc::reply_status::unrecognized);
}

namespace {

enum class decode_result { refused, decoded };

// Checks that the typed codec refuses what the generic codec refuses, and decodes all else to the same
// values.
template <class Message>
decode_result decode_with_both(const char* record, const std::string& bytes) {
  auto typed = rpc::decode_record<Message>(record, bytes);
  auto generic = tests::decode_generic(record, bytes);
  REQUIRE(typed.has_value() == std::holds_alternative<nlohmann::json>(generic));
  if (!typed) return decode_result::refused;
  // The typed codec turns an unknown enum name into null, the generic one keeps it. Therefore the generic
  // value is converted to the struct before the comparison.
  REQUIRE(nlohmann::json(*typed) == nlohmann::json(std::get<nlohmann::json>(generic).get<Message>()));
  return decode_result::decoded;
}

decode_result decode_as_some_record(std::size_t number, const std::string& bytes) {
  switch (number % 6) {
    case 0:
      return decode_with_both<rpc::envelope>("envelope", bytes);
    case 1:
      return decode_with_both<rpc::vote_request>("voter_ask", bytes);
    case 2:
      return decode_with_both<rpc::vote_reply>("voter_receipt", bytes);
    case 3:
      return decode_with_both<rpc::probe_request>("probe", bytes);
    case 4:
      return decode_with_both<rpc::config_update_reply>("news_receipt", bytes);
    default:
      return decode_with_both<rpc::list_records_reply>("keys_receipt", bytes);
  }
}

}  // namespace

TEST_CASE("random, truncated and altered bytes are refused or decoded as some value, without a crash") {
  std::mt19937_64 random(11);
  int refused = 0, decoded = 0;
  for (int iteration = 0; iteration < 4000; ++iteration) {
    std::string bytes;
    if (iteration % 3 == 0) {
      bytes = random_bytes(random, 200);
    } else {
      bytes = *rpc::encode(random_request(random));
      if (iteration % 3 == 1) bytes.resize(random() % bytes.size());
      if (iteration % 3 == 2) bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    (decode_as_some_record(random(), bytes) == decode_result::decoded ? decoded : refused) += 1;
  }
  // Both must occur: most random bytes are refused, but a string with an altered character is still a string.
  REQUIRE(refused > 1000);
  REQUIRE(decoded > 10);
}

TEST_CASE("an older and a newer version are decoded: missing fields get defaults, added ones are ignored") {
  rpc::config_update_reply reply;
  reply.revision = 7;
  reply.engines = "[]";
  reply.engines_age_milliseconds = 12;
  reply.draining_engines = {"e1"};
  // The last version without these fields.
  constexpr int older = 2;
  auto bytes = *rpc::encode(reply, older);
  auto decoded = *rpc::decode<rpc::config_update_reply>(bytes, older);
  REQUIRE(decoded.revision == 7);
  REQUIRE(decoded.engines_age_milliseconds == -1);
  REQUIRE(decoded.draining_engines.empty());
  // Decoded as the current version, the bytes end too early: the sender's version must be used.
  REQUIRE_FALSE(rpc::decode<rpc::config_update_reply>(bytes));
  auto newer = *rpc::encode(reply) + "more";
  auto known = *rpc::decode<rpc::config_update_reply>(newer, rpc::protocol_version + 1);
  REQUIRE(known.draining_engines == reply.draining_engines);
  // An older version decodes the fields it knows from what this version encodes.
  auto front = *rpc::decode<rpc::config_update_reply>(*rpc::encode(reply), older);
  REQUIRE(front.revision == 7);
}

TEST_CASE("messages are decoded in both directions between this version and the previous one") {
  constexpr int older = rpc::protocol_version - 1;
  rpc::config_update_reply reply;
  reply.revision = 7;
  reply.members = "[]";
  reply.members_version = 9;
  reply.members_since = 8;
  auto bytes = *rpc::encode(reply, older);
  auto decoded = *rpc::decode<rpc::config_update_reply>(bytes, older);
  REQUIRE(decoded.members_version == 9);
  REQUIRE(decoded.members_since == 0);
  REQUIRE_FALSE(rpc::decode<rpc::config_update_reply>(bytes));
  auto whole = *rpc::encode(reply);
  auto front = *rpc::decode<rpc::config_update_reply>(whole, older);
  REQUIRE(front.members == reply.members);
}

TEST_CASE("lists of records are decoded in both directions between this version and version 4") {
  // The last version without the field `promised`.
  constexpr int older = 4;
  rpc::list_records_reply listed;
  listed.status = rpc::reply_status::ok;
  listed.keys = {"k/a"};
  listed.ballots = {{3, 1}};
  listed.promised = {{4, 1}};
  auto bytes = *rpc::encode(listed, older);
  auto decoded = *rpc::decode<rpc::list_records_reply>(bytes, older);
  REQUIRE(decoded.keys == listed.keys);
  REQUIRE(decoded.promised.empty());
  REQUIRE_FALSE(rpc::decode<rpc::list_records_reply>(bytes));
  auto whole = *rpc::encode(listed);
  auto front = *rpc::decode<rpc::list_records_reply>(whole, older);
  REQUIRE(front.ballots == listed.ballots);
}
