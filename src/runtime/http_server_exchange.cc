// The server's side of one exchange: answers whole or in pieces, through evhttp.
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
// RFC 9110, section 15, and RFC 6585.
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

const char* reason_of(int status) {
  for (auto& each : status_texts)
    if (each.status == status) return each.reason;
  return "Answer";
}

void add_headers(evhttp_request* request, const std::map<std::string, std::string>& headers) {
  auto* out = evhttp_request_get_output_headers(request);
  for (auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
}

// To be called before the head goes out.
void announce_close(const server_exchange& held) {
  auto* headers = evhttp_request_get_output_headers(held.request);
  evhttp_remove_header(headers, "Connection");
  evhttp_add_header(headers, "Connection", "close");
  auto part = held.part.lock();
  if (auto* channel = evhttp_request_get_connection(held.request))
    connection_of(part.get(), channel)->linger = true;
}

void cut_off(const std::shared_ptr<server_exchange>& held) {
  if (!held->usable()) return;
  auto* request = std::exchange(held->request, nullptr);
  auto* channel = evhttp_request_get_connection(request);
  held->on_gone = nullptr;
  // Freeing the channel frees the request with it; without a channel the request is ours to free.
  if (channel)
    evhttp_connection_free(channel);
  else
    evhttp_request_free(request);
}

// The functions that answer.
void bind_answer(http_writer& writer, const std::shared_ptr<server_exchange>& held) {
  writer.reply = [held](http_response response) {
    if (!held->usable()) return;
    if (held->head_sent) return cut_off(held);
    held->on_gone = nullptr;
    if (*held->draining) announce_close(*held);
    auto* request = std::exchange(held->request, nullptr);
    add_headers(request, response.headers);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, reason_of(response.status), body);
    evbuffer_free(body);
  };
  writer.start = [held](int status, std::map<std::string, std::string> headers) {
    if (!held->usable()) return;
    if (*held->draining) announce_close(*held);
    held->head_sent = true;
    add_headers(held->request, headers);
    evhttp_send_reply_start(held->request, status, reason_of(status));
  };
  writer.piece = [held](std::string bytes) {
    if (!held->usable() || !evhttp_request_get_connection(held->request)) return;
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(held->request, chunk);
    evbuffer_free(chunk);
  };
  writer.finish = [held] {
    if (!held->usable()) return;
    held->on_gone = nullptr;
    evhttp_send_reply_end(std::exchange(held->request, nullptr));
  };
}

// The functions that look at the client's connection, or end it.
void bind_connection(http_writer& writer, const std::shared_ptr<server_exchange>& held) {
  writer.closed = [held] {
    return held->gone || !held->usable() || !evhttp_request_get_connection(held->request);
  };
  writer.backlog = [held]() -> std::size_t {
    if (!held->usable()) return 0;
    auto* channel = evhttp_request_get_connection(held->request);
    if (!channel) return 0;
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(channel)));
  };
  writer.cut = [held] { cut_off(held); };
  writer.last_on_connection = [held] {
    if (held->usable()) announce_close(*held);
  };
  writer.on_gone = [held](std::function<void()> work) {
    held->on_gone = std::move(work);
    watch_client(held);
  };
}

}  // namespace

server_exchange::~server_exchange() {
  if (usable()) evhttp_send_error(request, 500, nullptr);
}

std::shared_ptr<http_writer> make_http_writer(const bound_server& server, evhttp_request* request) {
  auto held = std::make_shared<server_exchange>();
  held->request = request;
  held->part = server.part->weak_from_this();
  held->draining = server.draining;
  connection_of(server.part, evhttp_request_get_connection(request))->exchange = held;
  auto writer = std::make_shared<http_writer>();
  bind_answer(*writer, held);
  bind_connection(*writer, held);
  return writer;
}

}  // namespace herontally::runtime
