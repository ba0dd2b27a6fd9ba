// The platform's list of engines, polled by one core under an epoch and handed on as news; calendars.
#include "desired/calendar.h"
#include "engine/listing.h"
#include "hcore/node_state.h"

namespace herontally::hcore {

// A core that took this list in this life of it is told only that the list still holds.
task<> node::state::push_one(rpc::member receiver, list_version version, std::string text) {
  auto self = shared_from_this();
  auto life = receiver.name + "/" + std::to_string(receiver.incarnation);
  auto told = self->lists_told.find(life);
  if (told != self->lists_told.end() && told->second == version) text.clear();
  rpc::engine_list_request word{version.first, version.second, std::move(text)};
  auto result = co_await self->endpoint.call(std::move(receiver.inner), std::move(word), push_timeout);
  auto* reply = std::get_if<rpc::engine_list_reply>(&result);
  if (reply && reply->status == rpc::reply_status::ballot_outdated)
    self->platform_duty.superseded(reply->epoch);
  if (reply && reply->status == rpc::reply_status::ok)
    self->lists_told[life] = version;
  else
    self->lists_told.erase(life);
}

// The list has a new sequence only when it is another one: every agent fetches a list of a new sequence.
task<> node::state::push_engines(std::string text) {
  if (text != last_engines) ++engines_sequence;
  last_engines = text;
  list_version version{platform_duty.epoch(), engines_sequence};
  // The lives of cores that are long gone need no place.
  if (lists_told.size() > 64) lists_told.clear();
  for (auto& each : known.live(rpc::node_role::core)) runtime.spawn(push_one(each, version, text));
  co_return;
}

task<> node::state::poll_platform() {
  auto self = shared_from_this();
  std::int64_t epoch = 0;
  microseconds pushed = 0;
  while (true) {
    co_await self->runtime.sleep(250 * millisecond);
    if (!self->platform_duty.mine()) continue;
    runtime::http_request request;
    request.path = "/v1/engines";
    auto result =
        co_await runtime::http_fetch(self->runtime, self->place.platform, request, 800 * millisecond);
    auto* reply = std::get_if<runtime::http_response>(&result);
    // A platform that is silent or out of order has said nothing: the last list stays.
    auto document = reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
    if (!document.is_object() || !document.contains("engines") || !document["engines"].is_array()) {
      self->logger.count("herontally_platform_silent_total");
      continue;
    }
    std::string text = document["engines"].dump();
    if (epoch != self->platform_duty.epoch()) {
      epoch = self->platform_duty.epoch();
      self->engines_sequence = 0;
      self->last_engines.clear();
    }
    // Said again now and then, for a core that was away when it was new.
    bool again = self->runtime.now() - pushed > 400 * millisecond;
    if (text == self->last_engines && !again) continue;
    for (auto& entry : document["engines"]) {
      bool leaving = entry.is_object() && entry.value("state", "running") != "running";
      std::string name = leaving ? entry.value("name", "") : "";
      if (leaving && self->last_engines.find(entry.dump()) == std::string::npos)
        self->logger.info("engine leaves", {{"engine", name}, {"says", "platform"}});
    }
    if (text != self->last_engines)
      self->logger.info("engine list changed", {{"engines", document["engines"].size()}, {"epoch", epoch}});
    pushed = self->runtime.now();
    co_await self->push_engines(text);
  }
}

// The same through the platform's own words. Each call has its price, and all nodes share one rate.
task<> node::state::poll_listing() {
  auto self = shared_from_this();
  std::int64_t epoch = 0;
  std::int64_t taken = 0;
  microseconds pause = 500 * millisecond, polled = 0;
  while (true) {
    co_await self->runtime.sleep(50 * millisecond);
    if (!self->platform_duty.mine() || self->place.platform.empty()) continue;
    // Without a list nodes that have just started wait for one: it is read as soon as the duty has stayed
    // here for a moment, while cores that come up take it from each other.
    if (taken != self->platform_duty.epoch()) {
      taken = self->platform_duty.epoch();
      polled = self->runtime.now();
    }
    bool none = self->board.engines_text().empty();
    bool due = self->runtime.now() - polled >= (none ? 250 * millisecond : pause);
    if (!due) continue;
    polled = self->runtime.now();
    auto held = self->platform_duty.epoch();
    auto found = co_await engine::fetch_listing(self->runtime, self->place.platform, self->surroundings,
                                                800 * millisecond);
    // A platform that is silent, out of order or asked too often has said nothing: the last list stays.
    if (!found) {
      self->logger.count("herontally_platform_silent_total");
      continue;
    }
    // Another core has the duty by now, or has handed on a list while this one was being read: its word goes.
    bool late = held != self->platform_duty.epoch() || !self->platform_duty.mine() ||
                (none && !self->board.engines_text().empty());
    if (late) continue;
    // At most half of the rate is ours: cut-off edges look for themselves.
    double rate = std::max(self->place.list_rate, 0.1);
    pause = std::max(500 * millisecond, static_cast<microseconds>(found->pages * 2 / rate * second));
    if (epoch != self->platform_duty.epoch()) {
      epoch = self->platform_duty.epoch();
      self->engines_sequence = 0;
      self->last_engines.clear();
    }
    std::string text = engine::listing_text(found->engines);
    for (auto& each : found->engines)
      if (each.draining && self->last_engines.find(nlohmann::json(each).dump()) == std::string::npos)
        self->logger.info("engine leaves", {{"engine", each.id}, {"says", "platform"}});
    if (text != self->board.engines_text())
      self->logger.info("engine list changed", {{"engines", found->engines.size()}, {"epoch", epoch}});
    co_await self->push_engines(text);
  }
}

// A calendar's change is keyed by its minute inside the desired state: the expected value makes it happen
// once.
task<> node::state::keep_calendars() {
  auto self = shared_from_this();
  while (true) {
    co_await self->runtime.sleep(second);
    if (!self->calendar_duty.mine()) continue;
    auto now = self->current();
    if (!now || !now->document.contains("partners")) continue;
    std::int64_t minute = self->runtime.wall() / (60 * second);
    std::vector<std::array<std::string, 3>> due;
    for (auto& [partner, section] : now->document["partners"].items()) {
      if (!section.contains("calendars")) continue;
      for (auto& [name, entry] : section["calendars"].items()) {
        auto parsed = desired::parse_cron(entry["cron"].get<std::string>());
        auto* when = std::get_if<desired::cron>(&parsed);
        if (when && desired::matches(*when, minute)) due.push_back({partner, name, entry["program"]});
      }
    }
    std::string epoch = std::to_string(self->calendar_duty.epoch());
    for (auto& [partner, name, program] : due) {
      std::string writer = "calendar/" + partner + "/" + name + "/" + std::to_string(minute);
      if (desired::has_writer(*now, writer)) continue;
      auto mutate = [writer, partner = partner, name = name, program = program](
                        const std::optional<std::string>& text) -> std::optional<std::string> {
        auto content = text ? desired::from_text(*text) : std::nullopt;
        if (!content || desired::has_writer(*content, writer)) return std::nullopt;
        auto document = content->document;
        auto place = json::json_pointer("/partners") / partner;
        if (!document.contains(place / "calendars" / name) ||
            !document.contains(place / "programs" / program))
          return std::nullopt;
        document[place / "programs" / program]["table"] = document[place / "calendars" / name]["table"];
        return desired::to_text(desired::next_of(*content, document, writer));
      };
      auto result =
          co_await self->catalog.change(desired::register_key, mutate, self->runtime.now() + 2 * second);
      if (result.status != consensus::change_status::committed || !result.value) continue;
      self->learn(*result.value, "calendar");
      self->logger.info("calendar switched a table",
                        {{"calendar", name}, {"partner", partner}, {"epoch", epoch}});
      auto content = desired::from_text(*result.value);
      if (content) co_await self->tell_chosen(*content);
    }
  }
}

}  // namespace herontally::hcore
