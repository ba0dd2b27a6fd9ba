#include "replication/voter.h"

#include "replication/acceptor.h"
#include "replication/catch_up.h"
#include "replication/repair.h"
#include "replication/view_installer.h"
#include "runtime/retry_log.h"

namespace herontally::replication {

using consensus::view;
using runtime::task;

struct voter::state {
  std::shared_ptr<replica> shared;
  view_installer installer;
  std::shared_ptr<catch_up> catch_up_service;
  founding_claim offered_claim;

  state(rpc::endpoint endpoint, voter_options options)
      : shared(std::make_shared<replica>(std::move(endpoint), std::move(options))),
        installer(shared),
        catch_up_service(std::make_shared<catch_up>(shared)) {
    shared->on_reset = [weak = std::weak_ptr<catch_up>(catch_up_service)] {
      if (auto service = weak.lock()) service->reset();
    };
  }
};

voter::voter(rpc::endpoint endpoint, voter_options options)
    : state_(std::make_shared<state>(std::move(endpoint), std::move(options))) {}

const std::string& voter::id() const { return state_->shared->identity; }
void voter::offer_claim(founding_claim claim) { state_->offered_claim = std::move(claim); }
bool voter::is_open() const { return state_->shared->opened; }
const founding_claim& voter::claim() const { return state_->shared->claim; }
const view& voter::current_view() const { return state_->shared->current_view; }
const replica_storage::record_store& voter::records() const { return state_->shared->records; }
void voter::on_view(std::function<void(const view&)> handler) {
  state_->installer.on_installed(std::move(handler));
}
void voter::on_accepted(std::function<void(const std::string&, const std::string&)> handler) {
  state_->shared->on_accepted = std::move(handler);
}

// Registers the handlers of all requests to a voter.
static void serve_requests(std::shared_ptr<replica> self, view_installer* installer,
                           std::shared_ptr<catch_up> catch_up_service, std::shared_ptr<void> owner) {
  auto endpoint = self->endpoint;
  endpoint.serve<rpc::vote_request>(
      [self](rpc::vote_request request) { return vote(self, std::move(request)); });
  endpoint.serve<rpc::put_content_request>(
      [self](rpc::put_content_request request) { return put_content(self, std::move(request)); });
  endpoint.serve<rpc::repair_record_request>(
      [self](rpc::repair_record_request request) { return repair_record(self, std::move(request)); });
  endpoint.serve<rpc::read_chain_request>(
      [self](rpc::read_chain_request request) -> task<rpc::read_chain_reply> {
        co_return read_chain(*self, request);
      });
  endpoint.serve<rpc::list_records_request>(
      [self](rpc::list_records_request request) -> task<rpc::list_records_reply> {
        co_return list_records(*self, request);
      });
  endpoint.serve<rpc::read_records_request>(
      [self](rpc::read_records_request request) -> task<rpc::read_records_reply> {
        co_return read_records(*self, request);
      });
  endpoint.serve<rpc::checksums_request>(
      [self](rpc::checksums_request request) -> task<rpc::checksums_reply> {
        co_return checksums(*self, request);
      });
  endpoint.serve<rpc::identify_request>([self](rpc::identify_request request) -> task<rpc::identify_reply> {
    co_return identify(*self, request);
  });
  endpoint.serve<rpc::founding_claim_request>(
      [self](rpc::founding_claim_request request) -> task<rpc::founding_claim_reply> {
        rpc::founding_claim_reply reply;
        if (request.group == self->group && self->serving()) reply.seeds = self->claim.seeds;
        co_return reply;
      });
  endpoint.serve<rpc::catch_up_request>([catch_up_service](rpc::catch_up_request request) {
    return catch_up_service->serve(std::move(request));
  });
  // The installer is a member of the voter's state, which `owner` keeps alive.
  endpoint.serve<rpc::install_view_request>(
      [installer, owner](rpc::install_view_request request) { return installer->serve(std::move(request)); });
}

// Stores the claim of a voter that has an identity already: an earlier version began it without one.
static task<> store_claim(std::shared_ptr<replica> self, founding_claim claim) {
  bool durable =
      co_await self->records.put_in_all_buckets(replica_storage::founding_claim_record, to_text(claim));
  if (durable) self->claim = std::move(claim);
}

// Buckets with different identities, or one without an identity, mean that some buckets were lost while
// others were kept; that counts as a corrupt disk. The exception is a first start that was interrupted before
// a view could have named this voter.
task<std::optional<open_error>> voter::open() {
  auto self = state_;
  auto shared = self->shared;
  auto not_acquired = shared->endpoint.runtime().table().disk.acquire();
  if (not_acquired == runtime::disk_error::in_use) co_return open_error::in_use;
  if (not_acquired) co_return open_error::failed;
  auto found = shared->records.recover();
  if (found.failed) co_return open_error::failed;
  for (auto& text : found.views) {
    auto stored = consensus::view_from_text(text);
    if (stored.number > shared->current_view.number) shared->set_view(stored);
  }
  bool first_start = found.identities.contains("") && shared->current_view.number == 0;
  bool corrupt = found.corrupt || (found.identities.size() > 1 && !first_start);
  if (corrupt)
    shared->endpoint.logger().error("disk is corrupt; beginning empty under a new identity",
                                    {{"group", shared->group}});
  if (corrupt || first_start) {
    // Acknowledged records were on a corrupt disk, so that the system has been started before.
    if (corrupt) self->offered_claim.seeds.clear();
    bool begun = co_await reset(shared, self->offered_claim);
    if (!begun) co_return open_error::failed;
  } else {
    shared->identity = *found.identities.begin();
    shared->claim = founding_claim_from_text(found.founding_claim);
  }
  shared->records.start();
  bool unclaimed = shared->claim.seeds.empty() && shared->current_view.number == 0;
  if (unclaimed && !self->offered_claim.seeds.empty()) co_await store_claim(shared, self->offered_claim);
  shared->opened = true;
  serve_requests(shared, &self->installer, self->catch_up_service, self);
  if (corrupt) co_return open_error::corrupt;
  co_return std::nullopt;
}

task<> voter::open_when_possible() {
  constexpr runtime::microseconds retry_period = 500 * runtime::millisecond;
  auto self = *this;
  auto& endpoint = self.state_->shared->endpoint;
  auto runtime = endpoint.runtime();
  runtime::retry_log log(runtime, endpoint.logger(), "opening the data folder",
                         {{"group", self.state_->shared->group}});
  auto error = co_await self.open();
  while (error == open_error::failed || error == open_error::in_use) {
    log.failed(error == open_error::in_use ? "another process uses it" : "it can't be read or written");
    co_await runtime.sleep(retry_period);
    error = co_await self.open();
  }
  log.succeeded();
}

task<bool> voter::install(view chosen) { return state_->installer.install(std::move(chosen)); }

task<> voter::repair_forever() { return replication::repair_forever(state_->shared); }

std::optional<std::string> voter::accepted_value(const std::string& key) const {
  auto bytes = records().read(replica_storage::register_record(key));
  if (!bytes) return std::nullopt;
  return replica_storage::unpack_cell(*bytes).accepted_value();
}

std::optional<std::string> voter::content(const std::string& digest) const {
  return records().read(replica_storage::content_record(digest));
}

task<bool> voter::remove_contents(std::vector<std::string> digests) {
  for (auto& digest : digests) digest = replica_storage::content_record(digest);
  return state_->shared->records.remove(std::move(digests));
}

task<int> voter::remove_registers_if(std::vector<std::string> keys,
                                     replica_storage::record_store::removal_check may_remove) {
  for (auto& key : keys) key = replica_storage::register_record(key);
  return state_->shared->records.remove_registers_if(std::move(keys), std::move(may_remove));
}

}  // namespace herontally::replication
