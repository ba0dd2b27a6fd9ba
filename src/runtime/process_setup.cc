#include "runtime/process_setup.h"

#include <signal.h>
#include <sys/resource.h>

#include <initializer_list>

namespace herontally::runtime {

namespace {

__attribute__((constructor)) void ignore_signals() {
  // SIGXFSZ: a write beyond the limit of file sizes fails with EFBIG instead, as on a full disk.
  for (int number : {SIGHUP, SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2}) signal(number, SIG_IGN);
}

void unblock_handled_signals() {
  sigset_t handled;
  sigemptyset(&handled);
  for (int number : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&handled, number);
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
  ignore_signals();
  unblock_handled_signals();
  raise_descriptor_limit();
}

}  // namespace herontally::runtime
