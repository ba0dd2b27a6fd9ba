// An edge machine's door: takes callers' requests, asks the ledger, plans, carries out.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::hproxy {

// How requests are taken where an adapter gives the surroundings' words.
struct adapted {
  std::shared_ptr<const platform_protocol::adapter> speech;
  // A lead in cached tokens from which a source is named; nothing: no source is.
  std::optional<std::int64_t> min_cached_token_delta;
};

class node {
 public:
  node(runtime::handle runtime, settings::settings place, logging::logger logger, adapted to = {});
  ~node();
  runtime::task<std::optional<std::string>> start();
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::hproxy
