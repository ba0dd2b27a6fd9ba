// Parses responses of a client connection with http_parser and serializes requests.
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>

#include "runtime/http_connection_pool.h"

namespace herontally::runtime {

namespace {

client_connection* connection_of(http_parser* parser) {
  return static_cast<client_connection*>(parser->data);
}

void store_header(response_in_progress& response) {
  if (response.field.empty()) return;
  while (!response.value.empty() && (response.value.back() == ' ' || response.value.back() == '\t'))
    response.value.pop_back();
  std::transform(response.field.begin(), response.field.end(), response.field.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  auto [position, inserted] = response.head.headers.try_emplace(std::move(response.field), response.value);
  if (!inserted) position->second += ", " + response.value;
  response.field.clear();
  response.value.clear();
}

int on_message_begin(http_parser* parser) {
  connection_of(parser)->response = {};
  return 0;
}

int on_field(http_parser* parser, const char* bytes, std::size_t size) {
  auto& response = connection_of(parser)->response;
  // The first bytes of a field name after a value: the previous header is complete.
  if (std::exchange(response.value_seen, false)) store_header(response);
  response.field.append(bytes, size);
  return 0;
}

int on_value(http_parser* parser, const char* bytes, std::size_t size) {
  auto& response = connection_of(parser)->response;
  response.value_seen = true;
  response.value.append(bytes, size);
  return 0;
}

// How long the server keeps an idle connection by its Keep-Alive header, less one second; -1: not stated.
microseconds idle_limit_of(const http_head& head) {
  auto found = head.headers.find("keep-alive");
  if (found == head.headers.end()) return -1;
  auto position = found->second.find("timeout=");
  if (position == std::string::npos) return -1;
  return std::max<microseconds>(0, atoll(found->second.c_str() + position + 8) * second - second);
}

int on_headers_complete(http_parser* parser) {
  auto* connection = connection_of(parser);
  auto& response = connection->response;
  store_header(response);
  response.connection_close = (parser->flags & F_CONNECTION_CLOSE) != 0;
  response.head.status = static_cast<int>(parser->status_code);
  response.delimited =
      response.head.headers.contains("content-length") || response.head.headers.contains("transfer-encoding");
  connection->idle_limit = idle_limit_of(response.head);
  auto found = connection->client->requests.find(connection->request_id);
  if (found == connection->client->requests.end()) return -1;
  auto& request = found->second->request;
  if (response.head.status < 200) {
    // No request asks for a protocol upgrade, so what follows a 101 isn't an HTTP response.
    if (response.head.status == 101) return -1;
    response.skipped = true;
    return 0;
  }
  if (!request.echo_name.empty()) {
    auto echo = response.head.headers.find(request.echo_name);
    response.skipped = echo == response.head.headers.end() || echo->second != request.echo_value;
    // The server's responses no longer match the requests: don't reuse this connection.
    if (response.skipped) connection->reusable = false;
  }
  response.head_pending = !response.skipped;
  // A response to HEAD has no body, whatever Content-Length says.
  return request.method == "HEAD" ? 1 : 0;
}

int on_body(http_parser* parser, const char* bytes, std::size_t size) {
  auto& response = connection_of(parser)->response;
  if (!response.skipped) response.body.append(bytes, size);
  return 0;
}

int on_message_complete(http_parser* parser) {
  auto* connection = connection_of(parser);
  if (connection->response.skipped) return 0;
  connection->response.complete = true;
  if (!http_should_keep_alive(parser)) connection->reusable = false;
  // Bytes after the complete response must not be parsed as another one.
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& settings() {
  static const http_parser_settings table = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = on_message_begin;
    callbacks.on_header_field = on_field;
    callbacks.on_header_value = on_value;
    callbacks.on_headers_complete = on_headers_complete;
    callbacks.on_body = on_body;
    callbacks.on_message_complete = on_message_complete;
    return callbacks;
  }();
  return table;
}

bool is_single_line(const std::string& text) {
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char letter) { return letter == '\r' || letter == '\n' || letter == 0; });
}

bool is_one_token(const std::string& text) {
  return !text.empty() && std::none_of(text.begin(), text.end(),
                                       [](unsigned char letter) { return letter <= ' ' || letter == 127; });
}

}  // namespace

void reset_response_parser(client_connection* connection) {
  http_parser_init(&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  connection->response = {};
}

bool parse_response(client_connection* connection) {
  evbuffer* input = bufferevent_get_input(connection->stream);
  while (!connection->response.complete) {
    std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0) return true;
    auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    std::size_t consumed = http_parser_execute(&connection->parser, &settings(), bytes, size);
    evbuffer_drain(input, consumed);
    auto error = HTTP_PARSER_ERRNO(&connection->parser);
    if (error != HPE_OK && error != HPE_PAUSED) return false;
    if (consumed < size && !connection->response.complete) return false;
  }
  return true;
}

void parse_end_of_stream(client_connection* connection) {
  auto& response = connection->response;
  // On a pooled connection, a body delimited by the end of the connection is complete only if the head
  // announced the close.
  if (response.delimited || response.head.status < 200 || (connection->pooled && !response.connection_close))
    return;
  http_parser_execute(&connection->parser, &settings(), nullptr, 0);
}

std::string serialize_request(const std::string& address, const http_request& request) {
  std::string path = request.path.empty() ? "/" : request.path;
  if (!is_one_token(request.method) || !is_one_token(path)) return "";
  std::string bytes, host = address;
  bytes.reserve(512 + path.size() + request.body.size());
  bytes += request.method + " " + path + " HTTP/1.1\r\n";
  for (auto& [name, value] : request.headers) {
    if (!is_one_token(name) || name.find(':') != std::string::npos || !is_single_line(value)) return "";
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    // This client sets the framing headers itself.
    if (lower == "content-length" || lower == "transfer-encoding" || lower == "connection") continue;
    if (lower == "host")
      host = value;
    else
      bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes += "Host: " + host + "\r\n";
  if (!request.pooled) bytes += "Connection: close\r\n";
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

}  // namespace herontally::runtime
