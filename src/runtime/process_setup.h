// What a daemon sets for its whole process before anything else: signals and the limit of descriptors.
#pragma once

namespace herontally::runtime {

// Ignores the signals that must not end a daemon: SIGHUP, SIGPIPE, SIGXFSZ, SIGUSR1 and SIGUSR2. Unblocks
// those that the event loop handles, which a parent may have blocked. Raises the soft limit of descriptors to
// the hard limit. Signals are ignored already before main begins, as a new process may get one at any moment.
void set_up_process();

}  // namespace herontally::runtime
