#include "replication/view_installer.h"

#include "runtime/breaks.h"

namespace herontally::replication {

using consensus::view;
using rpc::reply_status;
using runtime::task;

task<bool> reset(std::shared_ptr<replica> self, founding_claim claim) {
  self->set_view(view{});
  self->claim = std::move(claim);
  if (self->on_reset) self->on_reset();
  auto runtime = self->endpoint.runtime();
  self->identity = broken("identity") ? self->endpoint.sender() : runtime.random_name();
  replica_storage::voter_records begun;
  begun.identity = self->identity;
  if (!self->claim.seeds.empty()) begun.founding_claim = to_text(self->claim);
  bool done = co_await self->records.reset(std::move(begun));
  self->endpoint.logger().info("voter begins empty", {{"group", self->group}, {"voter", self->identity}});
  co_return done;
}

task<bool> view_installer::wipe() {
  auto self = replica_;
  self->wiping = true;
  founding_claim no_claim;
  bool done = co_await reset(self, no_claim);
  self->wiping = !done;
  co_return done;
}

task<bool> view_installer::write_view(view chosen) {
  auto self = replica_;
  installing_ = chosen;
  // The owner task of each bucket writes the view, so that it doesn't split a batch of commands.
  bool durable = co_await self->records.put_in_all_buckets(replica_storage::view_record, to_text(chosen));
  if (installing_ == chosen) installing_.reset();
  if (durable && chosen.number > self->current_view.number) self->set_view(chosen);
  auto waiting = std::exchange(waiters_, {});
  for (auto& waiter : waiting) waiter.set(durable);
  if (!durable) co_return false;
  self->endpoint.logger().info("view installed", {{"group", self->group}, {"view", chosen.number}});
  if (installed_handler_) installed_handler_(self->current_view);
  co_return true;
}

task<bool> view_installer::install(view chosen) {
  auto self = replica_;
  auto& current = self->current_view;
  bool already_installed = chosen == current;
  if (chosen.number <= current.number) co_return already_installed;
  bool left_out = !chosen.includes(self->identity);
  if (broken("early_wipe")) left_out = left_out || !consensus::contains(chosen.voters, self->identity);
  // The records of a voter that is left out may be stale and must never be voted with again. A voter without
  // a view isn't in the group yet and has nothing to wipe.
  if (left_out && current.number == 0) co_return false;
  if (left_out) co_return co_await wipe();
  // While a view is being written, no other view with the same or a lower number is installed.
  if (installing_ && chosen.number <= installing_->number && chosen != *installing_) co_return false;
  if (installing_ && *installing_ == chosen) {
    // Every proposer that finds the old view here sends the new one, so hundreds of calls may wait.
    while (installing_ && *installing_ == chosen) {
      runtime::slot<bool> ended(self->endpoint.runtime());
      waiters_.push_back(ended);
      co_await ended.wait();
    }
    co_return current == chosen;
  }
  co_return co_await write_view(std::move(chosen));
}

task<rpc::install_view_reply> view_installer::serve(rpc::install_view_request request) {
  auto chosen = consensus::view_from_text(request.view);
  bool usable = chosen.group == replica_->group && chosen.number > 0;
  if (usable && request.voter != replica_->identity)
    co_return rpc::install_view_reply{reply_status::unknown_voter};
  bool done = false;
  if (usable) done = co_await install(std::move(chosen));
  co_return rpc::install_view_reply{done ? reply_status::ok : reply_status::failed};
}

}  // namespace herontally::replication
