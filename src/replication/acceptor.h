// The acceptor's side of the protocol: promises and accepts, durable before they are answered, and answers
// what is stored. Internal to the replication package.
//
// Invariants:
// - No reply says ok before what it promises is synced.
// - A request that names another identity or another view than the installed one is refused. It is checked
// again when
//   the command's turn comes, since the view may have changed while it was queued.
#pragma once
#include "replication/replica.h"

namespace herontally::replication {

runtime::task<rpc::vote_reply> vote(std::shared_ptr<replica> self, rpc::vote_request request);
runtime::task<rpc::put_content_reply> put_content(std::shared_ptr<replica> self,
                                                  rpc::put_content_request request);
rpc::read_chain_reply read_chain(const replica& self, const rpc::read_chain_request& request);
rpc::list_records_reply list_records(const replica& self, const rpc::list_records_request& request);
rpc::read_records_reply read_records(const replica& self, const rpc::read_records_request& request);
rpc::checksums_reply checksums(const replica& self, const rpc::checksums_request& request);
rpc::identify_reply identify(const replica& self, const rpc::identify_request& request);

}  // namespace herontally::replication
