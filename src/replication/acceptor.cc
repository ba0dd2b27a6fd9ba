#include "replication/acceptor.h"

#include <algorithm>

#include "runtime/breaks.h"

namespace herontally::replication {

using replica_storage::cell;
using replica_storage::command;
using replica_storage::commit_result;
using replica_storage::staged_changes;
using rpc::reply_status;
using rpc::vote_phase;
using runtime::task;

namespace {

// A prepare of new work is refused unless this much disk capacity is free, so that its accept doesn't fail
// and leave the work unfinished.
constexpr std::size_t capacity_for_accept = 4096;
// Disk space of a cell besides its key and value.
constexpr std::size_t cell_overhead_bytes = 64;
// Limits of one reply. The requester continues after the last body or record that it received.
constexpr std::size_t max_chain_bytes = 8u << 20;
constexpr std::size_t max_page_bytes = 256 << 10;
constexpr std::int64_t max_listed_records = 5000;

// Returns `none` if the request names this voter's identity.
reply_status check_identity(const replica& self, const std::string& requested) {
  return self.identity == requested ? reply_status::none : reply_status::unknown_voter;
}

// View number 0 in a request means any view.
bool is_other_view(const replica& self, std::int64_t requested) {
  return requested != 0 && requested != self.current_view.number;
}

reply_status status_of(commit_result result) {
  switch (result) {
    case commit_result::durable:
      return reply_status::ok;
    case commit_result::disk_full:
      return reply_status::disk_full;
    case commit_result::failed:
      return reply_status::failed;
  }
  return reply_status::failed;
}

// Sets the status for which a vote is refused before it is queued, and the installed view; `none` if it isn't
// refused.
void check_vote(const replica& self, const rpc::vote_request& request, rpc::vote_reply& reply) {
  reply.status = check_identity(self, request.voter);
  // Only votes under the installed view are accepted. A proposer with another view gets this one in the
  // reply.
  bool other_view = request.view != self.current_view.number && !broken("view");
  if (reply.status == reply_status::none && other_view) reply.status = reply_status::view_mismatch;
  if (!self.serving()) reply.status = reply_status::failed;
  if (reply.status != reply_status::none) reply.view = self.current_view_text;
}

// Requests that exceed what the disk keeps up with are refused at once: the other voters make a quorum, and
// repair brings the missed records later.
reply_status refuse_overloaded(const replica& self) {
  self.endpoint.logger().count("herontally_store_overload_refused_total");
  return reply_status::failed;
}

// Applies the acceptor's rule to a cell and sets the status. True if the cell changed.
bool apply_vote(const rpc::vote_request& request, cell& content, reply_status& status) {
  bool any_ballot = broken("promise");
  if (request.phase == vote_phase::prepare && (request.ballot > content.promised || any_ballot)) {
    content.promised = request.ballot;
    status = reply_status::ok;
    return true;
  }
  if (request.phase == vote_phase::accept && (request.ballot >= content.promised || any_ballot)) {
    content.promised = content.accepted = request.ballot;
    content.value = request.value;
    if (request.promise_next && !broken("ahead")) content.promised.counter += 1;
    status = reply_status::ok;
    return true;
  }
  status = request.phase == vote_phase::read ? reply_status::ok : reply_status::ballot_outdated;
  return false;
}

// A command for the record's bucket that reads and updates the cell, and sets `done` once the change is
// durable.
command make_vote_command(const std::shared_ptr<replica>& self, replica_storage::bucket& bucket,
                          const std::string& record, const rpc::vote_request& request,
                          runtime::slot<rpc::vote_reply> done) {
  command vote_command;
  vote_command.urgent = request.urgent;
  vote_command.apply = [self, &bucket, record, request, done](staged_changes& staged) mutable {
    rpc::vote_reply reply;
    auto bytes = bucket.read(staged, record);
    cell content = bytes ? replica_storage::unpack_cell(*bytes) : cell{};
    bool view_changed = self->current_view.number != request.view && !broken("view");
    if (view_changed || self->wiping)
      reply.status = reply_status::view_mismatch;
    else if (apply_vote(request, content, reply.status))
      staged[record] = replica_storage::pack(content);
    reply.promised = content.promised;
    reply.accepted = content.accepted;
    // A proposer that has just sent the value doesn't need it back.
    if (request.phase != vote_phase::accept) reply.value = content.value;
    return [self, request, reply, done](commit_result result) mutable {
      if (result != commit_result::durable) {
        reply = rpc::vote_reply{};
        reply.status = status_of(result);
      }
      bool accepted = request.phase == vote_phase::accept && reply.status == reply_status::ok;
      if (accepted && self->on_accepted) self->on_accepted(request.key, request.value);
      done.set(reply);
    };
  };
  return vote_command;
}

}  // namespace

task<rpc::vote_reply> vote(std::shared_ptr<replica> self, rpc::vote_request request) {
  rpc::vote_reply reply;
  check_vote(*self, request, reply);
  if (reply.status != reply_status::none) co_return reply;
  std::string record = replica_storage::register_record(request.key);
  auto& bucket = self->records.bucket_of(record);
  std::size_t command_bytes =
      2 * record.size() + request.value.size() + cell_overhead_bytes + bucket.store.value_bytes(record);
  if (!self->records.may_queue(command_bytes, request.urgent)) {
    reply.status = refuse_overloaded(*self);
    co_return reply;
  }
  bool is_new_work = request.phase == vote_phase::prepare && !request.urgent;
  if (is_new_work && !bucket.store.has_capacity(capacity_for_accept, false)) {
    self->endpoint.logger().count("herontally_disk_full_total");
    reply.status = reply_status::disk_full;
    co_return reply;
  }
  runtime::slot<rpc::vote_reply> done(self->endpoint.runtime());
  auto vote_command = make_vote_command(self, bucket, record, request, done);
  vote_command.bytes = command_bytes;
  bucket.push(std::move(vote_command));
  co_return co_await done.wait();
}

task<rpc::put_content_reply> put_content(std::shared_ptr<replica> self, rpc::put_content_request request) {
  rpc::put_content_reply reply;
  reply.status = check_identity(*self, request.voter);
  if (self->wiping) reply.status = reply_status::failed;
  if (reply.status == reply_status::none && is_other_view(*self, request.view))
    reply.status = reply_status::view_mismatch;
  if (reply.status != reply_status::none) co_return reply;
  std::string record = replica_storage::content_record(request.digest);
  if (!self->records.may_queue(record.size() + request.body.size(), request.urgent)) {
    reply.status = refuse_overloaded(*self);
    co_return reply;
  }
  auto& bucket = self->records.bucket_for_write(record, request.body.size());
  runtime::slot<reply_status> done(self->endpoint.runtime());
  command put;
  put.urgent = request.urgent;
  put.bytes = record.size() + request.body.size();
  // The body is moved into the command, so that only one copy is in memory until it is on disk.
  put.apply = [self, &bucket, record, view = request.view, body = std::move(request.body),
               done](staged_changes& staged) mutable {
    bool refused = is_other_view(*self, view) || self->wiping;
    // Contents are immutable, so one that is already stored is kept.
    if (!refused && !bucket.contains(staged, record)) staged[record] = std::move(body);
    return [done, refused](commit_result result) {
      done.set(refused ? reply_status::view_mismatch : status_of(result));
    };
  };
  bucket.push(std::move(put));
  reply.status = co_await done.wait();
  co_return reply;
}

// Returns the digest of the previous content in the chain, or an empty text. The first line of a content is
// JSON that names it; any bytes may follow.
static std::string previous_digest(const std::string& body) {
  auto line = static_cast<std::ptrdiff_t>(std::min(body.find('\n'), body.size()));
  auto document = nlohmann::json::parse(body.begin(), body.begin() + line, nullptr, false);
  return document.is_object() ? document.value("previous", "") : "";
}

rpc::read_chain_reply read_chain(const replica& self, const rpc::read_chain_request& request) {
  rpc::read_chain_reply reply;
  reply.status = check_identity(self, request.voter);
  bool other_view = request.view != self.current_view.number;
  if (reply.status == reply_status::none && other_view) reply.status = reply_status::view_mismatch;
  if (!self.serving()) reply.status = reply_status::failed;
  if (reply.status == reply_status::none) reply.status = reply_status::ok;
  std::string digest = request.digest;
  std::size_t bytes = 0;
  while (!digest.empty() && reply.bodies.size() < static_cast<std::size_t>(request.limit)) {
    auto body = self.records.read(replica_storage::content_record(digest));
    if (!body || (bytes > 0 && bytes + body->size() > max_chain_bytes)) break;
    bytes += body->size();
    digest = previous_digest(*body);
    reply.bodies.push_back(std::move(*body));
  }
  return reply;
}

rpc::list_records_reply list_records(const replica& self, const rpc::list_records_request& request) {
  rpc::list_records_reply reply;
  reply.status = check_identity(self, request.voter);
  if (reply.status == reply_status::none && is_other_view(self, request.view))
    reply.status = reply_status::view_mismatch;
  if (reply.status != reply_status::none) return reply;
  reply.status = reply_status::ok;
  // The first records of all buckets, merged in key order.
  std::map<std::string, replica_storage::cell_ballots> merged;
  auto limit = static_cast<std::size_t>(std::clamp<std::int64_t>(request.limit, 1, max_listed_records));
  auto take = [&](const storage::listed_record& record) {
    bool in_range = request.range < 0 || static_cast<std::int64_t>(record.range) == request.range;
    if (replica_storage::is_local_record(record.key) || !in_range) return true;
    bool beyond_page = merged.size() == limit && record.key > merged.rbegin()->first;
    if (!beyond_page) merged[record.key] = replica_storage::ballots_of(record);
    bool overfull = merged.size() > limit;
    if (overfull) merged.erase(std::prev(merged.end()));
    reply.more = reply.more || beyond_page || overfull;
    // Buckets list in key order, so all further records of this bucket are beyond the page as well.
    return !beyond_page;
  };
  for (auto& bucket : self.records.buckets())
    bucket->store.list_from(replica_storage::next_key(request.after), take);
  for (auto& [record, ballots] : merged) {
    reply.keys.push_back(record);
    reply.ballots.push_back(ballots.accepted);
    reply.promised.push_back(ballots.promised);
  }
  return reply;
}

rpc::read_records_reply read_records(const replica& self, const rpc::read_records_request& request) {
  rpc::read_records_reply reply;
  reply.status = reply_status::ok;
  if (request.view != self.current_view.number) reply.status = reply_status::view_mismatch;
  if (request.voter != self.identity) reply.status = reply_status::unknown_voter;
  if (!self.serving()) reply.status = reply_status::failed;
  if (reply.status != reply_status::ok) return reply;
  std::size_t bytes = 0;
  for (auto& record : request.records) {
    if (!reply.values.empty() && bytes > max_page_bytes) break;
    bool stored = self.records.contains(record);
    auto value = self.records.read(record);
    // The record exists but can't be read; the requester has to ask another voter.
    if (stored && !value) {
      reply.status = reply_status::failed;
      reply.values.clear();
      return reply;
    }
    reply.values.push_back(value.value_or(""));
    bytes += reply.values.back().size() + record.size();
  }
  return reply;
}

rpc::checksums_reply checksums(const replica& self, const rpc::checksums_request& request) {
  rpc::checksums_reply reply;
  reply.status = check_identity(self, request.voter);
  if (reply.status != reply_status::none) return reply;
  reply.status = reply_status::ok;
  reply.checksums = self.records.checksums();
  return reply;
}

rpc::identify_reply identify(const replica& self, const rpc::identify_request& request) {
  rpc::identify_reply reply;
  if (request.group != self.group || self.wiping) return reply;
  reply.voter = self.identity;
  reply.view = self.current_view_text;
  reply.empty = self.records.empty();
  return reply;
}

}  // namespace herontally::replication
