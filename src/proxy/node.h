// The proxy: takes clients' turns and calls on an edge machine, asks the ledger, plans, and forwards them to
// engines.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::proxy {

// How requests are taken where an adapter translates the platform's protocol.
struct platform_options {
  std::shared_ptr<const platform_protocol::adapter> adapter;  // nullptr: the product's own protocol
  // A lead in cached tokens from which a source is named; nothing: no source is.
  std::optional<std::int64_t> min_cached_token_delta;
};

class node {
 public:
  node(runtime::handle runtime, settings::settings place, logging::logger logger,
       platform_options platform = {});
  ~node();
  // Begins to serve; the result tells what stands in the way, if anything.
  runtime::task<std::optional<std::string>> start();
  // Graceful shutdown: no new requests; those in flight end within the notice.
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::proxy
