// Internal to the proxy: the read-only page of a program: its budget, spending and recent turns from the
// ledger.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

// Replies 200 with the program's ledger record as JSON, 404 for an unknown program, or 503 if the ledger
// can't be read. The partner must exist in the configuration.
task<> serve_program_page(std::shared_ptr<context> shared, http_api::writer out, std::string partner,
                          std::string program);

}  // namespace herontally::proxy
