// The writers of a run, and how they record the operations whose histories are checked.
#include "model/clients.h"

namespace herontally::model {

namespace {

using runtime::millisecond;

constexpr runtime::microseconds operation_timeout = 1500 * millisecond;
constexpr std::uint64_t reads_per_ten_operations = 3;
constexpr int tasks_per_writer = 3;

std::string key_name(int number) { return "key" + std::to_string(number); }

int number_in(const std::optional<std::string>& value) { return value ? std::stoi(*value) : no_value; }

bool has_value(const consensus::change_result& result) { return result.known(); }

// Records a set as uncertain before it begins, so that it is in the history if its client crashes. Returns
// its position in the key's history.
std::size_t record_set(client_context& context, const std::string& key, const std::string& client,
                       int expected) {
  operation each{operation_kind::uncertain_set, client, expected, context.next_value++};
  each.begin = context.world->now();
  auto& history = context.histories[key];
  history.push_back(each);
  return history.size() - 1;
}

void record_read(client_context& context, const std::string& key, const std::string& client, int value,
                 std::int64_t begin) {
  context.histories[key].push_back(
      {operation_kind::read, client, no_value, value, begin, context.world->now()});
}

// Records the result of a compare-and-set. A value that isn't its own counts as a read. If its own value had
// been proposed, the set stays uncertain: the value may have been chosen and replaced since.
void record_set_result(client_context& context, const std::string& key, std::size_t position, bool proposed,
                       const consensus::change_result& result) {
  auto& set = context.histories[key][position];
  if (has_value(result) && number_in(result.value) == set.value) {
    set.kind = operation_kind::set;
    set.end = context.world->now();
    return;
  }
  if (has_value(result)) record_read(context, key, set.client, number_in(result.value), set.begin);
  bool never_proposed = !proposed || result.status == consensus::change_status::unreachable;
  // If its value is read all the same, the history isn't linearizable.
  if (never_proposed) context.histories[key][position].kind = operation_kind::without_effect;
}

runtime::task<int> compare_and_set(shared_context context, std::string key, std::string name,
                                   consensus::proposer group, int expected) {
  auto position = record_set(*context, key, name, expected);
  int value = context->histories[key][position].value;
  auto proposed = std::make_shared<bool>(false);
  consensus::mutator next = [expected, value, proposed](const std::optional<std::string>& current) {
    std::optional<std::string> replacement;
    if (number_in(current) != expected) return replacement;
    *proposed = true;
    replacement = std::to_string(value);
    return replacement;
  };
  auto deadline = group.endpoint().runtime().now() + operation_timeout;
  auto result = co_await group.change(key, next, deadline);
  record_set_result(*context, key, position, *proposed, result);
  co_return has_value(result) ? number_in(result.value) : expected;
}

runtime::task<std::optional<int>> read_key(shared_context context, std::string key, std::string name,
                                           consensus::proposer group, runtime::microseconds deadline) {
  auto begin = context->world->now();
  auto result = co_await group.read(key, deadline);
  if (!has_value(result)) co_return std::nullopt;
  int value = number_in(result.value);
  record_read(*context, key, name, value, begin);
  co_return value;
}

// The last value of each key that the tasks of one writer have seen.
using known_values = std::shared_ptr<std::map<std::string, int>>;

runtime::task<> run_writer_task(shared_context context, std::string name, consensus::proposer group,
                                known_values known) {
  auto runtime = group.endpoint().runtime();
  while (context->writing) {
    std::string key = key_name(1 + static_cast<int>(runtime.draw(static_cast<std::uint64_t>(context->keys))));
    if (runtime.draw(10) < reads_per_ten_operations) {
      auto value = co_await read_key(context, key, name, group, runtime.now() + operation_timeout);
      if (value) (*known)[key] = *value;
    } else {
      int value = co_await compare_and_set(context, key, name, group, (*known)[key]);
      (*known)[key] = value;
    }
    auto pause = runtime.draw(static_cast<std::uint64_t>(context->max_pause));
    co_await runtime.sleep(static_cast<runtime::microseconds>(pause));
  }
}

}  // namespace

void start_writer(shared_context context, std::string name, consensus::proposer group) {
  auto known = std::make_shared<std::map<std::string, int>>();
  for (int number = 0; number < tasks_per_writer; ++number)
    group.endpoint().runtime().spawn(run_writer_task(context, name, group, known));
}

runtime::task<bool> read_all(shared_context context, std::string name, consensus::proposer group,
                             runtime::microseconds deadline) {
  for (int number = 1; number <= context->keys; ++number) {
    auto value = co_await read_key(context, key_name(number), name, group, deadline);
    if (!value) co_return false;
  }
  co_return true;
}

}  // namespace herontally::model
