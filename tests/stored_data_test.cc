// Folders that an earlier build wrote are opened, read whole and gone on with by this one: a group of stores
// under a joint view with every kind of record and logs that aren't compacted yet, and a whole control site.
//
// `tests "[.write-stored-data]"` writes the folders anew. That is right only when a kind of record is added.
#include <filesystem>
#include <fstream>
#include <sstream>

#include "control_site_fixture.h"
#include "ledger/call_ledger.h"
#include "ledger/conversation_ledger.h"
#include "ledger/program_record.h"
#include "replica_group_fixture.h"

using namespace herontally;
using tests::control_site;
using tests::group;

namespace {

using json = nlohmann::json;
using runtime::second;

const std::filesystem::path data_folder = TEST_DATA "/stored";
const std::vector<std::string> store_names{"s1", "s2", "s3", "s4"};
const std::vector<std::string> site_names{"c1", "c2", "c3", "s1", "s2", "s3"};
const std::string binary = std::string("\0\1\xff\n in", 7);

std::string read_file(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

void write_disk(const simulator::sim_disk& disk, const std::filesystem::path& folder) {
  std::filesystem::create_directories(folder);
  for (auto& [name, file] : disk.files) {
    auto path = folder / std::filesystem::path(name).filename();
    // An empty file is one that isn't there: git keeps none of either.
    if (!file.current.empty()) std::ofstream(path, std::ios::binary) << file.current;
  }
}

void load_disk(simulator::sim_disk& disk, const std::filesystem::path& folder) {
  for (auto& entry : std::filesystem::directory_iterator(folder)) {
    auto bytes = read_file(entry.path());
    disk.files[entry.path().filename().string()] = {bytes, bytes, true};
  }
}

// Everything that a voter holds, by record.
std::map<std::string, std::string> all_records(const replication::voter& voter) {
  std::map<std::string, std::string> found;
  for (auto& record : voter.records().records_with_prefix("")) {
    std::string key = record.size() > 2 ? record.substr(2) : "";
    std::optional<std::string> value;
    if (record[0] == 'k') value = voter.accepted_value(key);
    if (record[0] == 'c') value = voter.content(key);
    found[record] = value.value_or("");
  }
  return found;
}

std::string hex(const std::string& bytes) {
  static const char digits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char byte : bytes) out += {digits[byte >> 4], digits[byte & 15]};
  return out;
}

json summary_of(const replication::voter& voter) {
  json records = json::object();
  for (auto& [record, value] : all_records(voter)) records[record] = hex(value);
  return {{"id", voter.id()}, {"view", consensus::to_text(voter.current_view())}, {"records", records}};
}

ledger::reservation_request wish_of(const std::string& program, const std::string& turn,
                                    const std::string& request, const std::string& owner,
                                    std::int64_t budget) {
  return {"p", program, turn, request, owner, 1, budget, 60, 3600 * second};
}

ledger::turn_content content_of(const std::string& turn) {
  ledger::turn_content content;
  content.partner = "p";
  content.program = "chat";
  content.turn = turn;
  content.prompt = "prompt of " + turn;
  content.output = "output of " + turn;
  content.prompt_tokens = {1, 2, 3};
  content.output_tokens = {4, 5};
  return content;
}

consensus::mutator put_text(std::string text) {
  return [text](const std::optional<std::string>&) { return std::optional<std::string>(text); };
}

// What the tests below find again.
struct ledger_writer {
  group& site;
  consensus::proposer writer;
  bool owner_gone = false;
  ledger::conversation_ledger conversations{
      writer, [this](const std::string& owner, std::int64_t) { return owner == "a" && owner_gone; }};
  ledger::call_ledger calls{writer};
  ledger::program_ledger programs{writer};

  auto deadline() { return site.deadline("w", 5 * second); }
  ledger::reservation_result open(const ledger::reservation_request& wish) {
    return site.run("w", conversations.reserve(wish, deadline()));
  }

