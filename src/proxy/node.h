// The proxy node: accepts clients' turns and calls on an edge machine, reserves or records them in the
// ledger, chooses an engine for each, and forwards them.
#pragma once
#include "logging/logging.h"
#include "platform_protocol/adapter.h"
#include "runtime/runtime.h"
#include "settings/settings.h"

namespace herontally::proxy {

// Options for serving the users' platform through an adapter.
struct platform_options {
  std::shared_ptr<const platform_protocol::adapter> adapter;  // nullptr: the product's own protocol
  // An engine is named as the source of a KV cache pull only if its lead over the destination in cached
  // tokens exceeds this; empty: no source is named.
  std::optional<std::int64_t> min_cached_token_delta;
};

class node {
 public:
  node(runtime::handle runtime, settings::settings node_settings, logging::logger logger,
       platform_options platform = {});
  ~node();
  // Starts serving. Returns an error message if an address can't be listened on, otherwise nullopt.
  runtime::task<std::optional<std::string>> start();
  // Graceful shutdown: rejects new requests and lets those in flight finish within the notice period of the
  // settings.
  runtime::task<> leave();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::proxy
