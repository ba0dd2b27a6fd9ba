// Implements the runtime handle over a table of functions, and the HTTP helpers built on it.
#include "runtime/runtime.h"

#include <algorithm>
#include <unordered_map>

namespace herontally::runtime {

struct handle::state {
  backend table;
  std::mt19937_64 random;
  std::unordered_map<std::uint64_t, task<>> roots;
  std::uint64_t next_root_id = 1;
  bool stopped = false;
  std::vector<std::function<void()>> on_stop;
};

handle::handle(backend table, std::uint64_t seed) : state_(std::make_shared<state>()) {
  state_->table = std::move(table);
  state_->random.seed(seed);
}

microseconds handle::now() const { return state_->table.now(); }
microseconds handle::wall() const { return state_->table.wall(); }
std::mt19937_64& handle::random() const { return state_->random; }
std::uint64_t handle::draw(std::uint64_t below) const { return below == 0 ? 0 : state_->random() % below; }

std::string handle::random_name() const {
  static const char digits[] = "0123456789abcdef";
  std::string name;
  std::uint64_t bits = state_->random();
  for (int index = 0; index < 16; ++index) name += digits[(bits >> (4 * index)) & 15];
  return name;
}

void handle::post(std::function<void()> work) const { state_->table.after(0, std::move(work)); }
std::uint64_t handle::after(microseconds delay, std::function<void()> work) const {
  return state_->table.after(delay, std::move(work));
}
void handle::cancel(std::uint64_t timer) const { state_->table.cancel(timer); }

// No task awaits a spawned task, so nothing could handle its exception: the process ends.
static task<> run_root(task<> work, std::function<void()> done) {
  try {
    co_await std::move(work);
  } catch (...) {
    std::terminate();
  }
  done();
}

task<std::optional<std::string>> failure_of(task<> work) {
  try {
    co_await std::move(work);
  } catch (const std::exception& error) {
    co_return error.what();
  }
  co_return std::nullopt;
}

void handle::spawn(task<> work) const {
  if (state_->stopped) return;
  std::uint64_t id = state_->next_root_id++;
  std::weak_ptr<state> weak = state_;
  // The coroutine frame is freed from the loop, since a frame can't free itself while it runs.
  auto done = [weak, id] {
    if (auto self = weak.lock())
      self->table.after(0, [weak, id] {
        if (auto self = weak.lock()) self->roots.erase(id);
      });
  };
  state_->roots.emplace(id, run_root(std::move(work), done));
  post([weak, id] {
    auto self = weak.lock();
    if (!self) return;
    auto found = self->roots.find(id);
    if (found != self->roots.end()) found->second.start();
  });
}

task<> handle::sleep(microseconds delay) const {
  slot<bool> done(*this);
  after(delay, [done] { done.set(true); });
  co_await done.wait();
}

task<call_outcome> handle::call(std::string address, std::string bytes, microseconds timeout) const {
  slot<call_outcome> outcome(*this);
  state_->table.call(std::move(address), std::move(bytes), timeout,
                     [outcome](call_outcome result) { outcome.set(std::move(result)); });
  co_return co_await outcome.wait();
}

bool handle::serve(std::string address, message_handler handler) const {
  return state_->table.serve(std::move(address), std::move(handler));
}
void handle::http_drain(std::string address) const { state_->table.http_drain(std::move(address)); }
connection_counts handle::http_connections(std::string address) const {
  return state_->table.http_connections(std::move(address));
}
bool handle::http_serve(std::string address, http_handler handler) const {
  return state_->table.http_serve(std::move(address), std::move(handler));
}
const backend& handle::table() const { return state_->table; }

task<std::optional<disk_error>> handle::sync(std::string file) const {
  slot<std::optional<disk_error>> done(*this);
  state_->table.disk.sync(file, [done](std::optional<disk_error> result) { done.set(result); });
  co_return co_await done.wait();
}

void handle::stop() const {
  state_->stopped = true;
  auto roots = std::move(state_->roots);
  state_->roots.clear();
  roots.clear();
  auto work = std::move(state_->on_stop);
  state_->on_stop.clear();
  for (auto& each : work) each();
}

void handle::on_stop(std::function<void()> work) const { state_->on_stop.push_back(std::move(work)); }

http_stream::http_stream(handle runtime, std::string address, http_request request)
    : runtime_(runtime), events_(runtime), id_(std::make_shared<std::uint64_t>(0)) {
  auto events = events_;
  auto id = id_;
  *id_ = runtime_.table().http_open(std::move(address), std::move(request), [events, id](http_event event) {
    // The exchange is over: there is nothing left to cancel.
    if (std::holds_alternative<http_end>(event) || std::holds_alternative<http_failure>(event)) *id = 0;
    events.push(std::move(event));
  });
}

http_stream::~http_stream() {
  if (*id_) runtime_.table().http_cancel(*id_);
}

task<std::optional<http_event>> http_stream::next(microseconds timeout) { return events_.pop(timeout); }

void http_stream::interrupt() {
  // Static, since g++ 12 warns that parts of a local variant are uninitialised.
  static const http_event failure = http_failure{};
  events_.push(failure);
}

task<> drain_connections(handle runtime, std::vector<std::string> addresses, microseconds until,
                         microseconds latest) {
  constexpr microseconds poll_period = 20 * millisecond;
  for (auto& address : addresses) runtime.http_drain(address);
  auto is_open = [&](auto& address) { return runtime.http_connections(address).open > 0; };
  auto is_unanswered = [&](auto& address) { return runtime.http_connections(address).unanswered > 0; };
  while (runtime.now() < latest) {
    bool pending = runtime.now() < until ? std::any_of(addresses.begin(), addresses.end(), is_open)
                                         : std::any_of(addresses.begin(), addresses.end(), is_unanswered);
    if (!pending) co_return;
    co_await runtime.sleep(poll_period);
  }
}

// More than any document that is fetched.
constexpr std::size_t max_fetched_bytes = 8u << 20;

task<http_outcome> http_fetch(handle runtime, std::string address, http_request request,
                              microseconds timeout) {
  microseconds deadline = runtime.now() + timeout;
  http_stream stream(runtime, std::move(address), std::move(request));
  http_response response;
  while (true) {
    microseconds remaining = deadline - runtime.now();
    if (remaining <= 0) co_return http_failure{true};
    auto event = co_await stream.next(remaining);
    if (!event) co_return http_failure{true};
    if (auto* head = std::get_if<http_head>(&*event)) {
      response.status = head->status;
      response.headers = head->headers;
    } else if (auto* piece = std::get_if<http_piece>(&*event)) {
      if (response.body.size() + piece->bytes.size() > max_fetched_bytes) co_return http_failure{true};
      response.body += piece->bytes;
    } else if (auto* failure = std::get_if<http_failure>(&*event)) {
      co_return *failure;
    } else {
      co_return response;
    }
  }
}

}  // namespace herontally::runtime
