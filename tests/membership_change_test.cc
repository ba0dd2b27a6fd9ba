// Reconfiguration of a group of voters while machines are lost: joint views that are replaced or given up,
// growing and shrinking, and ballots that were prepared under an earlier view.
#include <algorithm>

#include "reconfiguration/group_catch_up.h"
#include "replica_group_fixture.h"

using namespace herontally;
using namespace herontally::tests;
using runtime::millisecond;

namespace {

consensus::mutator set_to(const std::string& value) {
  return [value](const std::optional<std::string>&) { return std::optional<std::string>(value); };
}

// Writes the group's view to its register, as the core group does.
void record_current_view(group& site, consensus::proposer writer) {
  consensus::view first = writer.current_view();
  auto write_first = [first](const std::optional<std::string>&) {
    return std::optional<std::string>(consensus::to_text(first));
  };
  site.run("w", writer.change(reconfiguration::view_register_key("store"), write_first,
                              site.deadline("w", 3 * second)));
}

void write_keys(group& site, consensus::proposer writer, int count) {
  for (int each = 0; each < count; ++each)
    site.run("w", writer.change("k" + std::to_string(each), set_to("v" + std::to_string(each)),
                                site.deadline("w", 3 * second)));
}

consensus::view begin(group& site, consensus::proposer writer, std::vector<std::string> wanted) {
  auto begun = site.run("w", reconfiguration::begin_move(writer, writer, site.places(wanted), 0,
                                                         site.deadline("w", 5 * second)));
  REQUIRE(std::holds_alternative<consensus::view>(begun));
  return std::get<consensus::view>(begun);
}

std::set<std::string> subset_of(const std::vector<consensus::voter_info>& set, unsigned mask) {
  std::set<std::string> chosen;
  for (std::size_t each = 0; each < set.size(); ++each)
    if (mask & (1u << each)) chosen.insert(set[each].id);
  return chosen;
}

bool is_majority(const std::vector<consensus::voter_info>& set, const std::set<std::string>& chosen) {
  return consensus::has_majority(set, [&](const std::string& id) { return chosen.count(id) > 0; });
}

// The definition, by enumeration: whichever majority of the previous voters accepted a value, a majority of
// the new voters holds it.
bool copies_suffice_by_enumeration(const consensus::view& joint, const std::set<std::string>& caught_up) {
  for (unsigned accepted = 0; accepted < (1u << joint.previous_voters.size()); ++accepted) {
    auto holders = subset_of(joint.previous_voters, accepted);
    if (!is_majority(joint.previous_voters, holders)) continue;
    holders.insert(caught_up.begin(), caught_up.end());
    std::set<std::string> holding_voters;
    for (auto& voter : joint.voters)
      if (holders.count(voter.id)) holding_voters.insert(voter.id);
    if (!is_majority(joint.voters, holding_voters)) return false;
  }
  return true;
}

}  // namespace

TEST_CASE("copies suffice exactly when a majority of the new voters holds each value accepted before") {
  std::vector<consensus::voter_info> machines;
  for (int each = 0; each < 7; ++each) machines.push_back({"v" + std::to_string(each), "", "", ""});
  int ends = 0, waits = 0;
  for (std::size_t before : {1u, 3u, 5u}) {
    for (std::size_t after : {1u, 3u, 5u}) {
      for (std::size_t offset = 0; offset + after <= machines.size(); ++offset) {
        consensus::view joint;
        joint.previous_voters.assign(machines.begin(),
                                     machines.begin() + static_cast<std::ptrdiff_t>(before));
        auto from = machines.begin() + static_cast<std::ptrdiff_t>(offset);
        joint.voters.assign(from, from + static_cast<std::ptrdiff_t>(after));
        for (unsigned mask = 0; mask < (1u << after); ++mask) {
          auto caught_up = subset_of(joint.voters, mask);
          bool suffices = reconfiguration::copies_suffice(joint, caught_up);
          (suffices ? ends : waits) += 1;
          REQUIRE(suffices == copies_suffice_by_enumeration(joint, caught_up));
        }
      }
    }
  }
  CHECK(ends > 50);
  CHECK(waits > 50);
}

TEST_CASE("a joint view whose joining voter is lost can be changed to another voter or given up") {
  for (bool back : {false, true}) {
    group site(21, 5);
    auto writer = site.begin();
    record_current_view(site, writer);
    write_keys(site, writer, 20);
    auto first = writer.current_view();
    auto joint = begin(site, writer, {"s1", "s2", "s4"});
    REQUIRE(joint.joint());
    REQUIRE(site.run("w", reconfiguration::install_chosen(writer, joint, site.deadline("w", 3 * second))));
    site.run("w", writer.change("k1", set_to("joint"), site.deadline("w", 3 * second)));
    // The joining voter is gone for good, before it fetched anything.
    site.world.kill("s4", simulator::disk_loss::all, true);
    REQUIRE_FALSE(
        site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 3 * second))));
    auto amended = begin(site, writer, {"s1", "s2", back ? "s3" : "s5"});
    REQUIRE(amended.joint() == !back);
    REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 5 * second))));
    REQUIRE_FALSE(writer.current_view().joint());
    REQUIRE(writer.current_view().includes(site.voters[back ? "s3" : "s5"]->id()));
    // A second loss right after the move loses no record.
    site.world.kill("s1", simulator::disk_loss::all, true);
    for (int each = 0; each < 20; ++each) {
      auto now = site.run("w", writer.read("k" + std::to_string(each), site.deadline("w", 5 * second)));
      REQUIRE(now.value == (each == 1 ? "joint" : "v" + std::to_string(each)));
    }
  }
}

