// Removes data whose retention has ended from a storage node: conversations, call records, program records,
// operation records and stored turns. What the records mean is defined in the ledger package.
#pragma once
#include "consensus/proposer.h"
#include "membership/member_list.h"
#include "replication/voter.h"

namespace herontally::storage_node {

// Runs until the process ends. Starts `expire_programs_forever`, and about every 5 s expires conversations
// and call records by changing their replicated records, and removes turn contents of earlier generations
// from the local disk.
runtime::task<> expire_forever(replication::voter voter, consensus::proposer group,
                               membership::member_list members);

// Runs until the process ends. Removes program records, operation records and stored turns from the local
// disk, according to the times that they contain. If repair from a peer brings one back meanwhile, the next
// pass removes it again.
runtime::task<> expire_programs_forever(replication::voter voter, runtime::handle runtime,
                                        logging::logger logger);

// Returns the end of a stored turn's retention, as a wall-clock time in microseconds, and the largest number
// for any other record. Voters keep it beside each record, so that expired turns are found without reading
// the records.
std::int64_t retention_end_attribute(const std::string& record, std::string_view bytes);

}  // namespace herontally::storage_node
