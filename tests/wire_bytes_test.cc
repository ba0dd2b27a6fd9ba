// What travels between nodes, and to and from the platform, stays byte for byte what the builds before wrote:
// one message of every kind with every field set, and every JSON document, against files that an earlier
// build made.
//
// `tests "[.write-wire-data]"` writes the files anew. That is right only for a kind that is added.
#include <catch2/catch.hpp>
#include <fstream>

#include "configuration/record.h"
#include "consensus/view.h"
#include "control_node/storage_directory.h"
#include "engine/listing.h"
#include "generic_codec.h"
#include "ledger/call_ledger.h"
#include "ledger/conversation_record.h"
#include "ledger/operation_ledger.h"
#include "ledger/program_record.h"
#include "platform/adapter.h"
#include "rpc/endpoint.h"
#include "rpc/quota_messages.h"

using namespace herontally;

namespace {

using json = nlohmann::json;
using named_bytes = std::map<std::string, std::string>;

const std::string data_folder = TEST_DATA "/wire/";

std::string hex(const std::string& bytes) {
  static const char digits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : bytes) out += {digits[byte >> 4], digits[byte & 15]};
  return out;
}

named_bytes read_lines(const std::string& file) {
  named_bytes lines;
  std::ifstream in(data_folder + file);
  for (std::string name, text; in >> name && in.ignore(1) && std::getline(in, text);) lines[name] = text;
  return lines;
}

void write_lines(const std::string& file, const named_bytes& lines) {
  std::ofstream out(data_folder + file);
  for (auto& [name, text] : lines) out << name << ' ' << text << '\n';
}

const std::string bytes_of_all_values = std::string("\0\1\x7f\x80\xff\n", 6);

// Earlier versions lack fields: what they send is read with the schema's defaults, by both codecs.
template <class Message>
void check_versions(const std::string& kind, const Message& message) {
  for (int version = 1; version <= rpc::protocol_version; ++version) {
    INFO("version " << version);
    auto encoded = rpc::encode_record(kind.c_str(), message, version);
    REQUIRE(encoded);
    REQUIRE(*encoded == std::get<std::string>(tests::encode_generic(kind, message, version)));
    auto decoded = rpc::decode_record<Message>(kind.c_str(), *encoded, version);
    REQUIRE(decoded);
    REQUIRE(json(*decoded) == std::get<json>(tests::decode_generic(kind, *encoded, version)));
  }
}

// Encodes a message, and reads it back into its own type.
template <class Message>
void add(named_bytes& out, const std::string& kind, const Message& message) {
  json fields = message;
  INFO(kind);
  auto encoded = rpc::encode_record(kind.c_str(), message);
  REQUIRE(encoded);
  auto decoded = rpc::decode_record<Message>(kind.c_str(), *encoded);
  REQUIRE(decoded);
  REQUIRE(json(*decoded) == fields);
  check_versions(kind, message);
  out[kind] = hex(*encoded);
}

template <class Message>
void add(named_bytes& out, const Message& message) {
  add(out, Message::kind, message);
}

rpc::member a_member(const std::string& name, rpc::member_status status) {
  return {name, rpc::node_role::store, "zone-a", "10.0.0.1:7000", "10.0.0.1:8000", 17, status, 3};
}

