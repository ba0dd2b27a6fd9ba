// The platform's whole list of engines, page by page, by the platform adapter.
#pragma once
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"

namespace herontally::engine {

struct listing {
  std::vector<platform_protocol::listed_engine> engines;
  int pages = 0;  // calls that it took
};
// Nothing when any page fails: a part of the list would leave out engines that live.
runtime::task<std::optional<listing>> fetch_listing(runtime::handle runtime, std::string address,
                                                    std::shared_ptr<const platform_protocol::adapter> adapter,
                                                    runtime::microseconds timeout);
std::string to_json_text(const std::vector<platform_protocol::listed_engine>& engines);

}  // namespace herontally::engine
