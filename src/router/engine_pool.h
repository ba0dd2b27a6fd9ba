// The engines as this node knows them: the platform's list, what its own requests have seen (outlier
// detection), and their slow start.
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

// One life of one engine. A row is never used for another engine again.
struct engine_row {
  interning::symbol number = 0;
  platform_protocol::listed_engine listed;
  bool present = false;        // on the newest list
  bool draining = false;       // by its own word, or by a look of our agent's
  std::int64_t in_flight = 0;  // our requests under way there
  // Prompt tokens that we gave it to read: those of requests that have not begun to answer, and those of the
  // last moments, fading.
  std::int64_t unread = 0;
  double recent = 0;
  microseconds recent_at = 0;
  microseconds slow_start_until = 0, down_until = 0, seen_at = 0;
  int failures = 0;                       // in a row
  std::deque<microseconds> recent_sends;  // within the last second
  microseconds last_answer = -1;          // an idle connection is likely while this is recent
  // One trial request is allowed after an ejection: it finds out for the others.
  bool on_probation = false;
};

class engine_pool {
 public:
  engine_pool();
  // The engine list as the agent delivers it: JSON of platform_protocol::listed_engine.
  void set_list(const std::string& text, microseconds now);
  void set_draining(const std::vector<std::string>& ids);
  bool known() const { return known_; }
  engine_row& row(interning::symbol number) { return rows_[number]; }
  const std::vector<engine_row>& rows() const { return rows_; }
  prefix::index& prefixes() { return prefixes_; }
  // What placement looks at, for one service. `group` and `wall`: see slow_start_share.h. `tokens`: of the
  // prompt at hand; engines whose work differs by no more than that are alike in load.
  std::vector<placement::engine> candidates(const routing::service& service,
                                            const std::set<std::string>& evacuated, const std::string& zone,
                                            const node_group& group, microseconds wall, std::int64_t tokens,
                                            microseconds now);
  std::size_t usable(const std::string& service, const std::set<std::string>& evacuated,
                     microseconds now) const;

  // `unread`: prompt tokens that it is not believed to keep.
  void sent(interning::symbol number, std::int64_t unread, microseconds now);
  // It has begun to answer, or never will: its prompt waits no more.
  void begun(interning::symbol number, std::int64_t unread);
  void ended(interning::symbol number);
  void answered(interning::symbol number, const platform_protocol::response_metadata& metadata,
                microseconds now);
  // `hard`: nothing listens there, or another engine does.
  void failed(interning::symbol number, bool hard, microseconds now);
  // Another life answers at its address.
  void replaced(interning::symbol number);

 private:
  static double work(const engine_row& row, microseconds now);
  bool may_take_in_slow_start(engine_row& row, const routing::service& service, const node_group& group,
                              microseconds wall, microseconds now);
  std::vector<engine_row> rows_;
  std::map<std::string, interning::symbol> by_id_;
  std::map<std::string, std::vector<interning::symbol>> by_service_;
  prefix::index prefixes_;
  bool known_ = false;
};

}  // namespace herontally::router
