// Internal to hcore.
#pragma once
#include "desired/state.h"
#include "dialect/dialect.h"
#include "duty/duty.h"
#include "gateway/http.h"
#include "hcore/node.h"
#include "hcore/voter_plan.h"
#include "membership/member_list.h"
#include "news/board.h"
#include "reconfiguration/view_install.h"
#include "replication/voter.h"

namespace herontally::hcore {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Epoch and sequence of an engine list.
using list_version = std::pair<std::int64_t, std::int64_t>;
constexpr microseconds push_timeout = 300 * millisecond;
// Stands before a node's name where a plan has no identity of its voter yet.
constexpr const char* unidentified_prefix = "?";

// How a change of the desired state ended.
struct change_report {
  enum class ending { in_force, chosen, stale, faulty, forbidden, conflict, unreachable, unknown };
  ending end = ending::unreachable;
  desired::record now;
  std::vector<desired::fault> faults;
  std::string why;
};
// Given the current record, the next document, or what stands against it.
struct edit_verdict {
  std::optional<json> document;
  change_report::ending against = change_report::ending::stale;
  std::vector<desired::fault> faults;
  std::string why;
};
using edit = std::function<edit_verdict(const desired::record&)>;

// Storage machines by name, as the holder of the voters' duty saw them under this epoch.
struct storage_list {
  std::int64_t epoch = 0;
  std::set<std::string> known, live;
  bool operator==(const storage_list&) const = default;
  NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(storage_list, epoch, known, live)
};

// Whether an order's caller has given it up.
using caller_check = std::function<bool()>;

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  settings::settings place;
  logging::logger logger;
  std::shared_ptr<const dialect::dialect> surroundings;  // how the platform speaks; nothing: as we do
  rpc::endpoint endpoint;
  membership::member_list known;
  replication::voter voter;
  consensus::proposer catalog, stores;
  news::board board;
  duty::duty platform_duty, voters_duty, calendar_duty;
  duty::gate gate;
  microseconds confirmed = -1;  // start of the last majority read of the desired state
  bool ready = false, leaving = false;
  std::map<std::string, std::int64_t> in_force;  // by edge
  std::map<std::string, microseconds> gone_since;
  storage_list storage_published;
  microseconds last_heartbeat = 0, standstill_ended = -second;
  std::map<std::string, voter_shortfall> shortfalls;  // last reported, by group
  std::int64_t joint_revision = 0;  // the change of edges that was seen widely in force, and since when
  microseconds joint_since = 0;
  std::vector<rpc::trace_event> trace;
  std::vector<runtime::slot<bool>> force_waits;
  std::string last_engines;
  std::int64_t engines_sequence = 0;
  // By a core's name and life: the epoch and sequence of the engine list that it took from us last.
  std::map<std::string, list_version> lists_told;
  microseconds began = 0, storage_changed = 0;
  std::size_t storage_seen = 0;
  bool core_written = false, stores_founded = false;

  state(runtime::handle handle, settings::settings given, logging::logger lines,
        std::shared_ptr<const dialect::dialect> speech);
  std::optional<desired::record> current() const;
  void note(std::int64_t revision, const std::string& what, const std::string& way);
  void learn(const std::string& text, const std::string& way);
  bool widely_in_force(const desired::record& content) const;

  task<> confirm_forever();
  task<change_report> change(edit wanted, bool document_change);
  task<change_report> change_edges(std::function<bool(desired::record&)> move);
  task<> tell_chosen(desired::record content);
  task<bool> await_force(desired::record content, microseconds deadline);
  task<> keep_edges();
  task<> poll_platform();
  task<> poll_listing();
  task<> push_engines(std::string text);
  task<> push_one(rpc::member receiver, list_version version, std::string text);
  task<> found_core();
  task<> write_core_view();
  std::optional<std::vector<consensus::voter_info>> founders() const;
  task<std::vector<consensus::voter_info>> storage_founders();
  task<std::vector<consensus::voter_info>> identify_founders(std::vector<consensus::voter_info> places);
  task<bool> found_stores();
  task<> finish_founding();
  task<> control_request(runtime::inbound_request request, gateway::writer out);
  task<dialect::reply_terms> execute(dialect::command asked, caller_check abandoned);
  caller_check caller_gone(gateway::writer out);
  bool stood_still() const;
  task<> watch_standstill();
  task<> publish_storage();
  task<std::optional<storage_list>> agreed_storage(microseconds deadline);
  task<dialect::reply_terms> command_change(
      std::function<std::optional<desired::record>(const desired::record&, dialect::reply_terms&)> wanted);
  task<dialect::reply_terms> change_routing(dialect::change_command asked);
  task<dialect::reply_terms> read_routing();
  task<dialect::reply_terms> evacuate(dialect::evacuation_command asked, caller_check abandoned);
  task<dialect::reply_terms> retire(dialect::retire_command asked, caller_check abandoned);
  task<dialect::reply_terms> retire_status(dialect::retire_status_command asked);
  loss_budget budget() const;
  task<voter_observation> observe_voter(consensus::voter_info place, std::string group, bool retiring);
  task<std::vector<voter_observation>> observe_voters(consensus::view agreed, rpc::node_role role);
  std::vector<consensus::voter_info> possible_spares(const std::vector<voter_observation>& observed,
                                                     rpc::node_role role) const;
  task<bool> identify_chosen(consensus::proposer group, std::vector<consensus::voter_info>* wanted,
                             std::vector<consensus::voter_info>* spares, consensus::view agreed);
  task<std::optional<std::vector<consensus::voter_info>>> plan_group(consensus::proposer group,
                                                                     consensus::view agreed,
                                                                     rpc::node_role role);
  task<> dismiss(consensus::proposer group, consensus::voter_info place, consensus::view agreed);
  void report_shortfall(const consensus::view& agreed);
  task<> review_group(consensus::proposer group, std::string name, rpc::node_role role);
  task<> keep_group(consensus::proposer group, std::string name, rpc::node_role role);
  task<> keep_founding();
  task<> keep_calendars();
  void serve_inner();
  task<> serve_request(runtime::inbound_request request, gateway::writer out);
  task<> desired_request(runtime::inbound_request request, gateway::writer out);
  task<> zone_request(runtime::inbound_request request, gateway::writer out, std::string zone);
  task<> storage_request(runtime::inbound_request request, gateway::writer out, std::string node);
  task<> bootstrap_request(runtime::inbound_request request, gateway::writer out);
  std::optional<std::string> partner_of(const runtime::inbound_request& request) const;
  std::vector<desired::fault> stands_against(const json& before, const json& next) const;
  edit_verdict judge(const desired::record& current, json next, const std::string& partner) const;
  void report(const gateway::writer& out, const change_report& result) const;
};

}  // namespace herontally::hcore
