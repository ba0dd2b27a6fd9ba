// What a daemon sets for its whole process before anything else: signals, standard streams and the limit of
// descriptors.
#pragma once

#include <signal.h>

namespace herontally::runtime {

// The signals that tell a daemon to end.
inline constexpr int termination_signals[] = {SIGTERM, SIGINT, SIGQUIT};

// Replaces the default action of every signal that would end or stop a daemon, but for those of faults in the
// code: termination signals are recorded, all others ignored. Unblocks those that the event loop handles,
// which a parent may have blocked. Raises the soft limit of descriptors to the hard limit.
//
// A program that links this has its signals and closed standard streams set up already before the
// constructors of its libraries run, as a new process may get a signal at any moment.
void set_up_process();

// Whether a termination signal arrived while no event loop handled them.
bool termination_requested();

}  // namespace herontally::runtime
