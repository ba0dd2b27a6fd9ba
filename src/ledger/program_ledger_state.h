// Internal to the ledger package: one node's side of the programs' ledger.
#pragma once
#include <list>
#include <unordered_map>

#include "ledger/program_record.h"

namespace herontally::ledger {

// Turn records that passed through this node, the least recently used given up first. They are immutable, so
// that what is here is right.
class turn_cache {
 public:
  explicit turn_cache(std::size_t limit_bytes) : limit_(limit_bytes) {}
  const turn_record* find(const std::string& id);
  void add(turn_record record);

 private:
  static std::size_t size_of(const turn_record& record);
  std::size_t limit_, bytes_ = 0;
  std::list<turn_record> order_;  // newest use first
  std::unordered_map<std::string, std::list<turn_record>::iterator> places_;
};

// One reservation or settlement that waits for its program's next round.
struct program_operation {
  bool settles = false;
  std::string turn;
  std::int64_t budget = 0, amount = 0;
  runtime::microseconds deadline = 0;
  bool granted = false;  // as the mutator's last run had it
  bool tried = false;    // an earlier round ended unknown: its effect may stand
  enum class outcome { applied, unreachable, unknown };
  runtime::slot<outcome> done;
};

struct program_ledger::state : std::enable_shared_from_this<program_ledger::state> {
  consensus::proposer stores;
  // A program is listed while its queue is worked through.
  std::unordered_map<std::string, std::vector<std::shared_ptr<program_operation>>> waiting;
  turn_cache cache;
  explicit state(consensus::proposer from) : stores(std::move(from)), cache(24u << 20) {}
  void enqueue(const std::string& program, std::shared_ptr<program_operation> operation);
  runtime::task<> work(std::string program);
  // Operations of a batch whose time isn't over, and what they need of a round.
  struct round_plan {
    std::vector<std::shared_ptr<program_operation>> operations;
    runtime::microseconds deadline = 0;  // the shortest one
    bool urgent = false;
  };
  round_plan plan_round(std::vector<std::shared_ptr<program_operation>> batch) const;
  runtime::task<> apply(std::string program, std::vector<std::shared_ptr<program_operation>> batch);
  // Completes what the round decided, and puts the others back in front of the queue.
  void finish_round(const std::string& program, const round_plan& round, consensus::change_status status,
                    bool known);
  // The records from this one back that one voter holds; `missing` on a quorum's part.
  runtime::task<std::optional<chain_result>> fetch_round(std::string last, std::int64_t limit,
                                                         runtime::microseconds deadline);
  runtime::task<chain_result> fetch(std::string last, std::int64_t limit, runtime::microseconds deadline);
};

}  // namespace herontally::ledger
