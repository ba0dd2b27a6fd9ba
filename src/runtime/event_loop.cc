#include "runtime/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <signal.h>
#include <time.h>

#include <deque>
#include <unordered_map>

#include "runtime/event_loop_parts.h"

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

struct ready_work {
  std::uint64_t number = 0;
  std::function<void()> work;  // empty: it was cancelled
};

// Work without a delay, such as the waking of tasks. It runs in its order, before the loop asks the kernel
// for more: a timer for each would cost a pass of the loop and its system calls.
class ready_queue {
 public:
  explicit ready_queue(event_base* base) : base_(base), drain_(event_new(base, -1, 0, on_drain, this)) {}
  ~ready_queue() { event_free(drain_); }
  ready_queue(const ready_queue&) = delete;

  void push(std::uint64_t number, std::function<void()> work) {
    if (queue_.empty() && !draining_) event_active(drain_, EV_TIMEOUT, 0);
    queue_.push_back({number, std::move(work)});
  }
  void cancel(std::uint64_t number) {
    for (auto& each : queue_)
      if (each.number == number) each.work = nullptr;
  }
  // What the work holds may cancel or queue more as it goes.
  void clear() {
    while (!queue_.empty()) {
      auto dropped = std::exchange(queue_, {});
    }
  }

 private:
  static void on_drain(evutil_socket_t, short, void* raw) { static_cast<ready_queue*>(raw)->drain(); }
  void drain() {
    // More waits for the sockets to have their turn.
    constexpr int max_in_turn = 1000;
    draining_ = true;
    bool stopped = false;
    for (int done = 0; done < max_in_turn && !queue_.empty() && !stopped; ++done) {
      auto work = std::move(queue_.front().work);
      queue_.pop_front();
      if (work) work();
      stopped = event_base_got_break(base_);
    }
    draining_ = false;
    constexpr timeval at_once{0, 0};
    if (!queue_.empty()) event_add(drain_, &at_once);
  }

  event_base* base_;
  struct event* drain_;
  std::deque<ready_work> queue_;
  bool draining_ = false;
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

struct event_loop::state {
  event_base* base = nullptr;
  timer_table timers;
  std::unique_ptr<ready_queue> ready;
  std::shared_ptr<channel_part> channels;
  std::shared_ptr<http_server_part> server;
  std::shared_ptr<http_client_part> client;
  std::optional<handle> runtime;
  std::function<void()> notice, reload;
  struct event* hangup = nullptr;
  struct event* term = nullptr;
  struct event* interrupt = nullptr;

  void bind_signals();
};

static void on_signal(evutil_socket_t, short, void* raw) {
  auto* self = static_cast<std::function<void()>*>(raw);
  (*self)();
}

static void bind_clocks(backend& table) {
  // BOOTTIME goes on while the machine is suspended, so a lease can't outlive a sleep unnoticed.
  table.now = [] { return read_clock(CLOCK_BOOTTIME); };
  table.wall = [] { return read_clock(CLOCK_REALTIME); };
}

static void bind_timers(timer_table* timers, ready_queue* ready, backend& table) {
  table.after = [timers, ready](microseconds delay, std::function<void()> work) {
    std::uint64_t number = timers->next++;
    if (delay <= 0) {
      ready->push(number, std::move(work));
      return number;
    }
    auto* argument = new timer_argument{timers, number};
    auto* alarm = event_new(timers->base, -1, 0, fire, argument);
    timeval wait{static_cast<time_t>(delay / second), static_cast<suseconds_t>(delay % second)};
    event_add(alarm, &wait);
    timers->entries[number] = timer_entry{alarm, std::move(work)};
    return number;
  };
  table.cancel = [timers, ready](std::uint64_t number) {
    auto found = timers->entries.find(number);
    if (found == timers->entries.end()) return ready->cancel(number);
    delete static_cast<timer_argument*>(event_get_callback_arg(found->second.alarm));
    event_free(found->second.alarm);
    timers->entries.erase(found);
  };
}

static std::uint64_t random_seed(const backend& table) {
  std::uint64_t seed =
      static_cast<std::uint64_t>(table.wall()) ^ (static_cast<std::uint64_t>(table.now()) << 20);
  FILE* source = fopen("/dev/urandom", "rb");
  if (!source) return seed;
  std::uint64_t extra = 0;
  if (fread(&extra, sizeof extra, 1, source) == 1) seed ^= extra;
  fclose(source);
  return seed;
}

static event_base* make_event_base() {
  auto* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  auto* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

void event_loop::state::bind_signals() {
  term = evsignal_new(base, SIGTERM, on_signal, &notice);
  interrupt = evsignal_new(base, SIGINT, on_signal, &notice);
  // Without a handler a hangup does nothing: by default it would end the process.
  reload = [] {};
  hangup = evsignal_new(base, SIGHUP, on_signal, &reload);
  event_add(hangup, nullptr);
  event_add(term, nullptr);
  event_add(interrupt, nullptr);
}

event_loop::event_loop(std::string data_folder) : state_(std::make_unique<state>()) {
  // A peer that goes away while we write must not end the process.
  signal(SIGPIPE, SIG_IGN);
  state_->base = make_event_base();
  state_->timers.base = state_->base;
  backend table;
  bind_clocks(table);
  state_->ready = std::make_unique<ready_queue>(state_->base);
  bind_timers(&state_->timers, state_->ready.get(), table);
  state_->channels = make_channels(state_->base, table.after, table.cancel);
  state_->server = make_http_server(state_->base);
  state_->client = make_http_client(state_->base, table);
  bind_channels(state_->channels, table);
  bind_http_server(state_->server, table);
  bind_http_client(state_->client, table);
  bind_files(std::move(data_folder), table);
  std::uint64_t seed = random_seed(table);
  state_->runtime.emplace(std::move(table), seed);
  state_->notice = [this] { stop(); };
  state_->bind_signals();
}

event_loop::~event_loop() {
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
  state_->ready->clear();
  state_->runtime.reset();
  state_->ready.reset();
  event_free(state_->hangup);
  event_free(state_->term);
  event_free(state_->interrupt);
  event_base_free(state_->base);
}

handle event_loop::runtime() const { return *state_->runtime; }
void event_loop::run() { event_base_dispatch(state_->base); }
void event_loop::stop() { event_base_loopbreak(state_->base); }
void event_loop::on_notice(std::function<void()> handler) { state_->notice = std::move(handler); }
void event_loop::on_reload(std::function<void()> handler) { state_->reload = std::move(handler); }

}  // namespace herontally::runtime
