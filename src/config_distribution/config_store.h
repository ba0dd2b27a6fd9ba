// The newest configuration and engine list that a node knows, and the long polls that wait for newer ones.
//
// Invariants: a lower revision never replaces a higher one, nor an engine list one of a higher epoch and
// sequence.
#pragma once
#include "configuration/record.h"
#include "rpc/endpoint.h"

namespace herontally::config_distribution {

// Which engine list: the epoch of the poll's owner, and its count of lists.
struct engine_list_version {
  std::int64_t epoch = 0, sequence = 0;
  auto operator<=>(const engine_list_version&) const = default;
};

// Copies share one state.
class config_store {
 public:
  explicit config_store(runtime::handle runtime);

  // False if the revision is not above the known one.
  bool set_config(std::int64_t revision, const std::string& text);
  std::int64_t revision() const;
  // configuration::record as JSON; empty: none is known.
  const std::string& config_text() const;

  // False if the version is not above the known one.
  bool set_engines(engine_list_version version, const std::string& text);
  engine_list_version engines_version() const;
  const std::string& engines_text() const;
  // The platform confirmed the list at this moment of our own clock, or later.
  void confirm_engines(runtime::microseconds moment);
  // Milliseconds since the platform confirmed the list; -1: never.
  std::int64_t engines_age_milliseconds() const;

  // Replies at once when something is newer than what the request names, otherwise when it is or when the
  // request's wait is over. `config_age` is asked for at the moment of replying.
  runtime::task<rpc::config_update_reply> wait_for_update(rpc::config_update_request request,
                                                          std::function<std::int64_t()> config_age) const;
  // Ends all waits, though nothing is newer.
  void wake_waiters() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::config_distribution
