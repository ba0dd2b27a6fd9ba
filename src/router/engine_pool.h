// This node's view of the engines: the platform's list, load and failures as seen by this node's own requests
// (outlier detection), and slow start. It chooses no engine: see attempt_plan.h and src/placement.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "placement/placement.h"
#include "platform_protocol/adapter.h"
#include "prefix/prefix.h"
#include "router/slow_start_share.h"

namespace herontally::router {

using runtime::microseconds;

// One engine instance; a restarted engine is a new instance with a new id. An entry is never reused for
// another instance.
struct engine_entry {
  interning::symbol number = 0;
  platform_protocol::listed_engine listed;
  bool present = false;        // in the latest list
  bool draining = false;       // reported besides the list: by the engine itself or by the agent's probe
  std::int64_t in_flight = 0;  // this node's requests at the engine
  // Uncached prompt tokens that this node sent: those of requests that the engine has not begun to answer,
  // and in `recent_load` the load of recently sent requests, which decays exponentially since
  // `recent_load_at`.
  std::int64_t pending_prompt_tokens = 0;
  double recent_load = 0;
  microseconds recent_load_at = 0;
  microseconds slow_start_until = 0, ejected_until = 0, seen_at = 0;
  int consecutive_failures = 0;           // since the last answer
  std::deque<microseconds> recent_sends;  // times of requests sent within the last second
  // -1: no answer since the last failure. While it is recent, an idle connection is likely.
  microseconds last_answer_at = -1;
  // After an ejection a single request is allowed at a time, until one is answered.
  bool on_probation = false;
};

// Times are of the steady clock in microseconds, `wall` since 1970. Engines are identified by their number,
// which must be known.
class engine_pool {
 public:
  engine_pool();
  // Replaces the engine list; `text` is a JSON array of platform_protocol::listed_engine, as the agent
  // delivers it. Ignored if it is not an array; throws if an element has a wrong type.
  void set_list(const std::string& text, microseconds now);
  // Replaces the set of engines that drain besides those marked in the list.
  void set_draining(const std::vector<std::string>& ids);
  // Whether a list was ever set.
  bool has_list() const { return has_list_; }
  engine_entry& entry(interning::symbol number) { return entries_[number]; }
  const std::vector<engine_entry>& entries() const { return entries_; }
  // What each engine is believed to have cached, by the keys of attempt_plan.h's `part_keys`.
  prefix::index& prefixes() { return prefixes_; }
  // The engines of one service as input for placement. `group` and `wall`: see slow_start_share.h. `tokens`:
  // length of the prompt; engines whose load differs by no more than that count as equally loaded.
  std::vector<placement::engine> candidates(const routing::service& service,
                                            const std::set<std::string>& evacuated, const std::string& zone,
                                            const node_group& group, microseconds wall, std::int64_t tokens,
                                            microseconds now);
  // The listed engines of a service that are not draining, evacuated or ejected.
  std::size_t count_usable(const std::string& service, const std::set<std::string>& evacuated,
                           microseconds now) const;

  // A request is sent. `uncached_tokens`: prompt tokens that the engine is not believed to have cached.
  void request_sent(interning::symbol number, std::int64_t uncached_tokens, microseconds now);
  // The engine has begun to answer a request or never will: its prompt is no longer pending. The same
  // `uncached_tokens` as for `request_sent`.
  void started_answering(interning::symbol number, std::int64_t uncached_tokens);
  // A request no longer occupies the engine, however it ended.
  void request_ended(interning::symbol number);
  // Resets the failure count and ends the probation.
  void request_answered(interning::symbol number, const platform_protocol::response_metadata& metadata,
                        microseconds now);
  // Ejects the engine for 0.5 to 4 s, at once if `hard` (the request could not be sent), otherwise from the
  // second failure in a row.
  void request_failed(interning::symbol number, bool hard, microseconds now);
  // Another engine instance answers at its address: ejects the engine for an hour and clears its prefixes.
  void replaced(interning::symbol number);

 private:
  static double current_load(const engine_entry& entry, microseconds now);
  bool within_slow_start_share(engine_entry& entry, const routing::service& service, const node_group& group,
                               microseconds wall, microseconds now);
  std::vector<engine_entry> entries_;
  std::map<std::string, interning::symbol> by_id_;
  std::map<std::string, std::vector<interning::symbol>> by_service_;
  prefix::index prefixes_;
  bool has_list_ = false;
};

}  // namespace herontally::router
