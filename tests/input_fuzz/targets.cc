#include "targets.h"

#include <fstream>
#include <stdexcept>

#include "configuration/record.h"
#include "consensus/view.h"
#include "ledger/call_ledger.h"
#include "ledger/conversation_record.h"
#include "ledger/operation_ledger.h"
#include "ledger/program_record.h"
#include "membership/member_list.h"
#include "platform/adapter.h"
#include "router/attempt_plan.h"
#include "router/event_scanner.h"
#include "rpc/codec.h"
#include "rpc/control_messages.h"
#include "rpc/quota_messages.h"
#include "simulator/world.h"
#include "storage/log_store.h"

namespace herontally::input_fuzz {

namespace {

using runtime::second;
using violations = std::vector<routing::violation>;

const platform_protocol::adapter& adapter() {
  static const auto made = platform::make_adapter();
  return *made;
}

json route(const char* label, const char* service) {
  return {{"label", label},
          {"authority", "a.example"},
          {"path_prefix", std::string("/") + label + "/"},
          {"category", "keyed"},
          {"deadline_ms", 4000},
          {"target_ms", 200},
          {"urgency", 1},
          {"tries", 2},
          {"retained", true},
          {"retain_s", 60.0},
          {"affine", true},
          {"mix", json::array({{{"backend", service}, {"share", 9}}})}};
}

json valid_configuration(std::int64_t generation) {
  json engine{
      {"capacity", 64}, {"cache_tokens", 207117}, {"chunk", 4}, {"catalog", json::array({{{"label", "m"}}})}};
  json chat{{"label", "chat"}, {"probe", "/health"},   {"max_conns", 360},
            {"warmup_s", 3.0}, {"warmup_per_s", 22.5}, {"engine", engine}};
  json tenant{{"label", "t"},
              {"credentials", json::array({"key"})},
              {"urgency", 1},
              {"rate_per_s", 5.0},
              {"burst", 10}};
  return {
      {"generation", generation},
      {"routing", json::array({route("talk", "chat"), route("look", "chat")})},
      {"backends", json::array({chat})},
      {"principals", json::array({tenant})},
      {"caps", {{"header_bytes", 16384}, {"body_bytes", 4194304}, {"header_ms", 3000}, {"idle_ms", 15000}}}};
}

json valid_amendment(std::int64_t generation) {
  return {{"generation", generation},
          {"upsert", {{"routing", json::array({route("more", "chat")})}, {"caps", {{"idle_ms", 9000}}}}},
          {"remove", {{"routing", json::array({"look"})}, {"principals", json::array({"t"})}}},
          {"caps", {{"idle_ms", 8000}}}};
}

// Uses an accepted configuration as its operator and the other nodes do: it can be sent again, amended and
// stored.
void use_configuration(const platform_protocol::configuration& accepted) {
  auto resent = platform::make_adapter()->read_configuration(std::nullopt, {0, false, accepted.source});
  if (!std::holds_alternative<platform_protocol::configuration>(resent))
    throw std::logic_error("an accepted configuration is rejected when it is sent again");
  json amendment{{"generation", accepted.table.version + 1}};
  auto amended = adapter().read_configuration(accepted.source, {0, true, amendment.dump()});
  if (!std::holds_alternative<platform_protocol::configuration>(amended))
    throw std::logic_error("an accepted configuration can't be amended");
  auto record = configuration::next_routing(configuration::empty_record(), accepted.source, accepted.table,
                                            "digest", "change");
  auto stored = configuration::record_from_text(configuration::to_text(record));
  if (!stored || stored->operator_source != accepted.source)
    throw std::logic_error("an accepted configuration can't be read back from its stored record");
}

void parse_change(const std::optional<std::string>& current, bool partial, const std::string& body) {
  auto read = adapter().read_configuration(current, {0, partial, body});
  if (auto* accepted = std::get_if<platform_protocol::configuration>(&read))
    return use_configuration(*accepted);
  platform_protocol::command_reply reply;
  reply.status = platform_protocol::command_status::invalid;
  reply.violations = std::get<violations>(read);
  adapter().write_reply(platform_protocol::change_command{}, reply);
}

void feed_configuration(mutator& inputs) {
  parse_change(std::nullopt, false, inputs.document(valid_configuration(7)));
}

// An amendment, sometimes with a value of an unexpected type for one member of the configuration.
json drawn_amendment(mutator& inputs) {
  static const char* const members[] = {"routing", "backends", "principals", "generation", "caps", "news"};
  auto change = valid_amendment(9);
  auto* member = members[inputs.draw(std::size(members))];
  if (inputs.one_in(3)) change["upsert"][member] = inputs.unexpected_value();
  return change;
}

// Amends a current configuration that may itself be a mutated one that was accepted.
void feed_amendment(mutator& inputs) {
  auto current = valid_configuration(7).dump();
  if (inputs.one_in(3)) {
    auto other = inputs.document(valid_configuration(7));
    auto accepted = adapter().read_configuration(std::nullopt, {0, false, other});
    if (std::holds_alternative<platform_protocol::configuration>(accepted)) current = other;
  }
  parse_change(current, true, inputs.document(drawn_amendment(inputs)));
}

void feed_operator_call(mutator& inputs) {
  static const char* const paths[] = {"/-/config/replace",  "/-/config/amend",
                                      "/-/config/read",     "/-/evacuation/zone-a/begin",
                                      "/-/retire/s1/begin", "/-/retire/s1/read"};
  runtime::inbound_request request;
  request.method = inputs.one_in(2) ? "POST" : "GET";
  request.path = "/" + inputs.bytes(std::string(paths[inputs.draw(std::size(paths))]).substr(1));
  request.body = inputs.document({{"over_s", 5}});
  request.headers["x-base-version"] = inputs.unexpected_number();
  auto command = adapter().read_command(request);
  // Names are stored and written as JSON, so they must be valid UTF-8.
  if (auto* zone = std::get_if<platform_protocol::evacuate_command>(&command))
    static_cast<void>(json(zone->zone).dump());
  if (auto* node = std::get_if<platform_protocol::retire_command>(&command))
    static_cast<void>(json(node->node).dump());
  adapter().write_reply(command, {});
}

std::string engine_list_text() {
  json engine{{"backend", "chat"}, {"endpoint", "10.0.0.1:8080"}, {"zone", "zone-a"},   {"generation", "v1"},
              {"capacity", 4},     {"phase", "serving"},          {"warmup_left_ms", 0}};
  json servers = json::array();
  for (auto* id : {"i-1", "i-2", "i-3"}) {
    engine["id"] = id;
    servers.push_back(engine);
  }
  return json{{"servers", servers}, {"next_token", nullptr}}.dump();
}

void set_engine_list(router::engine_pool& pool, const platform_protocol::list_page& page) {
  pool.set_list(nlohmann::json(page.engines).dump(), second);
}

std::map<std::string, std::string> drawn_headers(mutator& inputs) {
  auto number = [&inputs] { return inputs.unexpected_number(); };
  std::string prefix = "5c1e07a2:" + number() + ",91bd3f:" + number() + "," + number() + ":,:" + number();
  std::map<std::string, std::string> headers{
      {"x-attempt-id", "a"},
      {"x-model", "m"},
      {"x-token-count", number() + "," + number()},
      {"x-time-left-ms", number()},
      {"x-program-deadline-ms", number()},
      {"x-token-budget", number()},
      {"x-prompt-prefix", inputs.one_in(2) ? prefix : inputs.bytes(prefix)},
      {"cookie", inputs.bytes("a=b; X-Affinity-Key=c")},
      {"authorization", inputs.bytes("Token key")},
      {"x-cold-ms", number()},
      {"x-operation-key", inputs.bytes("key")}};
  return headers;
}

// Routes several requests with the same headers, under the load that the earlier ones put on the engines.
void feed_request_headers(mutator& inputs) {
  auto table = std::get<platform_protocol::configuration>(
                   adapter().read_configuration(std::nullopt, {0, false, valid_configuration(7).dump()}))
                   .table;
  router::engine_pool pool;
  set_engine_list(pool, *adapter().read_list(engine_list_text()));
  auto metadata = adapter().read_request(drawn_headers(inputs));
  std::set<std::string> evacuated;
  for (int number = 0; number < 6; ++number) {
    router::planning_request subject{table.routes[0], table.services[0], metadata, {}, 1};
    router::planning_context context{table, evacuated, "zone-a", 3, router::node_group{3, 0}, second, second};
    auto planned = router::make_plan(subject, pool, context, inputs.random());
    auto* made = std::get_if<router::plan>(&planned);
    if (!made) break;
    pool.request_sent(made->engine, made->uncached_tokens, second);
    pool.prefixes().record_use(made->engine, made->parts, second);
    pool.request_answered(made->engine, adapter().read_response(200, drawn_headers(inputs)), second);
  }
}

void feed_platform_list(mutator& inputs) {
  auto page = adapter().read_list(inputs.document(json::parse(engine_list_text())));
  router::engine_pool pool;
  if (page) set_engine_list(pool, *page);
}

void feed_engine_response(mutator& inputs) {
  adapter().read_report(
      inputs.document({{"active", 1}, {"backlog", 2}, {"cache_used", 3}, {"cache_cap", 4}}));
  adapter().read_response(static_cast<int>(inputs.draw(700)), drawn_headers(inputs));
  router::event_scanner scanner(true);
  auto stream = inputs.bytes("id: 1\ndata: one\n\nid: 2\ndata: two\r\n\r\n: note\n\n");
  for (std::size_t from = 0; from < stream.size(); from += 3) scanner.feed(stream.substr(from, 3));
}

// The recorded messages or documents of an earlier build, by name.
const std::map<std::string, std::string>& recorded_data(const char* file) {
  static std::map<std::string, std::map<std::string, std::string>> read;
  auto [entry, inserted] = read.try_emplace(file);
  if (!inserted) return entry->second;
  std::ifstream in(std::string(TEST_DATA) + "/wire/" + file);
  for (std::string name, text; in >> name && in.ignore(1) && std::getline(in, text);)
    entry->second[name] = text;
  if (entry->second.empty()) throw std::runtime_error(std::string("no data in ") + file);
  return entry->second;
}

std::string from_hex(const std::string& text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2)
    bytes += static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16));
  return bytes;
}

