// Internal to hagent.
#pragma once
#include "desired/record.h"
#include "gateway/http.h"
#include "hagent/node.h"
#include "membership/member_list.h"
#include "news/board.h"

namespace herontally::hagent {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Older than this the list may have missed that an engine leaves. The rest of the time until requests must
// have stopped goes to the look itself and to the way to the door.
constexpr microseconds list_is_old = 1200 * millisecond;

struct node::state : std::enable_shared_from_this<node::state> {
  runtime::handle runtime;
  settings::settings place;
  logging::logger logger;
  std::shared_ptr<const dialect::dialect> surroundings;  // how the platform speaks; nothing: as we do
  rpc::endpoint endpoint;
  membership::member_list known;
  news::board board;
  news::freshness fresh;
  std::vector<std::string> edges;  // all that the state lists, also while the set changes
  std::string proxy, proxy_inner;
  std::int64_t proxy_incarnation = 0, proxy_revision = 0, told_in_force = 0;
  microseconds proxy_seen = -1;
  bool leaving = false;
  std::vector<std::string> leaving_engines;  // by our own look at the platform
  bool looked = false;                       // in this life, with or without an answer
  bool list_offered = false;                 // one that waits for our look
  std::vector<rpc::trace_event> trace;

  state(runtime::handle handle, settings::settings given, logging::logger lines,
        std::shared_ptr<const dialect::dialect> speech);
  std::int64_t age_milliseconds() const;
  std::int64_t in_force() const;
  void learn(const rpc::config_update_reply& reply, const std::string& way);
  bool may_take_list(const rpc::config_update_reply& reply);
  task<> core_link();
  task<> ask_peers();
  task<> look_at_platform();
  task<> look_at_listing();
  task<> keep_proxy_row();
  task<> tell_in_force();
  task<rpc::config_update_reply> answer(rpc::config_update_request request);
  void serve();
};

}  // namespace herontally::hagent