  void write_turns() {
    auto first = wish_of("chat", "t0", "v0", "a", 1000);
    auto granted = open(first);
    REQUIRE(site.run("w", conversations.commit_turn(first, granted.now.epoch, content_of("t0"), 20, 3600,
                                                    deadline())) == ledger::settlement_status::settled);
    open(wish_of("chat", "t1", "v1", "a", 1000));
    owner_gone = true;
    auto cut = wish_of("chat", "t2", "v2", "b", 1000);
    granted = open(cut);
    REQUIRE(site.run("w", conversations.abort_turn(cut, granted.now.epoch, 7, deadline())) ==
            ledger::settlement_status::settled);
    REQUIRE(open(wish_of("chat", "t3", "v3", "b", 1000)).status == ledger::reservation_status::granted);
    for (int turn = 0; turn < 70; ++turn) {
      auto name = "t" + std::to_string(turn);
      REQUIRE(open(wish_of("poor", name, "v" + name, "b", 0)).status ==
              ledger::reservation_status::budget_spent);
    }
    ledger::conversation_record later;
    later.generation = 2;
    later.spent = 5;
    auto text = json::parse(ledger::to_text(later));
    text["field_of_a_later_version"] = 7;
    site.run("w", writer.change(ledger::conversation_key("p", "later"), put_text(text.dump()), deadline()));
    site.run("w", writer.change(ledger::conversation_key("p", "unreadable"), put_text("{\"epoch\":\"x\"}"),
                                deadline()));
  }
  ledger::call_record begin_call(const std::string& key) {
    ledger::call_record started{
        ledger::call_state::started, "v" + key, "digest", "engine-1", "", "", 0, 0, 11, 0};
    auto begun = site.run("w", calls.begin(ledger::call_record_key("p", "label", key), started, deadline()));
    REQUIRE(begun.status == ledger::call_status::begun);
    return begun.record;
  }
  void end_call(const std::string& key, ledger::call_record last) {
    REQUIRE(
        site.run("w", calls.finish(ledger::call_record_key("p", "label", key), std::move(last), deadline())));
  }
  void write_calls() {
    begin_call("running");
    auto done = begin_call("done");
    done.state = ledger::call_state::done;
    done.status = 200;
    done.content_type = "text/plain";
    done.answer = "printed";
    done.keep_until = 1ll << 60;
    end_call("done", done);
    auto never = begin_call("never");
    never.state = ledger::call_state::not_run;
    end_call("never", never);
    auto gone = begin_call("gone");
    gone.state = ledger::call_state::expired;
    end_call("gone", gone);
  }
  void write_programs() {
    REQUIRE(site.run("w", programs.reserve("tree", "x1", 100, 40, deadline())) ==
            ledger::program_reservation::granted);
    REQUIRE(site.run("w", programs.settle("tree", "x1", 33, deadline())) ==
            ledger::program_settlement::settled);
    REQUIRE(site.run("w", programs.reserve("tree", "x 2", 100, 40, deadline())) ==
            ledger::program_reservation::granted);
    REQUIRE(site.run("w", programs.reserve("tree", "x3", 100, 40, deadline())) ==
            ledger::program_reservation::granted);
    REQUIRE(site.run("w", programs.reserve("tree", "x4", 100, 40, deadline())) ==
            ledger::program_reservation::budget_spent);
    std::string previous;
    for (auto* id : {"k1", "k 2", "k3"}) {
      ledger::turn_record record{id, previous, binary, std::string(90, 'o') + id, 1ll << 60};
      REQUIRE(site.run("w", programs.keep_turn(record, deadline())));
      previous = id;
    }
  }
};

// s4 is to take the place of s3; the joint view is installed, and nothing is fetched yet.
void begin_joint_view(group& site, consensus::proposer writer) {
  auto begun = site.run("w", reconfiguration::begin_move(writer, writer, site.places({"s1", "s2", "s4"}), 3,
                                                         site.deadline("w", 5 * second)));
  REQUIRE(std::holds_alternative<consensus::view>(begun));
  REQUIRE(site.run("w", reconfiguration::install_chosen(writer, std::get<consensus::view>(begun),
                                                        site.deadline("w", 5 * second))));
  site.world.run_for(20 * runtime::millisecond);
}

void write_group() {
  group site(71, 4);
  auto writer = site.begin();
  // The group keeps its own view, as the core does.
  site.run("w", writer.change(reconfiguration::view_register_key("store"),
                              put_text(consensus::to_text(writer.current_view())),
                              site.deadline("w", 5 * second)));
  ledger_writer ledger{site, writer};
  ledger.write_turns();
  ledger.write_calls();
  ledger.write_programs();
  begin_joint_view(site, writer);
  json expected;
  for (auto& name : store_names) {
    write_disk(site.world.find(name).disk, data_folder / "group" / name);
    expected[name] = summary_of(*site.voters[name]);
  }
  std::ofstream(data_folder / "group.json") << expected.dump(1) << '\n';
}

void write_site() {
  control_site site(72);
  site.boot_all();
  REQUIRE(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  json change{{"generation", 9}, {"caps", {{"idle_ms", 900}}}};
  REQUIRE(site.status("c2", "POST", "/-/config/amend", change.dump(), "5") == 200);
  REQUIRE(site.status("c3", "POST", "/-/evacuation/z1/begin") == 200);
  site.world.run_for(8 * second);
  std::ofstream(data_folder / "site.json") << site.ask("c1", "GET", "/-/config/read").body;
  for (auto& name : site_names) write_disk(site.world.find(name).disk, data_folder / "site" / name);
}

struct stored_group : group {
  stored_group() : group(81, 0) {
    for (auto& name : store_names) {
      world.machine(name, "z");
      load_disk(world.find(name).disk, data_folder / "group" / name);
      boot(name);
    }
  }
};

}  // namespace

TEST_CASE("stored data of earlier builds: every record of a group of stores is read as it was written") {
  auto expected = json::parse(read_file(data_folder / "group.json"));
  // Each alone, so that nothing that is read here came from a peer.
  for (auto& name : store_names) {
    INFO(name);
    group site(80, 0);
    site.world.machine(name, "z");
    load_disk(site.world.find(name).disk, data_folder / "group" / name);
    site.boot(name);
    auto& wanted = expected[name];
    CHECK(site.voters[name]->id() == wanted["id"]);
    CHECK(consensus::to_text(site.voters[name]->current_view()) == wanted["view"]);
    CHECK(summary_of(*site.voters[name])["records"] == wanted["records"]);
  }
  auto joint = consensus::view_from_text(expected["s1"]["view"].get<std::string>());
  CHECK(joint.joint());
  CHECK(joint.number == 2);
  CHECK(joint.epoch == 3);
  CHECK(expected["s1"]["records"].size() == 17);
}

TEST_CASE("stored data of earlier builds: the ledger answers as before, and the move is finished") {
  stored_group site;
  auto writer = site.writer("w");
  ledger_writer ledger{site, writer};
  // What was refused for a spent budget stays refused, also from a page of its own.
  for (auto* turn : {"t0", "t33", "t69"})
    CHECK(ledger.open(wish_of("poor", turn, "new", "b", 1000)).status ==
          ledger::reservation_status::budget_spent);
  auto ended = ledger.open(wish_of("chat", "t0", "new", "b", 1000));
  // The open grant of t3 is another owner's that still lives.
  CHECK(ended.status == ledger::reservation_status::busy);
  auto head = site.run("w", ledger.conversations.read("p", "chat", ledger.deadline()));
  REQUIRE(head);
  CHECK(head->spent == 20 + 60 + 7);
  CHECK(head->open.size() == 1);
  CHECK(head->endings.size() == 3);
  auto chain = site.run("w", ledger.conversations.read_chain(*head, ledger.deadline()));
  REQUIRE(chain);
  REQUIRE(chain->size() == 1);
  CHECK((*chain)[0].output == "output of t0");
  CHECK_FALSE(site.run("w", ledger.conversations.read("p", "unreadable", ledger.deadline())));
  auto later = site.run("w", ledger.conversations.read("p", "later", ledger.deadline()));
  REQUIRE(later);
  CHECK(later->generation == 2);
  CHECK(json::parse(ledger::to_text(*later))["field_of_a_later_version"] == 7);
  for (auto* state : {"running", "done", "never", "gone"}) {
    auto found =
        site.run("w", ledger.calls.read(ledger::call_record_key("p", "label", state), ledger.deadline()));
    REQUIRE(found.record);
    std::map<std::string, std::string> states{
        {"running", "started"}, {"done", "done"}, {"never", "not-run"}, {"gone", "gone"}};
    CHECK(json::parse(ledger::to_text(*found.record))["state"] == states[state]);
  }
  CHECK(site.run("w", ledger.programs.reserve("tree", "x5", 100, 40, ledger.deadline())) ==
        ledger::program_reservation::budget_spent);
  CHECK(site.run("w", ledger.programs.reserve("tree", "x5", 114, 40, ledger.deadline())) ==
        ledger::program_reservation::granted);
  auto turns = site.run("w", ledger.programs.read_chain("k3", ledger.deadline()));
  REQUIRE(turns.turns.size() == 3);
  CHECK(turns.turns[1].id == "k 2");
  CHECK(turns.turns[2].input == binary);
  CHECK(turns.turns[2].output == std::string(90, 'o') + "k3");
  REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 20 * second))));
  CHECK(writer.current_view().number == 3);
  CHECK(site.voters["s4"]->records().record_count() >= site.voters["s1"]->records().record_count());
}

