// Tests that a daemon's process exits without waiting for static destructors.
#include "runtime/program.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

// Builds with AddressSanitizer return to main so that leaks are checked; static destructors run in them.
#ifndef __SANITIZE_ADDRESS__

using namespace herontally;

namespace {

// Writes a byte to a pipe of its parent once started; leave() returns at once.
struct idle_node {
  int started;
  idle_node(runtime::handle, settings::settings, logging::logger, int pipe) : started(pipe) {}
  runtime::task<std::optional<std::string>> start() {
    char byte = 1;
    if (write(started, &byte, 1) != 1) co_return "write to the parent's pipe failed";
    co_return std::nullopt;
  }
  runtime::task<> leave() { co_return; }
};

// Stands for a library's static object whose destructor blocks.
struct blocking_static {
  ~blocking_static() { std::this_thread::sleep_for(std::chrono::seconds(60)); }
};

[[noreturn]] void run_child(int pipe) {
  static blocking_static object;
  settings::settings config;
  config.name = "child";
  config.log_level = "OFF";
  exit(runtime::run_node<idle_node>(config, "child", pipe));
}

std::optional<int> wait_for(pid_t child, std::chrono::milliseconds timeout) {
  auto deadline = std::chrono::steady_clock::now() + timeout;
  int status = 0;
  while (std::chrono::steady_clock::now() < deadline) {
    if (waitpid(child, &status, WNOHANG) == child) return status;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("a process exits on SIGTERM even when the destructor of a static object blocks") {
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) run_child(pipe_ends[1]);
  char byte = 0;
  REQUIRE(read(pipe_ends[0], &byte, 1) == 1);
  kill(child, SIGTERM);
  auto status = wait_for(child, std::chrono::seconds(10));
  if (!status) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  REQUIRE(status);
  CHECK(WIFEXITED(*status));
  CHECK(WEXITSTATUS(*status) == 0);
}

#endif
