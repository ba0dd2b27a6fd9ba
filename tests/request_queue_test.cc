// The order in which requests that wait for an engine are notified.
#include "router/request_queue.h"

#include <catch2/catch.hpp>

#include "simulator/world.h"

using namespace herontally;
using runtime::millisecond;

namespace {

runtime::task<> wait_in(std::shared_ptr<router::request_queue> queue, runtime::handle runtime,
                        std::int64_t urgency, std::string name,
                        std::shared_ptr<std::vector<std::string>> woken) {
  runtime::slot<bool> waiter(runtime);
  queue->add(urgency, waiter);
  co_await waiter.wait();
  woken->push_back(name);
}

}  // namespace

TEST_CASE("waiting requests are notified by urgency, then by arrival") {
  simulator::world world(5);
  world.machine("node", "z");
  world.boot("node");
  auto runtime = world.runtime_of("node");
  auto queue = std::make_shared<router::request_queue>();
  auto woken = std::make_shared<std::vector<std::string>>();
  runtime.spawn(wait_in(queue, runtime, 5, "usual", woken));
  runtime.spawn(wait_in(queue, runtime, 1, "urgent", woken));
  runtime.spawn(wait_in(queue, runtime, 5, "usual too", woken));
  world.run_for(millisecond);
  queue->notify_all();
  world.run_for(millisecond);
  CHECK(*woken == std::vector<std::string>{"urgent", "usual", "usual too"});
}
