// The newest configuration and engine list that a node knows, and the long polls that wait for newer ones.
// The store keeps them as text in memory; it neither parses nor fetches them.
//
// Invariants: a configuration never replaces one of a higher revision, and an engine list never replaces one
// of a higher epoch or, in the same epoch, a higher sequence number.
#pragma once
#include "configuration/record.h"
#include "rpc/endpoint.h"

namespace herontally::config_distribution {

// Version of an engine list: the epoch of the core that owns the polling of the platform, and the number that
// it gave the list.
struct engine_list_version {
  std::int64_t epoch = 0, sequence = 0;
  auto operator<=>(const engine_list_version&) const = default;
};

// The store of one node. Copies share one state.
class config_store {
 public:
  explicit config_store(runtime::handle runtime);

  // Stores the configuration and wakes waiting polls. False, without a change, if the revision isn't higher
  // than the known one.
  bool set_config(std::int64_t revision, const std::string& text);
  // Revision of the known configuration; 0: none is known.
  std::int64_t revision() const;
  // The configuration::record as JSON; empty: none is known.
  const std::string& config_text() const;

  // Stores the engine list and wakes waiting polls. False, without a change, if the version isn't higher than
  // the known one.
  bool set_engines(engine_list_version version, const std::string& text);
  engine_list_version engines_version() const;
  // The engine list as JSON; empty: none is known.
  const std::string& engines_text() const;
  // Records that the platform confirmed the list at this time of the local clock, or later. Earlier times
  // than the latest have no effect.
  void confirm_engines(runtime::microseconds time);
  // Milliseconds since the platform confirmed the list, rounded up; -1: never.
  std::int64_t engines_age_milliseconds() const;

  // Serves a long poll: replies at once if something is newer than the versions in the request, otherwise
  // when something newer arrives or the request's wait, of at most 2 s, is over. `config_age` is called at
  // the time of the reply.
  runtime::task<rpc::config_update_reply> wait_for_update(rpc::config_update_request request,
                                                          std::function<std::int64_t()> config_age) const;
  // Wakes all waiting polls, which reply even though nothing is newer.
  void wake_waiters() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::config_distribution
