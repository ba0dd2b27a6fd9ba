// Checks of a site after its faults have ended: every proxy must serve and stored conversations must
// continue. They report violations to the oracle and inject no faults, except for the final loss of all
// machines.
#pragma once
#include "simulator/site.h"

namespace simulator {

// Probes all proxies concurrently: each must serve a turn and a call within 12 s of `since` (virtual time). A
// proxy that doesn't violates the rule "service". `suffix` names the probe in the names of its programs.
void probe_proxies(site& target, oracle& checker, microseconds since, const std::string& suffix);
// Continues up to `limit` stored conversations from where they were; one that can't be continued within 15 s
// violates the rule "kept".
void probe_kept_programs(site& target, oracle& checker, std::size_t limit);
// Kills all nodes, engines and the platform at once; some lose unsynced data and sometimes one loses its
// whole disk. All boot again within 4 s, in random order, except the machines in `removed` that are down.
// Returns the virtual time of the loss.
microseconds kill_all_machines(site& target, std::vector<std::string>& fault_log,
                               const std::set<std::string>& removed);

}  // namespace simulator
