// What the tests of kept connections share: a request, an answer, and one exchange of both.
#pragma once
#include "loopback.h"

namespace loopback {

inline rt::http_request pooled(const std::string& path = "/") {
  rt::http_request request;
  request.path = path;
  request.pooled = true;
  return request;
}

inline std::string answer(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// One request to its end, answered with these bytes on the connection of this index.
inline std::shared_ptr<told> exchange(loop& here, rt::http_request request, const std::string& bytes,
                                      std::size_t index = 0) {
  auto result = ask(here, std::move(request));
  REQUIRE(here.until([&] { return here.accepted.size() > index && !here.accepted[index].received.empty(); }));
  here.accepted[index].received.clear();
  here.accepted[index].send(bytes);
  REQUIRE(here.until([&] { return result->over(); }));
  return result;
}

}  // namespace loopback
