// The settings of a process (addresses, zone, seeds, limits), read from a JSON file and flags and checked at
// start, and the parsing of command lines. Nothing is reloaded while the process runs. The settings files of
// the users' own platform are read in platform/settings.cc.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace herontally::settings {

// A bearer token of the operator API, and the partner whose section of the configuration it may change.
struct operator_token {
  std::string token, partner;  // partner "*": all sections
};

// All members have their defaults unless the file or a flag sets them.
struct settings {
  std::string name, zone;
  std::string inner, http;         // ip:port for messages between nodes, and for HTTP
  std::vector<std::string> seeds;  // inner addresses of three other processes
  std::string data;                // directory; empty for programs that store nothing
  std::string agent;               // proxy: its agent's inner address
  std::string platform;            // control_node, agent: ip:port of the platform's HTTP API
  std::string log_level = "INFO";
  std::vector<operator_token> operators;
  std::int64_t disk_megabytes = 256;        // limit of the files of its stores
  std::int64_t notice_milliseconds = 3000;  // the process ends this long after a stop signal at the latest
  // proxy: turns that may wait for an engine, and requests in progress; beyond these limits it replies 429.
  std::int64_t queue = 64, requests = 512;
  // The next four are set only if an adapter connects the system to the users' own platform. The last three
  // of them are ip:port.
  std::string region;
  std::string ingress;    // proxy: serves clients' requests by the routing table
  std::string readiness;  // proxy: the platform's readiness checks, whether it takes new connections
  std::string control;    // control_node: the operator API in the platform's format
  bool may_found_groups =
      false;  // first start of the whole system, with empty disks: voter groups may be created
  // Calls per second, of all nodes together, that the platform accepts for its engine list.
  double list_rate = 4;
  std::int64_t drain_milliseconds = 3000;  // time by which requests to a draining engine must have stopped
  std::int64_t memory_megabytes = 0;       // what the process may use; 0: not limited
  std::int64_t max_descriptors = 0;        // open descriptors; 0: as many as the kernel allows
  // How many machines and how many zones may fail at once without breaking a guarantee. Groups of voters are
  // sized and spread over zones for this.
  std::int64_t machine_losses = 1, zone_losses = 1;
  // How far the requests of a tenant may exceed its quota within a window. `max_quota_excess` is a fraction
  // of what is granted in a window, `max_quota_slack` a number of requests.
  std::int64_t quota_window_milliseconds = 5000;
  double max_quota_excess = 0.1, max_quota_slack = 20;
  // How long a repeated operation key refers to the same operation.
  std::int64_t operation_key_milliseconds = 60000;
  int protocol_version =
      0;  // version of the protocol between nodes; 0: the newest. Set only by the simulator
};

// A fault in settings or in a command line: the field or flag, and text to follow its name in a message.
struct fault {
  std::string field, what;
};

// Checks all fields and returns the settings or the first fault. `role` is the program's name, which decides
// about the required fields; unknown fields are faults.
std::variant<settings, fault> from_json(const nlohmann::json& document, const std::string& role);
// Reads the file named by --settings and overrides its fields with the flags given. Called by the daemons.
// Exits the process with code 2 on a fault. `purpose` is what the help text says of the program.
settings from_command_line(int count, char** arguments, const std::string& role, const std::string& purpose);

// Parses the flags of a daemon or tool and returns the positional arguments. It uses Abseil's reflection
// instead of its parser, so that exit codes and messages are those of this project: code 2 for a wrong flag,
// and `usage` with code 0 for --help.
std::vector<std::string> parse_flags(int count, char** arguments, const std::string& usage);
// Prints the fault to standard error and exits the process with code 2.
[[noreturn]] void exit_with_fault(const std::string& program, const fault& found);
// Whether the text is an IPv4 address or an IPv6 address in brackets, with a port from 1 to 65535.
bool is_address(const std::string& text);

}  // namespace herontally::settings
