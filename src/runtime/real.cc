#include "runtime/real.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <signal.h>
#include <time.h>

#include <unordered_map>

#include "runtime/real_parts.h"

namespace herontally::runtime {

namespace {
microseconds read_clock(clockid_t which) {
  timespec moment{};
  clock_gettime(which, &moment);
  return moment.tv_sec * second + moment.tv_nsec / 1000;
}
}  // namespace

struct timer_entry {
  struct event* alarm = nullptr;
  std::function<void()> work;
};

struct timer_table {
  event_base* base;
  std::unordered_map<std::uint64_t, timer_entry> entries;
  std::uint64_t next = 1;
};

struct timer_argument {
  timer_table* table;
  std::uint64_t number;
};

static void fire(evutil_socket_t, short, void* raw) {
  std::unique_ptr<timer_argument> argument(static_cast<timer_argument*>(raw));
  auto found = argument->table->entries.find(argument->number);
  if (found == argument->table->entries.end()) return;
  auto work = std::move(found->second.work);
  event_free(found->second.alarm);
  argument->table->entries.erase(found);
  work();
}

struct real::state {
  event_base* base = nullptr;
  timer_table timers;
  std::shared_ptr<channel_part> channels;
  std::shared_ptr<http_server_part> server;
  std::shared_ptr<http_client_part> client;
  std::optional<handle> runtime;
  std::function<void()> notice, reload;
  struct event* hangup = nullptr;
  struct event* term = nullptr;
  struct event* interrupt = nullptr;
};

static void on_signal(evutil_socket_t, short, void* raw) {
  auto* self = static_cast<std::function<void()>*>(raw);
  (*self)();
}

real::real(std::string data_folder) : state_(std::make_unique<state>()) {
  // A peer that goes away while we write must not end the process.
  signal(SIGPIPE, SIG_IGN);
  auto* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  state_->base = event_base_new_with_config(config);
  event_config_free(config);
  state_->timers.base = state_->base;
  auto* timers = &state_->timers;
  backend table;
  // BOOTTIME goes on while the machine is suspended, so a lease can't outlive a sleep unnoticed.
  table.now = [] { return read_clock(CLOCK_BOOTTIME); };
  table.wall = [] { return read_clock(CLOCK_REALTIME); };
  table.after = [timers](microseconds delay, std::function<void()> work) {
    std::uint64_t number = timers->next++;
    auto* argument = new timer_argument{timers, number};
    auto* alarm = event_new(timers->base, -1, 0, fire, argument);
    if (delay < 0) delay = 0;
    timeval wait{static_cast<time_t>(delay / second), static_cast<suseconds_t>(delay % second)};
    event_add(alarm, &wait);
    timers->entries[number] = timer_entry{alarm, std::move(work)};
    return number;
  };
  table.cancel = [timers](std::uint64_t number) {
    auto found = timers->entries.find(number);
    if (found == timers->entries.end()) return;
    delete static_cast<timer_argument*>(event_get_callback_arg(found->second.alarm));
    event_free(found->second.alarm);
    timers->entries.erase(found);
  };
  state_->channels = make_channels(state_->base, table.after, table.cancel);
  state_->server = make_http_server(state_->base);
  state_->client = make_http_client(state_->base, table);
  bind_channels(state_->channels, table);
  bind_http_server(state_->server, table);
  bind_http_client(state_->client, table);
  bind_files(std::move(data_folder), table);
  std::uint64_t seed =
      static_cast<std::uint64_t>(table.wall()) ^ (static_cast<std::uint64_t>(table.now()) << 20);
  FILE* source = fopen("/dev/urandom", "rb");
  if (source) {
    std::uint64_t extra = 0;
    if (fread(&extra, sizeof extra, 1, source) == 1) seed ^= extra;
    fclose(source);
  }
  state_->runtime.emplace(std::move(table), seed);
  state_->notice = [this] { stop(); };
  state_->term = evsignal_new(state_->base, SIGTERM, on_signal, &state_->notice);
  state_->interrupt = evsignal_new(state_->base, SIGINT, on_signal, &state_->notice);
  // Without a handler a hangup does nothing: by default it would end the process.
  state_->reload = [] {};
  state_->hangup = evsignal_new(state_->base, SIGHUP, on_signal, &state_->reload);
  event_add(state_->hangup, nullptr);
  event_add(state_->term, nullptr);
  event_add(state_->interrupt, nullptr);
}

real::~real() {
  state_->runtime->stop();
  state_->client.reset();
  state_->server.reset();
  state_->channels.reset();
  auto entries = std::move(state_->timers.entries);
  for (auto& [number, entry] : entries) {
    delete static_cast<timer_argument*>(event_get_callback_arg(entry.alarm));
    event_free(entry.alarm);
  }
  entries.clear();
  state_->runtime.reset();
  event_free(state_->hangup);
  event_free(state_->term);
  event_free(state_->interrupt);
  event_base_free(state_->base);
}

handle real::runtime() const { return *state_->runtime; }
void real::run() { event_base_dispatch(state_->base); }
void real::stop() { event_base_loopbreak(state_->base); }
void real::on_notice(std::function<void()> handler) { state_->notice = std::move(handler); }
void real::on_reload(std::function<void()> handler) { state_->reload = std::move(handler); }

}  // namespace herontally::runtime