using message_reader = std::function<void(const std::string& bytes, int version)>;
using message_readers = std::map<std::string, message_reader>;

template <class Message>
message_reader reader_of(std::string record) {
  return [record](const std::string& bytes, int version) {
    rpc::decode_record<Message>(record.c_str(), bytes, version);
  };
}

template <class... Request>
void add_readers(message_readers& readers) {
  ((readers[Request::kind] = reader_of<Request>(Request::kind)), ...);
  ((readers[Request::reply::kind] = reader_of<typename Request::reply>(Request::reply::kind)), ...);
}

const message_readers& readers() {
  static const message_readers all = [] {
    message_readers result;
    add_readers<rpc::vote_request, rpc::put_content_request, rpc::read_chain_request,
                rpc::list_records_request, rpc::read_records_request, rpc::catch_up_request,
                rpc::checksums_request, rpc::identify_request, rpc::founding_claim_request,
                rpc::install_view_request, rpc::repair_record_request, rpc::config_update_request,
                rpc::config_applied_request, rpc::config_committed_request, rpc::probe_request,
                rpc::engine_list_request, rpc::trace_request, rpc::quota_request>(result);
    result["ballot"] = reader_of<rpc::ballot>("ballot");
    result["member"] = reader_of<rpc::member>("member");
    result["trace_event"] = reader_of<rpc::trace_event>("trace_event");
    result["tenant_count"] = reader_of<rpc::tenant_count>("tenant_count");
    result["envelope"] = reader_of<rpc::envelope>("envelope");
    return result;
  }();
  return all;
}

