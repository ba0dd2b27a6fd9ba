// The interface between the product and the platform that a deployment runs on: an adapter translates the
// platform's header names, paths and document formats to and from the types below. It holds no state and
// makes no routing or configuration decisions. This header only declares the interface; the one
// implementation is in `platform/`.
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

// One part of a prompt: an id that identifies its content, and its length in tokens.
struct prompt_part {
  std::string id;
  std::int64_t tokens = 0;
};

// The metadata that a client sends in a request's headers. Times are in milliseconds and token counts in
// tokens; -1 means that the field is absent, as an empty string does. The router reads it once per request.
struct request_metadata {
  std::string attempt, program, session, previous, model, affinity, last_event;
  std::int64_t time_left = -1, program_time_left = -1, budget = -1, prompt_tokens = 0, most_tokens = 0;
  std::vector<prompt_part> parts;
  std::string assumed_weights;
  std::string credential;     // identifies the tenant that sends the request
  std::string operation_key;  // requests of one tenant with the same key are one operation
};

// The metadata in the head of an engine's response. The router decides by it whether the response counts and
// whether the request may be sent to another engine.
struct response_metadata {
  std::string attempt, instance;
  bool not_run = false;  // the engine guarantees that it did not run the request
  bool sealed = false;   // it has the engine's seal, without which the router counts no success
  bool leaving = false;  // the engine announced that it closes the connection
  std::int64_t slow_start_milliseconds = -1;  // left of the engine's slow start; -1: absent
};

// One entry of the platform's engine list. Agents pass the list on to proxies as JSON with the keys below.
struct listed_engine {
  std::string id, service, address, zone, release;
  std::int64_t capacity = 1;                 // requests that the engine runs at once
  std::int64_t slow_start_milliseconds = 0;  // left of its slow start
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
// One page of the engine list.
struct list_page {
  std::vector<listed_engine> engines;
  std::string next;  // token of the next page; empty: this is the last page
};

// An engine's load: running and waiting requests, and the used and total size of its cache in the engine's
// own unit.
struct engine_report {
  std::int64_t running = 0, waiting = 0, memory_used = 0, memory = 0;
};

// The operator's calls, parsed. A change of the configuration: a whole one, or an amendment of the current
// one.
struct change_command {
  std::int64_t expected = -1;  // version that must be the current one; 0: none yet; -1: absent
  bool partial = false;        // `body` is an amendment
  std::string body;
};
// Reads the current configuration.
struct read_command {};
// Begins or ends the evacuation of a zone.
struct evacuate_command {
  std::string zone;
  bool begin = true;
};
// Starts to move all data off a storage node.
struct retire_command {
  std::string node;
  double seconds = 0;  // preferred duration; 0: not specified
};
// Asks how far the retirement of a storage node is.
struct retire_status_command {
  std::string node;
};
// A request that is none of these calls.
struct unknown_command {
  // The path is that of a call, but the method or a name in the path is invalid.
  bool known_path = false;
};
using command = std::variant<unknown_command, change_command, read_command, evacuate_command, retire_command,
                             retire_status_command>;

// The result of a call. The adapter maps it to an HTTP status and a body.
enum class command_status {
  done,
  rolling,       // the retirement is still in progress
  stale,         // the change is based on a version that is not the current one
  invalid,       // the call or its document is invalid; see `violations`
  unknown_name,  // no such call, node or configuration
  under_way,     // a conflicting call is still in progress
  too_few,       // too few storage nodes would be left
  unreachable,   // no quorum of cores was reached, or this core started too recently to know every node;
                 // nothing was changed
  unclear        // the change may or may not take effect; the operator has to ask again
};
// The result of a call with its details; the control node fills it in.
struct command_reply {
  command_status status = command_status::done;
  std::string document;  // the `source` of the configuration that was read
  std::vector<routing::violation> violations;
  std::int64_t version = 0;  // of the current configuration, or of the one just chosen
};

// A valid configuration. `source` is the operator's document, kept unchanged for reading it back; after an
// amendment it is the amended document. `table` is the routing table parsed from it.
struct configuration {
  std::string source;
  routing::table table;
};

// The functions and names that translate the platform's protocol. Header maps passed in have lower-case
// names. The functions keep no state and report unreadable input in their return value.
struct adapter {
  std::function<request_metadata(const std::map<std::string, std::string>& headers)> read_request;
  std::function<response_metadata(int status, const std::map<std::string, std::string>& headers)>
      read_response;
  // Removes the credential and any tenant that the client named, and sets the tenant header to `tenant`; an
  // empty `tenant` sets none.
  std::function<void(std::map<std::string, std::string>& headers, const std::string& tenant)> set_tenant;
  // Sets the headers for the engine: its id, the time left in milliseconds, and the urgency (below 0: none),
  // which does not replace one that the request has.
  std::function<void(std::map<std::string, std::string>& headers, const std::string& engine,
                     std::int64_t time_left, std::int64_t urgency)>
      address_request;
  // Sets the response header that tells a client after how many milliseconds to retry.
  std::function<void(std::map<std::string, std::string>& headers, std::int64_t milliseconds)> set_retry_after;
  // Name, in lower case, of the header with the attempt id, which an engine's response must repeat.
  std::string echo_header;
  // Path at which the platform asks whether a proxy is ready.
  std::string ready_path;

  // Path and query of a page of the engine list; an empty `page` is the first one.
  std::function<std::string(const std::string& page)> list_path;
  // Nothing if any part of the page is unreadable.
  std::function<std::optional<list_page>(const std::string& body)> read_list;
  // Path of an engine's load report.
  std::string report_path;
  // Nothing if the report is unreadable.
  std::function<std::optional<engine_report>(const std::string& body)> read_report;

  // Parses a request of the operator; `unknown_command` if it is none of the calls.
  std::function<command(const runtime::inbound_request& request)> read_command;
  // The response to `request` with the result `reply`.
  std::function<runtime::http_response(const command& request, const command_reply& reply)> write_reply;
  // Parses and checks a whole configuration, or applies an amendment to `current`, the document as it was
  // sent (nothing: there is none yet). Returns the violations if the result is invalid.
  std::function<std::variant<configuration, std::vector<routing::violation>>(
      const std::optional<std::string>& current, const change_command& change)>
      read_configuration;
};

}  // namespace herontally::platform_protocol
