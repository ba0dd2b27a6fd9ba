// An exception thrown by a request's handler ends that request only.
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
constexpr auto* rpc_address = "10.0.0.1:7000";

task<int> number_or_throw(bool fails) {
  if (fails) throw std::runtime_error("no number");
  co_return 7;
}

// Throws inside a nested task, before the response head or, for /late, after it.
task<> serve(runtime::inbound_request request, http_api::writer out) {
  if (request.path == "/late") out->start(200, {});
  int number = co_await number_or_throw(request.path != "/well");
  http_api::reply_text(out, "text/plain", std::to_string(number));
}

struct server_fixture {
  simulator::world world{5};
  logging::logger logger{"server", [](auto&, auto&) {}};

  server_fixture() {
    for (auto* name : {"server", "client"}) {
      world.machine(name, "z");
      world.boot(name);
    }
    world.runtime_of("server").http_serve(server_address, [this](auto request, auto out) {
      world.runtime_of("server").spawn(http_api::serve_guarded(serve(std::move(request), out), out, logger));
    });
  }
  // The status of the response; 0: the connection ended without a complete response.
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

// Review case 2 (FAULT): an exception that left a request's coroutine ended the process.
TEST_CASE("a request whose handler throws gets 500 and is counted, and the next one is served") {
  server_fixture fixture;
  CHECK(fixture.ask("/well") == 200);
  CHECK(fixture.ask("/early") == 500);
  CHECK(fixture.ask("/late") == 0);
  CHECK(fixture.ask("/well") == 200);
  CHECK(fixture.logger.value("herontally_request_failures_total") == 2);
}

TEST_CASE("an RPC message whose handler throws fails and is counted, and the next one is handled") {
  server_fixture fixture;
  rpc::endpoint server(fixture.world.runtime_of("server"), "server", fixture.logger);
  bool fails = true;
  server.serve<rpc::identify_request>([&fails](rpc::identify_request) -> task<rpc::identify_reply> {
    rpc::identify_reply reply;
    reply.voter = std::to_string(co_await number_or_throw(fails));
    co_return reply;
  });
  REQUIRE(server.listen(rpc_address));
  rpc::endpoint client(fixture.world.runtime_of("client"), "client", fixture.logger);
  auto ask = [&fixture, &client] {
    auto voter = std::make_shared<std::string>();
    auto work = [](rpc::endpoint endpoint, std::shared_ptr<std::string> voter) -> task<> {
      rpc::identify_request request;
      auto result = co_await endpoint.call(rpc_address, request, second);
      auto* reply = std::get_if<rpc::identify_reply>(&result);
      *voter = reply ? reply->voter : "failed";
    };
    fixture.world.runtime_of("client").spawn(work(client, voter));
    fixture.world.run_for(2 * second);
    return *voter;
  };
  CHECK(ask() == "failed");
  fails = false;
  CHECK(ask() == "7");
  CHECK(fixture.logger.value("herontally_inner_failures_total") == 1);
}
