#include "duty/duty.h"

namespace herontally::duty {

using runtime::millisecond;
using runtime::second;
using runtime::task;

struct duty::state {
  membership::member_list known;
  consensus::proposer catalog;
  std::string name;
  rpc::node_role role;
  bool holding = false;
  std::int64_t epoch = 0;
};

duty::duty(membership::member_list known, consensus::proposer catalog, std::string name, rpc::node_role role)
    : state_(std::make_shared<state>(state{std::move(known), std::move(catalog), std::move(name), role})) {}
bool duty::mine() const { return state_->holding; }
std::int64_t duty::epoch() const { return state_->epoch; }
void duty::superseded(std::int64_t seen) {
  if (seen > state_->epoch) state_->holding = false;
}

static bool first_in_line(const membership::member_list& known, rpc::node_role role) {
  auto live = known.live(role);
  return !live.empty() && live.front().name == known.self().name;
}

void duty::start() {
  auto runtime = state_->catalog.endpoint().runtime();
  runtime.spawn([](std::shared_ptr<state> here, runtime::handle runtime) -> task<> {
    auto logger = here->catalog.endpoint().logger();
    std::string key = "duty/" + here->name;
    while (true) {
      bool first = first_in_line(here->known, here->role);
      if (!first) here->holding = false;
      if (first && !here->holding) {
        // The register hands out epochs, so that two who both think they are first never share one.
        std::string holder = here->known.self().name + "/" + std::to_string(here->known.self().incarnation) +
                             "/" + runtime.random_name();
        auto claim = [holder](const std::optional<std::string>& current) -> std::optional<std::string> {
          auto document =
              current ? nlohmann::json::parse(*current, nullptr, false) : nlohmann::json::object();
          if (!document.is_object()) document = nlohmann::json::object();
          if (document.value("holder", "") == holder) return std::nullopt;
          return nlohmann::json{{"epoch", document.value("epoch", std::int64_t{0}) + 1}, {"holder", holder}}
              .dump();
        };
        auto result = co_await here->catalog.change(key, claim, runtime.now() + 2 * second, true);
        bool known = result.known();
        auto document =
            known && result.value ? nlohmann::json::parse(*result.value, nullptr, false) : nlohmann::json();
        if (document.is_object() && document.value("holder", "") == holder) {
          here->epoch = document.value("epoch", std::int64_t{0});
          here->holding = true;
          logger.info("duty taken", {{"duty", here->name}, {"epoch", here->epoch}});
        }
      }
      co_await runtime.sleep(200 * millisecond);
    }
  }(state_, runtime));
}

bool gate::pass(const std::string& name, std::int64_t epoch) {
  auto& known = highest_[name];
  if (epoch < known) return false;
  known = epoch;
  return true;
}
std::int64_t gate::highest(const std::string& name) const {
  auto found = highest_.find(name);
  return found == highest_.end() ? 0 : found->second;
}

}  // namespace herontally::duty
