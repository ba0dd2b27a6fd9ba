#include "http_api/responses.h"

#include <sstream>

namespace herontally::http_api {

std::vector<std::string> split_path(const std::string& path) {
  std::vector<std::string> parts;
  std::stringstream stream(path);
  std::string part;
  while (std::getline(stream, part, '/'))
    if (!part.empty()) parts.push_back(part);
  return parts;
}

void reply_json(const writer& out, int status, const json& body, std::map<std::string, std::string> headers) {
  headers["Content-Type"] = "application/json";
  out->reply({status, std::move(headers), body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"});
}

static const char* wire_name(executed ran) {
  switch (ran) {
    case executed::no:
      return "no";
    case executed::unknown:
      return "unknown";
    case executed::yes:
      return "yes";
  }
  return "unknown";
}

void reject(const writer& out, int status, const std::string& reason, executed ran, int retry_seconds,
            json extra) {
  extra["error"] = reason;
  extra["ran"] = wire_name(ran);
  std::map<std::string, std::string> headers;
  if (retry_seconds > 0) {
    headers["Retry-After"] = std::to_string(retry_seconds);
    extra["retry_after_seconds"] = retry_seconds;
  }
  reply_json(out, status, extra, std::move(headers));
}

void reply_text(const writer& out, const std::string& type, const std::string& text) {
  out->reply({200, {{"Content-Type", type}}, text});
}

bool serve_common_endpoints(const runtime::inbound_request& incoming, const writer& out,
                            const logging::logger& logger, bool ready, json detail) {
  if (incoming.method != "GET") return false;
  if (incoming.path == "/healthz") {
    reply_json(out, 200, {{"status", "alive"}});
    return true;
  }
  if (incoming.path == "/readyz") {
    detail["ready"] = ready;
    reply_json(out, ready ? 200 : 503, detail);
    return true;
  }
  if (incoming.path == "/metrics") {
    reply_text(out, "text/plain; version=0.0.4", logger.metrics());
    return true;
  }
  return false;
}

void report_failure(const logging::logger& logger, const std::string& what) {
  logger.count("herontally_request_failures_total");
  logger.error("the work of a request has thrown", {{"what", what}});
}

runtime::task<> serve_guarded(runtime::task<> work, writer out, logging::logger logger) {
  auto failure = co_await runtime::failure_of(std::move(work));
  if (!failure) co_return;
  report_failure(logger, *failure);
  reject(out, 500, "internal error", executed::unknown);
}

std::string bearer_token(const runtime::inbound_request& incoming) {
  auto found = incoming.headers.find("authorization");
  if (found == incoming.headers.end() || found->second.rfind("Bearer ", 0) != 0) return "";
  return found->second.substr(7);
}

}  // namespace herontally::http_api
