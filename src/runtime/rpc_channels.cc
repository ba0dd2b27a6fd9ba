// Inner messages over TCP: a frame is length (4), exchange number (8), kind (1), then the payload.
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
// A machine that lost power, or has too many connections waiting, drops the opening packet, and the kernel
// sends it again only after a second. A channel that isn't open by now ends, so that the next call opens
// another; regions lie some ten milliseconds apart.
constexpr microseconds connect_timeout = 250 * millisecond;

}  // namespace

struct waiting_call {
  std::function<void(call_outcome)> done;
  std::uint64_t timer = 0;
  std::uint64_t reads_before = 0;  // what had come in on the channel when the call went out
};

struct channel_part;

// One TCP channel, either to a peer we call or from a peer that calls us.
struct channel {
  channel_part* part;
  std::uint64_t number;
  std::string peer;  // empty for an accepted channel
  bufferevent* stream = nullptr;
  bool connected = false;
  std::uint64_t reads = 0;
  message_handler handler;
  std::unordered_map<std::uint64_t, waiting_call> calls;
};

struct channel_part : std::enable_shared_from_this<channel_part> {
  event_base* base;
  after_function after;
  cancel_function cancel;
  std::unordered_map<std::uint64_t, std::unique_ptr<channel>> channels;
  std::unordered_map<std::string, std::uint64_t> by_peer;
  std::vector<evconnlistener*> listeners;
  std::vector<std::unique_ptr<std::pair<channel_part*, message_handler>>> handlers;
  std::uint64_t next = 1;
  ~channel_part() {
    for (auto* listener : listeners) evconnlistener_free(listener);
    for (auto& [number, entry] : channels) bufferevent_free(entry->stream);
  }
};

// A frame goes straight to the kernel when nothing waits before it; an error is left for the loop to find.
static void write_frame(channel* self, std::uint64_t number, unsigned char kind, const std::string& payload) {
  unsigned char head[frame_header_bytes];
  std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
  memcpy(head, &length, 4);
  memcpy(head + 4, &number, 8);
  head[12] = kind;
  std::size_t gone = 0;
  if (self->connected && evbuffer_get_length(bufferevent_get_output(self->stream)) == 0) {
    iovec parts[2] = {{head, sizeof head}, {const_cast<char*>(payload.data()), payload.size()}};
    auto taken = writev(bufferevent_getfd(self->stream), parts, 2);
    if (taken > 0) gone = static_cast<std::size_t>(taken);
  }
  if (gone < sizeof head) bufferevent_write(self->stream, head + gone, sizeof head - gone);
  std::size_t skipped = gone > sizeof head ? gone - sizeof head : 0;
  if (skipped < payload.size())
    bufferevent_write(self->stream, payload.data() + skipped, payload.size() - skipped);
}

static void close_channel(channel_part* part, std::uint64_t number, channel_error why) {
  auto found = part->channels.find(number);
  if (found == part->channels.end()) return;
  auto entry = std::move(found->second);
  part->channels.erase(found);
  auto named = part->by_peer.find(entry->peer);
  if (named != part->by_peer.end() && named->second == number) part->by_peer.erase(named);
  bufferevent_free(entry->stream);
  for (auto& [exchange, call] : entry->calls) {
    part->cancel(call.timer);
    call.done(why);
  }
}

// False closes the channel: the other side doesn't speak our framing.
static bool take_frame(channel* self, evbuffer* input) {
  unsigned char head[frame_header_bytes];
  evbuffer_copyout(input, head, sizeof head);
  std::uint32_t length;
  memcpy(&length, head, 4);
  length = ntohl(length);
  if (length > largest_frame || head[12] > frame_kind_reply) return false;
  if (evbuffer_get_length(input) < frame_header_bytes + length) return true;
  std::uint64_t exchange;
  memcpy(&exchange, head + 4, 8);
  evbuffer_drain(input, frame_header_bytes);
  std::string payload(length, '\0');
  evbuffer_remove(input, payload.data(), length);
  if (head[12] == frame_kind_reply) {
    auto found = self->calls.find(exchange);
    if (found == self->calls.end()) return true;
    auto call = std::move(found->second);
    self->calls.erase(found);
    self->part->cancel(call.timer);
    call.done(std::move(payload));
    return true;
  }
  if (!self->handler) return false;
  std::weak_ptr<channel_part> weak = self->part->weak_from_this();
  std::uint64_t number = self->number;
  self->handler(std::move(payload), [weak, number, exchange](std::string answer) {
    auto part = weak.lock();
    if (!part) return;
    auto found = part->channels.find(number);
    if (found == part->channels.end()) return;
    // An empty answer is the handler's way to say that the message was garbage.
    if (answer.empty()) return close_channel(part.get(), number, channel_error::closed);
    write_frame(found->second.get(), exchange, frame_kind_reply, answer);
  });
  return true;
}

