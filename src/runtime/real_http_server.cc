// HTTP/1.1 towards visitors, operators and, in the stand-ins, towards our own proxies: evhttp's server.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

#include "runtime/real_parts.h"

namespace herontally::runtime {

struct http_server_part {
  event_base* base;
  std::vector<evhttp*> servers;
  std::vector<std::unique_ptr<http_handler>> handlers;
  ~http_server_part() {
    for (auto* server : servers) evhttp_free(server);
  }
};

namespace {

// Owns the exchange until its receipt is complete; evhttp hands it over when the visitor's channel closes.
struct exchange {
  evhttp_request* request;
  std::shared_ptr<bool> alive;
  bool started = false;
  ~exchange() {
    if (request && *alive) evhttp_send_error(request, 500, nullptr);
  }
  bool usable() const { return request && *alive; }
};

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

const char* reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
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
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 412:
      return "Precondition Failed";
    case 422:
      return "Unprocessable Entity";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    default:
      return "Receipt";
  }
}

void add_headers(evhttp_request* request, const std::map<std::string, std::string>& headers) {
  auto* out = evhttp_request_get_output_headers(request);
  for (auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
}

std::shared_ptr<http_writer> make_writer(evhttp_request* request, std::shared_ptr<bool> alive) {
  auto held = std::make_shared<exchange>();
  held->request = request;
  held->alive = std::move(alive);
  auto writer = std::make_shared<http_writer>();
  writer->reply = [held](http_receipt receipt) {
    if (!held->usable()) return;
    auto* request = std::exchange(held->request, nullptr);
    add_headers(request, receipt.headers);
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, receipt.body.data(), receipt.body.size());
    evhttp_send_reply(request, receipt.status, reason_of(receipt.status), body);
    evbuffer_free(body);
  };
  writer->start = [held](int status, std::map<std::string, std::string> headers) {
    if (!held->usable()) return;
    add_headers(held->request, headers);
    held->started = true;
    evhttp_send_reply_start(held->request, status, reason_of(status));
  };
  writer->piece = [held](std::string bytes) {
    if (!held->usable() || !evhttp_request_get_connection(held->request)) return;
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(held->request, chunk);
    evbuffer_free(chunk);
  };
  writer->finish = [held] {
    if (!held->usable()) return;
    evhttp_send_reply_end(std::exchange(held->request, nullptr));
  };
  writer->closed = [held] { return !held->usable() || !evhttp_request_get_connection(held->request); };
  writer->backlog = [held]() -> std::size_t {
    if (!held->usable()) return 0;
    auto* channel = evhttp_request_get_connection(held->request);
    if (!channel) return 0;
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(channel)));
  };
  writer->cut = [held] {
    if (!held->usable()) return;
    auto* request = std::exchange(held->request, nullptr);
    auto* channel = evhttp_request_get_connection(request);
    // Freeing the channel frees the request with it; without a channel the request is ours to free.
    if (channel)
      evhttp_connection_free(channel);
    else
      evhttp_request_free(request);
  };
  return writer;
}

struct server_argument {
  http_handler handler;
  std::shared_ptr<bool> alive;
};

const char* method_of(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "HEAD";
  }
}

void on_visit(evhttp_request* request, void* raw) {
  auto* argument = static_cast<server_argument*>(raw);
  http_visit visit;
  visit.method = method_of(request);
  auto* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
  const char* query = uri ? evhttp_uri_get_query(uri) : nullptr;
  visit.path = path && *path ? path : "/";
  visit.query = query ? query : "";
  auto* headers = evhttp_request_get_input_headers(request);
  for (auto* entry = headers->tqh_first; entry; entry = entry->next.tqe_next)
    visit.headers[lower(entry->key)] = entry->value;
  evbuffer* body = evhttp_request_get_input_buffer(request);
  visit.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, visit.body.data(), visit.body.size());
  char* peer = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(request), &peer, &port);
  if (peer) visit.peer = std::string(peer) + ":" + std::to_string(port);
  argument->handler(std::move(visit), make_writer(request, argument->alive));
}

}  // namespace

struct server_holder {
  std::vector<std::unique_ptr<server_argument>> arguments;
};

std::shared_ptr<http_server_part> make_http_server(event_base* base) {
  auto part = std::make_shared<http_server_part>();
  part->base = base;
  return part;
}

void bind_http_server(const std::shared_ptr<http_server_part>& part, backend& table) {
  std::weak_ptr<http_server_part> weak = part;
  auto holder = std::make_shared<server_holder>();
  auto alive = std::shared_ptr<bool>(new bool(true));
  table.http_serve = [weak, holder, alive](std::string address, http_handler handler) {
    auto here = weak.lock();
    auto colon = address.rfind(':');
    if (!here || colon == std::string::npos) return false;
    std::string host = address.substr(0, colon);
    // A literal IPv6 address stands in brackets that evhttp doesn't want.
    if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
    holder->arguments.push_back(std::make_unique<server_argument>());
    auto* argument = holder->arguments.back().get();
    argument->handler = std::move(handler);
    argument->alive = alive;
    evhttp* server = evhttp_new(here->base);
    evhttp_set_max_body_size(server, largest_http_body);
    evhttp_set_max_headers_size(server, 32768);
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(server, on_visit, argument);
    if (evhttp_bind_socket(server, host.c_str(),
                           static_cast<ev_uint16_t>(atoi(address.c_str() + colon + 1))) != 0) {
      evhttp_free(server);
      return false;
    }
    here->servers.push_back(server);
    return true;
  };
}

}  // namespace herontally::runtime
