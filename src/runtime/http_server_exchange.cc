// The server's side of one exchange: sends a response whole or in chunks through evhttp.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "runtime/http_server_parts.h"

namespace herontally::runtime {

namespace {

struct status_text {
  int status;
  const char* reason;
};
// Reason phrases of RFC 9110, section 15, and RFC 6585.
constexpr status_text status_texts[] = {
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {402, "Payment Required"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Entity"},
    {428, "Precondition Required"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
};

const char* reason_phrase(int status) {
  for (auto& each : status_texts)
    if (each.status == status) return each.reason;
  return "Answer";
}

// Adds a long text without copying it.
void add_text(evbuffer* out, std::string text) {
  constexpr std::size_t min_referenced_bytes = 64u << 10;
  if (text.size() < min_referenced_bytes) {
    evbuffer_add(out, text.data(), text.size());
    return;
  }
  auto owned = std::make_unique<std::string>(std::move(text));
  auto* kept = owned.get();
  auto free_text = [](const void*, std::size_t, void* raw) { delete static_cast<std::string*>(raw); };
  if (evbuffer_add_reference(out, kept->data(), kept->size(), free_text, kept) != 0) return;
  // The buffer frees it.
  static_cast<void>(owned.release());
}

void add_headers(evhttp_request* request, const std::map<std::string, std::string>& headers) {
  auto* out = evhttp_request_get_output_headers(request);
  for (auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
}

// Must be called before the head is sent.
void announce_close(const server_exchange& exchange) {
  auto* headers = evhttp_request_get_output_headers(exchange.request);
  evhttp_remove_header(headers, "Connection");
  evhttp_add_header(headers, "Connection", "close");
  auto owner = exchange.owner.lock();
  auto* channel = evhttp_request_get_connection(exchange.request);
  auto* connection = channel ? connection_of(owner.get(), channel) : nullptr;
  if (connection) connection->linger_on_close = true;
}

void abort_connection(const std::shared_ptr<server_exchange>& exchange) {
  if (!exchange->usable()) return;
  auto* request = std::exchange(exchange->request, nullptr);
  auto* channel = evhttp_request_get_connection(request);
  exchange->on_gone = nullptr;
  // Freeing the connection frees its request; a request without a connection is freed here.
  if (channel)
    evhttp_connection_free(channel);
  else
    evhttp_request_free(request);
}

// Sets the functions that send the response.
void bind_response(http_writer& writer, const std::shared_ptr<server_exchange>& exchange) {
  writer.reply = [exchange](http_response response) {
    if (!exchange->usable()) return;
    if (exchange->head_sent) return abort_connection(exchange);
    exchange->on_gone = nullptr;
    if (*exchange->draining) announce_close(*exchange);
    auto* request = std::exchange(exchange->request, nullptr);
    add_headers(request, response.headers);
    evbuffer* body = evbuffer_new();
    add_text(body, std::move(response.body));
    evhttp_send_reply(request, response.status, reason_phrase(response.status), body);
    evbuffer_free(body);
  };
  writer.start = [exchange](int status, std::map<std::string, std::string> headers) {
    if (!exchange->usable()) return;
    if (*exchange->draining) announce_close(*exchange);
    exchange->head_sent = true;
    add_headers(exchange->request, headers);
    evhttp_send_reply_start(exchange->request, status, reason_phrase(status));
  };
  writer.piece = [exchange](std::string bytes) {
    if (!exchange->usable() || !evhttp_request_get_connection(exchange->request)) return;
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(exchange->request, chunk);
    evbuffer_free(chunk);
  };
  writer.finish = [exchange] {
    if (!exchange->usable()) return;
    exchange->on_gone = nullptr;
    evhttp_send_reply_end(std::exchange(exchange->request, nullptr));
  };
}

// Sets the functions that inspect or end the client's connection.
void bind_connection(http_writer& writer, const std::shared_ptr<server_exchange>& exchange) {
  writer.closed = [exchange] {
    return exchange->client_disconnected || !exchange->usable() ||
           !evhttp_request_get_connection(exchange->request);
  };
  writer.backlog = [exchange]() -> std::size_t {
    if (!exchange->usable()) return 0;
    auto* channel = evhttp_request_get_connection(exchange->request);
    if (!channel) return 0;
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(channel)));
  };
  writer.reserve = [exchange](std::size_t bytes) { return exchange->reservation->grow(bytes); };
  writer.cut = [exchange] { abort_connection(exchange); };
  writer.last_on_connection = [exchange] {
    if (exchange->usable()) announce_close(*exchange);
  };
  writer.on_gone = [exchange](std::function<void()> callback) {
    exchange->on_gone = std::move(callback);
    watch_client(exchange);
  };
}

}  // namespace

server_exchange::~server_exchange() {
  if (usable()) evhttp_send_error(request, 500, nullptr);
}

std::shared_ptr<http_writer> make_http_writer(const bound_server& server, evhttp_request* request,
                                              std::unique_ptr<memory_reservation> reservation) {
  auto exchange = std::make_shared<server_exchange>();
  exchange->request = request;
  exchange->owner = server.owner->weak_from_this();
  exchange->draining = server.draining;
  exchange->reservation = std::move(reservation);
  connection_of(server.owner, evhttp_request_get_connection(request))->exchange = exchange;
  auto writer = std::make_shared<http_writer>();
  bind_response(*writer, exchange);
  bind_connection(*writer, exchange);
  return writer;
}

}  // namespace herontally::runtime
