// The common main function of all daemons: settings, logging, event loop and graceful shutdown.
#pragma once
#include <stdio.h>
#include <stdlib.h>

#include <iostream>
#include <utility>

#include "logging/logging.h"
#include "runtime/event_loop.h"
#include "runtime/process_setup.h"
#include "runtime/resource_report.h"
#include "settings/settings.h"

namespace herontally::runtime {

// Exits without running static destructors: that of log4cplus waits for worker threads, and a process that
// hangs until it is killed keeps its machine from restarting. Builds with AddressSanitizer return to main, so
// that leaks are checked.
inline int end_process(int code) {
  std::cout.flush();
  fflush(nullptr);
#ifndef __SANITIZE_ADDRESS__
  quick_exit(code);
#endif
  return code;
}

template <class Node>
task<> start_node(Node* node, event_loop* loop, int* code, std::string role) {
  auto error = co_await node->start();
  if (!error) co_return;
  fprintf(stderr, "%s: %s\n", role.c_str(), error->c_str());
  *code = 1;
  loop->stop();
}

template <class Node>
task<> leave_and_stop(Node* node, event_loop* loop) {
  co_await node->leave();
  loop->stop();
}

// Runs a node until a termination signal and returns the exit code. `Node` has start(), which returns an
// error message on failure, and leave(), whose duration is limited by notice_milliseconds.
template <class Node, class... Extra>
int serve_until_terminated(settings::settings config, const std::string& role, Extra... extra) {
  logging::start(role, config.log_level);
  event_loop loop(config.data, make_resource_limits(config.memory_megabytes, config.max_descriptors));
  logging::logger logger(config.name);
  std::optional<Node> node;
  node.emplace(loop.runtime(), config, logger, extra...);
  int code = 0;
  loop.runtime().spawn(start_node(&*node, &loop, &code, role));
  loop.runtime().spawn(report_resources_forever(loop.runtime(), logger));
  bool leaving = false;
  auto leave = [&](int signal_number) {
    if (std::exchange(leaving, true)) return;
    logger.info("termination requested", {{"signal", signal_number}});
    loop.runtime().spawn(leave_and_stop(&*node, &loop));
    // Bounds the shutdown, even when leave() hangs.
    loop.runtime().after(config.notice_milliseconds * millisecond, [&loop, logger] {
      logger.warn("the notice is over before the shutdown");
      loop.stop();
    });
  };
  loop.on_notice(leave);
  if (termination_requested()) loop.runtime().post([&leave] { leave(SIGTERM); });
  loop.run();
  logger.info("ending", {{"exit_code", code}});
  loop.runtime().stop();
  node.reset();
  return code;
}

// Runs a node with the given settings and ends the process.
template <class Node, class... Extra>
int run_node(settings::settings config, const std::string& role, Extra... extra) {
  return end_process(serve_until_terminated<Node>(std::move(config), role, std::move(extra)...));
}

// Reads the settings from the command line, runs a node and ends the process.
template <class Node>
int run_program(int count, char** arguments, const std::string& role, const std::string& purpose) {
  set_up_process();
  return run_node<Node>(settings::from_command_line(count, arguments, role, purpose), role);
}

}  // namespace herontally::runtime
