// A voter that receives more writes than its disk can store.
#include "heap_meter.h"
#include "replica_group_fixture.h"

using namespace herontally;
using runtime::millisecond;
using runtime::second;
using tests::group;

namespace {

// Memory of the smallest storage machines that the users have. Half of it is left for the index of the
// records.
constexpr std::size_t smallest_store_memory = 57u << 20;
constexpr std::size_t max_held_memory = smallest_store_memory / 2;
constexpr std::size_t body_bytes = 24 << 10;
constexpr int puts_in_burst = 40;
constexpr int bursts = 100;

struct put_results {
  int answered = 0, stored = 0;
};

runtime::task<> put(rpc::endpoint from, std::string address, rpc::put_content_request request,
                    std::shared_ptr<put_results> results) {
  auto result = co_await from.call(std::move(address), std::move(request), 600 * millisecond);
  auto* reply = std::get_if<rpc::put_content_reply>(&result);
  if (!reply) co_return;
  ++results->answered;
  results->stored += reply->status == rpc::reply_status::ok ? 1 : 0;
}

}  // namespace

// Guards against issue 37: storage nodes with 57 MB of memory terminated by themselves.
TEST_CASE("FAULT: a storage node whose disk hangs holds no more writes than fit its memory") {
  group site(7);
  auto writer = site.begin();
  auto results = std::make_shared<put_results>();
  auto view = writer.current_view().number;
  site.world.find("s1").disk.sync_time = 20 * second;
  auto before = tests::current_heap_usage().live;
  tests::reset_heap_peak();
  for (int burst = 0; burst < bursts; ++burst) {
    for (int number = 0; number < puts_in_burst; ++number) {
      rpc::put_content_request request;
      request.voter = site.voters["s1"]->id();
      request.digest = "turn/" + std::to_string(burst * puts_in_burst + number);
      request.body = std::string(body_bytes, 'x');
      request.view = view;
      site.world.runtime_of("w").spawn(put(writer.endpoint(), group::address("s1"), request, results));
    }
    site.world.run_for(20 * millisecond);
  }
  std::size_t held = tests::current_heap_usage().peak - before;
  INFO("held at the most " << (held >> 10) << " kB of " << (bursts * puts_in_burst * body_bytes >> 10)
                           << " kB offered; " << results->answered << " answered");
  REQUIRE(held < max_held_memory);
  // No write is acknowledged before it is on disk, and those beyond the limit are refused at once.
  REQUIRE(results->stored == 0);
  REQUIRE(results->answered > 0);
}
