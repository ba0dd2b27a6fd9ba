#include "wire/wire.h"

namespace herontally::wire {

struct entry {
  std::string receipt;
  std::function<runtime::task<json>(json)> handler;
};

struct port::state {
  runtime::handle runtime;
  std::string sender;
  logging::journal journal;
  int version = protocol_version;
  std::map<std::string, entry> handlers;
};

port::port(runtime::handle runtime, std::string sender, logging::journal journal)
    : state_(std::make_shared<state>(state{runtime, std::move(sender), journal, protocol_version, {}})) {
  // Handlers hold what holds this port.
  runtime.on_stop([weak = std::weak_ptr<state>(state_)] {
    if (auto here = weak.lock()) here->handlers.clear();
  });
}

void port::speak(int version) { state_->version = version; }
const std::string& port::sender() const { return state_->sender; }
runtime::handle port::runtime() const { return state_->runtime; }
logging::journal port::journal() const { return state_->journal; }

void port::add(std::string question, std::string receipt, raw_handler handler) {
  state_->handlers[question] = entry{std::move(receipt), std::move(handler)};
}

static std::optional<std::string> seal(int version, const std::string& sender, const std::string& kind,
                                       const json& body) {
  auto encoded = encode(kind, body, version);
  if (!std::holds_alternative<std::string>(encoded)) return std::nullopt;
  envelope cover;
  cover.version = version;
  cover.kind = kind;
  cover.sender = sender;
  cover.body = std::get<std::string>(std::move(encoded));
  // As a version after ours might: something behind the fields that we know.
  if (version > protocol_version) cover.body += std::string(3, '\2');
  auto whole = encode("envelope", json(cover));
  if (!std::holds_alternative<std::string>(whole)) return std::nullopt;
  return std::get<std::string>(std::move(whole));
}

static std::variant<envelope, std::string> unseal(int version, const std::string& bytes) {
  auto decoded = decode("envelope", bytes);
  if (!std::holds_alternative<json>(decoded)) return std::string("garbage");
  auto cover = std::get<json>(decoded).get<envelope>();
  if (cover.version < version - 1 || cover.version > version + 1) return std::string("version");
  return cover;
}

static runtime::task<> answer(logging::journal journal, int version, std::string sender, entry found,
                              json body, std::function<void(std::string)> reply) {
  json receipt = co_await found.handler(std::move(body));
  auto sealed = seal(version, sender, found.receipt, receipt);
  // A receipt that our own schema refuses is a fault of this process; the asker sees a closed channel.
  if (sealed) journal.count("herontally_inner_answer_bytes_total", static_cast<double>(sealed->size()));
  reply(sealed ? *sealed : std::string());
}

bool port::listen(const std::string& address) {
  std::weak_ptr<state> weak = state_;
  return state_->runtime.serve(address, [weak](std::string bytes, std::function<void(std::string)> reply) {
    auto here = weak.lock();
    if (!here) return;
    auto drop = [&](const std::string& why) {
      here->journal.count("herontally_inner_dropped_total{reason=\"" + why + "\"}");
      here->journal.warn("inner message dropped", {{"reason", why}, {"bytes", bytes.size()}});
      // An empty reply closes the channel.
      reply("");
    };
    auto opened = unseal(here->version, bytes);
    if (auto* why = std::get_if<std::string>(&opened)) return drop(*why);
    auto& cover = std::get<envelope>(opened);
    auto found = here->handlers.find(cover.kind);
    if (found == here->handlers.end()) return drop("unknown kind");
    auto body = decode(cover.kind, cover.body, std::min(cover.version, here->version));
    if (!std::holds_alternative<json>(body)) return drop("malformed");
    here->journal.count("herontally_inner_messages_total");
    here->journal.count("herontally_inner_bytes_total", static_cast<double>(bytes.size()));
    here->runtime.spawn(answer(here->journal, here->version, here->sender, found->second,
                               std::get<json>(std::move(body)), std::move(reply)));
  });
}

runtime::task<outcome<json>> port::ask_raw(std::string address, std::string question, std::string receipt,
                                           json body, runtime::microseconds timeout) const {
  auto here = state_;
  auto sealed = seal(here->version, here->sender, question, body);
  if (!sealed) {
    here->journal.error("own message does not fit the schema", {{"kind", question}});
    co_return error::malformed;
  }
  here->journal.count("herontally_inner_asked_total{kind=\"" + question + "\"}");
  here->journal.count("herontally_inner_asked_bytes_total", static_cast<double>(sealed->size()));
  auto result = co_await here->runtime.call(std::move(address), std::move(*sealed), timeout);
  if (auto* failed = std::get_if<runtime::channel_error>(&result)) {
    switch (*failed) {
      case runtime::channel_error::timed_out:
        co_return error::timed_out;
      case runtime::channel_error::closed:
        co_return error::refused;
      case runtime::channel_error::oversized:
        co_return error::malformed;
      case runtime::channel_error::unreachable:
        co_return error::unreachable;
    }
  }
  auto& bytes = std::get<std::string>(result);
  here->journal.count("herontally_inner_answers_received_bytes_total", static_cast<double>(bytes.size()));
  auto opened = unseal(here->version, bytes);
  if (!std::holds_alternative<envelope>(opened)) co_return error::malformed;
  auto& cover = std::get<envelope>(opened);
  if (cover.kind != receipt) co_return error::malformed;
  auto decoded = decode(receipt, cover.body, std::min(cover.version, here->version));
  if (!std::holds_alternative<json>(decoded)) co_return error::malformed;
  co_return std::get<json>(std::move(decoded));
}

}  // namespace herontally::wire
