// Internal to the control node: the operators' HTTP API under /v1, as schema/operators.json and
// docs/operators.md describe it. It parses, authorizes and answers requests; the rules for a change are in
// operator_rules.h, and config_changes.h makes it. The API in the platform's format is
// platform_operator_api.h.
#pragma once
#include "control_node/config_reader.h"
#include "control_node/operator_rules.h"
#include "http_api/responses.h"

namespace herontally::control_node {

// Serves the operators' requests. Owned by shared pointers: a request that is being served keeps it alive.
class operator_api : public std::enable_shared_from_this<operator_api> {
 public:
  operator_api(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes,
               std::shared_ptr<config_reader> reader)
      : context_(std::move(shared)), changes_(std::move(changes)), reader_(std::move(reader)) {}
  // Answers every request, also those with an unknown path (404). Called for each request at the settings'
  // `http` address.
  task<> serve(runtime::inbound_request request, http_api::writer out);

 private:
  // The partner whose section the request's bearer token may change, or `all_partners`; nothing without a
  // known token.
  std::optional<std::string> authorized_partner(const runtime::inbound_request& request) const;
  void serve_status_page(const runtime::inbound_request& request, const http_api::writer& out) const;
  task<> serve_config(runtime::inbound_request request, http_api::writer out);
  task<> read_config(http_api::writer out, std::string partner);
  task<> change_config(runtime::inbound_request request, http_api::writer out, std::string partner);
  task<> serve_evacuation(runtime::inbound_request request, http_api::writer out, std::string zone);
  task<> serve_retirement(runtime::inbound_request request, http_api::writer out, std::string node);
  task<> begin_retirement(http_api::writer out, std::string partner, std::string node);
  task<> serve_bootstrap(runtime::inbound_request request, http_api::writer out);
  // Founds one group and writes its first view. False: the request was answered with an error.
  task<bool> found_group(std::string group, json addresses, http_api::writer out);
  task<> change(edit requested_edit, http_api::writer out);

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
  std::shared_ptr<config_reader> reader_;
};

}  // namespace herontally::control_node
