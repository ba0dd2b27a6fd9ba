#include "runtime/resource_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace herontally::runtime {

namespace {

constexpr std::size_t bytes_per_megabyte = 1000000;
constexpr rlim_t max_counted_descriptors = 1u << 20;

std::size_t allowed_descriptors(std::int64_t max_descriptors) {
  rlimit kernel{max_counted_descriptors, max_counted_descriptors};
  getrlimit(RLIMIT_NOFILE, &kernel);
  auto allowed = std::min(kernel.rlim_cur, max_counted_descriptors);
  if (max_descriptors > 0) allowed = std::min(allowed, static_cast<rlim_t>(max_descriptors));
  return allowed;
}

}  // namespace

resource_limits make_resource_limits(std::int64_t memory_megabytes, std::int64_t max_descriptors) {
  resource_limits limits;
  if (memory_megabytes > 0) {
    limits.peer_bytes = static_cast<std::size_t>(memory_megabytes) * bytes_per_megabyte / 3;
    limits.client_request_bytes = limits.peer_bytes / 4 * 3;
  }
  limits.accepted_descriptors = std::max<std::size_t>(16, allowed_descriptors(max_descriptors) / 2);
  return limits;
}

}  // namespace herontally::runtime
