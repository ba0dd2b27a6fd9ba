// Resolves addresses and sets socket options.
#include <event2/util.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "runtime/event_loop_parts.h"

namespace herontally::runtime {

bool resolve_address(const std::string& text, sockaddr_storage& out, int& length) {
  length = sizeof out;
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&out), &length) == 0)
    return text.rfind(':') != std::string::npos;
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  // A host name from the settings. The lookup blocks, which is fast for names in the local hosts file.
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (getaddrinfo(text.substr(0, colon).c_str(), text.c_str() + colon + 1, &hints, &found) != 0) return false;
  memcpy(&out, found->ai_addr, found->ai_addrlen);
  length = static_cast<int>(found->ai_addrlen);
  freeaddrinfo(found);
  return true;
}

void set_no_delay(int descriptor) {
  int one = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

void set_connection_options(int descriptor) {
  set_no_delay(descriptor);
  // An outgoing connection may get a local port that a node of this machine is to listen at. Without this
  // option on both sockets the node couldn't listen until the connection has ended.
  evutil_make_listen_socket_reuseable(descriptor);
  // A machine that lost power sends no FIN or RST: the connection ends when sent data stays unacknowledged
  // for this long.
  unsigned int silence_milliseconds = 2000;
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_milliseconds, sizeof silence_milliseconds);
}

}  // namespace herontally::runtime
