// Internal to the proxy: a program's ledger as a page, which runs nothing.
#pragma once
#include "proxy/context.h"

namespace herontally::proxy {

task<> serve_program_page(std::shared_ptr<context> shared, http_api::writer out, std::string partner,
                          std::string program);

}  // namespace herontally::proxy
