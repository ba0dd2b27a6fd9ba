// Immutable contents: stores them at a quorum under their digests and reads them back as chains.
#include "consensus/proposer_state.h"

namespace herontally::consensus {

using runtime::microseconds;
using runtime::millisecond;
using runtime::task;

namespace {

constexpr microseconds retry_delay = 20 * millisecond;

struct put_reply {
  std::string voter;
  rpc::reply_status status = rpc::reply_status::none;
};

task<> put_content_at(rpc::endpoint endpoint, std::string address, rpc::put_content_request request,
                      send_window window, runtime::mailbox<put_reply> replies) {
  std::string voter = request.voter;
  std::size_t bytes = request.body.size();
  window.sent(voter, bytes);
  auto result = co_await endpoint.call(std::move(address), std::move(request), round_timeout);
  auto* reply = std::get_if<rpc::put_content_reply>(&result);
  if (reply)
    window.acknowledged(voter, bytes);
  else
    window.timed_out(voter, bytes);
  replies.push({voter, reply ? reply->status : rpc::reply_status::none});
}

// The voters to send a content to. On the first try a voter whose send window is full is skipped if the
// others make a quorum; repair brings it the content later.
std::vector<voter_info> select_receivers(const view& used, const send_window& window, bool first_try) {
  std::vector<voter_info> ready;
  for (auto& voter : used.all_voters())
    if (!window.is_full(voter.id)) ready.push_back(voter);
  auto is_ready = [&ready](const std::string& id) { return contains(ready, id); };
  return first_try && used.quorum(is_ready) ? ready : used.all_voters();
}

}  // namespace

task<bool> proposer::put_content(std::string digest, std::string body, microseconds deadline, bool urgent) {
  auto self = state_;
  auto runtime = self->endpoint.runtime();
  for (int retry = 0; runtime.now() < deadline; ++retry) {
    if (self->current.voters.empty() || retry > 0) co_await refresh_view(deadline);
    view used = self->current;
    runtime::mailbox<put_reply> replies(runtime);
    auto receivers = select_receivers(used, self->window, retry == 0);
    if (receivers.size() < used.all_voters().size())
      self->endpoint.logger().count("herontally_late_voters_left_out_total");
    for (auto& voter : receivers) {
      rpc::put_content_request request{voter.id, digest, body, urgent, used.number};
      runtime.spawn(put_content_at(self->endpoint, voter.address, std::move(request), self->window, replies));
    }
    std::set<std::string> stored;
    auto has = [&stored](const std::string& id) { return stored.contains(id); };
    for (std::size_t received = 0; received < receivers.size(); ++received) {
      auto reply = co_await replies.pop(std::max<microseconds>(0, deadline - runtime.now()));
      if (!reply) break;
      if (reply->status == rpc::reply_status::ok) stored.insert(reply->voter);
      // The voter may have missed the installation of this view. One with a newer view ignores it.
      if (reply->status == rpc::reply_status::view_mismatch) self->send_view(used, reply->voter);
      // Each of these voters had this view when it stored the content. A joining voter catches up from a
      // majority that already has the next view, so that at least one of its sources lists the content.
      if (used.quorum(has)) co_return true;
    }
    co_await runtime.sleep(retry_delay);
  }
  co_return false;
}

task<std::optional<std::vector<std::string>>> proposer::fetch_chain(
    std::string digest, std::size_t length,
    std::function<bool(const std::string& digest, const std::string& body)> valid,
    std::function<std::string(const std::string& body)> previous, microseconds deadline) {
  auto self = state_;
  auto runtime = self->endpoint.runtime();
  std::vector<std::string> bodies;
  if (self->current.voters.empty()) co_await refresh_view(deadline);
  auto voters = self->current.all_voters();
  std::size_t next = voters.empty() ? 0 : runtime.draw(voters.size());
  std::size_t attempts_without_progress = 0;
  while (!digest.empty() && bodies.size() < length) {
    // Give up once every voter was asked twice without another body being read.
    if (attempts_without_progress >= voters.size() * 2 || runtime.now() >= deadline) co_return std::nullopt;
    auto& voter = voters[next % voters.size()];
    auto limit = static_cast<std::int64_t>(length - bodies.size());
    rpc::read_chain_request request{voter.id, digest, limit, self->current.number};
    auto result = co_await self->endpoint.call(voter.address, std::move(request), round_timeout);
    ++next;
    ++attempts_without_progress;
    auto* reply = std::get_if<rpc::read_chain_reply>(&result);
    if (!reply) continue;
    for (auto& body : reply->bodies) {
      // A body that doesn't match its digest is treated as missing.
      if (bodies.size() == length || !valid(digest, body)) break;
      digest = previous(body);
      bodies.push_back(std::move(body));
      attempts_without_progress = 0;
    }
  }
  if (bodies.size() != length || !digest.empty()) co_return std::nullopt;
  co_return bodies;
}

// Anti-entropy repair later brings the value to these voters.
void proposer::state::count_missed_voters(const round_result& accepted) {
  if (accepted.missed == 0) return;
  endpoint.logger().count("herontally_register_missed_total", static_cast<double>(accepted.missed));
}

}  // namespace herontally::consensus
