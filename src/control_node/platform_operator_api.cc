#include "control_node/platform_operator_api.h"

#include "hashing/digest.h"

namespace herontally::control_node {

using platform_protocol::command_reply;
using platform_protocol::command_status;

namespace {

// Callers give up on a node after a second without an answer.
constexpr microseconds command_timeout = 800 * millisecond;
// For this long after its start a core may not have heard of every machine.
constexpr microseconds member_discovery_time = 5 * second;
constexpr std::size_t digest_bytes = 16;

// The digest by which a repeated call is recognised. It is stored with the change: its input must not change.
std::string digest_of(const platform_protocol::change_command& command) {
  std::string text =
      std::to_string(command.expected) + (command.partial ? "/part/" : "/whole/") + command.body;
  return hashing::sha256_hex(text, digest_bytes);
}

// The command's status: the one that the mutator found holds only if the register's change ended with a known
// value.
command_status combine(consensus::change_status change, command_status mutator_status) {
  switch (change) {
    case consensus::change_status::unknown:
      return command_status::unclear;
    case consensus::change_status::unreachable:
    case consensus::change_status::disk_full:
      return command_status::unreachable;
    case consensus::change_status::committed:
    case consensus::change_status::declined:
      return mutator_status;
  }
  return mutator_status;
}

// Applies a configuration change to the current record. Returns the next record, or nothing with the refusal
// in `reply`; nothing and `done` if the change was applied before.
std::optional<configuration::record> edit_routing(const configuration::record& current,
                                                  const platform_protocol::change_command& command,
                                                  const platform_protocol::adapter& adapter,
                                                  const std::string& change_id, command_reply& reply) {
  auto digest = digest_of(command);
  reply.version = configuration::routing_version(current);
  // The call was applied already: its answer was lost and the caller repeats it, or an earlier round of this
  // same change went through.
  if (auto* applied = configuration::find_applied(current, digest)) {
    reply.version = applied->version;
    return std::nullopt;
  }
  if (command.expected < 0) {
    reply.status = command_status::invalid;
    reply.violations.push_back({"", "does not say which version it builds on"});
    return std::nullopt;
  }
  if (command.expected != reply.version) {
    reply.status = command_status::stale;
    return std::nullopt;
  }
  auto& source = current.operator_source;
  auto read = adapter.read_configuration(source.empty() ? std::nullopt : std::optional(source), command);
  if (auto* violations = std::get_if<std::vector<routing::violation>>(&read)) {
    reply.status = command_status::invalid;
    reply.violations = *violations;
    return std::nullopt;
  }
  auto& next = std::get<platform_protocol::configuration>(read);
  if (next.table.version <= reply.version) {
    reply.status = command_status::invalid;
    reply.violations.push_back({"/version", "is not above the current one"});
    return std::nullopt;
  }
  reply.version = next.table.version;
  return configuration::next_routing(current, next.source, next.table, digest, change_id);
}

}  // namespace

platform_operator_api::platform_operator_api(std::shared_ptr<context> shared,
                                             std::shared_ptr<config_changes> changes,
                                             std::shared_ptr<storage_directory> directory,
                                             std::shared_ptr<stall_detector> stalls)
    : context_(std::move(shared)),
      changes_(std::move(changes)),
      directory_(std::move(directory)),
      stalls_(std::move(stalls)),
      started_(context_->runtime.now()) {}

command_status platform_operator_api::unknown_name_status() const {
  bool recently_started = context_->runtime.now() - started_ < member_discovery_time;
  return recently_started ? command_status::unreachable : command_status::unknown_name;
}

task<command_reply> platform_operator_api::change_record(record_edit apply_edit) {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto reply = std::make_shared<command_reply>();
  auto mutate = [apply_edit, reply](const std::optional<std::string>& text) -> std::optional<std::string> {
    *reply = command_reply{};
    auto next = apply_edit(configuration::record_or_empty(text), *reply);
    if (!next) return std::nullopt;
    return to_text(*next);
  };
  auto changed = co_await shared->catalog.change(configuration::config_key, mutate,
                                                 shared->runtime.now() + command_timeout, true);
  command_reply out = *reply;
  out.status = combine(changed.status, out.status);
  if (changed.status != consensus::change_status::committed || !changed.value) co_return out;
  shared->learn_config(*changed.value, "register");
  auto chosen = configuration::record_from_text(*changed.value);
  if (chosen) self->changes_->announce(*chosen);
  co_return out;
}

task<command_reply> platform_operator_api::change_routing(platform_protocol::change_command command) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::string change_id = shared->new_change_id();
  auto apply_edit = [shared, command, change_id](const configuration::record& current, command_reply& reply) {
    return edit_routing(current, command, *shared->platform_adapter, change_id, reply);
  };
  auto reply = co_await self->change_record(apply_edit);
  if (reply.status == command_status::done)
    shared->logger.info("routing table chosen", {{"version", reply.version}});
  co_return reply;
}

task<command_reply> platform_operator_api::read_routing() {
  auto shared = context_;
  auto read =
      co_await shared->catalog.read(configuration::config_key, shared->runtime.now() + command_timeout);
  command_reply reply;
  // A read changes no value, so an unfinished one is reported as unreachable, never as unclear.
  if (!read.known()) {
    reply.status = command_status::unreachable;
    co_return reply;
  }
  auto content = configuration::record_or_empty(read.value);
  reply.status = content.operator_source.empty() ? command_status::unknown_name : command_status::done;
  reply.document = content.operator_source;
  reply.version = configuration::routing_version(content);
  co_return reply;
}

