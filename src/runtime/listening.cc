#include "runtime/listening.h"

#include <errno.h>
#include <string.h>

#include "runtime/retry_log.h"

namespace herontally::runtime {

namespace {
constexpr microseconds retry_period = 100 * millisecond;
}  // namespace

task<> listen_when_possible(handle runtime, logging::logger logger, listener wanted) {
  retry_log log(runtime, logger, "listening", {{"purpose", wanted.purpose}, {"address", wanted.address}});
  errno = 0;
  while (!wanted.listen()) {
    log.failed(errno == 0 ? "" : strerror(errno));
    co_await runtime.sleep(retry_period);
    errno = 0;
  }
  log.succeeded();
}

}  // namespace herontally::runtime
