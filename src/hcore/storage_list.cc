// The storage machines that the cores agree on, for orders about them: one node's membership lacks machines
// just after its start and beside a cut, and no order may be refused for that.
#include "hcore/node_state.h"

namespace herontally::hcore {

constexpr const char* storage_list_key = "members/storage";

static storage_list storage_list_of(const membership::member_list& known) {
  storage_list list;
  for (auto& row : known.all())
    if (row.role == rpc::node_role::store) list.known.insert(row.name);
  for (auto& row : known.live(rpc::node_role::store)) list.live.insert(row.name);
  return list;
}

// Written by the holder of the voters' duty when it has changed; a superseded holder's list doesn't follow a
// newer one's.
task<> node::state::publish_storage() {
  auto self = shared_from_this();
  auto list = storage_list_of(self->known);
  list.epoch = self->voters_duty.epoch();
  if (list == self->storage_published) co_return;
  auto write = [list](const std::optional<std::string>& current) -> std::optional<std::string> {
    auto before = current ? json::parse(*current, nullptr, false) : json();
    if (before.is_object() && before.value("epoch", std::int64_t{0}) > list.epoch) return std::nullopt;
    auto text = json(list).dump();
    return current == text ? std::nullopt : std::optional<std::string>(text);
  };
  auto written = co_await self->catalog.change(storage_list_key, write, self->runtime.now() + second, true);
  bool settled = written.known();
  if (settled) self->storage_published = list;
}

task<std::optional<storage_list>> node::state::agreed_storage(microseconds deadline) {
  auto self = shared_from_this();
  auto read = co_await self->catalog.read(storage_list_key, deadline);
  bool known = read.known();
  if (!known) co_return std::nullopt;
  auto document = read.value ? json::parse(*read.value, nullptr, false) : json();
  if (!document.is_object()) co_return storage_list{};
  co_return document.get<storage_list>();
}

}  // namespace herontally::hcore
