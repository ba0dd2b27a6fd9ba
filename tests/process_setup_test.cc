// Signals and limits of a real machine that must not end a daemon.
#include "runtime/process_setup.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "runtime/event_loop.h"

using namespace herontally;

namespace {

// Sets a limit of this process for a scope.
struct scoped_limit {
  decltype(RLIMIT_FSIZE) resource;
  rlimit before{};
  scoped_limit(decltype(RLIMIT_FSIZE) number, rlim_t soft) : resource(number) {
    getrlimit(resource, &before);
    rlimit lowered{soft, before.rlim_max};
    setrlimit(resource, &lowered);
  }
  ~scoped_limit() { setrlimit(resource, &before); }
};

// Gives the termination signals their default action for a scope; the test runner has handlers of its own.
struct default_termination {
  struct sigaction before[std::size(runtime::termination_signals)];
  default_termination() {
    struct sigaction default_action {};
    default_action.sa_handler = SIG_DFL;
    for (std::size_t index = 0; index < std::size(before); ++index)
      sigaction(runtime::termination_signals[index], &default_action, &before[index]);
  }
  ~default_termination() {
    for (std::size_t index = 0; index < std::size(before); ++index)
      sigaction(runtime::termination_signals[index], &before[index], nullptr);
  }
};

}  // namespace

TEST_CASE("FAULT: termination signals don't end the process by themselves once the event loop is gone") {
  default_termination scope;
  runtime::set_up_process();
  { runtime::event_loop loop("/tmp"); }
  for (int number : runtime::termination_signals) REQUIRE(raise(number) == 0);
  REQUIRE(runtime::termination_requested());
}

TEST_CASE("FAULT: signals that nobody handles don't end the process, also after the event loop is gone") {
  runtime::set_up_process();
  { runtime::event_loop loop("/tmp"); }
  for (int number : {SIGHUP, SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGXCPU,
                     SIGTSTP, SIGTTIN, SIGTTOU, SIGRTMIN, SIGRTMAX})
    REQUIRE(raise(number) == 0);
}

TEST_CASE("FAULT: a write beyond the limit of file sizes counts as a full disk") {
  runtime::set_up_process();
  char directory[] = "/tmp/herontally-test-XXXXXX";
  REQUIRE(mkdtemp(directory));
  std::optional<runtime::disk_error> error;
  {
    runtime::event_loop loop(directory);
    constexpr rlim_t max_file_bytes = 1000;
    scoped_limit limit(RLIMIT_FSIZE, max_file_bytes);
    error = loop.runtime().table().disk.append("file", std::string(2 * max_file_bytes, 'x'));
  }
  std::filesystem::remove_all(directory);
  REQUIRE(error == runtime::disk_error::full);
}

TEST_CASE("the soft limit of descriptors is raised to the hard limit") {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  scoped_limit limit(RLIMIT_NOFILE, std::min<rlim_t>(before.rlim_max, 200));
  runtime::set_up_process();
  rlimit after{};
  getrlimit(RLIMIT_NOFILE, &after);
  REQUIRE(after.rlim_cur == before.rlim_max);
}
