// Traces one configuration revision: asks all nodes when they learned it and when it came into force, and
// prints the delays. It changes nothing. Times of different nodes are comparable only as far as their clocks
// agree.
#include <absl/flags/flag.h>
#include <stdio.h>

#include "membership/member_list.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, seeds, "", "comma-separated inner addresses of any nodes");
ABSL_FLAG(std::int64_t, revision, 0, "revision to trace; 0: the newest that a core knows");
ABSL_FLAG(bool, json, false, "print JSON");

using namespace herontally;
using json = nlohmann::json;
using runtime::millisecond;
using runtime::task;

static const char* usage_text =
    "config_trace: traces one change of the configuration through all nodes\n\n"
    "Usage: config_trace --seeds IP:PORT[,IP:PORT...] [--revision N] [--json]\n\n"
    "Prints when the change was chosen, when and from which source each node learned it, when each proxy\n"
    "had it in force, and which nodes lag.\n\n"
    "Exit codes: 0 every node has it, 1 a node lags or does not answer, 2 bad usage, 3 no node reached\n\n"
    "Example:\n  config_trace --seeds 127.0.0.1:7101 --revision 12\n";

// A node and its answer to the trace request.
struct node_trace {
  rpc::member member;
  bool answered = false;
  rpc::trace_reply reply;
};

// When the node first reported an event for this or a later revision, in microseconds of its wall clock; 0:
// never. Stores the event's source in `source` unless that is null.
static std::int64_t first_event_time(const node_trace& node, std::int64_t revision, const char* event_name,
                                     std::string* source) {
  std::int64_t earliest = 0;
  for (auto& event : node.reply.events) {
    bool matches = event.revision >= revision && event.event == event_name;
    // A later revision that the node learned first includes this one.
    if (matches && (earliest == 0 || event.wall < earliest)) {
      earliest = event.wall;
      if (source)
        *source = event.source +
                  (event.revision > revision ? " (with " + std::to_string(event.revision) + ")" : "");
    }
  }
  return earliest;
}

// When the revision was chosen and acknowledged, by the nodes' wall clocks in microseconds; 0: unknown.
struct change_times {
  std::int64_t chosen = 0, acknowledged = 0;
  double milliseconds_after(std::int64_t wall) const { return static_cast<double>(wall - chosen) / 1000; }
};

static change_times times_of(const std::vector<node_trace>& nodes, std::int64_t revision) {
  change_times times;
  for (auto& node : nodes)
    for (auto& event : node.reply.events) {
      if (event.revision != revision) continue;
      // If the core that chose the revision no longer has the event, the first core that learned it counts
      // instead.
      bool marks_choice =
          event.event == "chosen" || (event.event == "learned" && node.member.role == rpc::node_role::core);
      if (marks_choice && (times.chosen == 0 || event.wall < times.chosen)) times.chosen = event.wall;
      if (event.event == "acknowledged") times.acknowledged = event.wall;
    }
  return times;
}

// One node's row of the output; without "way" the node lags.
static json row_of(const node_trace& node, std::int64_t revision, const change_times& times) {
  std::string source;
  bool is_proxy = node.member.role == rpc::node_role::proxy;
  auto learned = first_event_time(node, revision, is_proxy ? "in force" : "learned", &source);
  auto in_force = first_event_time(node, revision, "in force", nullptr);
  json row{{"node", node.member.name},
           {"role", node.member.role},
           {"zone", node.member.zone},
           {"answered", node.answered}};
  if (learned && times.chosen) row["learned_ms"] = times.milliseconds_after(learned);
  if (learned) row["way"] = source;
  if (in_force && times.chosen && node.member.role != rpc::node_role::core)
    row["in_force_ms"] = times.milliseconds_after(in_force);
  return row;
}

static void print_row(const json& row) {
  auto milliseconds = [&](const char* field) {
    char text[32] = "-";
    if (row.contains(field)) snprintf(text, sizeof text, "%.1f", row[field].get<double>());
    return std::string(text);
  };
  printf("%-16s %-7s %-12s %12s %12s  %s\n", row["node"].get<std::string>().c_str(),
         row["role"].get<std::string>().c_str(), row["zone"].get<std::string>().c_str(),
         milliseconds("learned_ms").c_str(), milliseconds("in_force_ms").c_str(),
         row.value("way", "lags").c_str());
}

