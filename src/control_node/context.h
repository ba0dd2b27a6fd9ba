// Internal to the control node: the state that its parts share, and the newest configuration that this node
// knows. The node owns it; parts keep it alive while their tasks run. Changes of the configuration are made
// in config_changes.h.
#pragma once
#include "config_distribution/change_trace.h"
#include "config_distribution/config_store.h"
#include "membership/member_list.h"
#include "platform_protocol/adapter.h"
#include "reconfiguration/view_install.h"
#include "settings/settings.h"
#include "singleton/singleton_role.h"

namespace herontally::control_node {

using json = nlohmann::json;
using runtime::microseconds;
using runtime::millisecond;
using runtime::second;
using runtime::task;

// Names of the groups of voters.
constexpr const char* core_group = "core";
constexpr const char* store_group = "store";

// What all parts of one control node use.
struct context {
  runtime::handle runtime;
  settings::settings node_settings;
  logging::logger logger;
  std::shared_ptr<const platform_protocol::adapter> platform_adapter;  // nullptr: the product's own protocol
  rpc::endpoint endpoint;
  membership::member_list members;
  consensus::proposer catalog;  // of the core group, whose registers hold all state that the cores agree on
  consensus::proposer stores;   // of the storage group
  config_distribution::config_store configs;
  config_distribution::change_trace trace;
  singleton::singleton_role engine_list_role, voter_groups_role, calendar_role;
  bool leaving = false;  // this node is shutting down and reports not ready

  context(runtime::handle handle, settings::settings given, logging::logger node_logger,
          std::shared_ptr<const platform_protocol::adapter> adapter)
      : runtime(handle),
        node_settings(std::move(given)),
        logger(node_logger),
        platform_adapter(std::move(adapter)),
        endpoint(handle, node_settings.name, node_logger),
        members(endpoint, membership::self_entry(node_settings, rpc::node_role::core), node_settings.seeds),
        catalog(endpoint, core_group),
        stores(endpoint, store_group),
        configs(handle),
        trace(handle),
        // The names are part of the keys of stored registers: they must not change.
        engine_list_role(members, catalog, "platform", rpc::node_role::core),
        voter_groups_role(members, catalog, "voters", rpc::node_role::core),
        calendar_role(members, catalog, "calendars", rpc::node_role::core) {
    if (node_settings.protocol_version > 0) endpoint.set_version(node_settings.protocol_version);
  }

  std::string last_learned_text;  // the record that was learned last, as received

  // The newest configuration that this node knows, without the operator's source text; nothing if it knows
  // none.
  std::optional<configuration::record> current_config() const;
  // Takes a configuration record as JSON and hands it to the waiting long polls if its revision is new. Text
  // that is no record is ignored. `source` says where it came from, for the log and the change trace.
  void learn_config(const std::string& text, const std::string& source);
  // A unique id for a change of the configuration.
  std::string new_change_id() const { return node_settings.name + "-" + runtime.random_name(); }
};

}  // namespace herontally::control_node
