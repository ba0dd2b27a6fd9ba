// What every daemon's main has in common: settings, logs, loop, notice.
#pragma once
#include <stdio.h>
#include <stdlib.h>

#include <iostream>

#include "logging/logging.h"
#include "runtime/event_loop.h"
#include "runtime/resource_report.h"
#include "settings/settings.h"

namespace herontally::runtime {

// Ends the process once its work is done, without static destructors: that of log4cplus waits for worker
// threads, and a process that stays until it is killed keeps its machine from starting again. Builds with a
// sanitizer return to main as usual, so that leaks are looked for.
inline int end_process(int code) {
  std::cout.flush();
  fflush(nullptr);
#ifndef __SANITIZE_ADDRESS__
  quick_exit(code);
#endif
  return code;
}

// `Node` has start(), which tells what stands in the way, and leave(), which is bounded by the notice.
template <class Node, class... Extra>
int serve_until_notice(settings::settings place, const std::string& role, Extra... extra) {
  logging::start(role, place.log_level);
  event_loop loop(place.data);
  logging::logger logger(place.name);
  std::optional<Node> node;
  node.emplace(loop.runtime(), place, logger, extra...);
  int code = 0;
  auto begin = [](Node* started, event_loop* owner, int* result, std::string name) -> task<> {
    auto fault = co_await started->start();
    if (!fault) co_return;
    fprintf(stderr, "%s: %s\n", name.c_str(), fault->c_str());
    *result = 1;
    owner->stop();
  };
  loop.runtime().spawn(begin(&*node, &loop, &code, role));
  loop.runtime().spawn(report_resources_forever(loop.runtime(), logger));
  bool leaving = false;
  loop.on_notice([&] {
    if (leaving) return;
    leaving = true;
    auto end = [](Node* started, event_loop* owner) -> task<> {
      co_await started->leave();
      owner->stop();
    };
    loop.runtime().spawn(end(&*node, &loop));
    // Whatever hangs must not outlast the notice.
    loop.runtime().after(place.notice_milliseconds * millisecond, [&loop] { loop.stop(); });
  });
  loop.run();
  loop.runtime().stop();
  node.reset();
  return code;
}

template <class Node, class... Extra>
int run_place(settings::settings place, const std::string& role, Extra... extra) {
  return end_process(serve_until_notice<Node>(std::move(place), role, std::move(extra)...));
}

template <class Node>
int run_program(int count, char** arguments, const std::string& role, const std::string& purpose) {
  return run_place<Node>(settings::from_command_line(count, arguments, role, purpose), role);
}

}  // namespace herontally::runtime
