// Internal to the agent: the state and services that its components share. The node owns it; the components
// hold shared pointers, so that it lives while their tasks run.
#pragma once
#include "config_distribution/change_trace.h"
#include "config_distribution/config_store.h"
#include "config_distribution/freshness.h"
#include "membership/member_list.h"
#include "platform_protocol/adapter.h"
#include "settings/settings.h"

namespace herontally::agent {

using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

struct context {
  runtime::handle runtime;
  settings::settings node_settings;
  logging::logger logger;
  std::shared_ptr<const platform_protocol::adapter> platform_adapter;  // nullptr: the built-in protocol
  rpc::endpoint endpoint;
  membership::member_list members;
  config_distribution::config_store configs;
  config_distribution::freshness freshness;
  config_distribution::change_trace trace;

  context(runtime::handle handle, settings::settings given, logging::logger given_logger,
          std::shared_ptr<const platform_protocol::adapter> adapter)
      : runtime(handle),
        node_settings(std::move(given)),
        logger(given_logger),
        platform_adapter(std::move(adapter)),
        endpoint(handle, node_settings.name, given_logger),
        members(endpoint, membership::self_entry(node_settings, rpc::node_role::agent), node_settings.seeds),
        configs(handle),
        freshness(handle, node_settings.name),
        trace(handle) {
    if (node_settings.protocol_version > 0) endpoint.set_version(node_settings.protocol_version);
  }
};

}  // namespace herontally::agent