static void print_table(const json& out, std::int64_t revision, const change_times& times) {
  printf("revision %lld%s\n", static_cast<long long>(revision),
         times.chosen ? "" : " (the time when it was chosen is unknown)");
  if (times.acknowledged)
    printf("acknowledged %.1f ms after it was chosen\n", times.milliseconds_after(times.acknowledged));
  printf("%-16s %-7s %-12s %12s %12s  %s\n", "node", "role", "zone", "learned ms", "in force ms", "way");
  for (auto& row : out["nodes"]) print_row(row);
}

// Prints the result as a table or JSON. Returns the program's exit code: 1 if a node lags.
static int print_trace(const std::vector<node_trace>& nodes, std::int64_t revision, bool as_json) {
  auto times = times_of(nodes, revision);
  json out{{"revision", revision},
           {"chosen_us", times.chosen},
           {"nodes", json::array()},
           {"lagging", json::array()}};
  if (times.acknowledged) out["acknowledged_ms"] = times.milliseconds_after(times.acknowledged);
  for (auto& node : nodes) {
    auto role = node.member.role;
    bool receives_configuration =
        role == rpc::node_role::core || role == rpc::node_role::agent || role == rpc::node_role::proxy;
    if (!receives_configuration) continue;
    auto row = row_of(node, revision, times);
    if (!row.contains("way")) out["lagging"].push_back(node.member.name);
    out["nodes"].push_back(row);
  }
  if (as_json)
    printf("%s\n", out.dump(2).c_str());
  else
    print_table(out, revision, times);
  return out["lagging"].empty() ? 0 : 1;
}

// Reads the member list from the first seed that answers and asks each member for its events. Returns the
// exit code.
static task<int> trace(runtime::handle runtime, std::vector<std::string> seeds, std::int64_t revision,
                       bool as_json) {
  rpc::endpoint endpoint(runtime, "config_trace", logging::logger("config_trace"));
  std::vector<node_trace> nodes;
  for (auto& seed : seeds) {
    rpc::probe_request request{"", true, {}};
    auto result = co_await endpoint.call(seed, std::move(request), 800 * millisecond);
    auto* reply = std::get_if<rpc::probe_reply>(&result);
    if (!reply) continue;
    for (auto& member : reply->updates)
      if (member.is_live()) nodes.push_back({member, false, {}});
    if (!nodes.empty()) break;
  }
  if (nodes.empty()) {
    fprintf(stderr, "config_trace: --seeds names no node that answers\n");
    co_return 3;
  }
  std::vector<std::string> proxies;
  for (auto& node : nodes) {
    rpc::trace_request request{0};
    std::string address = node.member.role == rpc::node_role::proxy ? node.member.http : node.member.inner;
    auto result = co_await endpoint.call(address, request, 800 * millisecond);
    auto* reply = std::get_if<rpc::trace_reply>(&result);
    node.answered = reply != nullptr;
    if (reply) node.reply = *reply;
    if (!reply) continue;
    for (auto& event : reply->events) {
      bool from_core =
          reply->role == rpc::node_role::core && (event.event == "chosen" || event.event == "learned");
      if (from_core && revision < event.revision && absl::GetFlag(FLAGS_revision) == 0)
        revision = event.revision;
    }
  }
  co_return print_trace(nodes, revision, as_json);
}

int main(int argument_count, char** arguments) {
  auto positional = settings::parse_flags(argument_count, arguments, usage_text);
  if (!positional.empty()) settings::exit_with_fault("config_trace", {positional[0], "is not expected"});
  std::vector<std::string> seeds;
  std::string text = absl::GetFlag(FLAGS_seeds);
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    seeds.push_back(text.substr(begin, end - begin));
    if (!settings::is_address(seeds.back()))
      settings::exit_with_fault("config_trace", {"--seeds", "must be a comma-separated list of ip:port"});
    begin = end + 1;
  }
  if (seeds.empty()) settings::exit_with_fault("config_trace", {"--seeds", "is missing"});
  logging::start("config_trace", "ERROR");
  runtime::event_loop loop("");
  int code = 0;
  auto run_trace = [](runtime::event_loop* owner, std::vector<std::string> seeds, int* result) -> task<> {
    *result =
        co_await trace(owner->runtime(), seeds, absl::GetFlag(FLAGS_revision), absl::GetFlag(FLAGS_json));
    owner->stop();
  };
  loop.runtime().spawn(run_trace(&loop, seeds, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
