// State of the program ledger at one node: queued operations and cached turns. Internal to the ledger
// package.
#pragma once
#include <list>
#include <unordered_map>

#include "ledger/program_record.h"

namespace herontally::ledger {

// LRU cache of the turn records that this node wrote or read. Turn records are immutable, so a cached one is
// never stale.
class turn_cache {
 public:
  explicit turn_cache(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  const turn_record* find(const std::string& id);
  void add(turn_record record);

 private:
  static std::size_t size_of(const turn_record& record);
  std::size_t limit_bytes_, bytes_ = 0;
  std::list<turn_record> lru_;  // most recently used first
  std::unordered_map<std::string, std::list<turn_record>::iterator> index_;
};

// A reservation or settlement that is queued for its program's next consensus round.
struct program_operation {
  bool is_settlement = false;
  std::string turn;
  std::int64_t budget = 0, amount = 0;
  runtime::microseconds deadline = 0;
  bool granted = false;         // result of the mutator's last run
  bool may_be_applied = false;  // an earlier round ended `unknown` and may have been applied
  enum class outcome { applied, unreachable, unknown };
  runtime::slot<outcome> completion;
};

struct program_ledger::state : std::enable_shared_from_this<program_ledger::state> {
  consensus::proposer proposer;
  // Operations by program. An entry exists while a task processes the program's queue.
  std::unordered_map<std::string, std::vector<std::shared_ptr<program_operation>>> pending;
  turn_cache cache;
  explicit state(consensus::proposer shared_proposer)
      : proposer(std::move(shared_proposer)), cache(24u << 20) {}
  // Queues the operation, and starts a task for the program's queue if none is running.
  void enqueue(const std::string& program, std::shared_ptr<program_operation> operation);
  // Runs rounds until the program's queue is empty. Operations that arrive during a round share the next one.
  runtime::task<> process_queue(std::string program);
  // The operations of a batch whose deadline hasn't passed, and the parameters of their round.
  struct round_plan {
    std::vector<std::shared_ptr<program_operation>> operations;
    runtime::microseconds deadline = 0;  // the earliest of the operations' deadlines
    bool urgent = false;                 // may use the disk capacity reserved for settlements
  };
  // Completes the operations whose deadline has passed, and plans a round of the others.
  round_plan plan_round(std::vector<std::shared_ptr<program_operation>> batch) const;
  // Applies a batch to the program's record in one consensus round.
  runtime::task<> run_round(std::string program, std::vector<std::shared_ptr<program_operation>> batch);
  // Completes the operations that the round decided or that can't be retried, and puts the others back at the
  // front of the queue. `known`: the round's result is known.
  void finish_round(const std::string& program, const round_plan& round, consensus::change_status status,
                    bool known);
  // Asks the voters for the turn `last` and up to `limit` records in all, going back from it. Returns what
  // the first voter with the turn sends, `missing` if a quorum lacks the turn, and nullopt if neither was
  // established.
  runtime::task<std::optional<chain_result>> fetch_round(std::string last, std::int64_t limit,
                                                         runtime::microseconds deadline);
  // Repeats `fetch_round` until it has a result or the deadline passes.
  runtime::task<chain_result> fetch(std::string last, std::int64_t limit, runtime::microseconds deadline);
};

}  // namespace herontally::ledger
