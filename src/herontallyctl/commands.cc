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
         "SECONDS] "
         "COMMAND\n\n"
         "Commands:\n"
         "  get                        print the configuration and its version\n"
         "  apply FILE                 put a whole configuration; expects the version read just before\n"
         "  patch FILE                 lay a JSON merge patch over it\n"
         "  diff FILE                  show as a JSON patch what apply would change\n"
         "  watch                      print each new version as it comes, until interrupted\n"
         "  members                    the system's nodes, as one core knows them\n"
         "  engines                    the engine list that the nodes have\n"
         "  evacuate ZONE              no more requests to the zone's engines\n"
         "  return ZONE                end the evacuation; engines warm up again\n"
         "  retire NODE                start moving a storage machine's copies away\n"
         "  progress NODE              how far that is\n"
         "  finish NODE                refused until three copies of everything stand elsewhere\n"
         "  ledger PARTNER PROGRAM     one program's budget and history (needs --proxy)\n"
         "  bootstrap CORES STORES     once for a new site: inner addresses, with commas between\n\n"
         "With --expect VERSION, apply and patch expect that version instead of the one read just before.\n\n"
         "Exit codes: 0 done, 1 refused, 2 bad usage, 3 nothing reached, 4 another change came first,\n"
         "            5 faulty configuration, 6 result unknown\n\n"
         "Examples:\n"
         "  herontallyctl --core 127.0.0.1:7102 --token \"$TOKEN\" apply examples/swanreach/desired.json\n"
         "  herontallyctl --core 127.0.0.1:7102 --token \"$TOKEN\" evacuate perth-b\n"
         "  herontallyctl --core 127.0.0.1:7102 --proxy 127.0.0.1:7302 ledger swanreach exchange:42\n";
}

namespace {

struct reply {
  int status = 0;  // 0: no core answered
  json body;
  bool sent = false;
};

task<reply> ask(runtime::handle runtime, setting given, std::string method, std::string path,
                std::string body, std::string expected) {
  reply result;
  for (auto& core : given.cores) {
    runtime::http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!given.token.empty()) request.headers["Authorization"] = "Bearer " + given.token;
    if (!expected.empty()) request.headers["If-Match"] = expected;
    if (!body.empty()) request.headers["Content-Type"] = "application/json";
    auto wait = static_cast<runtime::microseconds>(given.timeout_seconds * second);
    auto outcome = co_await runtime::http_fetch(runtime, core, request, wait);
    if (auto* response = std::get_if<runtime::http_response>(&outcome)) {
      result.status = response->status;
      result.body = json::parse(response->body, nullptr, false);
      co_return result;
    }
    // A change that may have reached a core isn't sent to another one unasked.
    if (std::get<runtime::http_failure>(outcome).sent && method != "GET") {
      result.sent = true;
      co_return result;
    }
  }
  co_return result;
}

