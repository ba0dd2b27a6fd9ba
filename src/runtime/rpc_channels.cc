// Messages between nodes over TCP. A frame is payload length (4 bytes, big-endian), call ID (8), kind (1) and
// payload.
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <unordered_map>

#include "runtime/event_loop_parts.h"

namespace herontally::runtime {

namespace {
constexpr std::size_t frame_header_bytes = 13;
enum : unsigned char { frame_kind_request = 0, frame_kind_reply = 1 };
// When the peer has lost power or its accept queue is full, the SYN is dropped and the kernel retransmits it
// only after a second. A channel that isn't connected by now is closed, so that the next call opens another;
// the delay between regions is some ten milliseconds.
constexpr microseconds connect_timeout = 250 * millisecond;

}  // namespace

// A call without a reply yet.
struct pending_call {
  std::function<void(call_outcome)> done;
  std::uint64_t timer = 0;
  std::uint64_t reads_at_send = 0;  // the channel's `reads` when the call was sent
};

struct rpc_transport;

// One TCP channel, outgoing (to a peer that this node calls) or accepted (from a peer that calls it).
struct channel {
  rpc_transport* transport;
  std::uint64_t id;
  std::string peer;  // address; empty for an accepted channel
  bufferevent* stream = nullptr;
  bool connected = false;
  std::uint64_t reads = 0;
  message_handler handler;
  std::unordered_map<std::uint64_t, pending_call> calls;
};

// All channels and listeners of the process.
struct rpc_transport : std::enable_shared_from_this<rpc_transport> {
  event_base* base;
  after_function after;
  cancel_function cancel;
  std::unordered_map<std::uint64_t, std::unique_ptr<channel>> channels;
  std::unordered_map<std::string, std::uint64_t> by_peer;
  std::vector<evconnlistener*> listeners;
  std::vector<std::unique_ptr<std::pair<rpc_transport*, message_handler>>> handlers;
  std::uint64_t next_id = 1;
  ~rpc_transport() {
    for (auto* listener : listeners) evconnlistener_free(listener);
    for (auto& [id, entry] : channels) bufferevent_free(entry->stream);
  }
};

// Writes directly to the socket when no output is buffered; the loop reports an error later.
static void write_frame(channel* self, std::uint64_t call_id, unsigned char kind,
                        const std::string& payload) {
  unsigned char header[frame_header_bytes];
  std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
  memcpy(header, &length, 4);
  memcpy(header + 4, &call_id, 8);
  header[12] = kind;
  std::size_t written = 0;
  if (self->connected && evbuffer_get_length(bufferevent_get_output(self->stream)) == 0) {
    iovec parts[2] = {{header, sizeof header}, {const_cast<char*>(payload.data()), payload.size()}};
    auto result = writev(bufferevent_getfd(self->stream), parts, 2);
    if (result > 0) written = static_cast<std::size_t>(result);
  }
  if (written < sizeof header) bufferevent_write(self->stream, header + written, sizeof header - written);
  std::size_t payload_written = written > sizeof header ? written - sizeof header : 0;
  if (payload_written < payload.size())
    bufferevent_write(self->stream, payload.data() + payload_written, payload.size() - payload_written);
}

static void close_channel(rpc_transport* transport, std::uint64_t id, channel_error error) {
  auto found = transport->channels.find(id);
  if (found == transport->channels.end()) return;
  auto entry = std::move(found->second);
  transport->channels.erase(found);
  auto indexed = transport->by_peer.find(entry->peer);
  if (indexed != transport->by_peer.end() && indexed->second == id) transport->by_peer.erase(indexed);
  bufferevent_free(entry->stream);
  for (auto& [call_id, call] : entry->calls) {
    transport->cancel(call.timer);
    call.done(error);
  }
}

// Handles one frame if it has arrived whole. False: the bytes are not valid framing and the channel must
// close.
static bool read_frame(channel* self, evbuffer* input) {
  unsigned char header[frame_header_bytes];
  evbuffer_copyout(input, header, sizeof header);
  std::uint32_t length;
  memcpy(&length, header, 4);
  length = ntohl(length);
  if (length > max_frame_bytes || header[12] > frame_kind_reply) return false;
  if (evbuffer_get_length(input) < frame_header_bytes + length) return true;
  std::uint64_t call_id;
  memcpy(&call_id, header + 4, 8);
  evbuffer_drain(input, frame_header_bytes);
  std::string payload(length, '\0');
  evbuffer_remove(input, payload.data(), length);
  if (header[12] == frame_kind_reply) {
    auto found = self->calls.find(call_id);
    if (found == self->calls.end()) return true;
    auto call = std::move(found->second);
    self->calls.erase(found);
    self->transport->cancel(call.timer);
    call.done(std::move(payload));
    return true;
  }
  if (!self->handler) return false;
  std::weak_ptr<rpc_transport> weak = self->transport->weak_from_this();
  std::uint64_t id = self->id;
  self->handler(std::move(payload), [weak, id, call_id](std::string reply) {
    auto transport = weak.lock();
    if (!transport) return;
    auto found = transport->channels.find(id);
    if (found == transport->channels.end()) return;
    // Handlers return an empty reply for a message that they can't parse.
    if (reply.empty()) return close_channel(transport.get(), id, channel_error::closed);
    write_frame(found->second.get(), call_id, frame_kind_reply, reply);
  });
  return true;
}

static void on_read(bufferevent* stream, void* raw) {
  auto* self = static_cast<channel*>(raw);
  auto* transport = self->transport;
  std::uint64_t id = self->id;
  ++self->reads;
  evbuffer* input = bufferevent_get_input(stream);
  while (transport->channels.contains(id) && evbuffer_get_length(input) >= frame_header_bytes) {
    std::size_t before = evbuffer_get_length(input);
    if (!read_frame(self, input)) return close_channel(transport, id, channel_error::closed);
    if (!transport->channels.contains(id) || evbuffer_get_length(input) == before) return;
  }
}

static void on_event(bufferevent*, short what, void* raw) {
  auto* self = static_cast<channel*>(raw);
  if (what & BEV_EVENT_CONNECTED) {
    self->connected = true;
    return;
  }
  close_channel(self->transport, self->id,
                self->calls.empty() ? channel_error::closed : channel_error::unreachable);
}

static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* raw) {
  auto* owned = static_cast<std::pair<rpc_transport*, message_handler>*>(raw);
  auto* transport = owned->first;
  auto entry = std::make_unique<channel>();
  entry->transport = transport;
  entry->id = transport->next_id++;
  entry->handler = owned->second;
  entry->stream =
      bufferevent_socket_new(transport->base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  entry->connected = true;
  bufferevent_setcb(entry->stream, on_read, nullptr, on_event, entry.get());
  bufferevent_enable(entry->stream, EV_READ | EV_WRITE);
  transport->channels[entry->id] = std::move(entry);
}

static void close_unless_connected(const std::weak_ptr<rpc_transport>& weak, std::uint64_t id) {
  auto transport = weak.lock();
  if (!transport) return;
  auto found = transport->channels.find(id);
  if (found == transport->channels.end() || found->second->connected) return;
  close_channel(transport.get(), id, channel_error::unreachable);
}

static channel* find_or_open_channel(rpc_transport* transport, const std::string& peer) {
  auto found = transport->by_peer.find(peer);
  if (found != transport->by_peer.end()) return transport->channels[found->second].get();
  sockaddr_storage socket_address{};
  int length = 0;
  if (!resolve_address(peer, socket_address, length)) return nullptr;
  auto entry = std::make_unique<channel>();
  entry->transport = transport;
  entry->id = transport->next_id++;
  entry->peer = peer;
  int descriptor = socket(socket_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  set_connection_options(descriptor);
  entry->stream =
      bufferevent_socket_new(transport->base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(entry->stream, on_read, nullptr, on_event, entry.get());
  bufferevent_enable(entry->stream, EV_READ | EV_WRITE);
  channel* result = entry.get();
  transport->by_peer[peer] = entry->id;
  transport->channels[entry->id] = std::move(entry);
  if (bufferevent_socket_connect(result->stream, reinterpret_cast<sockaddr*>(&socket_address), length) != 0) {
    close_channel(transport, result->id, channel_error::unreachable);
    return nullptr;
  }
  transport->after(connect_timeout, [weak = transport->weak_from_this(), id = result->id] {
    close_unless_connected(weak, id);
  });
  return result;
}

std::shared_ptr<rpc_transport> make_channels(event_base* base, after_function after, cancel_function cancel) {
  auto transport = std::make_shared<rpc_transport>();
  transport->base = base;
  transport->after = std::move(after);
  transport->cancel = std::move(cancel);
  return transport;
}

void bind_channels(const std::shared_ptr<rpc_transport>& transport, backend& table) {
  std::weak_ptr<rpc_transport> weak = transport;
  table.serve = [weak](std::string address, message_handler handler) {
    auto transport = weak.lock();
    sockaddr_storage socket_address{};
    int length = 0;
    if (!transport || !resolve_address(address, socket_address, length)) return false;
    transport->handlers.push_back(
        std::make_unique<std::pair<rpc_transport*, message_handler>>(transport.get(), std::move(handler)));
    auto* listener = evconnlistener_new_bind(transport->base, on_accept, transport->handlers.back().get(),
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
                                             reinterpret_cast<sockaddr*>(&socket_address), length);
    if (!listener) {
      transport->handlers.pop_back();
      return false;
    }
    set_connection_options(evconnlistener_get_fd(listener));
    transport->listeners.push_back(listener);
    return true;
  };
  table.call = [weak](std::string to, std::string payload, microseconds timeout,
                      std::function<void(call_outcome)> done) {
    auto transport = weak.lock();
    if (!transport) return;
    auto* peer = payload.size() > max_frame_bytes ? nullptr : find_or_open_channel(transport.get(), to);
    if (!peer) {
      auto error = payload.size() > max_frame_bytes ? channel_error::oversized : channel_error::unreachable;
      transport->after(0, [done, error] { done(error); });
      return;
    }
    std::uint64_t call_id = transport->next_id++;
    std::uint64_t id = peer->id;
    std::uint64_t timer = transport->after(timeout, [weak, id, call_id] {
      auto transport = weak.lock();
      if (!transport || !transport->channels.contains(id)) return;
      auto& calls = transport->channels[id]->calls;
      auto found = calls.find(call_id);
      if (found == calls.end()) return;
      auto pending = std::move(found->second);
      calls.erase(found);
      // Nothing was received since the call was sent: the peer may have lost power, so the next call
      // reconnects.
      if (transport->channels[id]->reads == pending.reads_at_send)
        close_channel(transport.get(), id, channel_error::timed_out);
      pending.done(channel_error::timed_out);
    });
    peer->calls[call_id] = pending_call{std::move(done), timer, peer->reads};
    write_frame(peer, call_id, frame_kind_request, payload);
  };
}

}  // namespace herontally::runtime
