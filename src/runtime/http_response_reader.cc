// Reads answers off a client's connection with http_parser and writes requests.
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>

#include "runtime/http_connection_pool.h"

namespace herontally::runtime {

namespace {

client_connection* connection_of(http_parser* parser) {
  return static_cast<client_connection*>(parser->data);
}

void take_field(answer_in_progress& answer) {
  if (answer.field.empty()) return;
  while (!answer.value.empty() && (answer.value.back() == ' ' || answer.value.back() == '\t'))
    answer.value.pop_back();
  std::transform(answer.field.begin(), answer.field.end(), answer.field.begin(),
                 [](unsigned char letter) { return std::tolower(letter); });
  auto [place, fresh] = answer.head.headers.try_emplace(std::move(answer.field), answer.value);
  if (!fresh) place->second += ", " + answer.value;
  answer.field.clear();
  answer.value.clear();
}

int on_message_begin(http_parser* parser) {
  connection_of(parser)->answer = {};
  return 0;
}

int on_field(http_parser* parser, const char* bytes, std::size_t size) {
  auto& answer = connection_of(parser)->answer;
  // A field's bytes after a value's: the header before is complete.
  if (std::exchange(answer.value_seen, false)) take_field(answer);
  answer.field.append(bytes, size);
  return 0;
}

int on_value(http_parser* parser, const char* bytes, std::size_t size) {
  auto& answer = connection_of(parser)->answer;
  answer.value_seen = true;
  answer.value.append(bytes, size);
  return 0;
}

// The most that an idle connection may be kept as the other side itself says.
microseconds idle_limit_of(const http_head& head) {
  auto found = head.headers.find("keep-alive");
  if (found == head.headers.end()) return -1;
  auto place = found->second.find("timeout=");
  if (place == std::string::npos) return -1;
  return std::max<microseconds>(0, atoll(found->second.c_str() + place + 8) * second - second);
}

int on_headers_complete(http_parser* parser) {
  auto* connection = connection_of(parser);
  auto& answer = connection->answer;
  take_field(answer);
  answer.closing = (parser->flags & F_CONNECTION_CLOSE) != 0;
  answer.head.status = static_cast<int>(parser->status_code);
  answer.delimited =
      answer.head.headers.contains("content-length") || answer.head.headers.contains("transfer-encoding");
  connection->idle_limit = idle_limit_of(answer.head);
  auto found = connection->part->requests.find(connection->running);
  if (found == connection->part->requests.end()) return -1;
  auto& request = found->second->request;
  if (answer.head.status < 200) {
    // We never ask for another protocol, so what would follow a 101 is no answer.
    if (answer.head.status == 101) return -1;
    answer.passed_over = true;
    return 0;
  }
  if (!request.echo_name.empty()) {
    auto echo = answer.head.headers.find(request.echo_name);
    answer.passed_over = echo == answer.head.headers.end() || echo->second != request.echo_value;
    // The other side has lost count of its answers: this connection serves no later request.
    if (answer.passed_over) connection->reusable = false;
  }
  answer.head_is_due = !answer.passed_over;
  // To HEAD comes no body, whatever Content-Length says.
  return request.method == "HEAD" ? 1 : 0;
}

int on_body(http_parser* parser, const char* bytes, std::size_t size) {
  auto& answer = connection_of(parser)->answer;
  if (!answer.passed_over) answer.body.append(bytes, size);
  return 0;
}

int on_message_complete(http_parser* parser) {
  auto* connection = connection_of(parser);
  if (connection->answer.passed_over) return 0;
  connection->answer.whole = true;
  if (!http_should_keep_alive(parser)) connection->reusable = false;
  // What lies behind the whole answer must not be read as another one.
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& settings() {
  static const http_parser_settings table = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = on_message_begin;
    made.on_header_field = on_field;
    made.on_header_value = on_value;
    made.on_headers_complete = on_headers_complete;
    made.on_body = on_body;
    made.on_message_complete = on_message_complete;
    return made;
  }();
  return table;
}

bool one_line(const std::string& text) {
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char letter) { return letter == '\r' || letter == '\n' || letter == 0; });
}

bool is_one_token(const std::string& text) {
  return !text.empty() && std::none_of(text.begin(), text.end(),
                                       [](unsigned char letter) { return letter <= ' ' || letter == 127; });
}

}  // namespace

void expect_answer(client_connection* connection) {
  http_parser_init(&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  connection->answer = {};
}

// False: these bytes are no answer.
bool parse_answer(client_connection* connection) {
  evbuffer* input = bufferevent_get_input(connection->stream);
  while (!connection->answer.whole) {
    std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0) return true;
    auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    std::size_t taken = http_parser_execute(&connection->parser, &settings(), bytes, size);
    evbuffer_drain(input, taken);
    auto problem = HTTP_PARSER_ERRNO(&connection->parser);
    if (problem != HPE_OK && problem != HPE_PAUSED) return false;
    if (taken < size && !connection->answer.whole) return false;
  }
  return true;
}

void parse_end(client_connection* connection) {
  auto& answer = connection->answer;
  // A body that ends with the connection is whole only when its head announced that.
  if (answer.delimited || answer.head.status < 200 || (connection->pooled && !answer.closing)) return;
  http_parser_execute(&connection->parser, &settings(), nullptr, 0);
}

std::string request_bytes(const std::string& address, const http_request& request) {
  std::string path = request.path.empty() ? "/" : request.path;
  if (!is_one_token(request.method) || !is_one_token(path)) return "";
  std::string bytes, host = address;
  bytes.reserve(512 + path.size() + request.body.size());
  bytes += request.method + " " + path + " HTTP/1.1\r\n";
  for (auto& [name, value] : request.headers) {
    if (!is_one_token(name) || name.find(':') != std::string::npos || !one_line(value)) return "";
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    // The framing is ours.
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
