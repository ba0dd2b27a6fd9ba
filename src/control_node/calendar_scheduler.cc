#include "control_node/calendar_scheduler.h"

#include "configuration/cron.h"

namespace herontally::control_node {

constexpr microseconds check_period = second;
constexpr microseconds change_timeout = 2 * second;

std::vector<calendar_scheduler::due_switch> calendar_scheduler::due_at(const configuration::record& config,
                                                                       std::int64_t minute) const {
  std::vector<due_switch> due;
  if (!config.document.contains("partners")) return due;
  for (auto& [partner, section] : config.document["partners"].items()) {
    if (!section.contains("calendars")) continue;
    for (auto& [name, entry] : section["calendars"].items()) {
      auto parsed = configuration::parse_cron(entry["cron"].get<std::string>());
      auto* when = std::get_if<configuration::cron>(&parsed);
      if (when && configuration::matches(*when, minute)) due.push_back({partner, name, entry["program"]});
    }
  }
  return due;
}

// The change's id contains the minute, so that the switch is made once for each of the calendar's times,
// whichever core makes it.
static std::string change_id_of(const std::string& partner, const std::string& calendar,
                                std::int64_t minute) {
  return "calendar/" + partner + "/" + calendar + "/" + std::to_string(minute);
}

task<> calendar_scheduler::apply(due_switch due, std::int64_t minute) {
  auto self = shared_from_this();
  auto shared = self->context_;
  std::string change_id = change_id_of(due.partner, due.calendar, minute);
  auto mutate = [change_id, due](const std::optional<std::string>& text) -> std::optional<std::string> {
    auto content = text ? configuration::record_from_text(*text) : std::nullopt;
    if (!content || configuration::has_change(*content, change_id)) return std::nullopt;
    auto document = content->document;
    auto section = json::json_pointer("/partners") / due.partner;
    auto calendar = section / "calendars" / due.calendar, program = section / "programs" / due.program;
    if (!document.contains(calendar) || !document.contains(program)) return std::nullopt;
    document[program]["table"] = document[calendar]["table"];
    return to_text(configuration::next_revision(*content, document, change_id));
  };
  auto result = co_await shared->catalog.change(configuration::config_key, mutate,
                                                shared->runtime.now() + change_timeout);
  if (result.status != consensus::change_status::committed || !result.value) co_return;
  shared->learn_config(*result.value, "calendar");
  shared->logger.info("calendar switched the table of a program",
                      {{"calendar", due.calendar},
                       {"partner", due.partner},
                       {"epoch", std::to_string(shared->calendar_role.epoch())}});
  auto content = configuration::record_from_text(*result.value);
  if (content) self->changes_->announce(*content);
}

task<> calendar_scheduler::run() {
  auto self = shared_from_this();
  auto shared = self->context_;
  while (true) {
    co_await shared->runtime.sleep(check_period);
    if (!shared->calendar_role.is_owner()) continue;
    auto config = shared->current_config();
    if (!config) continue;
    std::int64_t minute = shared->runtime.wall() / (60 * second);
    for (auto& due : self->due_at(*config, minute))
      if (!configuration::has_change(*config, change_id_of(due.partner, due.calendar, minute)))
        co_await self->apply(due, minute);
  }
}

}  // namespace herontally::control_node
