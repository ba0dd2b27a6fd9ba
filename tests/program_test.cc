// Tests that a daemon's process exits without waiting for static destructors, and with code 0 whenever and
// however often it is told to.
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
  // The test runner has handlers of its own.
  for (int number : runtime::termination_signals) signal(number, SIG_DFL);
  runtime::set_up_process();
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

// A child process that runs `idle_node`, and is killed if it doesn't end.
struct child_process {
  pid_t id = -1;
  int pipe_ends[2];
  child_process() {
    REQUIRE(pipe(pipe_ends) == 0);
    id = fork();
    REQUIRE(id >= 0);
    if (id == 0) run_child(pipe_ends[1]);
  }
  ~child_process() {
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }
  void wait_until_started() {
    char byte = 0;
    REQUIRE(read(pipe_ends[0], &byte, 1) == 1);
  }
  void require_code_zero(std::chrono::milliseconds timeout) {
    auto status = wait_for(id, timeout);
    if (!status) {
      kill(id, SIGKILL);
      waitpid(id, nullptr, 0);
    }
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
  }
};

}  // namespace

TEST_CASE("a process exits on SIGTERM even when the destructor of a static object blocks") {
  child_process child;
  child.wait_until_started();
  kill(child.id, SIGTERM);
  child.require_code_zero(std::chrono::seconds(10));
}

TEST_CASE("FAULT: a process that is told to end again and again until it is gone has code 0") {
  for (int number : runtime::termination_signals) {
    child_process child;
    child.wait_until_started();
    siginfo_t ended{};
    for (int sent = 0; sent < 20000 && ended.si_pid == 0; ++sent) {
      kill(child.id, number);
      std::this_thread::sleep_for(std::chrono::microseconds(100));
      waitid(P_PID, static_cast<id_t>(child.id), &ended, WEXITED | WNOHANG | WNOWAIT);
    }
    child.require_code_zero(std::chrono::seconds(10));
  }
}

#endif
