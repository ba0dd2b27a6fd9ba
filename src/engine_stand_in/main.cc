// Command line of the engine stand-in: runs one engine of a JSON engine list until a termination signal.
// It reads no other settings and stores nothing.
#include <absl/flags/flag.h>

#include "engine_stand_in/node.h"
#include "runtime/event_loop.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, engine, "", "JSON file with a list of engines in the platform's format");
ABSL_FLAG(std::string, only, "", "name of the engine in that file to run as");
ABSL_FLAG(double, prefill_tokens_per_second, 20000, "prefill speed in tokens per second");
ABSL_FLAG(double, token_milliseconds, 4, "milliseconds per generated token");
ABSL_FLAG(double, transfer_bytes_per_second, 50e6, "bytes per second of a cache block transfer");
ABSL_FLAG(double, call_milliseconds, 15, "mean milliseconds per application call");
ABSL_FLAG(std::int64_t, most_running, 4, "maximum number of concurrent turns");
ABSL_FLAG(std::int64_t, block_tokens, 16, "tokens per cache block");
ABSL_FLAG(std::string, hash_seed, "seed", "seed of the block hashes");

using namespace herontally;

namespace {

// Reads the engine's options from the file and the flags. Ends the process with exit code 2 if one is
// invalid.
engine_stand_in::options options_from_flags() {
  FILE* file = fopen(absl::GetFlag(FLAGS_engine).c_str(), "rb");
  if (!file) settings::exit_with_fault("engine_stand_in", {"--engine", "names a file that can't be read"});
  auto list = nlohmann::json::parse(file, nullptr, false);
  fclose(file);
  if (!list.is_array())
    settings::exit_with_fault("engine_stand_in", {"--engine", "names a file that is not a JSON list"});
  engine_stand_in::options config;
  for (auto& entry : list) {
    if (!entry.is_object() || entry.value("name", "") != absl::GetFlag(FLAGS_only)) continue;
    config.name = entry["name"];
    config.kind = entry.value("kind", "model");
    config.partner = entry.value("partner", "");
    config.serves = entry.value("serves", "");
    config.zone = entry.value("zone", "");
    config.http = entry.value("address", "");
    config.weights = entry.value("weights", "v1");
  }
  if (config.name.empty())
    settings::exit_with_fault("engine_stand_in", {"--only", "names an engine that is not in the file"});
  if (!settings::is_address(config.http))
    settings::exit_with_fault("engine_stand_in", {"address", "must be ip:port"});
  config.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_tokens_per_second);
  config.token_milliseconds = absl::GetFlag(FLAGS_token_milliseconds);
  config.transfer_bytes_per_second = absl::GetFlag(FLAGS_transfer_bytes_per_second);
  config.call_milliseconds = absl::GetFlag(FLAGS_call_milliseconds);
  config.most_running = config.kind == "model" ? absl::GetFlag(FLAGS_most_running) : 16;
  config.block_tokens = absl::GetFlag(FLAGS_block_tokens);
  config.hash_seed = absl::GetFlag(FLAGS_hash_seed);
  return config;
}

}  // namespace

int main(int argument_count, char** arguments) {
  std::string usage =
      "engine_stand_in: a stand-in for a partner's model or application engine\n\n"
      "Usage: engine_stand_in --engine FILE --only NAME [--prefill_tokens_per_second N] "
      "[--token_milliseconds N]\n"
      "       [--transfer_bytes_per_second N] [--call_milliseconds N] [--most_running N] [--block_tokens N]\n"
      "       [--hash_seed TEXT]\n\nExample:\n  engine_stand_in --engine fleet/engines.json --only "
      "perth-m1\n";
  auto positional = settings::parse_flags(argument_count, arguments, usage);
  if (!positional.empty()) settings::exit_with_fault("engine_stand_in", {positional[0], "is not expected"});
  auto config = options_from_flags();
  logging::start("engine_stand_in", "WARN");
  runtime::event_loop loop("");
  engine_stand_in::node node(loop.runtime(), config, logging::logger(config.name));
  int code = 0;
  auto begin = [](engine_stand_in::node* started, runtime::event_loop* owner,
                  int* result) -> runtime::task<> {
    auto error = co_await started->start();
    if (!error) co_return;
    fprintf(stderr, "engine_stand_in: %s\n", error->c_str());
    *result = 1;
    owner->stop();
  };
  loop.runtime().spawn(begin(&node, &loop, &code));
  bool stopping = false;
  loop.on_notice([&](int) {
    if (stopping) return;
    stopping = true;
    auto stop = [](engine_stand_in::node* started, runtime::event_loop* owner) -> runtime::task<> {
      co_await started->leave();
      owner->stop();
    };
    loop.runtime().spawn(stop(&node, &loop));
  });
  loop.run();
  loop.runtime().stop();
  return code;
}
