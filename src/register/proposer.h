// Changes and reads register keys: two rounds at a majority, with the value that the writer expects.
#pragma once
#include <set>

#include "register/view.h"
#include "wire/wire.h"

namespace herontally::reg {

// Where a change ended. `unreachable`: certainly nothing was written. `unknown`: it may have been.
enum class change_end { settled, declined, unreachable, unknown, full };

struct change_result {
  change_end end = change_end::unreachable;
  std::optional<std::string> value;  // the agreed value, when it is known
};

// Given the agreed value, returns the next one, or nothing to leave it. It may run more than once for one
// change: it must recognise its own earlier effect and then decline.
using mutator = std::function<std::optional<std::string>(const std::optional<std::string>&)>;

class proposer {
 public:
  proposer(wire::port port, std::string group);
  // The view to propose under; lower numbers than the known one are passed over.
  void learn(const view& seen);
  const view& current() const;
  // Asks these addresses which view they have installed, when none is known or none answers.
  void seeds(std::function<std::vector<std::string>()> addresses);

  runtime::task<change_result> change(std::string key, mutator next, runtime::microseconds deadline,
                                      bool urgent = false);
  // The agreed value as of now: a majority that holds the same accepted value, or a full change otherwise.
  runtime::task<change_result> read(std::string key, runtime::microseconds deadline);

  // Contents addressed by digest; true once a majority has them lasting.
  runtime::task<bool> put_content(std::string digest, std::string body, runtime::microseconds deadline,
                                  bool urgent);
  // The bodies of the chain that ends in this digest, newest first, each checked by `valid`.
  runtime::task<std::optional<std::vector<std::string>>> fetch_chain(
      std::string digest, std::size_t length,
      std::function<bool(const std::string& digest, const std::string& body)> valid,
      std::function<std::string(const std::string& body)> previous, runtime::microseconds deadline);
  runtime::task<> refresh(runtime::microseconds deadline);
  wire::port port() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::reg
