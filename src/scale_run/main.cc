#include <absl/flags/flag.h>
#include <sys/resource.h>

#include "runtime/event_loop.h"
#include "scale_run/hollow.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, file, "", "JSON file with the hollow machines or engines");
ABSL_FLAG(std::string, listen, "", "ip:port that answers /count, /kill?NAME and /zone?NAME");

using namespace scale_run;

namespace {

constexpr const char* bytes_counters[] = {
    "herontally_inner_asked_bytes_total", "herontally_inner_answers_received_bytes_total",
    "herontally_inner_bytes_total", "herontally_inner_answer_bytes_total"};
constexpr const char* kinds[] = {"probe", "news_ask", "in_force"};

struct fleet {
  std::shared_ptr<sightings> seen;
  std::vector<std::unique_ptr<machine>> machines;
  runtime::handle handle;

  json count() const {
    json out = {{"wall", handle.wall()}, {"alive", 0}};
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    out["cpu"] = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                 static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
    auto add = [&out](const std::string& field, double value) { out[field] = out.value(field, 0.0) + value; };
    for (auto& each : machines) {
      if (!each->alive()) continue;
      add("alive", 1);
      for (auto* counter : bytes_counters) {
        add("agent_bytes", each->agent_value(counter));
        add("proxy_bytes", each->proxy_value(counter));
      }
      add("agent_received", each->agent_value("herontally_inner_messages_total"));
      for (std::string kind : kinds) {
        add("asked_" + kind, each->agent_value("herontally_inner_asked_total{kind=\"" + kind + "\"}"));
        add("proxy_asked", each->proxy_value("herontally_inner_asked_total{kind=\"" + kind + "\"}"));
      }
    }
    out["in_force"] = json::object();
    for (auto& [revision, moments] : seen->in_force)
      out["in_force"][std::to_string(revision)] = {{"count", moments.size()}, {"last", moments.back()}};
    out["dead"] = json::object();
    for (auto& [member, observers] : seen->dead) {
      std::int64_t latest = 0, counted = 0;
      for (auto& each : machines) {
        auto found = observers.find(each->terms().name);
        if (!each->alive() || found == observers.end()) continue;
        latest = std::max(latest, found->second);
        ++counted;
      }
      out["dead"][member] = {{"count", counted}, {"last", latest}};
    }
    return out;
  }

  void kill(const std::string& name, bool zone) {
    // Only deaths from now on are of interest.
    seen->dead.clear();
    for (auto& each : machines)
      if ((zone ? each->terms().zone : each->terms().name) == name) each->kill();
  }
};

void answer(fleet& own, const runtime::inbound_request& request,
            const std::shared_ptr<runtime::http_writer>& out) {
  if (request.path == "/kill") own.kill(request.query, false);
  if (request.path == "/zone") own.kill(request.query, true);
  out->reply({200, {{"content-type", "application/json"}}, own.count().dump()});
}

// An engine's report, as a stand-in engine gives it; each engine of the list has its own address.
void serve_engine(const runtime::handle& handle, const std::string& address) {
  std::string body =
      "process_start_time_seconds 1000\nherontally_engine_ready_seconds 100\n"
      "vllm:num_requests_running 1\nvllm:num_requests_waiting 0\nherontally_engine_draining 0\n";
  handle.http_serve(address, [body](runtime::inbound_request, std::shared_ptr<runtime::http_writer> out) {
    out->reply({200, {{"content-type", "text/plain"}}, body});
  });
}

}  // namespace

int main(int count, char** arguments) {
  std::string usage =
      "scale_run: hollow machines that share one process, for scale runs on loopback (see tools/scale)\n\n"
      "Usage: scale_run --file FILE --listen IP:PORT\n\n"
      "Example:\n  scale_run --file scale/machines.json --listen 127.0.0.1:7990\n";
  auto rest = herontally::settings::parse_flags(count, arguments, usage);
  if (!rest.empty()) herontally::settings::end_with("scale_run", {rest[0], "is not expected"});
  FILE* file = fopen(absl::GetFlag(FLAGS_file).c_str(), "rb");
  if (!file) herontally::settings::end_with("scale_run", {"--file", "names a file that can't be read"});
  auto document = json::parse(file, nullptr, false);
  fclose(file);
  if (!document.is_object()) herontally::settings::end_with("scale_run", {"--file", "names no JSON object"});
  logging::start("scale_run", "OFF");
  runtime::event_loop loop("");
  fleet own{std::make_shared<sightings>(), {}, loop.runtime()};
  for (auto& engine : document.value("engines", json::array())) serve_engine(loop.runtime(), engine);
  for (auto& each : document.value("machines", json::array())) {
    machine_terms terms{each["name"],  each["zone"],     each["inner"],     each["http"],
                        each["proxy"], each["platform"], document["seeds"], document.value("speaks", 0)};
    own.machines.push_back(std::make_unique<machine>(loop.runtime().table(), terms, own.seen));
    // A tenth of a second apart: newcomers ask for everything again and again, and one process does it for
    // all.
    loop.runtime().after(static_cast<runtime::microseconds>(own.machines.size()) * 100 * runtime::millisecond,
                         [starting = own.machines.back().get()] {
                           if (starting->alive()) starting->start();
                         });
  }
  bool served = loop.runtime().http_serve(
      absl::GetFlag(FLAGS_listen),
      [&own](runtime::inbound_request request, std::shared_ptr<runtime::http_writer> out) {
        answer(own, request, out);
      });
  if (!served) herontally::settings::end_with("scale_run", {"--listen", "can't be listened on"});
  loop.run();
  own.machines.clear();
  loop.runtime().stop();
  return 0;
}
