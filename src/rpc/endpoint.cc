#include "rpc/endpoint.h"

#include "rpc/codec.h"

namespace herontally::rpc {

namespace {

constexpr const char* envelope_record = "envelope";

// Why a received message was dropped; a label of `herontally_inner_dropped_total`.
enum class drop_reason { garbage, version, unknown_kind, malformed };

const char* label_of(drop_reason reason) {
  switch (reason) {
    case drop_reason::garbage:
      return "garbage";
    case drop_reason::version:
      return "version";
    case drop_reason::unknown_kind:
      return "unknown kind";
    case drop_reason::malformed:
      return "malformed";
  }
  return "";
}

// Encodes the envelope around an encoded body; nullopt if either can't be encoded.
std::optional<std::string> encode_envelope(int version, const std::string& sender, const std::string& kind,
                                           std::optional<std::string> body) {
  if (!body) return std::nullopt;
  envelope message{version, kind, sender, std::move(*body)};
  // Simulates a newer version, which may append fields that this version doesn't know.
  if (version > protocol_version) message.body += std::string(3, '\2');
  return encode_record(envelope_record, message);
}

// Decodes an envelope of a compatible version; its body stays encoded.
std::variant<envelope, drop_reason> decode_envelope(int version, const std::string& bytes) {
  auto message = decode_record<envelope>(envelope_record, bytes);
  if (!message) return drop_reason::garbage;
  if (message->version < version - 1 || message->version > version + 1) return drop_reason::version;
  return std::move(*message);
}

// The task that handles a received request, not yet started, and the kind of its reply.
struct request_task {
  runtime::task<std::optional<std::string>> task;
  std::string reply_kind;
};

runtime::task<> run_handler(logging::logger logger, int version, std::string sender, request_task request,
                            std::function<void(std::string)> send_reply) {
  std::optional<std::string> body;
  std::string failure;
  try {
    body = co_await request.task;
  } catch (const std::exception& error) {
    failure = error.what();
  }
  if (!failure.empty()) {
    // The caller sees a closed channel, as for a request that can't be decoded.
    logger.count("herontally_inner_failures_total");
    logger.error("request handler threw an exception", {{"reply", request.reply_kind}, {"what", failure}});
    co_return send_reply("");
  }
  auto encoded = encode_envelope(version, sender, request.reply_kind, std::move(body));
  // A reply that doesn't fit the schema is a bug of this process; the caller sees a closed channel.
  if (encoded) logger.count("herontally_inner_answer_bytes_total", static_cast<double>(encoded->size()));
  send_reply(encoded ? std::move(*encoded) : std::string());
}

error to_error(runtime::channel_error failure) {
  switch (failure) {
    case runtime::channel_error::timed_out:
      return error::timed_out;
    case runtime::channel_error::closed:
      return error::refused;
    case runtime::channel_error::oversized:
      return error::malformed;
    case runtime::channel_error::unreachable:
      return error::unreachable;
  }
  return error::unreachable;
}

}  // namespace

// Shared by the copies of an endpoint.
struct endpoint::state {
  runtime::handle runtime;
  std::string sender;
  logging::logger logger;
  int version = protocol_version;
  struct registered_handler {
    std::string reply_kind;
    raw_handler handler;
  };
  std::map<std::string, registered_handler> handlers;   // by the request's kind
  std::map<std::string, std::string> request_counters;  // name of the counter of sent requests, by kind

