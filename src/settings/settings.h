// Where a process stands: its addresses, zone and seeds, from a settings file and flags, checked at start.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace herontally::settings {

struct operator_token {
  std::string token, partner;  // "*" may change every section
};

struct settings {
  std::string name, zone;
  std::string inner, http;         // ip:port
  std::vector<std::string> seeds;  // inner addresses of three other processes
  std::string data;                // folder; empty for programs that keep nothing
  std::string agent;               // proxy: its agent's inner address
  std::string platform;            // control_node, agent: the platform's HTTP address
  std::string log_level = "INFO";
  std::vector<operator_token> operators;
  std::int64_t disk_megabytes = 256;
  std::int64_t notice_milliseconds = 3000;
  std::int64_t queue = 64, requests = 512;
  // Where an adapter serves the product on a platform of the users'; empty without one.
  std::string region;
  std::string ingress;    // proxy: clients' requests by the routing table
  std::string readiness;  // proxy: the platform asks here whether new connections may come
  std::string control;    // control_node: the operator's calls, in the platform's form
  bool founding = false;  // the first start of the whole system, on empty disks: groups may be founded
  double list_rate = 4;   // calls a second that the platform's list takes from all nodes together
  std::int64_t drain_milliseconds = 3000;  // requests to a leaving engine must have stopped by then
  std::int64_t memory_megabytes = 0;       // 0: no bound of ours
  // What may be lost at once with every guarantee kept; groups of voters are sized and spread for it.
  std::int64_t machine_losses = 1, zone_losses = 1;
  // How far the requests of a tenant may exceed its quota within a window.
  std::int64_t quota_window_milliseconds = 5000;
  double max_quota_excess = 0.1, max_quota_slack = 20;  // part of what is granted in a window; requests
  // How long an operation key names the same operation.
  std::int64_t operation_key_milliseconds = 60000;
  int speaks = 0;  // version of the inner protocol; 0: the newest. Set by simulated sites alone
};

// One line that names the field at fault.
struct fault {
  std::string field, what;
};

std::variant<settings, fault> from_json(const nlohmann::json& document, const std::string& role);
// The file named by --settings, with the flags laid over it. Ends the process with code 2 on a fault.
settings from_command_line(int count, char** words, const std::string& role, const std::string& purpose);

// Flags of the tools: parsed by Abseil's reflection, so that our own exit codes and wording hold.
// Returns the words that are not flags.
std::vector<std::string> parse_flags(int count, char** words, const std::string& usage);
[[noreturn]] void end_with(const std::string& program, const fault& found);
bool is_address(const std::string& text);

}  // namespace herontally::settings
