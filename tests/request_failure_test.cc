// What the work of a request throws ends that request alone.
#include <catch2/catch.hpp>
#include <stdexcept>

#include "http_api/responses.h"
#include "rpc/endpoint.h"
#include "simulator/world.h"

using namespace herontally;
using runtime::second;
using runtime::task;

namespace {

constexpr auto* server_address = "10.0.0.1:80";
constexpr auto* inner_address = "10.0.0.1:7000";

task<int> number_or_throw(bool fails) {
  if (fails) throw std::runtime_error("no number");
  co_return 7;
}

// Throws beneath another task, before or after the head of its answer.
task<> serve(runtime::inbound_request request, http_api::writer out) {
  if (request.path == "/late") out->start(200, {});
  int number = co_await number_or_throw(request.path != "/well");
  http_api::reply_text(out, "text/plain", std::to_string(number));
}

struct site {
  simulator::world world{5};
  logging::logger logger{"server", [](auto&, auto&) {}};

  site() {
    for (auto* name : {"server", "client"}) {
      world.machine(name, "z");
      world.boot(name);
    }
    world.runtime_of("server").http_serve(server_address, [this](auto request, auto out) {
      world.runtime_of("server").spawn(http_api::serve_guarded(serve(std::move(request), out), out, logger));
    });
  }
  // The status; 0: the connection ended without a whole answer.
  int ask(const std::string& path) {
    auto status = std::make_shared<int>(-1);
    auto runtime = world.runtime_of("client");
    runtime.spawn([](runtime::handle runtime, std::string path, std::shared_ptr<int> status) -> task<> {
      runtime::http_request request;
      request.path = path;
      auto result = co_await runtime::http_fetch(runtime, server_address, request, second);
      auto* response = std::get_if<runtime::http_response>(&result);
      *status = response ? response->status : 0;
    }(runtime, path, status));
    world.run_for(2 * second);
    return *status;
  }
};

}  // namespace

// Guards against review case 2 (FAULT): an exception that leaves a request's coroutine ended the process.
TEST_CASE("a request whose work throws is answered 500, is counted, and the next one is served") {
  site here;
  CHECK(here.ask("/well") == 200);
  CHECK(here.ask("/early") == 500);
  CHECK(here.ask("/late") == 0);
  CHECK(here.ask("/well") == 200);
  CHECK(here.logger.value("herontally_request_failures_total") == 2);
}

TEST_CASE("an inner message whose handler throws is refused, and the next one is handled") {
  site here;
  rpc::endpoint server(here.world.runtime_of("server"), "server", here.logger);
  bool fails = true;
  server.serve<rpc::identify_request>([&fails](rpc::identify_request) -> task<rpc::identify_reply> {
    rpc::identify_reply reply;
    reply.voter = std::to_string(co_await number_or_throw(fails));
    co_return reply;
  });
  REQUIRE(server.listen(inner_address));
  rpc::endpoint client(here.world.runtime_of("client"), "client", here.logger);
  auto ask = [&here, &client] {
    auto voter = std::make_shared<std::string>();
    auto work = [](rpc::endpoint endpoint, std::shared_ptr<std::string> voter) -> task<> {
      rpc::identify_request request;
      auto result = co_await endpoint.call(inner_address, request, second);
      auto* reply = std::get_if<rpc::identify_reply>(&result);
      *voter = reply ? reply->voter : "failed";
    };
    here.world.runtime_of("client").spawn(work(client, voter));
    here.world.run_for(2 * second);
    return *voter;
  };
  CHECK(ask() == "failed");
  fails = false;
  CHECK(ask() == "7");
  CHECK(here.logger.value("herontally_inner_failures_total") == 1);
}
