// Flow control for contents: tracks how many bytes this process has sent to each voter without a reply, so
// that a slow voter isn't flooded. The window only counts; whoever sends decides what to skip.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "runtime/runtime.h"

namespace herontally::consensus {

// Counts bytes in flight by voter id. A message that timed out may still be queued at the voter, so its bytes
// stay counted for a while. Copies share their counts.
class send_window {
 public:
  explicit send_window(runtime::handle runtime);
  void sent(const std::string& voter, std::size_t bytes);
  void acknowledged(const std::string& voter, std::size_t bytes);
  void timed_out(const std::string& voter, std::size_t bytes);
  // Whether the bytes in flight exceed the limit. The sender then skips the voter if the others make a
  // quorum.
  bool is_full(const std::string& voter) const;

 private:
  runtime::handle runtime_;
  std::shared_ptr<std::map<std::string, std::size_t>> in_flight_;
};

}  // namespace herontally::consensus