void add_voting(named_bytes& out) {
  rpc::ballot low{3, 5}, high{8, 9};
  add(out, "ballot", low);
  add(out,
      rpc::vote_request{rpc::vote_phase::accept, "voter-1", 4, "key", low, bytes_of_all_values, true, true});
  add(out,
      rpc::vote_reply{rpc::reply_status::ballot_outdated, high, low, bytes_of_all_values, "{\"view\":1}"});
  add(out, rpc::put_content_request{"voter-1", "digest", bytes_of_all_values, true, 4});
  add(out, rpc::put_content_reply{rpc::reply_status::ok});
  add(out, rpc::read_chain_request{"voter-1", "digest", 12, 4});
  add(out, rpc::read_chain_reply{{bytes_of_all_values, "second"}, rpc::reply_status::ok});
  add(out, rpc::list_records_request{"voter-1", "k/after", 1000, 7, 4});
  add(out, rpc::list_records_reply{rpc::reply_status::ok, {"k/a", "c/b"}, {low, high}, true, {high, low}});
  add(out, rpc::read_records_request{"voter-1", 4, {"k/a", "c/b"}});
  add(out, rpc::read_records_reply{rpc::reply_status::ok, {bytes_of_all_values, ""}});
  add(out, rpc::catch_up_request{"voter-1", 4});
  add(out, rpc::catch_up_reply{rpc::reply_status::failed, {"k/a"}});
  add(out, rpc::checksums_request{"voter-1"});
  add(out, rpc::checksums_reply{rpc::reply_status::ok, {1, -2, 1ll << 60}});
  add(out, rpc::identify_request{"store"});
  add(out, rpc::identify_reply{"voter-1", "{\"view\":1}", false});
  add(out, rpc::founding_claim_request{"core"});
  add(out, rpc::founding_claim_reply{{"10.0.0.1:7000", "10.0.0.2:7000"}});
  add(out, rpc::install_view_request{"voter-1", "{\"view\":1}"});
  add(out, rpc::install_view_reply{rpc::reply_status::unknown_voter});
  add(out, rpc::repair_record_request{"voter-1", 4, "key", low, bytes_of_all_values});
  add(out, rpc::repair_record_reply{rpc::reply_status::view_mismatch});
}

void add_control(named_bytes& out) {
  add(out, rpc::config_update_request{"agent-1", 5, 4, 3, 2, 250, 17, 6, "10.0.0.1:9000", true});
  add(out, rpc::config_update_reply{5,
                                    "{\"revision\":5}",
                                    120,
                                    3,
                                    2,
                                    6,
                                    "[]",
                                    "[{}]",
                                    40,
                                    {"engine-1", "engine-2"},
                                    "{\"agent-2\":9}",
                                    4});
  add(out, rpc::config_applied_request{"agent-1", 5});
  add(out, rpc::config_applied_reply{rpc::reply_status::ok});
  add(out, rpc::config_committed_request{5, "{\"revision\":5}"});
  add(out, rpc::config_committed_reply{5});
  add(out, "member", a_member("store-1", rpc::member_status::suspect));
  add(out, rpc::probe_request{"10.0.0.2:7000", true, {a_member("store-1", rpc::member_status::alive)}, 99});
  add(out, rpc::probe_reply{
               false,
               {a_member("store-2", rpc::member_status::dead), a_member("store-3", rpc::member_status::left)},
               98});
  add(out, rpc::engine_list_request{3, 2, "[]"});
  add(out, rpc::engine_list_reply{rpc::reply_status::content_missing, 4});
  add(out, rpc::trace_request{5});
  add(out, "trace_event", rpc::trace_event{5, "learned", "core", 1234});
  add(out, rpc::trace_reply{
               "core-1", rpc::node_role::core, {{5, "learned", "core", 1234}, {6, "chosen", "register", 1}}});
  rpc::envelope cover{5, "voter_ask", "core-1", bytes_of_all_values};
  add(out, "envelope", cover);
}

void add_quotas(named_bytes& out) {
  rpc::tenant_count count{"tenant-1", "proxy-1", 11, 40, 3, 9, 12};
  add(out, "tenant_count", count);
  add(out, rpc::quota_request{"proxy-1", {count}, 22, {7}});
  add(out, rpc::quota_reply{{count, count}, 22, 8, {-1500}});
}

named_bytes messages() {
  named_bytes out;
  add_voting(out);
  add_control(out);
  add_quotas(out);
  return out;
}

// A configuration of the operator's with every field that the platform's pages name.
const char* sent_configuration =
    R"({"generation":7,"routing":[{"label":"talk","authority":"a.example","path_prefix":"/talk/","category":)"
    R"("streaming","deadline_ms":1000,"target_ms":400,"urgency":2,"tries":3,"gap_target_ms":70,"retained":true,)"
    R"("retain_s":60.5,"affine":true,"resumable":true,"mix":[{"backend":"chat","share":0.25},{"backend":"big",)"
    R"("share":0.75}]},{"label":"print","authority":"b.example","path_prefix":"/print/","category":"mutating",)"
    R"("deadline_ms":2000,"backend":"big"},{"label":"look","authority":"b.example","path_prefix":"/look/",)"
    R"("category":"idempotent","deadline_ms":900,"backend":"chat"}],"backends":[{"label":"chat","probe":"/health",)"
    R"("max_conns":9,"warmup_s":4.5,"warmup_per_s":2.5,"engine":{"capacity":8,"cache_tokens":9000,"chunk":4,)"
    R"("catalog":[{"label":"m1"},{"label":"m2"}]}},{"label":"big"}],"caps":{"header_bytes":100,"body_bytes":200,)"
    R"("header_ms":300,"idle_ms":400}})";

