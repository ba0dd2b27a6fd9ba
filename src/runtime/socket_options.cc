// Addresses and the options that every connection gets.
#include <event2/util.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "runtime/event_loop_parts.h"

namespace herontally::runtime {

bool find_address(const std::string& text, sockaddr_storage& out, int& length) {
  length = sizeof out;
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&out), &length) == 0)
    return text.rfind(':') != std::string::npos;
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  // A name, as operators write them: looked up at once, which for the local file of hosts is quick.
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (getaddrinfo(text.substr(0, colon).c_str(), text.c_str() + colon + 1, &hints, &found) != 0) return false;
  memcpy(&out, found->ai_addr, found->ai_addrlen);
  length = static_cast<int>(found->ai_addrlen);
  freeaddrinfo(found);
  return true;
}

void tune_listener(int descriptor) {
  int one = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

void tune_connection(int descriptor) {
  tune_listener(descriptor);
  // A machine that lost power says nothing: what it doesn't acknowledge for this long ends the connection.
  unsigned int silence_milliseconds = 2000;
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_milliseconds, sizeof silence_milliseconds);
}

}  // namespace herontally::runtime
