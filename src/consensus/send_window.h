// How many bytes this process has sent to each voter without a reply yet, so that a slow voter isn't flooded.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "runtime/runtime.h"

namespace herontally::consensus {

// Counts bytes in flight by voter. What timed out may still be queued at the voter, so that it stays counted
// for a while. Copies share their counts.
class send_window {
 public:
  explicit send_window(runtime::handle runtime);
  void sent(const std::string& voter, std::size_t bytes);
  void acknowledged(const std::string& voter, std::size_t bytes);
  void timed_out(const std::string& voter, std::size_t bytes);
  // Whether so much is in flight that no more should be sent, as long as others make a quorum.
  bool is_full(const std::string& voter) const;

 private:
  runtime::handle runtime_;
  std::shared_ptr<std::map<std::string, std::size_t>> in_flight_;
};

}  // namespace herontally::consensus
