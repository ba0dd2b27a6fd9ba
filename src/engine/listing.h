// Fetches the platform's complete list of engines, page by page, in the format of the platform adapter.
#pragma once
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"

namespace herontally::engine {

// A complete list of engines.
struct listing {
  std::vector<platform_protocol::listed_engine> engines;
  int pages = 0;  // requests that it took
};
// Fetches all pages within `timeout`, over pooled connections. Nullopt if any page fails or can't be parsed:
// a partial list would leave out live engines.
runtime::task<std::optional<listing>> fetch_listing(runtime::handle runtime, std::string address,
                                                    std::shared_ptr<const platform_protocol::adapter> adapter,
                                                    runtime::microseconds timeout);
// The engines as a JSON array, with the keys of listed_engine.
std::string to_json_text(const std::vector<platform_protocol::listed_engine>& engines);

}  // namespace herontally::engine
