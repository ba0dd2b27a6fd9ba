// Requests, results and help text of the commands.
#include "herontallyctl/commands.h"

#include <stdio.h>

#include <fstream>
#include <nlohmann/json.hpp>

namespace herontally::herontallyctl {

using json = nlohmann::json;
using runtime::millisecond;
using runtime::second;
using runtime::task;

std::string help() {
  return "herontallyctl: operates a herontally site\n\n"
         "Usage: herontallyctl --core IP:PORT[,IP:PORT...] [--token TOKEN] [--proxy IP:PORT] [--timeout "
         "SECONDS] COMMAND\n\n"
         "Commands:\n"
         "  get                        print the configuration and its version\n"
         "  apply FILE                 replace the configuration; expects the version read just before\n"
         "  patch FILE                 apply a JSON merge patch to it\n"
         "  diff FILE                  print what apply would change, as a JSON patch\n"
         "  watch                      print each new version until interrupted\n"
         "  members                    print the system's nodes, as one core knows them\n"
         "  engines                    print the engine list that the nodes use\n"
         "  evacuate ZONE              send no more requests to the zone's engines\n"
         "  return ZONE                end the evacuation; engines warm up again\n"
         "  retire NODE                start moving a storage machine's copies away\n"
         "  progress NODE              print how far the retirement is\n"
         "  finish NODE                end the retirement; refused until others hold three copies of all "
         "data\n"
         "  ledger PARTNER PROGRAM     print one program's budget and history (needs --proxy)\n"
         "  bootstrap CORES STORES     initialize a new site, once: comma-separated inner addresses\n\n"
         "With --expect VERSION, apply and patch expect that version instead of the one read just before.\n\n"
         "Exit codes: 0 done, 1 refused, 2 bad usage, 3 no node reached, 4 another change came first,\n"
         "            5 invalid configuration, 6 result unknown\n\n"
         "Examples:\n"
         "  herontallyctl --core 127.0.0.1:7102 --token \"$TOKEN\" apply examples/swanreach/desired.json\n"
         "  herontallyctl --core 127.0.0.1:7102 --token \"$TOKEN\" evacuate perth-b\n"
         "  herontallyctl --core 127.0.0.1:7102 --proxy 127.0.0.1:7302 ledger swanreach exchange:42\n";
}

namespace {

// A core's or proxy's response.
struct reply {
  int status = 0;  // 0: no response
  json body;
  bool sent = false;  // without a response: whether the request may have reached a core
};

// Sends a request to the addresses in order until one responds. `expected` is the version for If-Match;
// empty: none.
task<reply> send_request(runtime::handle runtime, client_options options, std::string method,
                         std::string path, std::string body, std::string expected) {
  reply result;
  for (auto& core : options.cores) {
    runtime::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!options.token.empty()) request.headers["Authorization"] = "Bearer " + options.token;
    if (!expected.empty()) request.headers["If-Match"] = expected;
    if (!body.empty()) request.headers["Content-Type"] = "application/json";
    auto timeout = static_cast<runtime::microseconds>(options.timeout_seconds * second);
    auto outcome = co_await runtime::http_fetch(runtime, core, request, timeout);
    if (auto* response = std::get_if<runtime::http_response>(&outcome)) {
      result.status = response->status;
      result.body = json::parse(response->body, nullptr, false);
      co_return result;
    }
    // A change that may have reached a core is not sent to another one without the operator's decision.
    if (std::get<runtime::http_failure>(outcome).sent && method != "GET") {
      result.sent = true;
      co_return result;
    }
  }
  co_return result;
}

// Prints the result of a command and returns its exit code.
int print_result(const reply& result) {
  if (result.status == 0) {
    fprintf(stderr, "herontallyctl: %s\n",
            result.sent ? "no answer to a change that may have been made; compare the version with `get`"
                        : "none of the addresses answers");
    return result.sent ? result_unknown : unreachable;
  }
  if (result.status == 200) {
    printf("%s\n", result.body.dump(2).c_str());
    return done;
  }
  if (result.status == 202) {
    fprintf(stderr, "herontallyctl: chosen as version %s, but not yet confirmed to be in force\n",
            result.body["version"].dump().c_str());
    return result_unknown;
  }
  std::string error = result.body.is_object() ? result.body.value("error", "") : "";
  fprintf(stderr, "herontallyctl: %d %s\n", result.status, error.c_str());
  if (result.body.is_object() && result.body.contains("faults"))
    for (auto& fault : result.body["faults"])
      fprintf(stderr, "  %s: %s\n", fault.value("pointer", "").c_str(), fault.value("what", "").c_str());
  if (result.status == 412) return version_conflict;
  if (result.status == 422) return invalid_configuration;
  bool may_have_run = result.body.is_object() && result.body.value("ran", "") == "unknown";
  return may_have_run ? result_unknown : refused;
}

std::optional<json> read_file(const std::string& name) {
  std::ifstream stream(name);
  if (!stream) {
    fprintf(stderr, "herontallyctl: FILE can't be read: %s\n", name.c_str());
    return std::nullopt;
  }
  auto document = json::parse(stream, nullptr, false);
  if (!document.is_object()) {
    fprintf(stderr, "herontallyctl: FILE is not a JSON object: %s\n", name.c_str());
    return std::nullopt;
  }
  return document;
}

// `apply` and `patch`: sends the file's content, expecting the current version unless `expected` names
// another.
task<int> change_configuration(runtime::handle runtime, client_options options, std::string method,
                               std::string file, std::string expected) {
  auto document = read_file(file);
  if (!document) co_return usage;
  if (expected.empty()) {
    auto current = co_await send_request(runtime, options, "GET", "/v1/desired", "", "");
    if (current.status != 200) co_return print_result(current);
    expected = std::to_string(current.body.value("version", std::int64_t{0}));
  }
  std::string body = document->dump();
  auto result = co_await send_request(runtime, options, method, "/v1/desired", body, expected);
  co_return print_result(result);
}

// Polls every 500 ms. Failures after the first version are ignored until the next poll.
task<int> watch(runtime::handle runtime, client_options options) {
  std::int64_t last = -1;
  while (true) {
    auto current = co_await send_request(runtime, options, "GET", "/v1/desired", "", "");
    if (current.status != 200 && last < 0) co_return print_result(current);
    auto version = current.status == 200 ? current.body.value("version", std::int64_t{0}) : last;
    if (version != last) {
      printf("%s\n", json{{"version", version}, {"revision", current.body["revision"]}}.dump().c_str());
      fflush(stdout);
      last = version;
    }
    co_await runtime.sleep(500 * millisecond);
  }
}

task<int> ledger(runtime::handle runtime, client_options options, std::string partner, std::string program) {
  if (options.proxies.empty()) {
    fprintf(stderr, "herontallyctl: --proxy is missing\n");
    co_return usage;
  }
  options.cores = options.proxies;
  auto result = co_await send_request(runtime, options, "GET",
                                      "/v1/partners/" + partner + "/programs/" + program, "", "");
  co_return print_result(result);
}

json address_list(const std::string& text) {
  json list = json::array();
  for (std::size_t begin = 0; begin < text.size();) {
    auto end = std::min(text.find(',', begin), text.size());
    list.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return list;
}

task<int> diff(runtime::handle runtime, client_options options, std::string file) {
  auto document = read_file(file);
  if (!document) co_return usage;
  auto current = co_await send_request(runtime, options, "GET", "/v1/desired", "", "");
  if (current.status != 200) co_return print_result(current);
  printf("%s\n", json::diff(current.body["desired"], *document).dump(2).c_str());
  co_return done;
}

}  // namespace

task<int> run(runtime::handle runtime, client_options options, std::vector<std::string> arguments) {
  std::string expected;
  for (std::size_t position = 0; position + 1 < arguments.size(); ++position)
    if (arguments[position] == "expect") expected = arguments[position + 1];
  std::string command = arguments[0];
  std::size_t count = arguments.size();
  auto request_without_body = [&](const char* method, std::string path) {
    return send_request(runtime, options, method, std::move(path), "", "");
  };
  reply result;
  if (command == "get" && count == 1) {
    result = co_await request_without_body("GET", "/v1/desired");
  } else if (command == "members" && count == 1) {
    result = co_await request_without_body("GET", "/v1/members");
  } else if (command == "engines" && count == 1) {
    result = co_await request_without_body("GET", "/v1/engines");
  } else if (command == "evacuate" && count == 2) {
    result = co_await request_without_body("PUT", "/v1/zones/" + arguments[1] + "/evacuation");
  } else if (command == "return" && count == 2) {
    result = co_await request_without_body("DELETE", "/v1/zones/" + arguments[1] + "/evacuation");
  } else if (command == "retire" && count == 2) {
    result = co_await request_without_body("PUT", "/v1/storage/" + arguments[1] + "/retirement");
  } else if (command == "progress" && count == 2) {
    result = co_await request_without_body("GET", "/v1/storage/" + arguments[1] + "/retirement");
  } else if (command == "finish" && count == 2) {
    result = co_await request_without_body("DELETE", "/v1/storage/" + arguments[1] + "/retirement");
  } else if (command == "bootstrap" && count == 3) {
    json body{{"core", address_list(arguments[1])}, {"store", address_list(arguments[2])}};
    result = co_await send_request(runtime, options, "POST", "/v1/bootstrap", body.dump(), "");
  } else if ((command == "apply" || command == "patch") && (count == 2 || count == 4)) {
    co_return co_await change_configuration(runtime, options, command == "apply" ? "PUT" : "PATCH",
                                            arguments[1], expected);
  } else if (command == "diff" && count == 2) {
    co_return co_await diff(runtime, options, arguments[1]);
  } else if (command == "watch" && count == 1) {
    co_return co_await watch(runtime, options);
  } else if (command == "ledger" && count == 3) {
    co_return co_await ledger(runtime, options, arguments[1], arguments[2]);
  } else {
    fprintf(stderr,
            "herontallyctl: COMMAND is unknown or has the wrong number of arguments: %s; see --help\n",
            command.c_str());
    co_return usage;
  }
  co_return print_result(result);
}

}  // namespace herontally::herontallyctl
