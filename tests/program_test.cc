// The end of a daemon's process.
#include "runtime/program.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

// Builds with a sanitizer return to main, so that leaks are looked for: there is no such end in them.
#ifndef __SANITIZE_ADDRESS__

using namespace herontally;

namespace {

// Tells its parent when it has started, and leaves at once.
struct idle_node {
  int started;
  idle_node(runtime::handle, settings::settings, logging::logger, int pipe) : started(pipe) {}
  runtime::task<std::optional<std::string>> start() {
    char byte = 1;
    if (write(started, &byte, 1) != 1) co_return "the parent is gone";
    co_return std::nullopt;
  }
  runtime::task<> leave() { co_return; }
};

// A library's static object that waits at the end of the process for what never comes.
struct endless_static {
  ~endless_static() { std::this_thread::sleep_for(std::chrono::seconds(60)); }
};

[[noreturn]] void run_child(int pipe) {
  static endless_static object;
  settings::settings place;
  place.name = "child";
  place.log_level = "OFF";
  exit(runtime::run_place<idle_node>(place, "child", pipe));
}

std::optional<int> wait_for(pid_t child, std::chrono::milliseconds most) {
  auto until = std::chrono::steady_clock::now() + most;
  int status = 0;
  while (std::chrono::steady_clock::now() < until) {
    if (waitpid(child, &status, WNOHANG) == child) return status;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("a process ends on its notice, whatever static objects would still wait for") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) run_child(ends[1]);
  char byte = 0;
  REQUIRE(read(ends[0], &byte, 1) == 1);
  kill(child, SIGTERM);
  auto status = wait_for(child, std::chrono::seconds(10));
  if (!status) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  close(ends[0]);
  close(ends[1]);
  REQUIRE(status);
  CHECK(WIFEXITED(*status));
  CHECK(WEXITSTATUS(*status) == 0);
}

#endif
