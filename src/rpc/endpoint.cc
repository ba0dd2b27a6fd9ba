#include "rpc/endpoint.h"

#include "rpc/codec.h"

namespace herontally::rpc {

namespace {

constexpr const char* envelope_record = "envelope";

// Why a message was dropped; the values label a metric.
enum class drop_reason { garbage, version, unknown_kind, malformed };

const char* name_of(drop_reason reason) {
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

// The message around a body; nothing if that can't be sent.
std::optional<std::string> seal(int version, const std::string& sender, const std::string& kind,
                                std::optional<std::string> body) {
  if (!body) return std::nullopt;
  envelope cover{version, kind, sender, std::move(*body)};
  // As a version after ours might: something after the fields that we know.
  if (version > protocol_version) cover.body += std::string(3, '\2');
  return encode_record(envelope_record, cover);
}

std::variant<envelope, drop_reason> unseal(int version, const std::string& bytes) {
  auto cover = decode_record<envelope>(envelope_record, bytes);
  if (!cover) return drop_reason::garbage;
  if (cover->version < version - 1 || cover->version > version + 1) return drop_reason::version;
  return std::move(*cover);
}

// A request with the task that handles it, and what its reply is sent as.
struct opened_request {
  runtime::task<std::optional<std::string>> handling;
  std::string reply_kind;
};

runtime::task<> run_handler(logging::logger logger, int version, std::string sender, opened_request request,
                            std::function<void(std::string)> send_reply) {
  std::optional<std::string> body;
  std::string failure;
  try {
    body = co_await request.handling;
  } catch (const std::exception& error) {
    failure = error.what();
  }
  if (!failure.empty()) {
    // To the caller it is a message that nobody could read.
    logger.count("herontally_inner_failures_total");
    logger.error("the handler of an inner message has thrown",
                 {{"reply", request.reply_kind}, {"what", failure}});
    co_return send_reply("");
  }
  auto sealed = seal(version, sender, request.reply_kind, std::move(body));
  // A reply that our own schema refuses is a fault of this process; the caller sees a closed channel.
  if (sealed) logger.count("herontally_inner_answer_bytes_total", static_cast<double>(sealed->size()));
  send_reply(sealed ? std::move(*sealed) : std::string());
}

error error_of(runtime::channel_error failure) {
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

struct endpoint::state {
  runtime::handle runtime;
  std::string sender;
  logging::logger logger;
  int version = protocol_version;
  struct registered_handler {
    std::string reply_kind;
    raw_handler open;
  };
  std::map<std::string, registered_handler> handlers;  // by the request's kind
  std::map<std::string, std::string> asked_metrics;    // names of the counters of requests sent, by kind

  std::variant<opened_request, drop_reason> open(const std::string& bytes) const;
  void count_asked(const std::string& kind, std::size_t bytes);
  void drop(drop_reason reason, std::size_t bytes) const;
};

std::variant<opened_request, drop_reason> endpoint::state::open(const std::string& bytes) const {
  auto opened = unseal(version, bytes);
  if (auto* reason = std::get_if<drop_reason>(&opened)) return *reason;
  auto& cover = std::get<envelope>(opened);
  auto found = handlers.find(cover.kind);
  if (found == handlers.end()) return drop_reason::unknown_kind;
  auto handling = found->second.open(cover.body, {std::min(cover.version, version), version});
  if (!handling) return drop_reason::malformed;
  return opened_request{std::move(*handling), found->second.reply_kind};
}

void endpoint::state::count_asked(const std::string& kind, std::size_t bytes) {
  auto [name, inserted] = asked_metrics.try_emplace(kind);
  if (inserted) name->second = "herontally_inner_asked_total{kind=\"" + kind + "\"}";
  logger.count(name->second);
  logger.count("herontally_inner_asked_bytes_total", static_cast<double>(bytes));
}

void endpoint::state::drop(drop_reason reason, std::size_t bytes) const {
  logger.count(std::string("herontally_inner_dropped_total{reason=\"") + name_of(reason) + "\"}");
  logger.warn("inner message dropped", {{"reason", name_of(reason)}, {"bytes", bytes}});
}

endpoint::endpoint(runtime::handle runtime, std::string sender, logging::logger logger)
    : state_(std::make_shared<state>(state{runtime, std::move(sender), logger, protocol_version, {}, {}})) {
  // Handlers hold what holds this endpoint: they are let go, so that the ring is broken.
  runtime.on_stop([weak = std::weak_ptr<state>(state_)] {
    if (auto self = weak.lock()) self->handlers.clear();
  });
}

void endpoint::set_version(int version) { state_->version = version; }
int endpoint::version() const { return state_->version; }
const std::string& endpoint::sender() const { return state_->sender; }
runtime::handle endpoint::runtime() const { return state_->runtime; }
logging::logger endpoint::logger() const { return state_->logger; }

void endpoint::add_handler(std::string request_kind, std::string reply_kind, raw_handler open) {
  state_->handlers[request_kind] = {std::move(reply_kind), std::move(open)};
}

bool endpoint::listen(const std::string& address) {
  std::weak_ptr<state> weak = state_;
  auto receive = [weak](std::string bytes, std::function<void(std::string)> send_reply) {
    auto self = weak.lock();
    if (!self) return;
    auto opened = self->open(bytes);
    if (auto* reason = std::get_if<drop_reason>(&opened)) {
      self->drop(*reason, bytes.size());
      // An empty reply closes the channel.
      return send_reply("");
    }
    self->logger.count("herontally_inner_messages_total");
    self->logger.count("herontally_inner_bytes_total", static_cast<double>(bytes.size()));
    self->runtime.spawn(run_handler(self->logger, self->version, self->sender,
                                    std::move(std::get<opened_request>(opened)), std::move(send_reply)));
  };
  return state_->runtime.serve(address, receive);
}

runtime::task<outcome<endpoint::received_body>> endpoint::call_raw(std::string address,
                                                                   std::string request_kind,
                                                                   std::string reply_kind,
                                                                   std::optional<std::string> body,
                                                                   runtime::microseconds timeout) const {
  auto self = state_;
  auto sealed = seal(self->version, self->sender, request_kind, std::move(body));
  if (!sealed) {
    self->logger.error("own message does not fit the schema", {{"kind", request_kind}});
    co_return error::malformed;
  }
  self->count_asked(request_kind, sealed->size());
  auto result = co_await self->runtime.call(std::move(address), std::move(*sealed), timeout);
  if (auto* failed = std::get_if<runtime::channel_error>(&result)) co_return error_of(*failed);
  auto& bytes = std::get<std::string>(result);
  self->logger.count("herontally_inner_answers_received_bytes_total", static_cast<double>(bytes.size()));
  auto opened = unseal(self->version, bytes);
  if (!std::holds_alternative<envelope>(opened)) co_return error::malformed;
  auto& cover = std::get<envelope>(opened);
  if (cover.kind != reply_kind) co_return error::malformed;
  co_return received_body{std::move(cover.body), std::min(cover.version, self->version)};
}

void endpoint::report_unrecognized_status(const char* request_kind) const {
  state_->logger.count("herontally_inner_unrecognized_status_total");
  state_->logger.warn("reply with a status that this version doesn't know", {{"kind", request_kind}});
}

}  // namespace herontally::rpc
