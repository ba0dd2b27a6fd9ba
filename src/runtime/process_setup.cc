#include "runtime/process_setup.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>

namespace herontally::runtime {

namespace {

// Those of a fault in the code itself, those that no process can handle, and those that do nothing by
// default.
constexpr int signals_left_alone[] = {SIGILL,  SIGTRAP, SIGABRT, SIGBUS,  SIGFPE, SIGSEGV, SIGSYS,
                                      SIGKILL, SIGSTOP, SIGCONT, SIGCHLD, SIGURG, SIGWINCH};

volatile sig_atomic_t termination_received = 0;

void record_termination(int) { termination_received = 1; }

bool contains(const int* begin, const int* end, int number) { return std::find(begin, end, number) != end; }

// Replaces the default action, or with `also_ignored` also a parent's choice to ignore the signal; a handler
// stays.
void replace_action(int number, sighandler_t action, bool also_ignored) {
  struct sigaction current {};
  if (sigaction(number, nullptr, &current) != 0) return;
  bool replaced = current.sa_handler == SIG_DFL || (also_ignored && current.sa_handler == SIG_IGN);
  if (replaced) signal(number, action);
}

// SIGXFSZ among the ignored ones: a write beyond the limit of file sizes fails with EFBIG instead, as on a
// full disk.
void replace_default_actions() {
  for (int number : termination_signals) replace_action(number, record_termination, true);
  for (int number = 1; number < NSIG; ++number)
    if (!contains(std::begin(signals_left_alone), std::end(signals_left_alone), number))
      replace_action(number, SIG_IGN, false);
}

// A file or socket that is opened later would get the number of a closed standard stream, and then what is
// written there.
void open_closed_standard_streams() {
  for (int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    if (fcntl(descriptor, F_GETFD) < 0) open("/dev/null", O_RDWR);
}

// Runs before the constructors of all libraries, some of which start threads.
void set_up_before_libraries(int, char**, char**) {
  replace_default_actions();
  open_closed_standard_streams();
}

__attribute__((section(".preinit_array"),
               used)) void (*const before_libraries)(int, char**, char**) = set_up_before_libraries;

void unblock_handled_signals() {
  sigset_t handled;
  sigemptyset(&handled);
  sigaddset(&handled, SIGHUP);
  for (int number : termination_signals) sigaddset(&handled, number);
  sigprocmask(SIG_UNBLOCK, &handled, nullptr);
}

// A common soft limit is 1024, for programs that use select(). If it can't be raised, it stays.
void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == limit.rlim_max) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

void set_up_process() {
  replace_default_actions();
  unblock_handled_signals();
  raise_descriptor_limit();
}

bool termination_requested() { return termination_received != 0; }

}  // namespace herontally::runtime
