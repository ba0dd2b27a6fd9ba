#include "model/clients.h"

namespace herontally::model {

namespace {

using runtime::millisecond;

constexpr runtime::microseconds operation_time = 1500 * millisecond;
constexpr std::uint64_t reads_of_ten = 3;
constexpr int tasks_of_a_writer = 3;

std::string key_name(int number) { return "key" + std::to_string(number); }

int number_in(const std::optional<std::string>& value) { return value ? std::stoi(*value) : no_value; }

bool has_value(const consensus::change_result& result) { return result.known(); }

// A set is noted as uncertain before it begins, so that it stands in the history if its client dies.
std::size_t note_set(client_context& context, const std::string& key, const std::string& client,
                     int expected) {
  operation each{operation_kind::uncertain_set, client, expected, context.next_value++};
  each.begin = context.world->now();
  auto& history = context.histories[key];
  history.push_back(each);
  return history.size() - 1;
}

void note_read(client_context& context, const std::string& key, const std::string& client, int value,
               std::int64_t begin) {
  context.histories[key].push_back(
      {operation_kind::read, client, no_value, value, begin, context.world->now()});
}

// The end of a compare-and-set: a value that isn't its own is that of a read. If it proposed its value
// before, that may have been chosen and replaced since.
void note_end(client_context& context, const std::string& key, std::size_t position, bool proposed,
              const consensus::change_result& result) {
  auto& noted = context.histories[key][position];
  if (has_value(result) && number_in(result.value) == noted.value) {
    noted.kind = operation_kind::set;
    noted.end = context.world->now();
    return;
  }
  if (has_value(result)) note_read(context, key, noted.client, number_in(result.value), noted.begin);
  bool never_sent = !proposed || result.status == consensus::change_status::unreachable;
  // Whoever reads its value all the same has read what nobody wrote.
  if (never_sent) context.histories[key][position].kind = operation_kind::without_effect;
}

runtime::task<int> compare_and_set(shared_context context, std::string key, std::string name,
                                   consensus::proposer group, int expected) {
  auto position = note_set(*context, key, name, expected);
  int value = context->histories[key][position].value;
  auto proposed = std::make_shared<bool>(false);
  consensus::mutator next = [expected, value, proposed](const std::optional<std::string>& current) {
    std::optional<std::string> wanted;
    if (number_in(current) != expected) return wanted;
    *proposed = true;
    wanted = std::to_string(value);
    return wanted;
  };
  auto deadline = group.endpoint().runtime().now() + operation_time;
  auto result = co_await group.change(key, next, deadline);
  note_end(*context, key, position, *proposed, result);
  co_return has_value(result) ? number_in(result.value) : expected;
}

runtime::task<std::optional<int>> read_key(shared_context context, std::string key, std::string name,
                                           consensus::proposer group, runtime::microseconds deadline) {
  auto begin = context->world->now();
  auto result = co_await group.read(key, deadline);
  if (!has_value(result)) co_return std::nullopt;
  int value = number_in(result.value);
  note_read(*context, key, name, value, begin);
  co_return value;
}

// The values that the tasks of one writer have seen last.
using known_values = std::shared_ptr<std::map<std::string, int>>;

runtime::task<> write_forever(shared_context context, std::string name, consensus::proposer group,
                              known_values known) {
  auto runtime = group.endpoint().runtime();
  while (context->writing) {
    std::string key = key_name(1 + static_cast<int>(runtime.draw(static_cast<std::uint64_t>(context->keys))));
    if (runtime.draw(10) < reads_of_ten) {
      auto value = co_await read_key(context, key, name, group, runtime.now() + operation_time);
      if (value) (*known)[key] = *value;
    } else {
      int value = co_await compare_and_set(context, key, name, group, (*known)[key]);
      (*known)[key] = value;
    }
    auto pause = runtime.draw(static_cast<std::uint64_t>(context->longest_pause));
    co_await runtime.sleep(static_cast<runtime::microseconds>(pause));
  }
}

}  // namespace

void start_writer(shared_context context, std::string name, consensus::proposer group) {
  auto known = std::make_shared<std::map<std::string, int>>();
  for (int number = 0; number < tasks_of_a_writer; ++number)
    group.endpoint().runtime().spawn(write_forever(context, name, group, known));
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
