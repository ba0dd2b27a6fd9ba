// Small helpers for every HTTP side: paths, JSON receipts, drops.
#pragma once
#include "logging/logging.h"
#include "runtime/runtime.h"

namespace herontally::gateway {

using json = nlohmann::json;
using writer = std::shared_ptr<runtime::http_writer>;

std::vector<std::string> split_path(const std::string& path);
void reply_json(const writer& out, int status, const json& body,
                std::map<std::string, std::string> headers = {});
// A drop is answered at once and says whether the request may have run, and when to come back.
void drop(const writer& out, int status, const std::string& reason, const std::string& ran,
          int retry_seconds = 0, json extra = json::object());
void reply_text(const writer& out, const std::string& type, const std::string& text);
// Answers /healthz, /readyz and /metrics; true when it did.
bool common_pages(const runtime::inbound_request& incoming, const writer& out, const logging::logger& logger,
                  bool ready, json detail = json::object());
std::string bearer(const runtime::inbound_request& incoming);

}  // namespace herontally::gateway