TEST_CASE("stored data of earlier builds: the cores serve the configuration and take the next one") {
  control_site site(82);
  for (auto& name : site_names) {
    site.world.machine(name, "z" + name.substr(1));
    load_disk(site.world.find(name).disk, data_folder / "site" / name);
    if (name[0] == 'c')
      site.boot_core(name, false);
    else
      site.boot_store(name);
  }
  REQUIRE(site.status("c1", "GET", "/-/config/read") == 200);
  auto body = read_file(data_folder / "site.json");
  CHECK(json::parse(body)["generation"] == 9);
  for (auto* core : {"c1", "c2", "c3"}) CHECK(site.ask(core, "GET", "/-/config/read").body == body);
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(5), "0") == 200);
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(10), "8") == 412);
  CHECK(site.status("c1", "POST", "/-/config/replace", site.table(10), "9") == 200);
  CHECK(site.status("c1", "POST", "/-/evacuation/z1/finish") == 200);
  site.world.run_for(8 * second);
  CHECK(site.ask("c3", "GET", "/-/config/read").body == site.table(10));
  CHECK(site.logged("core group founded") == 0);
  CHECK(site.logged("storage group founded") == 0);
}

TEST_CASE("write the folders of stored data", "[.write-stored-data]") {
  write_group();
  write_site();
}
