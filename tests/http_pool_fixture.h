// Helpers for the tests of the connection pool: a pooled request, a response, and an exchange of both.
#pragma once
#include "loopback.h"

namespace loopback {

inline rt::http_request pooled_request(const std::string& path = "/") {
  rt::http_request request;
  request.path = path;
  request.pooled = true;
  return request;
}

inline std::string make_response(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Runs a request to its end: the server sends `bytes` on its accepted connection number `index`.
inline std::shared_ptr<recorded_response> run_exchange(loop& env, rt::http_request request,
                                                       const std::string& bytes, std::size_t index = 0) {
  auto result = send_request(env, std::move(request));
  REQUIRE(
      env.run_until([&] { return env.accepted.size() > index && !env.accepted[index].received.empty(); }));
  env.accepted[index].received.clear();
  env.accepted[index].send(bytes);
  REQUIRE(env.run_until([&] { return result->finished(); }));
  return result;
}

}  // namespace loopback
