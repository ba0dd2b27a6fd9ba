#include <absl/flags/flag.h>

#include "engine_stand_in/node.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, engine, "", "JSON file that lists engines, as the platform does");
ABSL_FLAG(std::string, only, "", "the name of the engine in that file to be");
ABSL_FLAG(double, prefill_tokens_per_second, 20000, "speed of prefill");
ABSL_FLAG(double, token_milliseconds, 4, "time for each streamed token");
ABSL_FLAG(double, transfer_bytes_per_second, 50e6, "speed of lending blocks");
ABSL_FLAG(double, call_milliseconds, 15, "time for each application call");
ABSL_FLAG(std::int64_t, most_running, 4, "turns at once");
ABSL_FLAG(std::int64_t, block_tokens, 16, "tokens in a cache block");
ABSL_FLAG(std::string, hash_seed, "seed", "seed of block hashes");

using namespace herontally;

namespace {

// The engine's options, from the file and the flags. Ends the process with code 2 if one is at fault.
engine_stand_in::options options_from_flags() {
  FILE* file = fopen(absl::GetFlag(FLAGS_engine).c_str(), "rb");
  if (!file) settings::exit_with_fault("engine_stand_in", {"--engine", "names a file that can't be read"});
  auto list = nlohmann::json::parse(file, nullptr, false);
  fclose(file);
  if (!list.is_array())
    settings::exit_with_fault("engine_stand_in", {"--engine", "names a file that is not a JSON list"});
  engine_stand_in::options choice;
  for (auto& entry : list) {
    if (!entry.is_object() || entry.value("name", "") != absl::GetFlag(FLAGS_only)) continue;
    choice.name = entry["name"];
    choice.kind = entry.value("kind", "model");
    choice.partner = entry.value("partner", "");
    choice.serves = entry.value("serves", "");
    choice.zone = entry.value("zone", "");
    choice.http = entry.value("address", "");
    choice.weights = entry.value("weights", "v1");
  }
  if (choice.name.empty())
    settings::exit_with_fault("engine_stand_in", {"--only", "names no engine of the file"});
  if (!settings::is_address(choice.http))
    settings::exit_with_fault("engine_stand_in", {"address", "must be ip:port"});
  choice.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_tokens_per_second);
  choice.token_milliseconds = absl::GetFlag(FLAGS_token_milliseconds);
  choice.transfer_bytes_per_second = absl::GetFlag(FLAGS_transfer_bytes_per_second);
  choice.call_milliseconds = absl::GetFlag(FLAGS_call_milliseconds);
  choice.most_running = choice.kind == "model" ? absl::GetFlag(FLAGS_most_running) : 16;
  choice.block_tokens = absl::GetFlag(FLAGS_block_tokens);
  choice.hash_seed = absl::GetFlag(FLAGS_hash_seed);
  return choice;
}

}  // namespace

int main(int count, char** arguments) {
  std::string usage =
      "engine_stand_in: a stand-in for a partner's model or application engine\n\n"
      "Usage: engine_stand_in --engine FILE --only NAME [--prefill_tokens_per_second N] "
      "[--token_milliseconds N]\n"
      "       [--transfer_bytes_per_second N] [--call_milliseconds N] [--most_running N] [--block_tokens N]\n"
      "       [--hash_seed TEXT]\n\nExample:\n  engine_stand_in --engine fleet/engines.json --only "
      "perth-m1\n";
  auto rest = settings::parse_flags(count, arguments, usage);
  if (!rest.empty()) settings::exit_with_fault("engine_stand_in", {rest[0], "is not expected"});
  auto choice = options_from_flags();
  logging::start("engine_stand_in", "WARN");
  runtime::event_loop loop("");
  engine_stand_in::node node(loop.runtime(), choice, logging::logger(choice.name));
  int code = 0;
  auto begin = [](engine_stand_in::node* started, runtime::event_loop* owner,
                  int* result) -> runtime::task<> {
    auto fault = co_await started->start();
    if (!fault) co_return;
    fprintf(stderr, "engine_stand_in: %s\n", fault->c_str());
    *result = 1;
    owner->stop();
  };
  loop.runtime().spawn(begin(&node, &loop, &code));
  bool leaving = false;
  loop.on_notice([&] {
    if (leaving) return;
    leaving = true;
    auto end = [](engine_stand_in::node* started, runtime::event_loop* owner) -> runtime::task<> {
      co_await started->leave();
      owner->stop();
    };
    loop.runtime().spawn(end(&node, &loop));
  });
  loop.run();
  loop.runtime().stop();
  return code;
}