TEST_CASE("a group grows from three voters to five and then survives the loss of two") {
  group site(22, 5);
  auto writer = site.begin();
  record_current_view(site, writer);
  write_keys(site, writer, 20);
  begin(site, writer, {"s1", "s2", "s3", "s4", "s5"});
  REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 5 * second))));
  REQUIRE(writer.current_view().voters.size() == 5);
  site.world.kill("s1", simulator::disk_loss::all, true);
  site.world.kill("s2", simulator::disk_loss::all, true);
  for (int each = 0; each < 20; ++each) {
    auto now = site.run("w", writer.read("k" + std::to_string(each), site.deadline("w", 5 * second)));
    REQUIRE(now.value == "v" + std::to_string(each));
  }
}

TEST_CASE("a group shrinks from five to three with every record at a majority of the three") {
  group site(23, 5);
  auto writer = site.begin();
  record_current_view(site, writer);
  begin(site, writer, {"s1", "s2", "s3", "s4", "s5"});
  REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 5 * second))));
  // s1 stays and misses the values that the leaving voters accept.
  site.world.cut("w", "s1");
  write_keys(site, writer, 20);
  site.world.heal("w", "s1");
  begin(site, writer, {"s1", "s2", "s3"});
  REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 5 * second))));
  REQUIRE(writer.current_view().voters.size() == 3);
  site.world.kill("s2", simulator::disk_loss::all, true);
  for (int each = 0; each < 20; ++each) {
    auto now = site.run("w", writer.read("k" + std::to_string(each), site.deadline("w", 5 * second)));
    REQUIRE(now.value == "v" + std::to_string(each));
  }
}

TEST_CASE("a move under a superseded epoch is refused") {
  group site(24, 5);
  auto writer = site.begin();
  record_current_view(site, writer);
  auto wanted = site.places({"s1", "s2", "s4"});
  auto newer =
      site.run("w", reconfiguration::begin_move(writer, writer, wanted, 7, site.deadline("w", 5 * second)));
  REQUIRE(std::holds_alternative<consensus::view>(newer));
  auto other = site.places({"s1", "s2", "s5"});
  auto older =
      site.run("w", reconfiguration::begin_move(writer, writer, other, 6, site.deadline("w", 5 * second)));
  REQUIRE(std::get<reconfiguration::move_error>(older) == reconfiguration::move_error::superseded);
}

TEST_CASE("a ballot that was prepared before a move and accepted by one voter doesn't outrank later values") {
  group site(25, 4);
  auto writer = site.begin();
  record_current_view(site, writer);
  site.run("w", writer.change("k", set_to("first"), site.deadline("w", 3 * second)));
  // A writer whose clock is far ahead prepares at s2 and s3; its accept reaches s2 alone.
  auto view_number = writer.current_view().number;
  auto send = [&](rpc::vote_phase phase, const std::string& voter) {
    rpc::vote_request request;
    request.phase = phase;
    request.voter = site.voters[voter]->id();
    request.view = view_number;
    request.key = "k";
    request.ballot = {std::int64_t{1} << 60, 99};
    request.value = "ahead";
    auto answer = site.run("w", writer.endpoint().call(group::address(voter), request, second));
    return std::get<rpc::vote_reply>(answer).status;
  };
  REQUIRE(send(rpc::vote_phase::prepare, "s2") == rpc::reply_status::ok);
  REQUIRE(send(rpc::vote_phase::prepare, "s3") == rpc::reply_status::ok);
  REQUIRE(send(rpc::vote_phase::accept, "s2") == rpc::reply_status::ok);
  // s3, which holds the promise, is replaced while s2 is out of reach.
  site.world.cut("w", "s2");
  for (auto name : {"s1", "s3", "s4"}) site.world.cut(name, "s2");
  begin(site, writer, {"s1", "s2", "s4"});
  REQUIRE(site.run("w", reconfiguration::finish_move(writer, writer, site.deadline("w", 5 * second))));
  auto written = site.run("w", writer.change("k", set_to("second"), site.deadline("w", 5 * second)));
  REQUIRE(written.status == consensus::change_status::committed);
  site.world.heal_all();
  site.world.run_for(5 * second);
  site.world.kill("s1", simulator::disk_loss::none);
  auto now = site.run("w", writer.read("k", site.deadline("w", 5 * second)));
  REQUIRE(now.value == "second");
}
