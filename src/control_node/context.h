// Internal to the control node: what its parts share. The node owns it; parts keep it alive while their tasks
// run.
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

constexpr const char* core_group = "core";
constexpr const char* store_group = "store";

struct context {
  runtime::handle runtime;
  settings::settings place;
  logging::logger logger;
  std::shared_ptr<const platform_protocol::adapter> platform_adapter;  // nullptr: the product's own protocol
  rpc::endpoint endpoint;
  membership::member_list members;
  consensus::proposer catalog;  // of the core group, whose registers hold everything that the cores agree on
  consensus::proposer stores;   // of the storage group
  config_distribution::config_store configs;
  config_distribution::change_trace trace;
  singleton::singleton_role engine_list_role, voter_groups_role, calendar_role;
  bool leaving = false;

  context(runtime::handle handle, settings::settings given, logging::logger given_logger,
          std::shared_ptr<const platform_protocol::adapter> adapter)
      : runtime(handle),
        place(std::move(given)),
        logger(given_logger),
        platform_adapter(std::move(adapter)),
        endpoint(handle, place.name, given_logger),
        members(endpoint, membership::own_entry(place, rpc::node_role::core), place.seeds),
        catalog(endpoint, core_group),
        stores(endpoint, store_group),
        configs(handle),
        trace(handle),
        // The names are those of registers, which are stored.
        engine_list_role(members, catalog, "platform", rpc::node_role::core),
        voter_groups_role(members, catalog, "voters", rpc::node_role::core),
        calendar_role(members, catalog, "calendars", rpc::node_role::core) {
    if (place.speaks > 0) endpoint.set_version(place.speaks);
  }

  std::string learned_text;  // the record that was learned last, as it came

  // The newest configuration that this node knows; nothing if it knows none.
  std::optional<configuration::record> current_config() const;
  // Takes a configuration that was read from the register, or that another core announced.
  void learn_config(const std::string& text, const std::string& source);
  // A name for a change that no other change has.
  std::string new_change_id() const { return place.name + "-" + runtime.random_name(); }
};

}  // namespace herontally::control_node