static void on_read(bufferevent* stream, void* raw) {
  auto* self = static_cast<channel*>(raw);
  auto* part = self->part;
  std::uint64_t number = self->number;
  ++self->reads;
  evbuffer* input = bufferevent_get_input(stream);
  while (part->channels.contains(number) && evbuffer_get_length(input) >= frame_header_bytes) {
    std::size_t before = evbuffer_get_length(input);
    if (!take_frame(self, input)) return close_channel(part, number, channel_error::closed);
    if (!part->channels.contains(number) || evbuffer_get_length(input) == before) return;
  }
}

static void on_event(bufferevent*, short what, void* raw) {
  auto* self = static_cast<channel*>(raw);
  if (what & BEV_EVENT_CONNECTED) {
    self->connected = true;
    return;
  }
  close_channel(self->part, self->number,
                self->calls.empty() ? channel_error::closed : channel_error::unreachable);
}

static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* raw) {
  auto* owned = static_cast<std::pair<channel_part*, message_handler>*>(raw);
  auto* part = owned->first;
  auto entry = std::make_unique<channel>();
  entry->part = part;
  entry->number = part->next++;
  entry->handler = owned->second;
  entry->stream = bufferevent_socket_new(part->base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  entry->connected = true;
  bufferevent_setcb(entry->stream, on_read, nullptr, on_event, entry.get());
  bufferevent_enable(entry->stream, EV_READ | EV_WRITE);
  part->channels[entry->number] = std::move(entry);
}

static void end_unless_connected(const std::weak_ptr<channel_part>& weak, std::uint64_t number) {
  auto part = weak.lock();
  if (!part) return;
  auto found = part->channels.find(number);
  if (found == part->channels.end() || found->second->connected) return;
  close_channel(part.get(), number, channel_error::unreachable);
}

static channel* channel_to(channel_part* part, const std::string& peer) {
  auto found = part->by_peer.find(peer);
  if (found != part->by_peer.end()) return part->channels[found->second].get();
  sockaddr_storage where{};
  int length = 0;
  if (!find_address(peer, where, length)) return nullptr;
  auto entry = std::make_unique<channel>();
  entry->part = part;
  entry->number = part->next++;
  entry->peer = peer;
  int descriptor = socket(where.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  tune_connection(descriptor);
  entry->stream =
      bufferevent_socket_new(part->base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(entry->stream, on_read, nullptr, on_event, entry.get());
  bufferevent_enable(entry->stream, EV_READ | EV_WRITE);
  channel* result = entry.get();
  part->by_peer[peer] = entry->number;
  part->channels[entry->number] = std::move(entry);
  if (bufferevent_socket_connect(result->stream, reinterpret_cast<sockaddr*>(&where), length) != 0) {
    close_channel(part, result->number, channel_error::unreachable);
    return nullptr;
  }
  part->after(connect_timeout, [weak = part->weak_from_this(), number = result->number] {
    end_unless_connected(weak, number);
  });
  return result;
}

std::shared_ptr<channel_part> make_channels(event_base* base, after_function after, cancel_function cancel) {
  auto part = std::make_shared<channel_part>();
  part->base = base;
  part->after = std::move(after);
  part->cancel = std::move(cancel);
  return part;
}

void bind_channels(const std::shared_ptr<channel_part>& part, backend& table) {
  std::weak_ptr<channel_part> weak = part;
  table.serve = [weak](std::string address, message_handler handler) {
    auto here = weak.lock();
    sockaddr_storage where{};
    int length = 0;
    if (!here || !find_address(address, where, length)) return false;
    here->handlers.push_back(
        std::make_unique<std::pair<channel_part*, message_handler>>(here.get(), std::move(handler)));
    auto* listener = evconnlistener_new_bind(here->base, on_accept, here->handlers.back().get(),
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
                                             reinterpret_cast<sockaddr*>(&where), length);
    if (!listener) return false;
    tune_connection(evconnlistener_get_fd(listener));
    here->listeners.push_back(listener);
    return true;
  };
  table.call = [weak](std::string to, std::string payload, microseconds timeout,
                      std::function<void(call_outcome)> done) {
    auto here = weak.lock();
    if (!here) return;
    auto* peer = payload.size() > largest_frame ? nullptr : channel_to(here.get(), to);
    if (!peer) {
      auto why = payload.size() > largest_frame ? channel_error::oversized : channel_error::unreachable;
      here->after(0, [done, why] { done(why); });
      return;
    }
    std::uint64_t exchange = here->next++;
    std::uint64_t number = peer->number;
    std::uint64_t timer = here->after(timeout, [weak, number, exchange] {
      auto still = weak.lock();
      if (!still || !still->channels.contains(number)) return;
      auto& calls = still->channels[number]->calls;
      auto found = calls.find(exchange);
      if (found == calls.end()) return;
      auto waiting = std::move(found->second);
      calls.erase(found);
      // Not a byte since: the other machine may have lost power, so the next call connects anew.
      if (still->channels[number]->reads == waiting.reads_before)
        close_channel(still.get(), number, channel_error::timed_out);
      waiting.done(channel_error::timed_out);
    });
    peer->calls[exchange] = waiting_call{std::move(done), timer, peer->reads};
    write_frame(peer, exchange, frame_kind_request, payload);
  };
}

}  // namespace herontally::runtime