void feed_message(mutator& inputs) {
  auto& messages = recorded_data("messages.txt");
  auto message = std::next(messages.begin(), static_cast<std::ptrdiff_t>(inputs.draw(messages.size())));
  auto body = inputs.bytes(from_hex(message->second));
  auto& reader = readers().at(message->first);
  reader(body, rpc::protocol_version - 1 + static_cast<int>(inputs.draw(3)));
  rpc::envelope envelope{rpc::protocol_version, message->first, "n", body};
  auto encoded = rpc::encode_record("envelope", envelope);
  if (encoded) rpc::decode_record<rpc::envelope>("envelope", inputs.bytes(*encoded));
}

// Texts that nodes store or send to each other inside messages.
void feed_record(mutator& inputs) {
  auto& documents = recorded_data("documents.txt");
  auto sample = std::next(documents.begin(), static_cast<std::ptrdiff_t>(inputs.draw(documents.size())));
  auto document = json::parse(sample->second, nullptr, false);
  auto text = document.is_discarded() ? inputs.bytes(sample->second) : inputs.document(document);
  configuration::record_from_text(text);
  consensus::view_from_text(text);
  membership::members_from_text(text);
  ledger::program_record_from_text(text);
  ledger::turn_record_from_text(text);
  ledger::operation_record_from_text(text);
  ledger::call_record_from_text(text);
  ledger::conversation_from_text(text);
  ledger::refused_page_from_text(text);
  ledger::turn_content_from_text(text);
}

// Recovers a store from files that were damaged while its process was down.
void feed_disk(mutator& inputs) {
  simulator::world world(inputs.draw(1000));
  world.machine("m", "z");
  storage::log_store_options options;
  options.prefix = "b";
  logging::logger logger("m", [](auto&, auto&) {});
  world.boot("m");
  storage::log_store store(world.runtime_of("m"), options, logger);
  if (store.recover()) throw std::logic_error("an empty disk can't be opened");
  std::vector<storage::change> changes;
  for (int number = 0; number < 4; ++number) changes.push_back({"k/" + std::to_string(number), "value"});
  world.runtime_of("m").spawn(
      [](storage::log_store* target, std::vector<storage::change> batch) -> runtime::task<> {
        co_await target->commit(std::move(batch), true);
      }(&store, changes));
  world.run_for(second);
  for (auto& [name, file] : world.find("m").disk.files)
    if (inputs.one_in(2)) file.current = file.synced = inputs.bytes(file.current);
  storage::log_store recovered(world.runtime_of("m"), options, logger);
  recovered.recover();
  for (auto& change : changes) recovered.read(change.key);
}

}  // namespace

const std::vector<target>& all_targets() {
  static const std::vector<target> targets{{"configuration", feed_configuration},
                                           {"amendment", feed_amendment},
                                           {"operator_call", feed_operator_call},
                                           {"request_head", feed_request_headers},
                                           {"platform_list", feed_platform_list},
                                           {"engine_answer", feed_engine_response},
                                           {"message", feed_message},
                                           {"record", feed_record},
                                           {"disk", feed_disk}};
  return targets;
}

}  // namespace herontally::input_fuzz