int finish(const reply& result) {
  if (result.status == 0) {
    fprintf(stderr, "herontallyctl: %s\n",
            result.sent ? "the answer is lost; get the version to see" : "--core names no core that answers");
    return result.sent ? unknown : unreachable;
  }
  if (result.status == 200) {
    printf("%s\n", result.body.dump(2).c_str());
    return done;
  }
  if (result.status == 202) {
    fprintf(stderr, "herontallyctl: chosen as version %s, but not yet confirmed in force\n",
            result.body["version"].dump().c_str());
    return unknown;
  }
  std::string why = result.body.is_object() ? result.body.value("error", "") : "";
  fprintf(stderr, "herontallyctl: %d %s\n", result.status, why.c_str());
  if (result.body.is_object() && result.body.contains("faults"))
    for (auto& fault : result.body["faults"])
      fprintf(stderr, "  %s: %s\n", fault.value("pointer", "").c_str(), fault.value("what", "").c_str());
  if (result.status == 412) return stale;
  if (result.status == 422) return faulty;
  bool open = result.body.is_object() && result.body.value("ran", "") == "unknown";
  return open ? unknown : refused;
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

task<int> change(runtime::handle runtime, setting given, std::string method, std::string file,
                 std::string expected) {
  auto document = read_file(file);
  if (!document) co_return usage;
  if (expected.empty()) {
    auto now = co_await ask(runtime, given, "GET", "/v1/desired", "", "");
    if (now.status != 200) co_return finish(now);
    expected = std::to_string(now.body.value("version", std::int64_t{0}));
  }
  std::string body = document->dump();
  auto result = co_await ask(runtime, given, method, "/v1/desired", body, expected);
  co_return finish(result);
}

task<int> watch(runtime::handle runtime, setting given) {
  std::int64_t last = -1;
  while (true) {
    auto now = co_await ask(runtime, given, "GET", "/v1/desired", "", "");
    if (now.status != 200 && last < 0) co_return finish(now);
    auto version = now.status == 200 ? now.body.value("version", std::int64_t{0}) : last;
    if (version != last) {
      printf("%s\n", json{{"version", version}, {"revision", now.body["revision"]}}.dump().c_str());
      fflush(stdout);
      last = version;
    }
    co_await runtime.sleep(500 * millisecond);
  }
}

task<int> ledger(runtime::handle runtime, setting given, std::string partner, std::string program) {
  if (given.proxies.empty()) {
    fprintf(stderr, "herontallyctl: --proxy is missing\n");
    co_return usage;
  }
  given.cores = given.proxies;
  auto result =
      co_await ask(runtime, given, "GET", "/v1/partners/" + partner + "/programs/" + program, "", "");
  co_return finish(result);
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

task<int> diff(runtime::handle runtime, setting given, std::string file) {
  auto document = read_file(file);
  if (!document) co_return usage;
  auto now = co_await ask(runtime, given, "GET", "/v1/desired", "", "");
  if (now.status != 200) co_return finish(now);
  printf("%s\n", json::diff(now.body["desired"], *document).dump(2).c_str());
  co_return done;
}

}  // namespace

task<int> run(runtime::handle runtime, setting given, std::vector<std::string> arguments) {
  std::string expected;
  for (std::size_t position = 0; position + 1 < arguments.size(); ++position)
    if (arguments[position] == "expect") expected = arguments[position + 1];
  std::string verb = arguments[0];
  std::size_t count = arguments.size();
  auto plain = [&](const char* method, std::string path) {
    return ask(runtime, given, method, std::move(path), "", "");
  };
  reply result;
  if (verb == "get" && count == 1) {
    result = co_await plain("GET", "/v1/desired");
  } else if (verb == "members" && count == 1) {
    result = co_await plain("GET", "/v1/members");
  } else if (verb == "engines" && count == 1) {
    result = co_await plain("GET", "/v1/engines");
  } else if (verb == "evacuate" && count == 2) {
    result = co_await plain("PUT", "/v1/zones/" + arguments[1] + "/evacuation");
  } else if (verb == "return" && count == 2) {
    result = co_await plain("DELETE", "/v1/zones/" + arguments[1] + "/evacuation");
  } else if (verb == "retire" && count == 2) {
    result = co_await plain("PUT", "/v1/storage/" + arguments[1] + "/retirement");
  } else if (verb == "progress" && count == 2) {
    result = co_await plain("GET", "/v1/storage/" + arguments[1] + "/retirement");
  } else if (verb == "finish" && count == 2) {
    result = co_await plain("DELETE", "/v1/storage/" + arguments[1] + "/retirement");
  } else if (verb == "bootstrap" && count == 3) {
    json body{{"core", address_list(arguments[1])}, {"store", address_list(arguments[2])}};
    result = co_await ask(runtime, given, "POST", "/v1/bootstrap", body.dump(), "");
  } else if ((verb == "apply" || verb == "patch") && (count == 2 || count == 4)) {
    co_return co_await change(runtime, given, verb == "apply" ? "PUT" : "PATCH", arguments[1], expected);
  } else if (verb == "diff" && count == 2) {
    co_return co_await diff(runtime, given, arguments[1]);
  } else if (verb == "watch" && count == 1) {
    co_return co_await watch(runtime, given);
  } else if (verb == "ledger" && count == 3) {
    co_return co_await ledger(runtime, given, arguments[1], arguments[2]);
  } else {
    fprintf(stderr,
            "herontallyctl: COMMAND is not known or has the wrong number of arguments: %s; see --help\n",
            verb.c_str());
    co_return usage;
  }
  co_return finish(result);
}

}  // namespace herontally::herontallyctl
