// Takes clients' requests by the routing table, sends each to an engine unchanged, and its answer back.
#pragma once
#include "forward/cold_share.h"
#include "gateway/http.h"
#include "ledger/programs.h"
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"

namespace herontally::forward {

struct door_options {
  std::string zone;
  std::int64_t most_requests = 2000;
  // A lead in cached tokens above which a source is named, for models whose table names none. Off: nothing.
  std::optional<std::int64_t> min_cached_token_delta;
};

class door {
 public:
  door(runtime::handle runtime, logging::logger logger,
       std::shared_ptr<const platform_protocol::adapter> speech, ledger::programs programs,
       door_options choice);
  // What is in force from now on.
  void routing(routing::table table, std::set<std::string> evacuated);
  void engines(const std::string& list, const std::vector<std::string>& leaving);
  // How many nodes share the engines' caps on connections, and this one's place among those that share the
  // rates of cold engines.
  void nodes(std::int64_t count, const node_group& group);
  // Requests are served from here on; before, they are told when to come back.
  bool ready() const;
  // No more new connections: whoever is answered is told to open another one elsewhere.
  void leave();
  // The process is about to end: who still comes is refused, before any engine hears of it.
  void close();
  std::int64_t under_way() const;
  runtime::task<> serve(runtime::inbound_request request, gateway::writer out);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::forward
