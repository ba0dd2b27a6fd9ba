// How far each voter is behind with what this process has sent to it, so that a slow one isn't flooded.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "runtime/runtime.h"

namespace herontally::reg {

// Counts the bytes sent to each voter that it hasn't answered. What it didn't answer in time may still wait
// at the voter, and goes on counting for a while. Copies share their counts.
class voter_pace {
 public:
  explicit voter_pace(runtime::handle runtime);
  void sent(const std::string& voter, std::size_t bytes);
  void answered(const std::string& voter, std::size_t bytes);
  void timed_out(const std::string& voter, std::size_t bytes);
  // Whether so much is unanswered that no more should be sent, as long as others make a quorum.
  bool behind(const std::string& voter) const;

 private:
  runtime::handle runtime_;
  std::shared_ptr<std::map<std::string, std::size_t>> unanswered_;
};

}  // namespace herontally::reg
