// What every HTTP server of ours answers alike: JSON bodies, rejections, health and metrics pages.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::http_api {

using json = nlohmann::json;
using writer = std::shared_ptr<runtime::http_writer>;

std::vector<std::string> split_path(const std::string& path);
void reply_json(const writer& out, int status, const json& body,
                std::map<std::string, std::string> headers = {});
// Whether a rejected request was carried out: a promise to the client, so `no` and `yes` are said only when
// certain.
enum class executed { no, unknown, yes };
// Rejects a request at once, and says when to come back (0: not said). `extra` is added to the body.
void reject(const writer& out, int status, const std::string& reason, executed ran, int retry_seconds = 0,
            json extra = json::object());
void reply_text(const writer& out, const std::string& type, const std::string& text);
// Answers /healthz, /readyz and /metrics; true when it did.
bool common_pages(const runtime::inbound_request& incoming, const writer& out, const logging::logger& logger,
                  bool ready, json detail = json::object());
// Serves a request: what its work throws becomes the client's 500, a line in the log and a count
// (`herontally_request_failures_total`), and the process goes on.
runtime::task<> serve_guarded(runtime::task<> work, writer out, logging::logger logger);
// Records that the work of a request, of whatever kind, has thrown.
void report_failure(const logging::logger& logger, const std::string& what);
std::string bearer(const runtime::inbound_request& incoming);

}  // namespace herontally::http_api
