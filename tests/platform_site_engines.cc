// Engines as the users' pages describe them, and the platform's list of them.
#include <string.h>

#include <algorithm>

#include "platform_site.h"

namespace herontally::platform_simulator {

constexpr microseconds lag = 800 * millisecond, cold_time = 3 * second;
constexpr std::int64_t list_rate = 40, most_queued = 4;

std::string site::add_engine(const std::string& service, const std::string& zone,
                             const std::string& address) {
  auto life = std::make_shared<engine_life>();
  life->machine = "engine-" + std::to_string(++names_);
  life->id = "i-" + std::to_string(names_);
  life->service = service;
  life->zone = zone;
  life->address = address.empty() ? "10.0.3." + std::to_string(names_) + ":8080" : address;
  life->capacity = service == "models" ? 8 : 6;
  life->cold_since = where_.now();
  life->cold_until = where_.now() + cold_time;
  where_.machine(life->machine, zone);
  where_.boot(life->machine);
  where_.runtime_of(life->machine).http_serve(life->address, [this, life](auto incoming, auto out) {
    where_.runtime_of(life->machine).spawn(serve_engine(life, std::move(incoming), std::move(out)));
  });
  lives_[life->machine] = life;
  show(life->machine, true);
  return life->machine;
}

// The list follows what happens by its lag.
void site::show(const std::string& machine, bool listed) {
  auto life = lives_.at(machine);
  bool draining = life->draining;
  where_.at(where_.now() + (where_.now() == 0 ? 0 : lag), [this, life, listed, draining] {
    std::erase_if(shown_, [&](auto& entry) { return entry["id"] == life->id; });
    if (draining && life->shown_draining < 0) life->shown_draining = where_.now();
    if (!listed) return;
    shown_.push_back({{"id", life->id},
                      {"backend", life->service},
                      {"endpoint", life->address},
                      {"zone", life->zone},
                      {"generation", "v1"},
                      {"capacity", life->capacity},
                      {"phase", draining ? "draining" : "serving"},
                      {"warmup_left_ms", 0}});
  });
}

void site::serve_list(runtime::inbound_request incoming, std::shared_ptr<runtime::http_writer> out) {
  auto now = where_.now();
  while (!listings_.empty() && listings_.front() <= now - second) listings_.pop_front();
  if (static_cast<std::int64_t>(listings_.size()) >= list_rate) return out->reply({429, {}, ""});
  listings_.push_back(now);
  std::size_t from = 0;
  auto token = incoming.query.find("page_token=p-");
  if (token != std::string::npos) from = std::stoul(incoming.query.substr(token + 13));
  json page{{"servers", json::array()}, {"next_token", nullptr}};
  for (std::size_t number = from; number < shown_.size() && number < from + 8; ++number) {
    auto entry = shown_[number];
    for (auto& [machine, life] : lives_)
      if (life->id == entry["id"])
        entry["warmup_left_ms"] = std::max<microseconds>(0, life->cold_until - (now - lag)) / millisecond;
    page["servers"].push_back(entry);
  }
  if (from + 8 < shown_.size()) page["next_token"] = "p-" + std::to_string(from + 8);
  out->reply({200, {{"Content-Type", "application/json"}}, page.dump()});
}

std::vector<std::string> site::engines() const {
  std::vector<std::string> names;
  for (auto& [machine, life] : lives_)
    if (!life->draining && !life->ended) names.push_back(machine);
  return names;
}

void site::release_engine(std::string machine) {
  auto life = lives_.at(machine);
  add_engine(life->service, life->zone, "");
  where_.at(where_.now() + 4 * second, [this, life] {
    if (life->ended) return;
    life->draining = true;
    show(life->machine, true);
    where_.at(where_.now() + lag + drain_time + 4 * second, [this, life] {
      if (life->ended) return;
      crash_engine(life->machine);
    });
  });
}

void site::crash_engine(const std::string& machine) {
  auto life = lives_.at(machine);
  if (life->ended) return;
  life->ended = true;
  judge_.trouble(machine);
  where_.kill(machine, simulator::disk_loss::none);
  // It stays on the list for a while; its address may go to an engine of another service.
  where_.at(where_.now() + 2 * second, [this, life] {
    show(life->machine, false);
    bool crashed = !life->draining;
    if (crashed) add_engine(life->service, life->zone, "");
    if (where_.draw(2))
      add_engine(life->service == "apps_a" ? "apps_b" : "apps_a", life->zone, life->address);
  });
}

void site::chill_engine(const std::string& machine) {
  auto life = lives_.at(machine);
  life->cold_since = where_.now();
  life->cold_until = where_.now() + cold_time;
}

static std::string field(const runtime::inbound_request& incoming, const std::string& name) {
  auto found = incoming.headers.find(name);
  return found == incoming.headers.end() ? "" : found->second;
}

task<> site::serve_engine(std::shared_ptr<engine_life> life, runtime::inbound_request incoming,
                          std::shared_ptr<runtime::http_writer> out) {
  auto now = where_.now();
  if (incoming.path == "/health" || incoming.path == "/-/report") {
    runtime::http_response response{life->draining ? 503 : 200, {{"X-Instance", life->id}}, ""};
    if (now < life->cold_until)
      response.headers["X-Cold-Ms"] = std::to_string((life->cold_until - now) / millisecond);
    if (incoming.path == "/-/report")
      response.body = json{{"active", life->running}, {"backlog", life->queue.size()}}.dump();
    out->reply(response);
    co_return;
  }
  std::map<std::string, std::string> turned_away{{"X-Not-Executed", "1"},
                                                 {"X-Attempt-Id", field(incoming, "x-attempt-id")}};
  auto wanted = field(incoming, "x-target-instance");
  int refusal = field(incoming, "x-attempt-id").empty()  ? 400
                : !wanted.empty() && wanted != life->id  ? 421
                : life->running < life->capacity         ? 0
                : std::ssize(life->queue) >= most_queued ? 503
                                                         : 0;
  if (refusal) {
    out->reply({refusal, turned_away, ""});
    co_return;
  }
  auto runtime = where_.runtime_of(life->machine);
  auto left = field(incoming, "x-time-left-ms");
  auto deadline = runtime.now() + std::stoll(left.empty() ? "4000" : left) * millisecond;
  if (life->running >= life->capacity) {
    runtime::slot<bool> notifier(runtime);
    life->queue.push_back(notifier);
    auto timer = runtime.after(deadline - runtime.now(), [notifier] { notifier.set(false); });
    co_await notifier.wait();
    runtime.cancel(timer);
    std::erase_if(life->queue, [](auto& each) { return each.is_set(); });
    if (out->closed()) co_return;
    if (runtime.now() >= deadline) {
      out->reply({503, turned_away, ""});
      co_return;
    }
  }
  ++life->running;
  co_await work(life, std::move(incoming), out);
  --life->running;
  if (!life->queue.empty()) life->queue.front().set(true);
}

task<> site::work(std::shared_ptr<engine_life> life, runtime::inbound_request incoming,
                  std::shared_ptr<runtime::http_writer> out) {
  auto runtime = where_.runtime_of(life->machine);
  auto now = where_.now();
  arrival seen{field(incoming, "x-attempt-id"),
               incoming.method,
               incoming.target,
               incoming.body,
               incoming.peer.substr(0, incoming.peer.rfind(':')),
               life->machine,
               life->service,
               life->zone};
  seen.sent = std::stoll(field(incoming, "x-sim-sent"));
  seen.cold = now < life->cold_until;
  seen.cold_since = life->cold_since;
  seen.shown_draining = life->shown_draining;
  auto* run = judge_.run(seen);
  if (!run) co_return out->cut();
  run->seal = life->id + "." + std::to_string(++life->sealed);
  auto gone = std::make_shared<bool>(false);
  out->on_gone([gone] { *gone = true; });
  std::map<std::string, std::string> headers{{"X-Attempt-Id", seen.attempt}, {"X-Server-Seal", run->seal}};
  if (seen.cold) headers["X-Cold-Ms"] = std::to_string((life->cold_until - now) / millisecond);
  auto trick = mischief > 0 && where_.draw(1000) < static_cast<std::uint64_t>(mischief) ? where_.draw(4) : 9;
  auto counts = field(incoming, "x-token-count");
  auto comma = counts.find(',');
  std::int64_t most = comma == std::string::npos ? 0 : std::stoll(counts.substr(comma + 1));
  co_await runtime.sleep((10 + static_cast<microseconds>(where_.draw(40))) * millisecond *
                         (seen.cold ? 3 : 1));
  bool takes_long = seen.target.compare(0, strlen(long_prefix), long_prefix) == 0;
  if (takes_long) co_await runtime.sleep(static_cast<microseconds>(where_.draw(long_time_left * 3 / 4)));
  if (trick == 0) {  // the answer is lost
    run->broken_off = true;
    out->cut();
  } else if (trick == 1) {  // another request's late answer comes in its place
    run->broken_off = true;
    headers["X-Attempt-Id"] = "surplus";
    out->reply({200, headers, "late"});
  } else if (trick == 2) {
    run->broken_off = true;
    headers.erase("X-Server-Seal");
    out->reply({500, headers, "failed"});
  } else if (*gone) {
    // Dropped with its connection.
  } else if (most > 0) {
    run->broken_off = trick == 3;
    co_await stream(life, run, gone, most, out, headers);
  } else {
    run->output = "answer to " + seen.attempt + " by " + run->seal + "\n";
    run->complete = true;
    run->ended = where_.now();
    out->reply({200, headers, run->output});
  }
  if (run->ended < 0) run->ended = where_.now();
}

task<> site::stream(std::shared_ptr<engine_life> life, engine_run* run, std::shared_ptr<bool> gone,
                    std::int64_t most, std::shared_ptr<runtime::http_writer> out,
                    std::map<std::string, std::string> headers) {
  auto runtime = where_.runtime_of(life->machine);
  headers["Content-Type"] = "text/event-stream";
  auto events = 1 + static_cast<std::int64_t>(where_.draw(static_cast<std::uint64_t>(most / chunk)));
  bool breaks = run->broken_off;
  std::vector<std::string> pieces;
  for (std::int64_t number = 1; number <= events; ++number) {
    auto data = run->seal + "/" + std::to_string(number);
    pieces.push_back("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
    run->output += pieces.back();
    run->data += data + "\n";
  }
  out->start(200, headers);
  for (std::size_t number = 0; number < pieces.size(); ++number) {
    if (*gone) co_return;
    if (breaks && number + 1 == pieces.size()) co_return out->cut();
    out->piece(pieces[number]);
    co_await runtime.sleep(20 * millisecond);
  }
  if (*gone) co_return;
  run->complete = true;
  run->ended = where_.now();
  out->finish();
}

}  // namespace herontally::platform_simulator
