// The agent's own look at the platform, when nobody who polls it can be heard.
#include "engine/listing.h"
#include "hagent/node_state.h"
#include "runtime/breaks.h"

namespace herontally::hagent {

using json = nlohmann::json;

// The platform answers only a few times a second, so that one core polls it for all. An edge that is cut off
// from that core looks for itself. It takes from the platform only that engines leave: whatever else the list
// says is versioned by the core's epoch, which an edge doesn't have.
task<> node::state::look_at_platform() {
  auto self = shared_from_this();
  while (true) {
    auto age = self->board.engines_age_milliseconds();
    bool old = age < 0 || age * millisecond > list_is_old;
    if (!old) self->leaving_engines.clear();
    bool of_use = self->board.engines_sequence() > 0 || self->list_offered;
    if (old && of_use && !broken("outlook")) {
      runtime::http_request request;
      request.path = "/v1/engines";
      auto result =
          co_await runtime::http_fetch(self->runtime, self->place.platform, request, 500 * millisecond);
      auto* reply = std::get_if<runtime::http_response>(&result);
      auto document = reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
      bool usable = document.is_object() && document.contains("engines") && document["engines"].is_array();
      self->logger.count("herontally_platform_looks_total");
      std::vector<std::string> leaving;
      if (usable)
        for (auto& entry : document["engines"])
          if (entry.is_object() && entry.value("state", "running") != "running")
            leaving.push_back(entry.value("name", ""));
      if (usable && leaving != self->leaving_engines) {
        self->leaving_engines = leaving;
        self->board.stir();
      }
      self->looked = true;
    }
    co_await self->runtime.sleep(400 * millisecond +
                                 static_cast<microseconds>(self->runtime.draw(200 * millisecond)));
  }
}

// The same through the platform's own words, less often: all nodes share one rate, and each call is priced.
task<> node::state::look_at_listing() {
  auto self = shared_from_this();
  while (true) {
    auto age = self->board.engines_age_milliseconds();
    bool old = age < 0 || age * millisecond > list_is_old;
    if (!old) self->leaving_engines.clear();
    bool of_use = self->board.engines_sequence() > 0 || self->list_offered;
    if (old && of_use && !self->place.platform.empty()) {
      auto found = co_await engine::fetch_listing(self->runtime, self->place.platform, self->surroundings,
                                                  500 * millisecond);
      self->logger.count("herontally_platform_looks_total");
      std::vector<std::string> leaving;
      if (found)
        for (auto& each : found->engines)
          if (each.draining) leaving.push_back(each.id);
      if (found && leaving != self->leaving_engines) {
        self->leaving_engines = leaving;
        self->board.stir();
      }
      self->looked = true;
    }
    // Uneven steps keep the edges from asking all at once.
    microseconds pause =
        old ? second + static_cast<microseconds>(self->runtime.draw(300 * millisecond)) : 300 * millisecond;
    co_await self->runtime.sleep(pause);
  }
}

}  // namespace herontally::hagent
