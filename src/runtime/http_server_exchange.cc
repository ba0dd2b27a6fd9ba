// The server's side of one exchange: answers whole or in pieces, through evhttp.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "runtime/http_server_parts.h"

namespace herontally::runtime {

namespace {

const char* reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 402:
      return "Payment Required";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

void add_headers(evhttp_request* request, const std::map<std::string, std::string>& headers) {
  auto* out = evhttp_request_get_output_headers(request);
  for (auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
}

// The functions that answer.
void bind_answer(http_writer& writer, const std::shared_ptr<server_exchange>& held) {
  writer.reply = [held](http_response response) {
    if (!held->usable()) return;
    held->on_gone = nullptr;
    auto* request = std::exchange(held->request, nullptr);
    add_headers(request, response.headers);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, reason_of(response.status), body);
    evbuffer_free(body);
  };
  writer.start = [held](int status, std::map<std::string, std::string> headers) {
    if (!held->usable()) return;
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
  writer.cut = [held] {
    if (!held->usable()) return;
    auto* request = std::exchange(held->request, nullptr);
    auto* channel = evhttp_request_get_connection(request);
    held->on_gone = nullptr;
    // Freeing the channel frees the request with it; without a channel the request is ours to free.
    if (channel)
      evhttp_connection_free(channel);
    else
      evhttp_request_free(request);
  };
  writer.last_on_connection = [held] {
    if (!held->usable()) return;
    auto* headers = evhttp_request_get_output_headers(held->request);
    evhttp_remove_header(headers, "Connection");
    evhttp_add_header(headers, "Connection", "close");
    auto part = held->part.lock();
    if (auto* channel = evhttp_request_get_connection(held->request))
      connection_of(part.get(), channel)->linger = true;
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

std::shared_ptr<http_writer> make_http_writer(const std::shared_ptr<http_server_part>& part,
                                              evhttp_request* request) {
  auto held = std::make_shared<server_exchange>();
  held->request = request;
  held->part = part;
  auto writer = std::make_shared<http_writer>();
  bind_answer(*writer, held);
  bind_connection(*writer, held);
  return writer;
}

}  // namespace herontally::runtime
