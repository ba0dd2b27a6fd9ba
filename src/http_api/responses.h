// Helpers shared by all HTTP servers of the project: JSON replies, rejections, health and metrics endpoints,
// and the handling of exceptions thrown by request handlers. It has no routes beyond those endpoints.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::http_api {

using json = nlohmann::json;
using writer = std::shared_ptr<runtime::http_writer>;

// The nonempty segments of a path.
std::vector<std::string> split_path(const std::string& path);
// Replies with `body` as application/json; invalid UTF-8 in strings is replaced.
void reply_json(const writer& out, int status, const json& body,
                std::map<std::string, std::string> headers = {});
// Whether a rejected request was executed, as stated to the client in the body's "ran". `no` and `yes` are
// used only when certain.
enum class executed { no, unknown, yes };
// Replies with a JSON error body. `retry_seconds`: sent as Retry-After and in the body; 0: not sent. `extra`:
// further fields of the body.
void reject(const writer& out, int status, const std::string& reason, executed ran, int retry_seconds = 0,
            json extra = json::object());
// Replies 200 with `text` of the content type `type`.
void reply_text(const writer& out, const std::string& type, const std::string& text);
// Answers GET requests for /healthz, /readyz and /metrics and returns true; returns false for all others.
// `detail`: further fields of the body of /readyz.
bool serve_common_endpoints(const runtime::inbound_request& incoming, const writer& out,
                            const logging::logger& logger, bool ready, json detail = json::object());
// Runs a request's handler. An exception that it throws is reported by `report_failure` and answered with
// 500; the process continues.
runtime::task<> serve_guarded(runtime::task<> work, writer out, logging::logger logger);
// Logs that the handler of a request has thrown and counts it in herontally_request_failures_total. `what`:
// the exception's message.
void report_failure(const logging::logger& logger, const std::string& what);
// The token of an "Authorization: Bearer" header; empty if there is none.
std::string bearer_token(const runtime::inbound_request& incoming);

}  // namespace herontally::http_api
