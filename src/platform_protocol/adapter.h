// How the platform around a deployment is talked to: its names and formats, as functions over the product's
// own types. An adapter decides nothing. The product has none beyond its own interface; `platform/` makes
// one.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "routing/table.h"
#include "runtime/backend.h"

namespace herontally::platform_protocol {

// One part of a prompt: its identity and its length in tokens.
struct prompt_part {
  std::string id;
  std::int64_t tokens = 0;
};

// What a request says of itself. Times in milliseconds; -1: not said.
struct request_metadata {
  std::string attempt, program, session, previous, model, affinity, last_event;
  std::int64_t time_left = -1, program_time_left = -1, budget = -1, prompt_tokens = 0, most_tokens = 0;
  std::vector<prompt_part> parts;
  std::string assumed_weights;
  std::string credential;     // of the tenant that sends it
  std::string operation_key;  // requests of one tenant that bear the same one are one operation
};

// What an engine's answer says of itself.
struct response_metadata {
  std::string attempt, instance;
  bool not_run = false;                       // the engine promises that it did not run the request
  bool sealed = false;                        // it carries the engine's stamp
  bool leaving = false;                       // the engine said that it will close
  std::int64_t slow_start_milliseconds = -1;  // that are left; -1: not said
};

// An engine as the platform lists it.
struct listed_engine {
  std::string id, service, address, zone, release;
  std::int64_t capacity = 1;
  std::int64_t slow_start_milliseconds = 0;  // that are left of its slow start
  bool draining = false;

  static constexpr bool missing_keys_allowed = true;
  static constexpr auto json_fields() {
    using serialization::json_field;
    return std::make_tuple(
        json_field(&listed_engine::id, "id"), json_field(&listed_engine::service, "service"),
        json_field(&listed_engine::address, "address"), json_field(&listed_engine::zone, "zone"),
        json_field(&listed_engine::release, "release"), json_field(&listed_engine::capacity, "capacity"),
        json_field(&listed_engine::slow_start_milliseconds, "cold_ms"),
        json_field(&listed_engine::draining, "draining"));
  }
};
struct list_page {
  std::vector<listed_engine> engines;
  std::string next;  // empty: the last page
};

// What an engine reports of its load.
struct engine_report {
  std::int64_t running = 0, waiting = 0, memory_used = 0, memory = 0;
};

// The operator's calls, in the product's types.
struct change_command {
  std::int64_t expected = -1;  // the operator's version that it builds on; 0: none yet; -1: not said
  bool partial = false;
  std::string body;
};
struct read_command {};
struct evacuate_command {
  std::string zone;
  bool begin = true;
};
struct retire_command {
  std::string node;
  double seconds = 0;
};
struct retire_status_command {
  std::string node;
};
struct unknown_command {
  bool known_path = false;  // the path stands for a call, but not with this method or body
};
using command = std::variant<unknown_command, change_command, read_command, evacuate_command, retire_command,
                             retire_status_command>;

// How a call ended; the adapter puts it into a status and a body.
enum class command_status {
  done,
  rolling,
  stale,
  invalid,
  unknown_name,
  under_way,
  too_few,
  unreachable,
  unclear
};
struct command_reply {
  command_status status = command_status::done;
  std::string document;  // what was read, as it was sent
  std::vector<routing::violation> violations;
  std::int64_t version = 0;
};

// A configuration as sent, and what it means. `source` is kept as it is for reading back.
struct configuration {
  std::string source;
  routing::table table;
};

struct adapter {
  std::function<request_metadata(const std::map<std::string, std::string>& headers)> read_request;
  std::function<response_metadata(int status, const std::map<std::string, std::string>& headers)>
      read_response;
  // Takes the credential off, and names the tenant in place of what the client named; empty: none.
  std::function<void(std::map<std::string, std::string>& headers, const std::string& tenant)> set_tenant;
  // Sets the fields that the next hop needs over the request's own.
  std::function<void(std::map<std::string, std::string>& headers, const std::string& engine,
                     std::int64_t time_left, std::int64_t urgency)>
      address_request;
  // Tells a client when to retry, in milliseconds.
  std::function<void(std::map<std::string, std::string>& headers, std::int64_t milliseconds)> set_retry_after;
  // The header that an engine's answer carries back, lower case.
  std::string echo_header;
  std::string ready_path;

  std::function<std::string(const std::string& page)> list_path;
  std::function<std::optional<list_page>(const std::string& body)> read_list;
  std::string report_path;
  std::function<std::optional<engine_report>(const std::string& body)> read_report;

  std::function<command(const runtime::inbound_request& request)> read_command;
  std::function<runtime::http_response(const command& asked, const command_reply& terms)> write_reply;
  // A whole configuration, or a partial one laid over `current` (as sent); or what stands against it.
  std::function<std::variant<configuration, std::vector<routing::violation>>(
      const std::optional<std::string>& current, const change_command& change)>
      read_configuration;
};

}  // namespace herontally::platform_protocol