  // The task that handles the request in `bytes`, or why the request is dropped.
  std::variant<request_task, drop_reason> make_request_task(const std::string& bytes) const;
  void count_request(const std::string& kind, std::size_t bytes);
  void drop(drop_reason reason, std::size_t bytes) const;
};

std::variant<request_task, drop_reason> endpoint::state::make_request_task(const std::string& bytes) const {
  auto received = decode_envelope(version, bytes);
  if (auto* reason = std::get_if<drop_reason>(&received)) return *reason;
  auto& message = std::get<envelope>(received);
  auto found = handlers.find(message.kind);
  if (found == handlers.end()) return drop_reason::unknown_kind;
  auto task = found->second.handler(message.body, {std::min(message.version, version), version});
  if (!task) return drop_reason::malformed;
  return request_task{std::move(*task), found->second.reply_kind};
}

void endpoint::state::count_request(const std::string& kind, std::size_t bytes) {
  auto [name, inserted] = request_counters.try_emplace(kind);
  if (inserted) name->second = "herontally_inner_asked_total{kind=\"" + kind + "\"}";
  logger.count(name->second);
  logger.count("herontally_inner_asked_bytes_total", static_cast<double>(bytes));
}

void endpoint::state::drop(drop_reason reason, std::size_t bytes) const {
  logger.count(std::string("herontally_inner_dropped_total{reason=\"") + label_of(reason) + "\"}");
  logger.warn("received message dropped", {{"reason", label_of(reason)}, {"bytes", bytes}});
}

endpoint::endpoint(runtime::handle runtime, std::string sender, logging::logger logger)
    : state_(std::make_shared<state>(state{runtime, std::move(sender), logger, protocol_version, {}, {}})) {
  // Handlers own objects that own this endpoint. Removing them breaks the reference cycle.
  runtime.on_stop([weak = std::weak_ptr<state>(state_)] {
    if (auto self = weak.lock()) self->handlers.clear();
  });
}

void endpoint::set_version(int version) { state_->version = version; }
int endpoint::version() const { return state_->version; }
const std::string& endpoint::sender() const { return state_->sender; }
runtime::handle endpoint::runtime() const { return state_->runtime; }
logging::logger endpoint::logger() const { return state_->logger; }

void endpoint::add_handler(std::string request_kind, std::string reply_kind, raw_handler handler) {
  state_->handlers[request_kind] = {std::move(reply_kind), std::move(handler)};
}

bool endpoint::listen(const std::string& address) {
  std::weak_ptr<state> weak = state_;
  auto receive = [weak](std::string bytes, std::function<void(std::string)> send_reply) {
    auto self = weak.lock();
    if (!self) return;
    auto request = self->make_request_task(bytes);
    if (auto* reason = std::get_if<drop_reason>(&request)) {
      self->drop(*reason, bytes.size());
      // An empty reply closes the channel.
      return send_reply("");
    }
    self->logger.count("herontally_inner_messages_total");
    self->logger.count("herontally_inner_bytes_total", static_cast<double>(bytes.size()));
    self->runtime.spawn(run_handler(self->logger, self->version, self->sender,
                                    std::move(std::get<request_task>(request)), std::move(send_reply)));
  };
  return state_->runtime.serve(address, receive);
}

runtime::task<outcome<endpoint::received_body>> endpoint::call_raw(std::string address,
                                                                   std::string request_kind,
                                                                   std::string reply_kind,
                                                                   std::optional<std::string> body,
                                                                   runtime::microseconds timeout) const {
  auto self = state_;
  auto encoded = encode_envelope(self->version, self->sender, request_kind, std::move(body));
  if (!encoded) {
    self->logger.error("outgoing message does not fit the schema", {{"kind", request_kind}});
    co_return error::malformed;
  }
  self->count_request(request_kind, encoded->size());
  auto result = co_await self->runtime.call(std::move(address), std::move(*encoded), timeout);
  if (auto* failed = std::get_if<runtime::channel_error>(&result)) co_return to_error(*failed);
  auto& bytes = std::get<std::string>(result);
  self->logger.count("herontally_inner_answers_received_bytes_total", static_cast<double>(bytes.size()));
  auto received = decode_envelope(self->version, bytes);
  if (!std::holds_alternative<envelope>(received)) co_return error::malformed;
  auto& message = std::get<envelope>(received);
  if (message.kind != reply_kind) co_return error::malformed;
  co_return received_body{std::move(message.body), std::min(message.version, self->version)};
}

void endpoint::report_unrecognized_status(const char* request_kind) const {
  state_->logger.count("herontally_inner_unrecognized_status_total");
  state_->logger.warn("reply has a status that this version doesn't recognize", {{"kind", request_kind}});
}

}  // namespace herontally::rpc
