#include "control_node/storage_directory.h"

namespace herontally::control_node {

// The register that holds the list.
constexpr const char* storage_list_key = "members/storage";

storage_list storage_directory::list_from_members() const {
  storage_list list;
  for (auto& member : context_->members.all())
    if (member.role == rpc::node_role::store) list.known.insert(member.name);
  for (auto& member : context_->members.live(rpc::node_role::store)) list.live.insert(member.name);
  return list;
}

task<> storage_directory::publish() {
  auto self = shared_from_this();
  auto shared = self->context_;
  auto list = self->list_from_members();
  list.epoch = shared->voter_groups_role.epoch();
  if (list == self->published_) co_return;
  auto seen_epoch = std::make_shared<std::int64_t>(0);
  auto write = [list, seen_epoch](const std::optional<std::string>& current) -> std::optional<std::string> {
    auto stored = current ? json::parse(*current, nullptr, false) : json();
    *seen_epoch = stored.is_object() ? stored.value("epoch", std::int64_t{0}) : 0;
    if (*seen_epoch > list.epoch) return std::nullopt;
    auto text = json(list).dump();
    return current == text ? std::nullopt : std::optional<std::string>(text);
  };
  auto written =
      co_await shared->catalog.change(storage_list_key, write, shared->runtime.now() + second, true);
  if (!written.known()) co_return;
  bool superseded = *seen_epoch > list.epoch;
  if (superseded)
    shared->voter_groups_role.step_down(*seen_epoch);
  else
    self->published_ = list;
}

task<std::optional<storage_list>> storage_directory::read_agreed_list(microseconds deadline) {
  auto self = shared_from_this();
  auto read = co_await self->context_->catalog.read(storage_list_key, deadline);
  if (!read.known()) co_return std::nullopt;
  auto document = read.value ? json::parse(*read.value, nullptr, false) : json();
  auto list = document.is_object() ? document.get<storage_list>() : storage_list{};
  auto own_list = self->list_from_members();
  list.known.merge(own_list.known);
  list.live.merge(own_list.live);
  co_return list;
}

}  // namespace herontally::control_node