// Unlike the product's own API this doesn't check that the zone is known and that a zone in use would be
// left: on the platform that is the operator's responsibility.
task<command_reply> platform_operator_api::evacuate(platform_protocol::evacuate_command command,
                                                    abandonment_check abandoned) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::string change_id = shared->new_change_id();
  auto changed = std::make_shared<bool>(false);
  auto apply_edit = [command, change_id, abandoned, changed](
                        const configuration::record& current,
                        command_reply& reply) -> std::optional<configuration::record> {
    if (abandoned()) {
      reply.status = command_status::unreachable;
      return std::nullopt;
    }
    auto zones = configuration::shared_list(current.document, configuration::evacuated_zones);
    *changed = command.begin ? zones.insert(command.zone).second : zones.erase(command.zone) > 0;
    if (!*changed) return std::nullopt;
    json document = current.document;
    configuration::set_shared_list(document, configuration::evacuated_zones, zones);
    return configuration::next_revision(current, document, change_id);
  };
  auto reply = co_await self->change_record(apply_edit);
  if (reply.status == command_status::done && *changed)
    shared->logger.info(command.begin ? "evacuation begun" : "evacuation ended", {{"zone", command.zone}});
  co_return reply;
}

task<command_reply> platform_operator_api::retire(platform_protocol::retire_command command,
                                                  abandonment_check abandoned) {
  auto self = shared_from_this();
  auto shared = self->context_;
  command_reply unreachable;
  unreachable.status = command_status::unreachable;
  auto agreed = co_await reconfiguration::agreed_view(shared->catalog, store_group,
                                                      shared->runtime.now() + command_timeout / 2);
  if (!agreed) co_return unreachable;
  auto storage = co_await self->directory_->read_agreed_list(shared->runtime.now() + command_timeout / 2);
  if (!storage) co_return unreachable;
  for (auto& voter : agreed->all_voters()) storage->known.insert(voter.node);
  std::string change_id = shared->new_change_id();
  auto unknown_status = self->unknown_name_status();
  bool recently_started = unknown_status == command_status::unreachable;
  auto apply_edit = [command, storage = *storage, change_id, unknown_status, recently_started, abandoned,
                     copy_count = agreed->voters.size()](
                        const configuration::record& current,
                        command_reply& reply) -> std::optional<configuration::record> {
    if (abandoned()) {
      reply.status = command_status::unreachable;
      return std::nullopt;
    }
    auto retiring = configuration::shared_list(current.document, configuration::retiring_storage);
    // A repeated command for a retirement that has begun: nothing to do, and a success.
    if (retiring.contains(command.node)) return std::nullopt;
    if (!storage.known.contains(command.node)) {
      reply.status = unknown_status;
      return std::nullopt;
    }
    retiring.insert(command.node);
    std::size_t remaining = 0;
    for (auto& name : storage.live) remaining += retiring.contains(name) ? 0 : 1;
    if (remaining < copy_count) {
      reply.status = recently_started ? command_status::unreachable : command_status::too_few;
      return std::nullopt;
    }
    json document = current.document;
    configuration::set_shared_list(document, configuration::retiring_storage, retiring);
    return configuration::next_revision(current, document, change_id);
  };
  co_return co_await self->change_record(apply_edit);
}

task<command_reply> platform_operator_api::retire_status(platform_protocol::retire_status_command command) {
  auto self = shared_from_this();
  auto shared = self->context_;
  command_reply reply;
  reply.status = command_status::unreachable;
  auto deadline = shared->runtime.now() + command_timeout;
  auto read = co_await shared->catalog.read(configuration::config_key, deadline);
  if (!read.known()) co_return reply;
  // The view is read after the configuration: read before it, it could miss a move that began in between.
  auto agreed = co_await reconfiguration::agreed_view(shared->catalog, store_group, deadline);
  if (!agreed) co_return reply;
  auto content = configuration::record_or_empty(read.value);
  bool retiring =
      configuration::shared_list(content.document, configuration::retiring_storage).contains(command.node);
  bool holds_copies = false;
  for (auto& voter : agreed->all_voters()) holds_copies = holds_copies || voter.node == command.node;
  auto member = shared->members.find(command.node);
  bool known = retiring || holds_copies || (member && member->role == rpc::node_role::store);
  bool emptied = retiring && !holds_copies && !agreed->joint();
  if (emptied)
    reply.status = command_status::done;
  else
    reply.status = known ? command_status::rolling : self->unknown_name_status();
  co_return reply;
}

task<command_reply> platform_operator_api::execute(platform_protocol::command command,
                                                   abandonment_check abandoned) {
  namespace protocol = platform_protocol;
  if (auto* change = std::get_if<protocol::change_command>(&command))
    co_return co_await change_routing(std::move(*change));
  if (std::holds_alternative<protocol::read_command>(command)) co_return co_await read_routing();
  if (auto* evacuation = std::get_if<protocol::evacuate_command>(&command))
    co_return co_await evacuate(*evacuation, abandoned);
  if (auto* retirement = std::get_if<protocol::retire_command>(&command))
    co_return co_await retire(*retirement, abandoned);
  if (auto* query = std::get_if<protocol::retire_status_command>(&command))
    co_return co_await retire_status(*query);
  command_reply reply;
  auto* unknown = std::get_if<protocol::unknown_command>(&command);
  bool known_path = unknown && unknown->known_path;
  reply.status = known_path ? command_status::invalid : command_status::unknown_name;
  co_return reply;
}

task<> platform_operator_api::serve(runtime::inbound_request request, http_api::writer out) {
  auto self = shared_from_this();
  auto& adapter = *self->context_->platform_adapter;
  auto command = adapter.read_command(request);
  auto reply = co_await self->execute(command, self->stalls_->abandonment_of(out));
  self->context_->logger.count("herontally_commands_total");
  out->reply(adapter.write_reply(command, reply));
}

}  // namespace herontally::control_node
