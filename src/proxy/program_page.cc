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
  auto record = co_await shared->conversations.read(partner, program, shared->runtime.now() + ledger_timeout);
  if (!record) {
    http_api::reject(out, 503, "the ledger can't be reached by a majority", executed::no, 1);
    co_return;
  }
  json endings = json::array();
  for (auto& turn : record->endings)
    endings.push_back({{"turn", turn.turn}, {"how", turn.outcome}, {"tokens", turn.tokens}});
  http_api::reply_json(out, 200,
                       {{"partner", partner},
                        {"program", program},
                        {"budget_tokens", budget},
                        {"spent_tokens", record->spent},
                        {"turns", record->length},
                        {"digest", record->digest},
                        {"keep_until_us", record->keep_until},
                        {"turn_open", !record->open.empty()},
                        {"endings", endings}});
}

}  // namespace herontally::proxy