const char* listed_page =
    R"({"servers":[{"id":"i-1","backend":"chat","endpoint":"10.1.0.1:80","zone":"z1","generation":"w2",)"
    R"("capacity":4,"warmup_left_ms":900,"phase":"draining"}],"next_token":"a b/c"})";

ledger::conversation_record a_conversation() {
  ledger::conversation_record content;
  content.epoch = 4;
  content.generation = 2;
  content.spent = 90;
  content.length = 3;
  content.keep_until = 1700000000000000;
  content.digest = "d3";
  content.open = {{"turn-4", "request-4", "proxy-1", 17, 60, 1700000001000000}};
  content.endings = {{"turn-3", ledger::turn_outcome::done, "d3", "request-3", 30},
                     {"turn-2", ledger::turn_outcome::aborted, "", "request-2", 5}};
  content.refused_turns = {"turn-9", "turn-8"};
  content.refused_archive = "page-1";
  return content;
}

void add_stored_documents(named_bytes& out) {
  consensus::voter_info first{"voter-1", "10.0.0.1:7000", "store-1", "zone-a"};
  consensus::voter_info second{"voter-2", "10.0.0.2:7000", "store-2", "zone-b"};
  out["view"] = consensus::to_text({"store", 4, {first, second}, {first}, 9});
  out["members"] = json(std::vector{a_member("store-1", rpc::member_status::alive),
                                    a_member("store-2", rpc::member_status::dead)})
                       .dump();
  out["storage_list"] = json(control_node::storage_list{4, {"store-1", "store-2"}, {"store-1"}}).dump();
  out["ledger_head"] = ledger::to_text(a_conversation());
  out["told_page"] = ledger::to_text(ledger::refused_page{"page-0", {"turn-7", "turn-6"}});
  out["turn_content"] = ledger::to_text(
      ledger::turn_content{"d2", "p", "chat", "turn-3", "prompt", "output", 2, {1, 2}, {3, 4}});
  out["call_receipt"] = ledger::to_text(ledger::call_record{
      ledger::call_state::done, "request-1", "body", "engine-1", "text/plain", "answer", 2, 200, 11, 12});
  out["program_head"] =
      ledger::to_text(ledger::program_record{7, 1700000000000000, {{"turn %", 9}}, {"t1", "t2"}});
  out["turn_record"] =
      hex(ledger::to_text(ledger::turn_record{"id 1", "id 0", "in", bytes_of_all_values, 12}));
  ledger::operation_record operation{
      ledger::operation_state::answered, "attempt/1", "chat", true, 13, 14, 200,
      {{"x-server-seal", "seal"}},       "ok"};
  operation.body = bytes_of_all_values;
  out["operation_record"] = hex(ledger::to_text(operation));
  out["operation_key"] = ledger::operation_record_key("4:shop/key");
  out["turn_key"] = ledger::turn_key("a b%c") + " " + ledger::program_key("a\"b");
  out["keys"] = ledger::conversation_key("p", "chat:1") + " " + ledger::call_record_key("p", "label", "key");
  configuration::record record;
  record.revision = 6;
  record.version = 5;
  record.document = {{"shared", {{"evacuated_zones", {"z1"}}}}, {"partners", json::object()}};
  record.edges = {"agent-1"};
  record.previous_edges = {"agent-1", "agent-2"};
  record.change_ids = {"core-1-abc"};
  out["desired_empty"] = configuration::to_text(configuration::empty_record());
  out["desired_record"] = configuration::to_text(record);
  record.operator_source = sent_configuration;
  record.applied_changes = {{"digest-1", 5}};
  auto read = platform::make_adapter()->read_configuration(std::nullopt, {0, false, sent_configuration});
  record.routing = std::get<platform_protocol::configuration>(read).table;
  out["desired_routing_record"] = configuration::to_text(record);
  out["desired_fault"] = json(configuration::violation{"/shared", "is wrong"}).dump();
}

