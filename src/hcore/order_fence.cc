// Fences for operators' orders that carry no version of their own.
#include "hcore/node_state.h"

namespace herontally::hcore {

constexpr microseconds heartbeat_period = 100 * millisecond;
// Callers give up after a second of silence.
constexpr microseconds longest_standstill = 800 * millisecond;

// An order that names a set, such as an evacuation, is not fenced by a version: a copy of it that was held up
// on its way must not undo what was acknowledged since. Its caller waits a second for an answer and then
// closes. So an order is not carried out once its caller has closed, nor right after this process stood still
// for so long that callers whose requests had come in before have given up.
caller_check node::state::caller_gone(gateway::writer out) {
  std::weak_ptr<state> weak = shared_from_this();
  return [weak, out] {
    auto here = weak.lock();
    return !here || out->closed() || here->stood_still();
  };
}

bool node::state::stood_still() const {
  auto now = runtime.now();
  return now - last_heartbeat > longest_standstill || now < standstill_ended + longest_standstill / 4;
}

task<> node::state::watch_standstill() {
  auto self = shared_from_this();
  self->last_heartbeat = self->runtime.now();
  while (true) {
    co_await self->runtime.sleep(heartbeat_period);
    auto now = self->runtime.now();
    if (now - self->last_heartbeat > longest_standstill) {
      self->standstill_ended = now;
      self->logger.warn("this process stood still",
                        {{"milliseconds", (now - self->last_heartbeat) / millisecond}});
    }
    self->last_heartbeat = now;
  }
}

}  // namespace herontally::hcore
