// The platform's whole list of engines, page by page, in the words of a dialect.
#pragma once
#include "dialect/dialect.h"
#include "runtime/runtime.h"

namespace herontally::engine {

struct listing {
  std::vector<dialect::listed_engine> engines;
  int pages = 0;  // calls that it took
};
// Nothing when any page fails: a part of the list would leave out engines that live.
runtime::task<std::optional<listing>> fetch_listing(runtime::handle runtime, std::string address,
                                                    std::shared_ptr<const dialect::dialect> dialect,
                                                    runtime::microseconds timeout);
std::string listing_text(const std::vector<dialect::listed_engine>& engines);

}  // namespace herontally::engine
