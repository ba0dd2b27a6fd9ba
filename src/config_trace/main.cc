// Follows one change of the configuration through all nodes.
#include <absl/flags/flag.h>
#include <stdio.h>

#include "membership/member_list.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, seeds, "", "inner addresses of any processes, with commas between");
ABSL_FLAG(std::int64_t, revision, 0, "which revision; 0 is the newest that a core knows");
ABSL_FLAG(bool, json, false, "print JSON");

using namespace herontally;
using json = nlohmann::json;
using runtime::millisecond;
using runtime::task;

static const char* usage_text =
    "config_trace: follows one change of the configuration through all nodes\n\n"
    "Usage: config_trace --seeds IP:PORT[,IP:PORT...] [--revision N] [--json]\n\n"
    "Prints when the change was chosen, when and by which way each node learned it, when each proxy had it\n"
    "in force, and which nodes lag. Exit codes: 0 everywhere, 1 some node lags or does not answer, 2 bad "
    "usage,\n"
    "3 nothing reached.\n\nExample:\n  config_trace --seeds 127.0.0.1:7101 --revision 12\n";

struct node_trace {
  rpc::member who;
  bool answered = false;
  rpc::trace_reply reply;
};

static std::int64_t wall_of(const node_trace& node, std::int64_t revision, const char* what,
                            std::string* way) {
  std::int64_t best = 0;
  for (auto& event : node.reply.events) {
    bool later = event.revision >= revision && event.event == what;
    // A later change that came first carried this one with it.
    if (later && (best == 0 || event.wall < best)) {
      best = event.wall;
      if (way)
        *way = event.source +
               (event.revision > revision ? " (with " + std::to_string(event.revision) + ")" : "");
    }
  }
  return best;
}

// Wall clock in microseconds; 0: unknown.
struct change_times {
  std::int64_t chosen = 0, acknowledged = 0;
  double milliseconds_after(std::int64_t wall) const { return static_cast<double>(wall - chosen) / 1000; }
};

static change_times times_of(const std::vector<node_trace>& nodes, std::int64_t revision) {
  change_times times;
  for (auto& node : nodes)
    for (auto& event : node.reply.events) {
      if (event.revision != revision) continue;
      // Should the core that chose it have forgotten, the first core's learning of it stands in.
      bool shows_choice =
          event.event == "chosen" || (event.event == "learned" && node.who.role == rpc::node_role::core);
      if (shows_choice && (times.chosen == 0 || event.wall < times.chosen)) times.chosen = event.wall;
      if (event.event == "acknowledged") times.acknowledged = event.wall;
    }
  return times;
}

static json row_of(const node_trace& node, std::int64_t revision, const change_times& times) {
  std::string way;
  bool is_proxy = node.who.role == rpc::node_role::proxy;
  auto learned = wall_of(node, revision, is_proxy ? "in force" : "learned", &way);
  auto in_force = wall_of(node, revision, "in force", nullptr);
  json row{
      {"node", node.who.name}, {"role", node.who.role}, {"zone", node.who.zone}, {"answered", node.answered}};
  if (learned && times.chosen) row["learned_ms"] = times.milliseconds_after(learned);
  if (learned) row["way"] = way;
  if (in_force && times.chosen && node.who.role != rpc::node_role::core)
    row["in_force_ms"] = times.milliseconds_after(in_force);
  return row;
}

static void print_row(const json& row) {
  auto number = [&](const char* field) {
    char text[32] = "-";
    if (row.contains(field)) snprintf(text, sizeof text, "%.1f", row[field].get<double>());
    return std::string(text);
  };
  printf("%-16s %-7s %-12s %12s %12s  %s\n", row["node"].get<std::string>().c_str(),
         row["role"].get<std::string>().c_str(), row["zone"].get<std::string>().c_str(),
         number("learned_ms").c_str(), number("in_force_ms").c_str(), row.value("way", "lags").c_str());
}

