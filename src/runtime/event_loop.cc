// Builds the runtime's function table over libevent: clocks, timers, signals and the network and disk parts.
#include "runtime/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <signal.h>
#include <time.h>

#include <deque>
#include <unordered_map>

#include "logging/logging.h"
#include "runtime/event_loop_parts.h"
#include "runtime/overload_manager.h"
#include "runtime/process_setup.h"

namespace herontally::runtime {

namespace {
microseconds read_clock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return time.tv_sec * second + time.tv_nsec / 1000;
}
}  // namespace

struct timer_entry {
  struct event* timer_event = nullptr;
  std::function<void()> callback;
};

struct timer_table {
  event_base* base;
  std::unordered_map<std::uint64_t, timer_entry> entries;
  std::uint64_t next = 1;
};

struct ready_callback {
  std::uint64_t id = 0;
  std::function<void()> callback;  // empty once cancelled
};

// Callbacks without a delay, such as the resumption of tasks. They run in the order of posting before the
// loop polls the kernel again; a timer for each would cost a pass of the loop and its system calls.
class ready_queue {
 public:
  explicit ready_queue(event_base* base)
      : base_(base), drain_event_(event_new(base, -1, 0, on_drain, this)) {}
  ~ready_queue() { event_free(drain_event_); }
  ready_queue(const ready_queue&) = delete;

  void push(std::uint64_t id, std::function<void()> callback) {
    if (queue_.empty() && !draining_) event_active(drain_event_, EV_TIMEOUT, 0);
    queue_.push_back({id, std::move(callback)});
  }
  void cancel(std::uint64_t id) {
    for (auto& each : queue_)
      if (each.id == id) each.callback = nullptr;
  }
  // Destroying a callback may cancel or post others, hence the loop.
  void clear() {
    while (!queue_.empty()) {
      auto dropped = std::exchange(queue_, {});
    }
  }

 private:
  static void on_drain(evutil_socket_t, short, void* raw) { static_cast<ready_queue*>(raw)->drain(); }
  void drain() {
    // Further callbacks wait until the loop has polled the sockets.
    constexpr int max_per_iteration = 1000;
    draining_ = true;
    bool stopped = false;
    for (int done = 0; done < max_per_iteration && !queue_.empty() && !stopped; ++done) {
      auto callback = std::move(queue_.front().callback);
      queue_.pop_front();
      if (callback) callback();
      stopped = event_base_got_break(base_);
    }
    draining_ = false;
    constexpr timeval no_delay{0, 0};
    if (!queue_.empty()) event_add(drain_event_, &no_delay);
  }

  event_base* base_;
  struct event* drain_event_;
  std::deque<ready_callback> queue_;
  bool draining_ = false;
};

struct timer_context {
  timer_table* table;
  std::uint64_t id;
};

static void on_timer(evutil_socket_t, short, void* raw) {
  std::unique_ptr<timer_context> context(static_cast<timer_context*>(raw));
  auto found = context->table->entries.find(context->id);
  if (found == context->table->entries.end()) return;
  auto callback = std::move(found->second.callback);
  event_free(found->second.timer_event);
  context->table->entries.erase(found);
  callback();
}

struct event_loop::state {
  event_base* base = nullptr;
  timer_table timers;
  std::unique_ptr<ready_queue> ready;
  std::shared_ptr<overload_manager> overload;
  std::shared_ptr<rpc_transport> channels;
  std::shared_ptr<http_server> server;
  std::shared_ptr<http_client> client;
  std::optional<handle> runtime;
  signal_handler on_termination, on_hangup;
  std::vector<struct event*> signal_events;

  void handle_signal(int number, signal_handler* handler);
  void bind_signals();
};

static void on_signal(evutil_socket_t number, short, void* raw) {
  (*static_cast<event_loop::signal_handler*>(raw))(static_cast<int>(number));
}

static void bind_clocks(backend& table) {
  // CLOCK_BOOTTIME advances while the machine is suspended, so a lease can't outlive a suspension unnoticed.
  table.now = [] { return read_clock(CLOCK_BOOTTIME); };
  table.wall = [] { return read_clock(CLOCK_REALTIME); };
}

