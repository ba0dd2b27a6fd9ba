// Accounts for the memory of each connection of the HTTP server, and bounds how far evhttp reads ahead.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>

#include "runtime/http_server_parts.h"

namespace herontally::runtime {

namespace {

// The smallest block that libevent allocates: a body of tiny chunks, each in a segment of its own, keeps one
// for each segment.
constexpr std::size_t min_block_bytes = 1024;
// A head is kept as a list of short strings, each of which occupies many times its length.
constexpr std::size_t max_head_bytes = 64u << 10;
constexpr std::size_t head_overhead = 16;
// evhttp takes a body with a length, or a chunk, only when all of it has arrived.
constexpr std::size_t max_unprocessed_input = max_http_body_bytes + (64u << 10);
// evhttp goes on reading while it sends a response, to learn of a disconnect.
constexpr std::size_t max_pipelined_input = 64u << 10;

void update_usage(server_connection* connection) {
  connection->usage->set_bytes(connection->buffers.total());
}

void on_input_change(evbuffer*, const evbuffer_cb_info* change, void* raw) {
  if (change->n_added == 0) return;
  auto* connection = static_cast<server_connection*>(raw);
  connection->buffers.received += change->n_added;
  connection->buffers.received_cost += std::max(change->n_added, min_block_bytes);
  connection->usage->touch();
  update_usage(connection);
}

void on_output_change(evbuffer* output, const evbuffer_cb_info* change, void* raw) {
  auto* connection = static_cast<server_connection*>(raw);
  auto& unread = connection->buffers.unread_output;
  if (change->n_added > 0) unread += std::max(change->n_added, min_block_bytes);
  unread -= std::min(unread, change->n_deleted);
  // Drained or not, no less than what is still there.
  auto length = evbuffer_get_length(output);
  unread = length == 0 ? 0 : std::max(unread, length);
  update_usage(connection);
}

void set_max_input(server_connection* connection, std::size_t bytes) {
  bufferevent_setwatermark(connection->stream, EV_READ, 0, bytes);
}

// The response was sent: the next request may be read.
void on_response_sent(evhttp_request*, void* raw) {
  auto* connection = static_cast<server_connection*>(raw);
  connection->usage->set_busy(false);
  set_max_input(connection, max_unprocessed_input);
}

}  // namespace

std::size_t buffer_usage::total() const {
  return received_cost + head_overhead * std::min(received, max_head_bytes) + unread_output;
}

bufferevent* make_server_stream(event_base* base, void* raw) {
  auto* owner = static_cast<http_server*>(raw);
  auto connection = std::make_unique<server_connection>();
  auto* entry = connection.get();
  entry->owner = owner;
  entry->stream = bufferevent_socket_new(base, -1, 0);
  entry->usage =
      std::make_unique<connection_usage>(owner->overload, 1, [entry] { close_server_connection(entry); });
  entry->input_callback = evbuffer_add_cb(bufferevent_get_input(entry->stream), on_input_change, entry);
  entry->output_callback = evbuffer_add_cb(bufferevent_get_output(entry->stream), on_output_change, entry);
  set_max_input(entry, max_unprocessed_input);
  owner->accepted.push_back(std::move(connection));
  event_active(owner->adopt_event, EV_TIMEOUT, 0);
  return entry->stream;
}

void begin_exchange(server_connection* connection, evhttp_request* request) {
  auto left = evbuffer_get_length(bufferevent_get_input(connection->stream));
  connection->buffers.received = 0;
  connection->buffers.received_cost = left;
  connection->usage->set_busy(true);
  update_usage(connection);
  set_max_input(connection, max_pipelined_input);
  evhttp_request_set_on_complete_cb(request, on_response_sent, connection);
}

}  // namespace herontally::runtime
