// One HTTP client connection: sends a request, delivers the events of its response and reports failures.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "runtime/http_connection_pool.h"

namespace herontally::runtime {

namespace {

// Delivers what was parsed so far. The handler gets copies: it may cancel the request, which destroys this
// connection.
void deliver_response(client_connection* connection) {
  auto client = connection->client->shared_from_this();
  auto id = connection->request_id;
  auto& response = connection->response;
  std::optional<http_head> head;
  if (std::exchange(response.head_pending, false)) head = std::move(response.head);
  std::string body = std::exchange(response.body, {});
  bool complete = response.complete;
  if (complete) {
    evbuffer* input = bufferevent_get_input(connection->stream);
    evbuffer* output = bufferevent_get_output(connection->stream);
    // Surplus bytes after the response, or request bytes not yet written, would corrupt the next exchange.
    bool clean = evbuffer_get_length(input) == 0 && evbuffer_get_length(output) == 0;
    connection->request_id = 0;
    client->requests[id]->connection = 0;
    if (clean && connection->pooled && connection->reusable && connection->idle_limit != 0)
      put_idle(connection);
    else
      close_connection(connection);
  }
  if (head && !deliver_event(client.get(), id, std::move(*head))) return;
  if (!body.empty() && !deliver_event(client.get(), id, http_piece{std::move(body)})) return;
  if (complete) deliver_event(client.get(), id, http_end{});
}

void on_read(bufferevent*, void* raw) {
  auto* connection = static_cast<client_connection*>(raw);
  // No request is in progress, so these bytes are unsolicited.
  if (!connection->request_id) return close_connection(connection);
  if (!parse_response(connection)) return fail_request(connection, true);
  deliver_response(connection);
}

void on_event(bufferevent*, short what, void* raw) {
  auto* connection = static_cast<client_connection*>(raw);
  if (what & BEV_EVENT_CONNECTED) {
    connection->connected = true;
    connection->client->cancel(std::exchange(connection->connect_timer, 0));
    return send_request(connection);
  }
  if (!connection->request_id) return close_connection(connection);
  connection->reusable = false;
  if (what & BEV_EVENT_EOF) parse_end_of_stream(connection);
  if (connection->response.complete) return deliver_response(connection);
  fail_request(connection, false);
}

}  // namespace

bool deliver_event(http_client* client, std::uint64_t request, http_event event) {
  auto found = client->requests.find(request);
  if (found == client->requests.end()) return false;
  // Keeps the handler alive: it may cancel the request while it runs.
  auto notify = found->second->notify;
  if (std::holds_alternative<http_end>(event) || std::holds_alternative<http_failure>(event))
    client->requests.erase(found);
  (*notify)(std::move(event));
  return true;
}

void enable_callbacks(client_connection* connection) {
  bufferevent_setcb(connection->stream, on_read, nullptr, on_event, connection);
  bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
}

void start_request(client_connection* connection, std::uint64_t request) {
  connection->request_id = request;
  connection->client->requests[request]->connection = connection->id;
  reset_response_parser(connection);
  if (connection->connected) send_request(connection);
}

void send_request(client_connection* connection) {
  auto& request = *connection->client->requests[connection->request_id];
  // Writes directly to the socket, which nearly always accepts everything; going through the loop would cost
  // three more system calls. The loop reports an error later, so that no handler is called from within
  // http_open.
  auto result = send(bufferevent_getfd(connection->stream), request.bytes.data(), request.bytes.size(),
                     MSG_NOSIGNAL | MSG_DONTWAIT);
  std::size_t written = result > 0 ? static_cast<std::size_t>(result) : 0;
  request.sent = written > 0;
  request.buffered = request.bytes.size() - written;
  if (request.buffered)
    bufferevent_write(connection->stream, request.bytes.data() + written, request.buffered);
  request.bytes.clear();
  request.bytes.shrink_to_fit();
}

void fail_request(client_connection* connection, bool garbled) {
  auto client = connection->client->shared_from_this();
  auto id = connection->request_id;
  auto& request = *client->requests[id];
  std::size_t unsent = evbuffer_get_length(bufferevent_get_output(connection->stream));
  bool sent = request.sent || unsent < request.buffered;
  request.connection = 0;
  http_failure failure{sent, garbled, request.idle_before};
  close_connection(connection);
  deliver_event(client.get(), id, failure);
}

}  // namespace herontally::runtime
