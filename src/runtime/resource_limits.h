// Limits on what peers can make this process keep, derived from the memory and descriptors that it may use.
#pragma once
#include <cstddef>
#include <cstdint>

namespace herontally::runtime {

struct resource_limits {
  // Memory of all connections together: unfinished requests, unread output and requests in progress.
  std::size_t peer_bytes = 256u << 20;
  // Of these, what HTTP requests in progress may use. The rest is left for receiving further ones, and for
  // messages of other nodes.
  std::size_t client_request_bytes = 192u << 20;
  // Descriptors of accepted connections. The rest is left for connections to other nodes, engines and the
  // platform, and for files.
  std::size_t accepted_descriptors = 10000;
};

// Limits for a process that may use this much memory (0: not limited) and this many descriptors (0: as many
// as the kernel allows, which holds in any case).
resource_limits make_resource_limits(std::int64_t memory_megabytes, std::int64_t max_descriptors);

}  // namespace herontally::runtime
