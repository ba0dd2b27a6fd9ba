#include "model/run.h"

#include "model/clients.h"
#include "model/injector.h"
#include "reconfiguration/view_install.h"

namespace herontally::model {

namespace {

using runtime::second;

constexpr runtime::microseconds founding_timeout = 5 * second;
// Long enough for a move to wait for the deadlines of both movers several times.
constexpr runtime::microseconds recovery_timeout = 40 * second, read_timeout = 10 * second,
                                spares_timeout = 10 * second;
constexpr runtime::microseconds writer_drain_time = 3 * second;
constexpr runtime::microseconds disk_open_time = 50 * runtime::millisecond;
constexpr const char* reader_name = "reader";
constexpr const char* writer_prefix = "writer";
constexpr const char* mover_prefix = "mover";

class model_run {
 public:
  explicit model_run(const run_options& options)
      : options_(options),
        plan_(make_plan(options)),
        world_(options.seed * 1000003 + options.variation),
        group_(world_, options) {}

  run_result execute() {
    prepare();
    if (!found_group()) return failed(violation_kind::not_founded, "the group could not be founded");
    for (auto& name : clients_) start(name);
    injector faults(world_, group_, clients_, [this](const std::string& name) { start(name); });
    faults.run(plan_);
    faults.heal();
    result_.faults = faults.injected();
    result_.events = faults.events();
    check_after_faults();
    return result_;
  }

 private:
  void prepare() {
    context_->world = &world_;
    context_->addresses = group_.addresses();
    context_->storage_names = group_.storage_names();
    context_->keys = plan_.keys;
    context_->max_pause = plan_.max_pause;
    for (int number = 1; number <= plan_.writers; ++number)
      clients_.push_back(writer_prefix + std::to_string(number));
    for (int number = 1; number <= plan_.movers; ++number)
      clients_.push_back(mover_prefix + std::to_string(number));
    for (auto& name : clients_) boot(name);
    boot(reader_name);
    // A voter accepts messages only after it has opened its disk.
    world_.run_for(disk_open_time);
  }

  void boot(const std::string& name) {
    world_.machine(name, "zone");
    world_.boot(name);
  }

  void start(const std::string& name) {
    auto proposer = make_proposer(context_, name);
    if (name.rfind(writer_prefix, 0) == 0)
      start_writer(context_, name, proposer);
    else
      world_.runtime_of(name).spawn(run_mover(context_, proposer));
  }

  // Installs the group's first view and writes it under the view's register key.
  static runtime::task<> install_first_view(consensus::proposer founder,
                                            std::vector<consensus::voter_info> voters,
                                            std::shared_ptr<std::optional<bool>> done) {
    auto deadline = founder.endpoint().runtime().now() + founding_timeout;
    auto begun = co_await reconfiguration::bootstrap_group(founder.endpoint(), group_name, voters, deadline);
    auto* first = std::get_if<consensus::view>(&begun);
    *done = first != nullptr;
    if (!first) co_return;
    founder.learn_view(*first);
    std::string text = consensus::to_text(*first);
    // Only if the register is empty, as in production: a retried round must not restore the first view.
    consensus::mutator write_if_empty = [text](const std::optional<std::string>& current) {
      return current ? std::nullopt : std::optional<std::string>(text);
    };
    auto written =
        co_await founder.change(reconfiguration::view_register_key(group_name), write_if_empty, deadline);
    *done = written.value == text;
  }

  bool found_group() {
    auto done = std::make_shared<std::optional<bool>>();
    auto founder = make_proposer(context_, reader_name);
    auto task = install_first_view(founder, group_.founding_voters(options_.voters), done);
    world_.runtime_of(reader_name).spawn(std::move(task));
    return world_.run_until([&] { return done->has_value(); }, 2 * founding_timeout) && **done;
  }

  // Once the faults have ended, the movers must replace all lost voters and every key must be readable.
  void check_after_faults() {
    context_->writing = false;
    context_->unneeded_moves = false;
    world_.run_for(writer_drain_time);
    bool recovered = world_.run_until([this] { return group_.all_voters_in_place(); }, recovery_timeout);
    bool usable = world_.run_until([this] { return group_.spares_usable(); }, spares_timeout);
    bool readable = read_all_keys();
    count();
    check_histories();
    if (result_.failure) return;
    if (!readable) fail(violation_kind::not_readable, "a key can't be read after the faults");
    if (!recovered)
      fail(violation_kind::not_at_strength, "newest view: " + consensus::to_text(group_.newest_view()));
    if (!usable)
      fail(violation_kind::spares_unusable, "a machine that is no voter still has a view installed");
  }

  bool read_all_keys() {
    auto done = std::make_shared<std::optional<bool>>();
    auto read = [](shared_context context, std::shared_ptr<std::optional<bool>> done) -> runtime::task<> {
      auto reader = make_proposer(context, reader_name);
      auto deadline = reader.endpoint().runtime().now() + read_timeout;
      bool all = co_await read_all(context, reader_name, reader, deadline);
      *done = all;
    };
    world_.runtime_of(reader_name).spawn(read(context_, done));
    return world_.run_until([&] { return done->has_value(); }, 2 * read_timeout) && **done;
  }

  void check_histories() {
    for (auto& [key, history] : context_->histories) {
      auto checked = check_linearizable(history);
      if (checked.outcome == verdict::linearizable) continue;
      bool violated = checked.outcome == verdict::violated;
      fail(violated ? violation_kind::not_linearizable : violation_kind::undecided,
           key + ": " + checked.explanation);
      for (auto& each : history) result_.events.push_back(key + ": " + describe(each));
    }
  }

  void count() {
    result_.moves = context_->completed_moves;
    for (auto& [key, history] : context_->histories) {
      for (auto& each : history) {
        result_.operations += 1;
        result_.acknowledged += each.kind == operation_kind::set ? 1 : 0;
      }
    }
  }

  void fail(violation_kind kind, std::string description) {
    if (result_.failure) return;
    result_.failure = violation{kind, std::move(description)};
    for (auto& line : group_.describe()) result_.events.push_back(line);
  }
  run_result failed(violation_kind kind, std::string description) {
    fail(kind, std::move(description));
    return result_;
  }

  run_options options_;
  run_plan plan_;
  shared_context context_ = std::make_shared<client_context>();
  std::vector<std::string> clients_;
  run_result result_;
  simulator::world world_;
  cluster group_;
};

}  // namespace

run_result run_once(const run_options& options) { return model_run(options).execute(); }

std::string name_of(violation_kind kind) {
  switch (kind) {
    case violation_kind::not_linearizable:
      return "not linearizable";
    case violation_kind::undecided:
      return "undecided";
    case violation_kind::not_readable:
      return "not readable";
    case violation_kind::not_at_strength:
      return "not whole";
    case violation_kind::spares_unusable:
      return "spares unusable";
    case violation_kind::not_founded:
      return "not begun";
  }
  return "";
}

}  // namespace herontally::model
