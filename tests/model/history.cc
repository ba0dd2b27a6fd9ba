#include "model/history.h"

#include <algorithm>
#include <set>
#include <unordered_set>

namespace herontally::model {

namespace {

// Far more than any history of a run needs; beyond it the result is `undecided`.
constexpr std::size_t max_visited_states = 1'000'000;

class search {
 public:
  explicit search(std::vector<operation> history) : history_(std::move(history)) {
    taken_.assign(history_.size(), '0');
    for (auto& each : history_) remaining_ += must_take_effect(each) ? 1 : 0;
    fewest_remaining_ = remaining_;
  }

  check_result run() {
    if (extend(no_value)) return {};
    if (exhausted_) return {verdict::undecided, "the search exceeded its limit of visited states"};
    return {verdict::violated, explanation_};
  }

 private:
  static bool must_take_effect(const operation& each) { return each.kind != operation_kind::uncertain_set; }

  // The earliest end of the operations not yet taken: one that begins later can't come next.
  std::int64_t earliest_end() const {
    std::int64_t earliest = no_end;
    for (std::size_t index = 0; index < history_.size(); ++index)
      if (taken_[index] == '0') earliest = std::min(earliest, history_[index].end);
    return earliest;
  }

  bool extend(int current) {
    if (remaining_ == 0) return true;
    bool visited = !visited_.insert(taken_ + std::to_string(current)).second;
    if (visited) return false;
    if (visited_.size() > max_visited_states) exhausted_ = true;
    if (exhausted_) return false;
    auto latest_begin = earliest_end();
    update_explanation(current, latest_begin);
    // A read changes nothing, so taking it as soon as it fits excludes no valid order.
    for (std::size_t index = 0; index < history_.size(); ++index) {
      auto& each = history_[index];
      bool fits = each.kind == operation_kind::read && each.value == current;
      if (taken_[index] == '0' && fits && each.begin <= latest_begin) return take(index, current);
    }
    for (std::size_t index = 0; index < history_.size(); ++index) {
      auto& each = history_[index];
      bool fits = each.kind != operation_kind::read && each.expected == current;
      if (taken_[index] == '0' && fits && each.begin <= latest_begin && take(index, each.value)) return true;
    }
    return false;
  }

  bool take(std::size_t index, int next) {
    int counted = must_take_effect(history_[index]) ? 1 : 0;
    taken_[index] = '1';
    remaining_ -= counted;
    bool found = extend(next);
    remaining_ += counted;
    taken_[index] = '0';
    return found;
  }

  void update_explanation(int current, std::int64_t latest_begin) {
    bool first = explanation_.empty();
    if (!first && remaining_ >= fewest_remaining_) return;
    fewest_remaining_ = remaining_;
    explanation_ = "with value " + std::to_string(current) + " none of these can come next:";
    for (std::size_t index = 0; index < history_.size(); ++index)
      if (taken_[index] == '0' && history_[index].begin <= latest_begin)
        explanation_ += "\n    " + describe(history_[index]);
  }

  std::vector<operation> history_;
  std::string taken_;
  int remaining_ = 0, fewest_remaining_ = 0;
  std::unordered_set<std::string> visited_;
  std::string explanation_;
  bool exhausted_ = false;
};

// Leaves out the sets without effect and each uncertain set whose value no operation read or replaced: it may
// as well not have taken effect.
std::vector<operation> relevant_operations(const std::vector<operation>& history) {
  std::set<int> observed;
  for (auto& each : history) observed.insert(each.kind == operation_kind::read ? each.value : each.expected);
  std::vector<operation> kept;
  for (auto& each : history) {
    if (each.kind == operation_kind::without_effect) continue;
    bool unobserved = each.kind == operation_kind::uncertain_set && !observed.count(each.value);
    if (!unobserved) kept.push_back(each);
  }
  return kept;
}

}  // namespace

check_result check_linearizable(const std::vector<operation>& history) {
  return search(relevant_operations(history)).run();
}

std::string describe(const operation& each) {
  std::string text = each.client + " ";
  if (each.kind == operation_kind::read) text += "read " + std::to_string(each.value);
  if (each.kind != operation_kind::read)
    text += "set " + std::to_string(each.expected) + " -> " + std::to_string(each.value);
  if (each.kind == operation_kind::uncertain_set) text += " (uncertain)";
  text += " from " + std::to_string(each.begin) + " us";
  if (each.end != no_end) text += " to " + std::to_string(each.end) + " us";
  return text;
}

}  // namespace herontally::model
