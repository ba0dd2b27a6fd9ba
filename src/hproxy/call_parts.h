// Internal to hproxy: what an engine's answer to a call means.
#pragma once
#include "hproxy/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hproxy {

constexpr microseconds ledger_patience = 2500 * millisecond;

struct call_outcome {
  enum class what { answered, not_run, unknown };
  what end = what::unknown;
  runtime::http_response response;
};

call_outcome judge(const runtime::http_outcome& result);
std::string type_of(const runtime::http_response& response);
void pass_on(const gateway::writer& out, int status, const std::string& type, const std::string& body,
             const char* response);

}  // namespace herontally::hproxy