std::string reply_text(const runtime::http_response& reply) {
  return std::to_string(reply.status) + " " + json(reply.headers).dump() + " " + reply.body;
}

void add_platform_documents(named_bytes& out) {
  auto adapter = platform::make_adapter();
  auto page = adapter->read_list(listed_page);
  REQUIRE(page);
  out["engine_listing"] = engine::to_json_text(page->engines);
  out["list_path"] = adapter->list_path("") + " " + adapter->list_path(page->next) + " " +
                     adapter->report_path + " " + adapter->ready_path + " " + adapter->echo_header;
  using platform_protocol::command_status;
  platform_protocol::command change = platform_protocol::change_command{},
                             read = platform_protocol::read_command{},
                             zone = platform_protocol::evacuate_command{},
                             status = platform_protocol::retire_status_command{};
  std::map<std::string, platform_protocol::command> commands{
      {"change", change}, {"read", read}, {"zone", zone}, {"status", status}};
  std::map<std::string, command_status> results{{"done", command_status::done},
                                                {"rolling", command_status::rolling},
                                                {"stale", command_status::stale},
                                                {"invalid", command_status::invalid},
                                                {"unknown_name", command_status::unknown_name},
                                                {"under_way", command_status::under_way},
                                                {"too_few", command_status::too_few},
                                                {"unreachable", command_status::unreachable},
                                                {"unclear", command_status::unclear}};
  for (auto& [asked, command] : commands)
    for (auto& [end, value] : results) {
      platform_protocol::command_reply terms{
          value, sent_configuration, {{"/routing/0/tries", "is no number"}}, 7};
      out["reply_" + asked + "_" + end] = reply_text(adapter->write_reply(command, terms));
    }
  std::map<std::string, std::string> headers{{"x-time-left-ms", "900"}, {"x-attempt-id", "a"}};
  adapter->address_request(headers, "i-1", 350, 12);
  adapter->set_retry_after(headers, 1250);
  out["request_headers"] = json(headers).dump();
}

named_bytes documents() {
  named_bytes out;
  add_stored_documents(out);
  add_platform_documents(out);
  return out;
}

void check_same(const named_bytes& now, const named_bytes& before) {
  REQUIRE(!before.empty());
  CHECK(now.size() == before.size());
  for (auto& [name, bytes] : before) {
    INFO(name);
    auto found = now.find(name);
    REQUIRE(found != now.end());
    CHECK(found->second == bytes);
  }
}

}  // namespace

TEST_CASE("messages of the inner protocol have the bytes that earlier builds wrote") {
  check_same(messages(), read_lines("messages.txt"));
}

TEST_CASE("stored and exchanged documents have the text that earlier builds wrote") {
  check_same(documents(), read_lines("documents.txt"));
}

TEST_CASE("texts of records are read and written again without a change") {
  auto texts = read_lines("documents.txt");
  auto same = [&](const std::string& name, const std::string& again) {
    INFO(name);
    CHECK(again == texts.at(name));
  };
  same("view", consensus::to_text(consensus::view_from_text(texts.at("view"))));
  same("members", json(json::parse(texts.at("members")).get<std::vector<rpc::member>>()).dump());
  same("storage_list", json(json::parse(texts.at("storage_list")).get<control_node::storage_list>()).dump());
  same("ledger_head", ledger::to_text(ledger::conversation_from_text(texts.at("ledger_head"))));
  same("told_page", ledger::to_text(*ledger::refused_page_from_text(texts.at("told_page"))));
  same("turn_content", ledger::to_text(*ledger::turn_content_from_text(texts.at("turn_content"))));
  same("call_receipt", ledger::to_text(*ledger::call_record_from_text(texts.at("call_receipt"))));
  same("program_head", ledger::to_text(*ledger::program_record_from_text(texts.at("program_head"))));
  same("desired_record",
       configuration::to_text(*configuration::record_from_text(texts.at("desired_record"))));
  auto record = *configuration::record_from_text(texts.at("desired_routing_record"));
  same("desired_routing_record", configuration::to_text(record));
  CHECK(json(record.routing.get<routing::table>()) == record.routing);
}

TEST_CASE("write the files of messages and documents", "[.write-wire-data]") {
  write_lines("messages.txt", messages());
  write_lines("documents.txt", documents());
}
