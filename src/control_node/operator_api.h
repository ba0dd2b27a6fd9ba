// Internal to the control node: the operators' HTTP API under /v1, as schema/operators.json and
// docs/operators.md describe it.
#pragma once
#include "control_node/config_reader.h"
#include "control_node/operator_rules.h"
#include "http_api/responses.h"

namespace herontally::control_node {

class operator_api : public std::enable_shared_from_this<operator_api> {
 public:
  operator_api(std::shared_ptr<context> shared, std::shared_ptr<config_changes> changes,
               std::shared_ptr<config_reader> reader)
      : context_(std::move(shared)), changes_(std::move(changes)), reader_(std::move(reader)) {}
  // Answers every request, also those to pages that there aren't.
  task<> serve(runtime::inbound_request request, http_api::writer out);

 private:
  // The partner whose section the request's token may change; nothing without a known token.
  std::optional<std::string> partner_of(const runtime::inbound_request& request) const;
  void serve_status_page(const runtime::inbound_request& request, const http_api::writer& out) const;
  task<> serve_config(runtime::inbound_request request, http_api::writer out);
  task<> read_config(http_api::writer out, std::string partner);
  task<> change_config(runtime::inbound_request request, http_api::writer out, std::string partner);
  task<> serve_evacuation(runtime::inbound_request request, http_api::writer out, std::string zone);
  task<> serve_retirement(runtime::inbound_request request, http_api::writer out, std::string node);
  task<> begin_retirement(http_api::writer out, std::string partner, std::string node);
  task<> serve_bootstrap(runtime::inbound_request request, http_api::writer out);
  task<bool> begin_group(std::string group, json addresses, http_api::writer out);
  task<> change(edit wanted, http_api::writer out);

  std::shared_ptr<context> context_;
  std::shared_ptr<config_changes> changes_;
  std::shared_ptr<config_reader> reader_;
};

}  // namespace herontally::control_node
