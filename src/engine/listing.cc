#include "engine/listing.h"

namespace herontally::engine {

// A list that goes on beyond this many pages turns in a circle.
constexpr int most_pages = 200;

runtime::task<std::optional<listing>> fetch_listing(runtime::handle runtime, std::string address,
                                                    std::shared_ptr<const platform_protocol::adapter> adapter,
                                                    runtime::microseconds timeout) {
  listing found;
  std::string page;
  auto deadline = runtime.now() + timeout;
  while (found.pages < most_pages) {
    auto left = deadline - runtime.now();
    if (left <= 0) co_return std::nullopt;
    runtime::http_request request;
    request.path = adapter->list_path(page);
    // One caller asks again and again: a new connection for each call would cost more than the call.
    request.pooled = true;
    auto result = co_await runtime::http_fetch(runtime, address, request, left);
    auto* response = std::get_if<runtime::http_response>(&result);
    if (!response || response->status != 200) co_return std::nullopt;
    auto read = adapter->read_list(response->body);
    if (!read) co_return std::nullopt;
    ++found.pages;
    for (auto& each : read->engines) found.engines.push_back(std::move(each));
    if (read->next.empty()) co_return found;
    page = read->next;
  }
  co_return std::nullopt;
}

std::string to_json_text(const std::vector<platform_protocol::listed_engine>& engines) {
  return nlohmann::json(engines).dump();
}

}  // namespace herontally::engine