static void bind_timers(timer_table* timers, ready_queue* ready, backend& table) {
  table.after = [timers, ready](microseconds delay, std::function<void()> callback) {
    std::uint64_t id = timers->next++;
    if (delay <= 0) {
      ready->push(id, std::move(callback));
      return id;
    }
    auto* context = new timer_context{timers, id};
    auto* timer_event = event_new(timers->base, -1, 0, on_timer, context);
    timeval timeout{static_cast<time_t>(delay / second), static_cast<suseconds_t>(delay % second)};
    event_add(timer_event, &timeout);
    timers->entries[id] = timer_entry{timer_event, std::move(callback)};
    return id;
  };
  table.cancel = [timers, ready](std::uint64_t id) {
    auto found = timers->entries.find(id);
    if (found == timers->entries.end()) return ready->cancel(id);
    delete static_cast<timer_context*>(event_get_callback_arg(found->second.timer_event));
    event_free(found->second.timer_event);
    timers->entries.erase(found);
  };
}

static std::uint64_t random_seed(const backend& table) {
  std::uint64_t seed =
      static_cast<std::uint64_t>(table.wall()) ^ (static_cast<std::uint64_t>(table.now()) << 20);
  FILE* file = fopen("/dev/urandom", "rb");
  if (!file) return seed;
  std::uint64_t random_bits = 0;
  if (fread(&random_bits, sizeof random_bits, 1, file) == 1) seed ^= random_bits;
  fclose(file);
  return seed;
}

// libevent writes its messages to standard error by itself otherwise, and waits for whoever reads that.
static void log_library_message(int severity, const char* text) {
  static const logging::logger logger("libevent");
  if (severity >= EVENT_LOG_WARN) logger.warn("message of the event library", {{"text", text}});
}

static event_base* make_event_base() {
  event_set_log_callback(log_library_message);
  auto* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  auto* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

void event_loop::state::handle_signal(int number, signal_handler* handler) {
  auto* added = evsignal_new(base, number, on_signal, handler);
  event_add(added, nullptr);
  signal_events.push_back(added);
}

void event_loop::state::bind_signals() {
  for (int number : termination_signals) handle_signal(number, &on_termination);
  // Ignored until a handler is set; the default action of SIGHUP would end the process.
  on_hangup = [](int) {};
  handle_signal(SIGHUP, &on_hangup);
}

event_loop::event_loop(std::string data_directory, const resource_limits& limits)
    : state_(std::make_unique<state>()) {
  // Writing to a connection that the peer has closed must not end the process.
  signal(SIGPIPE, SIG_IGN);
  state_->base = make_event_base();
  state_->timers.base = state_->base;
  backend table;
  bind_clocks(table);
  state_->ready = std::make_unique<ready_queue>(state_->base);
  bind_timers(&state_->timers, state_->ready.get(), table);
  state_->overload = std::make_shared<overload_manager>(state_->base, limits);
  state_->channels = make_channels(state_->base, table.after, table.cancel, state_->overload);
  state_->server = make_http_server(state_->base, state_->overload);
  state_->client = make_http_client(state_->base, table);
  bind_channels(state_->channels, table);
  bind_http_server(state_->server, table);
  bind_http_client(state_->client, table);
  bind_files(std::move(data_directory), table);
  table.connections_shed = [overload = state_->overload] { return overload->closed_connections(); };
  std::uint64_t seed = random_seed(table);
  state_->runtime.emplace(std::move(table), seed);
  state_->on_termination = [this](int) { stop(); };
  state_->bind_signals();
}

event_loop::~event_loop() {
  state_->runtime->stop();
  state_->client.reset();
  state_->server.reset();
  state_->channels.reset();
  auto entries = std::move(state_->timers.entries);
  for (auto& [id, entry] : entries) {
    delete static_cast<timer_context*>(event_get_callback_arg(entry.timer_event));
    event_free(entry.timer_event);
  }
  entries.clear();
  state_->ready->clear();
  state_->runtime.reset();
  state_->ready.reset();
  // The actions from before this loop are in force again.
  for (auto* each : state_->signal_events) event_free(each);
  state_->overload->stop();
  event_base_free(state_->base);
}

handle event_loop::runtime() const { return *state_->runtime; }
void event_loop::run() { event_base_dispatch(state_->base); }
void event_loop::stop() { event_base_loopbreak(state_->base); }
void event_loop::on_notice(signal_handler handler) { state_->on_termination = std::move(handler); }
void event_loop::on_reload(signal_handler handler) { state_->on_hangup = std::move(handler); }

}  // namespace herontally::runtime
