// What can be asked without running anything: a back end's outcome for a key, a program's ledger.
#include "hproxy/node_state.h"

namespace herontally::hproxy {

constexpr microseconds ledger_patience = 2500 * millisecond;

// Asks the back end whether it has an outcome for the key; asking runs nothing.
task<std::optional<runtime::http_response>> node::state::ask_outcome(std::string name,
                                                                     configuration::route route,
                                                                     std::string key) {
  auto self = shared_from_this();
  if (route.outcome_path.empty()) co_return std::nullopt;
  std::string address;
  for (auto& row : self->engines.rows())
    // Asking is a request too: an engine that leaves, or whose zone is evacuated, gets none.
    if (row.name == name && row.usable() && self->fresh() && !self->desired->evacuated_zones.count(row.zone))
      address = row.address;
  if (address.empty()) co_return std::nullopt;
  runtime::http_request request;
  request.path = route.outcome_path;
  request.headers["Idempotency-Key"] = key;
  auto result = co_await runtime::http_fetch(self->runtime, address, request, second);
  auto* response = std::get_if<runtime::http_response>(&result);
  if (!response || response->status != 200) co_return std::nullopt;
  co_return *response;
}

task<> node::state::look(gateway::writer out, std::string partner, std::string program) {
  auto self = shared_from_this();
  if (!interning::is_plain_name(program) || !self->desired->partners.at(partner).find_program(program)) {
    gateway::reject(out, 404, "no such program", gateway::executed::no);
    co_return;
  }
  configuration::program settings = *self->desired->partners.at(partner).find_program(program);
  auto now = co_await self->book.look(partner, program, self->runtime.now() + ledger_patience);
  if (!now) {
    gateway::reject(out, 503, "the ledger can't be reached by a majority", gateway::executed::no, 1);
    co_return;
  }
  json endings = json::array();
  for (auto& each : now->endings)
    endings.push_back({{"turn", each.turn}, {"how", each.how}, {"tokens", each.tokens}});
  gateway::reply_json(out, 200,
                      {{"partner", partner},
                       {"program", program},
                       {"budget_tokens", settings.budget_tokens},
                       {"spent_tokens", now->spent},
                       {"turns", now->length},
                       {"digest", now->digest},
                       {"keep_until_us", now->keep_until},
                       {"turn_open", !now->open.empty()},
                       {"endings", endings}});
}

}  // namespace herontally::hproxy