static void print_table(const json& out, std::int64_t revision, const change_times& times) {
  printf("revision %lld%s\n", static_cast<long long>(revision),
         times.chosen ? "" : " (nobody remembers when it was chosen)");
  if (times.acknowledged)
    printf("acknowledged %.1f ms after it was chosen\n", times.milliseconds_after(times.acknowledged));
  printf("%-16s %-7s %-12s %12s %12s  %s\n", "node", "role", "zone", "learned ms", "in force ms", "way");
  for (auto& row : out["nodes"]) print_row(row);
}

// Returns the program's exit code: 1 if a node lags.
static int print(const std::vector<node_trace>& nodes, std::int64_t revision, bool as_json) {
  auto times = times_of(nodes, revision);
  json out{{"revision", revision},
           {"chosen_us", times.chosen},
           {"nodes", json::array()},
           {"lagging", json::array()}};
  if (times.acknowledged) out["acknowledged_ms"] = times.milliseconds_after(times.acknowledged);
  for (auto& node : nodes) {
    auto role = node.who.role;
    bool concerned =
        role == rpc::node_role::core || role == rpc::node_role::agent || role == rpc::node_role::proxy;
    if (!concerned) continue;
    auto row = row_of(node, revision, times);
    if (!row.contains("way")) out["lagging"].push_back(node.who.name);
    out["nodes"].push_back(row);
  }
  if (as_json)
    printf("%s\n", out.dump(2).c_str());
  else
    print_table(out, revision, times);
  return out["lagging"].empty() ? 0 : 1;
}

static task<int> trace(runtime::handle runtime, std::vector<std::string> seeds, std::int64_t revision,
                       bool as_json) {
  rpc::endpoint endpoint(runtime, "config_trace", logging::logger("config_trace"));
  std::vector<node_trace> nodes;
  for (auto& seed : seeds) {
    rpc::probe_request request{"", true, {}};
    auto result = co_await endpoint.call(seed, std::move(request), 800 * millisecond);
    auto* reply = std::get_if<rpc::probe_reply>(&result);
    if (!reply) continue;
    for (auto& each : reply->updates)
      if (each.is_live()) nodes.push_back({each, false, {}});
    if (!nodes.empty()) break;
  }
  if (nodes.empty()) {
    fprintf(stderr, "config_trace: --seeds names no process that answers\n");
    co_return 3;
  }
  std::vector<std::string> proxies;
  for (auto& node : nodes) {
    rpc::trace_request request{0};
    std::string address = node.who.role == rpc::node_role::proxy ? node.who.http : node.who.inner;
    auto result = co_await endpoint.call(address, request, 800 * millisecond);
    auto* reply = std::get_if<rpc::trace_reply>(&result);
    node.answered = reply != nullptr;
    if (reply) node.reply = *reply;
    if (!reply) continue;
    for (auto& event : reply->events) {
      bool core =
          reply->role == rpc::node_role::core && (event.event == "chosen" || event.event == "learned");
      if (core && revision < event.revision && absl::GetFlag(FLAGS_revision) == 0) revision = event.revision;
    }
  }
  co_return print(nodes, revision, as_json);
}

int main(int count, char** arguments) {
  auto rest = settings::parse_flags(count, arguments, usage_text);
  if (!rest.empty()) settings::exit_with_fault("config_trace", {rest[0], "is not expected"});
  std::vector<std::string> seeds;
  std::string text = absl::GetFlag(FLAGS_seeds);
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    seeds.push_back(text.substr(begin, end - begin));
    if (!settings::is_address(seeds.back()))
      settings::exit_with_fault("config_trace", {"--seeds", "must list ip:port"});
    begin = end + 1;
  }
  if (seeds.empty()) settings::exit_with_fault("config_trace", {"--seeds", "is missing"});
  logging::start("config_trace", "ERROR");
  runtime::event_loop loop("");
  int code = 0;
  auto work = [](runtime::event_loop* owner, std::vector<std::string> seeds, int* result) -> task<> {
    *result =
        co_await trace(owner->runtime(), seeds, absl::GetFlag(FLAGS_revision), absl::GetFlag(FLAGS_json));
    owner->stop();
  };
  loop.runtime().spawn(work(&loop, seeds, &code));
  loop.run();
  loop.runtime().stop();
  return code;
}
