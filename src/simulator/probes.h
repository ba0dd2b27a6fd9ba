// What is asked of a site when the storm is over: does every proxy serve, is every conversation there?
#pragma once
#include "simulator/site.h"

namespace simulator {

// Every proxy, all at once, must serve a turn and a call within 12 s of this moment.
void probe_proxies(site& place, oracle& judge, microseconds since, const std::string& tail);
// Conversations must go on from where they were.
void probe_kept(site& place, oracle& judge, std::size_t most);
// Every process, engine and the platform goes at once, some by power, at times one with its disk; all begin
// again in any order within four seconds. Returns the moment of the loss.
microseconds lose_everything(site& place, std::vector<std::string>& story, const std::set<std::string>& gone);

}  // namespace simulator
