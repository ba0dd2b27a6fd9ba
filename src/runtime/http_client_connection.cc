// One connection of the client: sends its request, tells what comes back, and ends.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "runtime/http_connection_pool.h"

namespace herontally::runtime {

namespace {

// The handler gets copies: it may cancel the request, which destroys this connection.
void tell(client_connection* connection) {
  auto part = connection->part->shared_from_this();
  auto number = connection->running;
  auto& answer = connection->answer;
  std::optional<http_head> head;
  if (std::exchange(answer.head_is_due, false)) head = std::move(answer.head);
  std::string body = std::exchange(answer.body, {});
  bool whole = answer.whole;
  if (whole) {
    evbuffer* input = bufferevent_get_input(connection->stream);
    evbuffer* output = bufferevent_get_output(connection->stream);
    // Bytes behind the answer or a request that hasn't gone out yet: the next request would get mixed up.
    bool clean = evbuffer_get_length(input) == 0 && evbuffer_get_length(output) == 0;
    connection->running = 0;
    part->requests[number]->connection = 0;
    if (clean && connection->pooled && connection->reusable && connection->idle_limit != 0)
      put_idle(connection);
    else
      close_connection(connection);
  }
  if (head && !emit(part.get(), number, std::move(*head))) return;
  if (!body.empty() && !emit(part.get(), number, http_piece{std::move(body)})) return;
  if (whole) emit(part.get(), number, http_end{});
}

void on_read(bufferevent*, void* raw) {
  auto* connection = static_cast<client_connection*>(raw);
  // Nobody asked for these bytes.
  if (!connection->running) return close_connection(connection);
  if (!parse_answer(connection)) return fail_request(connection, true);
  tell(connection);
}

void on_event(bufferevent*, short what, void* raw) {
  auto* connection = static_cast<client_connection*>(raw);
  if (what & BEV_EVENT_CONNECTED) {
    connection->connected = true;
    connection->part->cancel(std::exchange(connection->connect_timer, 0));
    return send_request(connection);
  }
  if (!connection->running) return close_connection(connection);
  connection->reusable = false;
  if (what & BEV_EVENT_EOF) parse_end(connection);
  if (connection->answer.whole) return tell(connection);
  fail_request(connection, false);
}

}  // namespace

bool emit(http_client_part* part, std::uint64_t request, http_event event) {
  auto found = part->requests.find(request);
  if (found == part->requests.end()) return false;
  // Held here, since the handler may cancel the request meanwhile.
  auto notify = found->second->notify;
  if (std::holds_alternative<http_end>(event) || std::holds_alternative<http_failure>(event))
    part->requests.erase(found);
  (*notify)(std::move(event));
  return true;
}

void watch_connection(client_connection* connection) {
  bufferevent_setcb(connection->stream, on_read, nullptr, on_event, connection);
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

void start_request(client_connection* connection, std::uint64_t request) {
  connection->running = request;
  connection->part->requests[request]->connection = connection->number;
  expect_answer(connection);
  if (connection->connected) send_request(connection);
}

void send_request(client_connection* connection) {
  auto& request = *connection->part->requests[connection->running];
  // Straight to the kernel, which nearly always takes all; waiting for the loop would cost three calls more.
  // An error is left for the loop to find, so that no handler is called from within http_open.
  auto taken = send(bufferevent_getfd(connection->stream), request.bytes.data(), request.bytes.size(),
                    MSG_NOSIGNAL | MSG_DONTWAIT);
  std::size_t gone = taken > 0 ? static_cast<std::size_t>(taken) : 0;
  request.sent = gone > 0;
  request.buffered = request.bytes.size() - gone;
  if (request.buffered) bufferevent_write(connection->stream, request.bytes.data() + gone, request.buffered);
  request.bytes.clear();
  request.bytes.shrink_to_fit();
}

void fail_request(client_connection* connection, bool garbled) {
  auto part = connection->part->shared_from_this();
  auto number = connection->running;
  auto& request = *part->requests[number];
  std::size_t left = evbuffer_get_length(bufferevent_get_output(connection->stream));
  bool sent = request.sent || left < request.buffered;
  request.connection = 0;
  http_failure failure{sent, garbled, request.idle_before};
  close_connection(connection);
  emit(part.get(), number, failure);
}

}  // namespace herontally::runtime
