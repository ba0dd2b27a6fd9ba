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
#include "runtime/overload_manager.h"

namespace herontally::runtime {

namespace {
constexpr std::size_t frame_header_bytes = 13;
enum : unsigned char { frame_kind_request = 0, frame_kind_reply = 1 };
// When the peer has lost power or its accept queue is full, the SYN is dropped and the kernel retransmits it
// only after a second. A channel that isn't connected by now is closed, so that the next call opens another;
// the delay between regions is some ten milliseconds.
constexpr microseconds connect_timeout = 250 * millisecond;
// Of a peer that doesn't wait for replies, or doesn't read them, no more is read for a while.
constexpr std::size_t max_requests_in_progress = 4096;
constexpr std::size_t max_unread_replies_bytes = max_frame_bytes;
// What a request in progress occupies besides its payload.
constexpr std::size_t request_base_bytes = 2048;

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
  std::unique_ptr<connection_usage> usage;
  std::size_t requests_in_progress = 0;  // of an accepted channel
  bool reading_paused = false;

  std::size_t unread_output() const { return evbuffer_get_length(bufferevent_get_output(stream)); }
  void update_usage() const {
    usage->set_bytes(evbuffer_get_length(bufferevent_get_input(stream)) + unread_output());
  }
};

// All channels and listeners of the process.
struct rpc_transport : std::enable_shared_from_this<rpc_transport> {
  event_base* base;
  after_function after;
  cancel_function cancel;
  std::shared_ptr<overload_manager> overload;
  std::unordered_map<std::uint64_t, std::unique_ptr<channel>> channels;
  std::unordered_map<std::string, std::uint64_t> by_peer;
  std::vector<evconnlistener*> listeners;
  std::vector<std::unique_ptr<std::pair<rpc_transport*, message_handler>>> handlers;
  std::uint64_t next_id = 1;
  ~rpc_transport() {
    for (auto* listener : listeners) {
      overload->remove_listener(listener);
      evconnlistener_free(listener);
    }
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
  self->update_usage();
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

// Resumes reading once most replies are written; the frames that have arrived are handled from the loop.
static void resume_reading(channel* self) {
  bool resumable = self->reading_paused && self->requests_in_progress <= max_requests_in_progress / 2 &&
                   self->unread_output() <= max_unread_replies_bytes / 2;
  if (!resumable) return;
  self->reading_paused = false;
  bufferevent_enable(self->stream, EV_READ);
  bufferevent_trigger(self->stream, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

// A request whose handler may still reply. It ends with the handler's last reference to the reply function.
struct request_in_progress {
  std::weak_ptr<rpc_transport> transport;
  std::uint64_t channel_id;
  memory_reservation reservation;

  request_in_progress(channel* from, std::uint64_t id)
      : transport(from->transport->weak_from_this()), channel_id(id), reservation(from->transport->overload) {
    ++from->requests_in_progress;
  }
  ~request_in_progress() {
    auto* channel = find_channel();
    if (!channel) return;
    --channel->requests_in_progress;
    resume_reading(channel);
  }
  request_in_progress(const request_in_progress&) = delete;
  channel* find_channel() const {
    auto alive = transport.lock();
    if (!alive) return nullptr;
    auto found = alive->channels.find(channel_id);
    return found == alive->channels.end() ? nullptr : found->second.get();
  }
};

// Starts the handler of a request; false: there is no memory for it.
static bool handle_request(channel* self, std::uint64_t call_id, std::string payload) {
  auto request = std::make_shared<request_in_progress>(self, self->id);
  if (!request->reservation.grow(request_base_bytes + payload.size())) return false;
  self->handler(std::move(payload), [request, call_id](std::string reply) {
    auto* channel = request->find_channel();
    if (!channel) return;
    // Handlers return an empty reply for a message that they can't parse.
    if (reply.empty()) return close_channel(channel->transport, channel->id, channel_error::closed);
    write_frame(channel, call_id, frame_kind_reply, reply);
  });
  return true;
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
  return self->handler && handle_request(self, call_id, std::move(payload));
}

// Whether the peer must read replies before more of its requests are handled.
static bool must_pause_reading(const channel* self) {
  return self->requests_in_progress >= max_requests_in_progress ||
         self->unread_output() >= max_unread_replies_bytes;
}

static void on_read(bufferevent* stream, void* raw) {
  auto* self = static_cast<channel*>(raw);
  // A call that was deferred before the pause.
  if (self->reading_paused) return;
  auto* transport = self->transport;
  std::uint64_t id = self->id;
  ++self->reads;
  self->usage->touch();
  self->update_usage();
  evbuffer* input = bufferevent_get_input(stream);
  while (transport->channels.contains(id) && evbuffer_get_length(input) >= frame_header_bytes) {
    std::size_t before = evbuffer_get_length(input);
    if (!read_frame(self, input)) return close_channel(transport, id, channel_error::closed);
    if (!transport->channels.contains(id)) return;
    self->update_usage();
    if (evbuffer_get_length(input) == before) return;
    if (must_pause_reading(self)) {
      self->reading_paused = true;
      bufferevent_disable(stream, EV_READ);
      return;
    }
  }
}

// All output has been written.
static void on_write(bufferevent*, void* raw) {
  auto* self = static_cast<channel*>(raw);
  self->update_usage();
  resume_reading(self);
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

// Outgoing channels count as well, for the memory of replies; they aren't closed for their descriptors.
static void register_usage(channel* self) {
  bool accepted = self->peer.empty();
  auto close = [transport = self->transport, id = self->id] {
    close_channel(transport, id, channel_error::unreachable);
  };
  self->usage = std::make_unique<connection_usage>(self->transport->overload, accepted ? 1 : 0, close);
  self->usage->set_busy(!accepted);
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
  register_usage(entry.get());
  bufferevent_setcb(entry->stream, on_read, on_write, on_event, entry.get());
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
  register_usage(entry.get());
  bufferevent_setcb(entry->stream, on_read, on_write, on_event, entry.get());
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

std::shared_ptr<rpc_transport> make_channels(event_base* base, after_function after, cancel_function cancel,
                                             std::shared_ptr<overload_manager> overload) {
  auto transport = std::make_shared<rpc_transport>();
  transport->base = base;
  transport->overload =
      overload ? std::move(overload) : std::make_shared<overload_manager>(base, resource_limits{});
  transport->after = std::move(after);
  transport->cancel = std::move(cancel);
  return transport;
}

static bool listen_at(rpc_transport* transport, const std::string& address, message_handler handler) {
  sockaddr_storage socket_address{};
  int length = 0;
  if (!resolve_address(address, socket_address, length)) return false;
  transport->handlers.push_back(
      std::make_unique<std::pair<rpc_transport*, message_handler>>(transport, std::move(handler)));
  auto* listener = evconnlistener_new_bind(transport->base, on_accept, transport->handlers.back().get(),
                                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
                                           reinterpret_cast<sockaddr*>(&socket_address), length);
  if (!listener) {
    transport->handlers.pop_back();
    return false;
  }
  set_connection_options(evconnlistener_get_fd(listener));
  transport->listeners.push_back(listener);
  transport->overload->add_listener(listener);
  return true;
}

static void time_out_call(rpc_transport* transport, std::uint64_t id, std::uint64_t call_id) {
  auto channel = transport->channels.find(id);
  if (channel == transport->channels.end()) return;
  auto& calls = channel->second->calls;
  auto found = calls.find(call_id);
  if (found == calls.end()) return;
  auto pending = std::move(found->second);
  calls.erase(found);
  // Nothing was received since the call was sent: the peer may have lost power, so the next call reconnects.
  if (channel->second->reads == pending.reads_at_send) close_channel(transport, id, channel_error::timed_out);
  pending.done(channel_error::timed_out);
}

static void send_call(rpc_transport* transport, const std::string& to, const std::string& payload,
                      microseconds timeout, std::function<void(call_outcome)> done) {
  bool oversized = payload.size() > max_frame_bytes;
  auto* peer = oversized ? nullptr : find_or_open_channel(transport, to);
  if (!peer) {
    auto error = oversized ? channel_error::oversized : channel_error::unreachable;
    transport->after(0, [done, error] { done(error); });
    return;
  }
  std::uint64_t call_id = transport->next_id++;
  auto expire = [weak = transport->weak_from_this(), id = peer->id, call_id] {
    if (auto transport = weak.lock()) time_out_call(transport.get(), id, call_id);
  };
  peer->calls[call_id] = pending_call{std::move(done), transport->after(timeout, expire), peer->reads};
  write_frame(peer, call_id, frame_kind_request, payload);
}

void bind_channels(const std::shared_ptr<rpc_transport>& transport, backend& table) {
  std::weak_ptr<rpc_transport> weak = transport;
  table.serve = [weak](std::string address, message_handler handler) {
    auto transport = weak.lock();
    return transport && listen_at(transport.get(), address, std::move(handler));
  };
  table.call = [weak](std::string to, std::string payload, microseconds timeout,
                      std::function<void(call_outcome)> done) {
    if (auto transport = weak.lock()) send_call(transport.get(), to, payload, timeout, std::move(done));
  };
}

}  // namespace herontally::runtime
