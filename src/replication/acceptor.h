// The acceptor's side of the register protocol: makes promises and accepts durable before it replies, and
// serves what is stored. It doesn't install views, fetch records or repair peers. Internal to the replication
// package.
//
// Invariants:
// - No reply says ok before the promise or value that it confirms is synced to disk.
// - A request that names another identity or another view than the installed one is refused. The view is
//   checked again when the command is applied, since it may have changed while the command was queued.
//
// Every function below serves the request of its name. Errors are in the reply's status.
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
// An empty reply if the request is for another group or this voter is being wiped.
rpc::identify_reply identify(const replica& self, const rpc::identify_request& request);

}  // namespace herontally::replication
