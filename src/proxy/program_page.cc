#include "proxy/program_page.h"

namespace herontally::proxy {

task<> serve_program_page(std::shared_ptr<context> shared, http_api::writer out, std::string partner,
                          std::string program) {
  const auto* settings =
      interning::is_plain_name(program) ? shared->partner(partner).find_program(program) : nullptr;
  if (!settings) {
    http_api::reject(out, 404, "no such program", executed::no);
    co_return;
  }
  auto budget = settings->budget_tokens;
  auto now = co_await shared->conversations.read(partner, program, shared->runtime.now() + ledger_timeout);
  if (!now) {
    http_api::reject(out, 503, "the ledger can't be reached by a majority", executed::no, 1);
    co_return;
  }
  json endings = json::array();
  for (auto& each : now->endings)
    endings.push_back({{"turn", each.turn}, {"how", each.outcome}, {"tokens", each.tokens}});
  http_api::reply_json(out, 200,
                       {{"partner", partner},
                        {"program", program},
                        {"budget_tokens", budget},
                        {"spent_tokens", now->spent},
                        {"turns", now->length},
                        {"digest", now->digest},
                        {"keep_until_us", now->keep_until},
                        {"turn_open", !now->open.empty()},
                        {"endings", endings}});
}

}  // namespace herontally::proxy
