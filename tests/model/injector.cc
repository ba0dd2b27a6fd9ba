#include "model/injector.h"

namespace herontally::model {

namespace {

constexpr std::int64_t millisecond = 1000;
// How often the injector checks whether a move has begun or ended.
constexpr std::int64_t move_check_interval = 1 * millisecond;
constexpr std::int64_t max_outage = 1500 * millisecond;
constexpr std::uint64_t messages_until_freeze = 12, writes_until_power_loss = 6;
constexpr std::int64_t max_clock_step = 6000 * millisecond;
constexpr double slow_share = 0.3, duplicate_share = 0.15, lost_share = 0.15;
constexpr std::uint64_t max_link_delay = 400 * millisecond;
constexpr std::int64_t slow_links_duration = 2500 * millisecond;
constexpr std::int64_t max_extra_delay = 550 * millisecond;

}  // namespace

injector::injector(simulator::world& world, cluster& group, std::vector<std::string> clients,
                   std::function<void(const std::string&)> start_client)
    : world_(world), group_(group), clients_(std::move(clients)), start_client_(std::move(start_client)) {
  world_.net().most_extra = max_extra_delay;
}

int injector::injected() const { return static_cast<int>(events_.size()); }
const std::vector<std::string>& injector::events() const { return events_; }

void injector::record(const fault& each, const std::string& target) {
  events_.push_back(std::to_string(world_.now()) + " us: " + name_of(each.kind) + " of " + target + " for " +
                    std::to_string(each.duration) + " us" +
                    (each.until_move_ends ? " or until the move ends" : ""));
}

void injector::schedule_end(const fault& each, std::int64_t duration, std::function<void()> end) {
  auto once = [ended = std::make_shared<bool>(false), end = std::move(end)] {
    if (!std::exchange(*ended, true)) end();
  };
  ends_.emplace(world_.now() + duration, once);
  if (each.until_move_ends) move_ends_.push_back(once);
}

void injector::check_move() {
  bool begun = group_.move_in_progress();
  bool changed = begun != std::exchange(move_in_progress_, begun);
  if (!changed) return;
  if (begun) {
    // One fault for each move, so that faults are left for later moves.
    if (waiting_for_move_.empty()) return;
    auto next = waiting_for_move_.front();
    waiting_for_move_.erase(waiting_for_move_.begin());
    inject(next);
    return;
  }
  for (auto& end : std::exchange(move_ends_, {})) end();
}

void injector::run_until(std::int64_t moment) {
  while (world_.now() < moment) {
    auto next = std::min(moment, world_.now() + move_check_interval);
    if (!ends_.empty()) next = std::min(next, std::max(ends_.begin()->first, world_.now()));
    world_.run_for(next - world_.now());
    check_move();
    while (!ends_.empty() && ends_.begin()->first <= world_.now()) {
      auto due = ends_.extract(ends_.begin());
      due.mapped()();
    }
  }
}

void injector::run(const run_plan& plan) {
  auto begin = world_.now();
  for (auto& each : plan.faults) {
    if (each.at > plan.span) break;
    run_until(begin + each.at);
    if (each.at_move)
      waiting_for_move_.push_back(each);
    else
      inject(each);
  }
  run_until(begin + plan.span);
}

void injector::heal() {
  auto ends = std::exchange(ends_, {});
  for (auto& [moment, end] : ends) end();
  world_.heal_all();
  for (auto& name : clients_) {
    world_.find(name).sends_until_freeze = 0;
    world_.wake(name);
  }
}

void injector::inject(const fault& each) {
  auto voters = group_.storage_names();
  auto& voter = voters[each.target_seed % voters.size()];
  auto& client = clients_[each.target_seed % clients_.size()];
  switch (each.kind) {
    case fault_kind::crash:
    case fault_kind::power_loss:
    case fault_kind::power_at_write:
    case fault_kind::disk_loss:
    case fault_kind::freeze_voter:
    case fault_kind::isolate_voter:
      return inject_into_voter(each, voter);
    case fault_kind::freeze_client:
    case fault_kind::freeze_sender:
    case fault_kind::crash_client:
      return inject_into_client(each, client);
    case fault_kind::slow_links:
      return slow_links(each, client);
    case fault_kind::cut_link:
      return cut_link(each);
    case fault_kind::clock_step:
      return step_clock(each);
    case fault_kind::slow_network:
    case fault_kind::duplicate_messages:
    case fault_kind::lose_messages:
      return inject_into_network(each);
  }
}

void injector::inject_into_voter(const fault& each, const std::string& name) {
  auto& host = world_.find(name);
  auto& machine = group_.storage(name);
  bool already_faulty = !host.up || host.frozen || machine.isolated || machine.losing_power;
  if (already_faulty || !group_.tolerates_loss(name)) return;
  record(each, name);
  auto outage = std::min(each.duration, max_outage);
  if (each.kind == fault_kind::freeze_voter) {
    world_.freeze(name);
    return schedule_end(each, each.duration, [this, name] { world_.wake(name); });
  }
  if (each.kind == fault_kind::isolate_voter) return isolate(each, name);
  auto restart = [this, name] { group_.boot(name); };
  if (each.kind == fault_kind::power_at_write) {
    // The power fails at one of the next disk operations. From then until the process is killed the voter
    // answers nothing.
    host.disk.crash_after = 1 + static_cast<int>(each.target_seed / 64 % writes_until_power_loss);
    machine.losing_power = true;
    return schedule_end(each, outage, [this, name, restart] {
      group_.kill(name, simulator::disk_loss::unsynced);
      world_.find(name).disk.crash_after = -1;
      restart();
    });
  }
  bool lost = each.kind == fault_kind::disk_loss, power = each.kind == fault_kind::power_loss;
  group_.kill(name, lost    ? simulator::disk_loss::all
                    : power ? simulator::disk_loss::unsynced
                            : simulator::disk_loss::none);
  schedule_end(each, outage, restart);
}

void injector::isolate(const fault& each, const std::string& name) {
  std::vector<std::string> others = group_.storage_names();
  others.insert(others.end(), clients_.begin(), clients_.end());
  // Cuts both directions, only what it sends, or only what it receives.
  bool inward = each.target_seed / 64 % 3 != 0, outward = each.target_seed / 64 % 3 != 1;
  for (auto& other : others) {
    if (inward) world_.cut(other, name);
    if (outward) world_.cut(name, other);
  }
  group_.storage(name).isolated = true;
  schedule_end(each, each.duration, [this, name, others] {
    for (auto& other : others) {
      world_.heal(other, name);
      world_.heal(name, other);
    }
    group_.storage(name).isolated = false;
  });
}

void injector::cut_link(const fault& each) {
  auto voters = group_.storage_names();
  auto voter = voters[each.target_seed % voters.size()];
  auto client = clients_[each.target_seed / 64 % clients_.size()];
  bool outward = each.target_seed / 4096 % 2 == 0;
  auto from = outward ? client : voter, to = outward ? voter : client;
  record(each, from + " to " + to);
  world_.cut(from, to);
  schedule_end(each, each.duration, [this, from, to] { world_.heal(from, to); });
}

// Lasts long enough for whole moves to take place between a request and its reply.
void injector::slow_links(const fault& each, const std::string& client) {
  auto& delays = world_.net().link_delays;
  std::mt19937_64 random(each.target_seed);
  std::vector<std::pair<std::string, std::string>> links;
  for (auto& voter : group_.storage_names()) {
    if (random() % 2 == 0) links.push_back({client, voter});
    if (random() % 2 == 0) links.push_back({voter, client});
  }
  record(each, client);
  for (auto& link : links) delays[link] = static_cast<std::int64_t>(random() % max_link_delay);
  schedule_end(each, slow_links_duration, [&delays, links] {
    for (auto& link : links) delays.erase(link);
  });
}

void injector::inject_into_client(const fault& each, const std::string& name) {
  auto& host = world_.find(name);
  if (!host.up || host.frozen || host.sends_until_freeze > 0) return;
  record(each, name);
  if (each.kind == fault_kind::crash_client) {
    world_.kill(name, simulator::disk_loss::none);
    return schedule_end(each, std::min(each.duration, max_outage), [this, name] { restart_client(name); });
  }
  if (each.kind == fault_kind::freeze_client) world_.freeze(name);
  if (each.kind == fault_kind::freeze_sender)
    host.sends_until_freeze = 1 + static_cast<int>(each.target_seed / 64 % messages_until_freeze);
  schedule_end(each, each.duration, [this, name] {
    world_.find(name).sends_until_freeze = 0;
    world_.wake(name);
  });
}

void injector::restart_client(const std::string& name) {
  world_.boot(name);
  start_client_(name);
}

void injector::step_clock(const fault& each) {
  auto names = group_.storage_names();
  names.insert(names.end(), clients_.begin(), clients_.end());
  auto name = names[each.target_seed % names.size()];
  auto step = static_cast<std::int64_t>(each.target_seed / 64 % (2 * max_clock_step)) - max_clock_step;
  record(each, name + " by " + std::to_string(step) + " us");
  // The clock keeps this error until another step.
  world_.find(name).wall_skew += step;
}

void injector::inject_into_network(const fault& each) {
  auto& net = world_.net();
  double& share = each.kind == fault_kind::slow_network         ? net.slow
                  : each.kind == fault_kind::duplicate_messages ? net.twice
                                                                : net.lost;
  if (share > 0) return;
  record(each, "the network");
  share = each.kind == fault_kind::slow_network         ? slow_share
          : each.kind == fault_kind::duplicate_messages ? duplicate_share
                                                        : lost_share;
  schedule_end(each, each.duration, [&share] { share = 0; });
}

}  // namespace herontally::model
