// Who else runs: probes to a few in turn, second opinions through third parties, suspicion before removal.
// It steers routing and duties; safety never rests on it.
#pragma once
#include "settings/settings.h"
#include "wire/wire.h"

namespace herontally::members {

struct timing {
  runtime::microseconds period = 200 * runtime::millisecond;
  runtime::microseconds direct = 250 * runtime::millisecond;
  runtime::microseconds indirect = 450 * runtime::millisecond;
  runtime::microseconds suspicion = 1200 * runtime::millisecond;
  runtime::microseconds forget = 300 * runtime::second;
  int second_opinions = 3;
};

class members {
 public:
  members(wire::port port, wire::member self, std::vector<std::string> seeds, timing pace = {});
  // Answers probes and begins to probe.
  void start();
  // Tells a few others that this node goes on purpose.
  runtime::task<> leave();
  std::vector<wire::member> all() const;
  // Alive or only suspected, in the agreed order of names.
  std::vector<wire::member> live(const std::string& role) const;
  std::optional<wire::member> find(const std::string& name) const;
  const wire::member& self() const;
  // True when this incarnation of the node is known to have ended.
  bool is_gone(const std::string& name, std::int64_t incarnation) const;
  void on_change(std::function<void(const wire::member&)> handler);
  // Something was learned outside the probes, such as an agent's list handed to its proxy.
  void hear(const std::vector<wire::member>& rumours);
  std::string to_text() const;
  // Grows with every change of a row, and from one life of the node to the next.
  std::int64_t version() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

std::vector<wire::member> from_text(const std::string& text);
// A process's own row, as its settings place it.
wire::member row_of(const settings::settings& place, const std::string& role);

}  // namespace herontally::members
