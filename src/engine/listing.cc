#include "engine/listing.h"

namespace herontally::engine {

// More pages than this mean that the page tokens form a cycle.
constexpr int max_pages = 200;

runtime::task<std::optional<listing>> fetch_listing(runtime::handle runtime, std::string address,
                                                    std::shared_ptr<const platform_protocol::adapter> adapter,
                                                    runtime::microseconds timeout) {
  listing found;
  std::string page;
  auto deadline = runtime.now() + timeout;
  while (found.pages < max_pages) {
    auto left = deadline - runtime.now();
    if (left <= 0) co_return std::nullopt;
    runtime::http_request request;
    request.path = adapter->list_path(page);
    // The list is polled repeatedly, and a new connection would cost more than the request itself.
    request.pooled = true;
    auto result = co_await runtime::http_fetch(runtime, address, request, left);
    auto* response = std::get_if<runtime::http_response>(&result);
    if (!response || response->status != 200) co_return std::nullopt;
    auto read = adapter->read_list(response->body);
    if (!read) co_return std::nullopt;
    ++found.pages;
    for (auto& engine : read->engines) found.engines.push_back(std::move(engine));
    if (read->next.empty()) co_return found;
    page = read->next;
  }
  co_return std::nullopt;
}

std::string to_json_text(const std::vector<platform_protocol::listed_engine>& engines) {
  return nlohmann::json(engines).dump();
}

}  // namespace herontally::engine
