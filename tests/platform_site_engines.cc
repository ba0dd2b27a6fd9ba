// Engines that behave as the users specify, and the platform's engine list.
#include <string.h>

#include <algorithm>

#include "platform_site.h"

namespace herontally::platform_simulator {

constexpr microseconds list_lag = 800 * millisecond, cold_time = 3 * second;
constexpr std::int64_t list_rate = 40, max_queued = 4;

std::string site::add_engine(const std::string& service, const std::string& zone,
                             const std::string& address) {
  auto engine = std::make_shared<engine_process>();
  engine->machine = "engine-" + std::to_string(++engine_count_);
  engine->id = "i-" + std::to_string(engine_count_);
  engine->service = service;
  engine->zone = zone;
  engine->address = address.empty() ? "10.0.3." + std::to_string(engine_count_) + ":8080" : address;
  engine->capacity = service == "models" ? 8 : 6;
  engine->cold_since = world_.now();
  engine->cold_until = world_.now() + cold_time;
  world_.machine(engine->machine, zone);
  world_.boot(engine->machine);
  world_.runtime_of(engine->machine).http_serve(engine->address, [this, engine](auto incoming, auto out) {
    world_.runtime_of(engine->machine).spawn(serve_engine(engine, std::move(incoming), std::move(out)));
  });
  engines_[engine->machine] = engine;
  update_listing(engine->machine, true);
  return engine->machine;
}

// Updates the engine's entry in the list after `list_lag`: the platform's list is delayed.
void site::update_listing(const std::string& machine, bool listed) {
  auto engine = engines_.at(machine);
  bool draining = engine->draining;
  world_.at(world_.now() + (world_.now() == 0 ? 0 : list_lag), [this, engine, listed, draining] {
    std::erase_if(listed_engines_, [&](auto& entry) { return entry["id"] == engine->id; });
    if (draining && engine->listed_draining_at < 0) engine->listed_draining_at = world_.now();
    if (!listed) return;
    listed_engines_.push_back({{"id", engine->id},
                               {"backend", engine->service},
                               {"endpoint", engine->address},
                               {"zone", engine->zone},
                               {"generation", "v1"},
                               {"capacity", engine->capacity},
                               {"phase", draining ? "draining" : "serving"},
                               {"warmup_left_ms", 0}});
  });
}

void site::serve_list(runtime::inbound_request incoming, std::shared_ptr<runtime::http_writer> out) {
  auto now = world_.now();
  while (!recent_list_calls_.empty() && recent_list_calls_.front() <= now - second)
    recent_list_calls_.pop_front();
  if (static_cast<std::int64_t>(recent_list_calls_.size()) >= list_rate) return out->reply({429, {}, ""});
  recent_list_calls_.push_back(now);
  std::size_t from = 0;
  auto token = incoming.query.find("page_token=p-");
  if (token != std::string::npos) from = std::stoul(incoming.query.substr(token + 13));
  json page{{"servers", json::array()}, {"next_token", nullptr}};
  for (std::size_t number = from; number < listed_engines_.size() && number < from + 8; ++number) {
    auto entry = listed_engines_[number];
    for (auto& [machine, engine] : engines_)
      if (engine->id == entry["id"])
        entry["warmup_left_ms"] =
            std::max<microseconds>(0, engine->cold_until - (now - list_lag)) / millisecond;
    page["servers"].push_back(entry);
  }
  if (from + 8 < listed_engines_.size()) page["next_token"] = "p-" + std::to_string(from + 8);
  out->reply({200, {{"Content-Type", "application/json"}}, page.dump()});
}

std::vector<std::string> site::engines() const {
  std::vector<std::string> names;
  for (auto& [machine, engine] : engines_)
    if (!engine->draining && !engine->ended) names.push_back(machine);
  return names;
}

void site::replace_engine(std::string machine) {
  auto engine = engines_.at(machine);
  add_engine(engine->service, engine->zone, "");
  world_.at(world_.now() + 4 * second, [this, engine] {
    if (engine->ended) return;
    engine->draining = true;
    update_listing(engine->machine, true);
    world_.at(world_.now() + list_lag + drain_time + 4 * second, [this, engine] {
      if (engine->ended) return;
      crash_engine(engine->machine);
    });
  });
}

void site::crash_engine(const std::string& machine) {
  auto engine = engines_.at(machine);
  if (engine->ended) return;
  engine->ended = true;
  rule_oracle_.fault_begins(machine);
  world_.kill(machine, simulator::disk_loss::none);
  // It stays in the list for a while. Its address may be reused by an engine of another service.
  world_.at(world_.now() + 2 * second, [this, engine] {
    update_listing(engine->machine, false);
    bool crashed = !engine->draining;
    if (crashed) add_engine(engine->service, engine->zone, "");
    if (world_.draw(2))
      add_engine(engine->service == "apps_a" ? "apps_b" : "apps_a", engine->zone, engine->address);
  });
}

void site::make_engine_cold(const std::string& machine) {
  auto engine = engines_.at(machine);
  engine->cold_since = world_.now();
  engine->cold_until = world_.now() + cold_time;
}

static std::string header_value(const runtime::inbound_request& incoming, const std::string& name) {
  auto found = incoming.headers.find(name);
  return found == incoming.headers.end() ? "" : found->second;
}

task<> site::serve_engine(std::shared_ptr<engine_process> engine, runtime::inbound_request incoming,
                          std::shared_ptr<runtime::http_writer> out) {
  auto now = world_.now();
  if (incoming.path == "/health" || incoming.path == "/-/report") {
    runtime::http_response response{engine->draining ? 503 : 200, {{"X-Instance", engine->id}}, ""};
    if (now < engine->cold_until)
      response.headers["X-Cold-Ms"] = std::to_string((engine->cold_until - now) / millisecond);
    if (incoming.path == "/-/report")
      response.body = json{{"active", engine->running}, {"backlog", engine->queue.size()}}.dump();
    out->reply(response);
    co_return;
  }
  std::map<std::string, std::string> refusal_headers{
      {"X-Not-Executed", "1"}, {"X-Attempt-Id", header_value(incoming, "x-attempt-id")}};
  auto wanted_engine = header_value(incoming, "x-target-instance");
  int refusal = header_value(incoming, "x-attempt-id").empty()          ? 400
                : !wanted_engine.empty() && wanted_engine != engine->id ? 421
                : engine->running < engine->capacity                    ? 0
                : std::ssize(engine->queue) >= max_queued               ? 503
                                                                        : 0;
  if (refusal) {
    out->reply({refusal, refusal_headers, ""});
    co_return;
  }
  auto runtime = world_.runtime_of(engine->machine);
  auto left = header_value(incoming, "x-time-left-ms");
  auto deadline = runtime.now() + std::stoll(left.empty() ? "4000" : left) * millisecond;
  if (engine->running >= engine->capacity) {
    runtime::slot<bool> notifier(runtime);
    engine->queue.push_back(notifier);
    auto timer = runtime.after(deadline - runtime.now(), [notifier] { notifier.set(false); });
    co_await notifier.wait();
    runtime.cancel(timer);
    std::erase_if(engine->queue, [](auto& each) { return each.is_set(); });
    if (out->closed()) co_return;
    if (runtime.now() >= deadline) {
      out->reply({503, refusal_headers, ""});
      co_return;
    }
  }
  ++engine->running;
  co_await run_request(engine, std::move(incoming), out);
  --engine->running;
  if (!engine->queue.empty()) engine->queue.front().set(true);
}

task<> site::run_request(std::shared_ptr<engine_process> engine, runtime::inbound_request incoming,
                         std::shared_ptr<runtime::http_writer> out) {
  auto runtime = world_.runtime_of(engine->machine);
  auto now = world_.now();
  arrival seen{header_value(incoming, "x-attempt-id"),
               incoming.method,
               incoming.target,
               incoming.body,
               incoming.peer.substr(0, incoming.peer.rfind(':')),
               engine->machine,
               engine->service,
               engine->zone};
  seen.sent = std::stoll(header_value(incoming, "x-sim-sent"));
  seen.cold = now < engine->cold_until;
  seen.cold_since = engine->cold_since;
  seen.listed_draining_at = engine->listed_draining_at;
  auto* run = rule_oracle_.run_started(seen);
  if (!run) co_return out->cut();
  run->seal = engine->id + "." + std::to_string(++engine->sealed);
  auto client_gone = std::make_shared<bool>(false);
  out->on_gone([client_gone] { *client_gone = true; });
  std::map<std::string, std::string> headers{{"X-Attempt-Id", seen.attempt}, {"X-Server-Seal", run->seal}};
  if (seen.cold) headers["X-Cold-Ms"] = std::to_string((engine->cold_until - now) / millisecond);
  auto misbehaviour = misbehaviour_per_thousand > 0 &&
                              world_.draw(1000) < static_cast<std::uint64_t>(misbehaviour_per_thousand)
                          ? world_.draw(4)
                          : 9;
  auto counts = header_value(incoming, "x-token-count");
  auto comma = counts.find(',');
  std::int64_t max_tokens = comma == std::string::npos ? 0 : std::stoll(counts.substr(comma + 1));
  co_await runtime.sleep((10 + static_cast<microseconds>(world_.draw(40))) * millisecond *
                         (seen.cold ? 3 : 1));
  bool takes_long = seen.target.compare(0, strlen(long_prefix), long_prefix) == 0;
  if (takes_long) co_await runtime.sleep(static_cast<microseconds>(world_.draw(long_timeout * 3 / 4)));
  if (misbehaviour == 0) {  // the connection breaks before the response
    run->aborted = true;
    out->cut();
  } else if (misbehaviour == 1) {  // a late response to another request arrives instead
    run->aborted = true;
    headers["X-Attempt-Id"] = "surplus";
    out->reply({200, headers, "late"});
  } else if (misbehaviour == 2) {
    run->aborted = true;
    headers.erase("X-Server-Seal");
    out->reply({500, headers, "failed"});
  } else if (*client_gone) {
    // The connection is closed: there is nobody to respond to.
  } else if (max_tokens > 0) {
    run->aborted = misbehaviour == 3;
    co_await stream(engine, run, client_gone, max_tokens, out, headers);
  } else {
    run->output = "answer to " + seen.attempt + " by " + run->seal + "\n";
    run->complete = true;
    run->ended = world_.now();
    out->reply({200, headers, run->output});
  }
  if (run->ended < 0) run->ended = world_.now();
}

task<> site::stream(std::shared_ptr<engine_process> engine, engine_run* run,
                    std::shared_ptr<bool> client_gone, std::int64_t max_tokens,
                    std::shared_ptr<runtime::http_writer> out, std::map<std::string, std::string> headers) {
  auto runtime = world_.runtime_of(engine->machine);
  headers["Content-Type"] = "text/event-stream";
  auto events = 1 + static_cast<std::int64_t>(world_.draw(static_cast<std::uint64_t>(max_tokens / chunk)));
  bool aborts = run->aborted;
  std::vector<std::string> pieces;
  for (std::int64_t number = 1; number <= events; ++number) {
    auto data = run->seal + "/" + std::to_string(number);
    pieces.push_back("id: " + std::to_string(number) + "\ndata: " + data + "\n\n");
    run->output += pieces.back();
    run->data += data + "\n";
  }
  out->start(200, headers);
  for (std::size_t number = 0; number < pieces.size(); ++number) {
    if (*client_gone) co_return;
    if (aborts && number + 1 == pieces.size()) co_return out->cut();
    out->piece(pieces[number]);
    co_await runtime.sleep(20 * millisecond);
  }
  if (*client_gone) co_return;
  run->complete = true;
  run->ended = world_.now();
  out->finish();
}

}  // namespace herontally::platform_simulator
