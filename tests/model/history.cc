#include "model/history.h"

#include <algorithm>
#include <set>
#include <unordered_set>

namespace herontally::model {

namespace {

// Far more than any history of a run needs; beyond it the check gives up and says so.
constexpr std::size_t most_configurations = 1'000'000;

class search {
 public:
  explicit search(std::vector<operation> history) : history_(std::move(history)) {
    done_.assign(history_.size(), '0');
    for (auto& each : history_) left_ += certain(each) ? 1 : 0;
    fewest_left_ = left_;
  }

  check_result run() {
    if (extend(no_value)) return {};
    if (exhausted_) return {verdict::undecided, "the search was given up"};
    return {verdict::violated, explanation_};
  }

 private:
  static bool certain(const operation& each) { return each.kind != operation_kind::uncertain_set; }

  // An operation may come next unless another one ended before it began.
  std::int64_t horizon() const {
    std::int64_t earliest = no_end;
    for (std::size_t index = 0; index < history_.size(); ++index)
      if (done_[index] == '0') earliest = std::min(earliest, history_[index].end);
    return earliest;
  }

  bool extend(int current) {
    if (left_ == 0) return true;
    bool known = !visited_.insert(done_ + std::to_string(current)).second;
    if (known) return false;
    if (visited_.size() > most_configurations) exhausted_ = true;
    if (exhausted_) return false;
    auto latest_begin = horizon();
    note_progress(current, latest_begin);
    // A read changes nothing, so taking it as soon as it fits loses no other order.
    for (std::size_t index = 0; index < history_.size(); ++index) {
      auto& each = history_[index];
      bool fits = each.kind == operation_kind::read && each.value == current;
      if (done_[index] == '0' && fits && each.begin <= latest_begin) return take(index, current);
    }
    for (std::size_t index = 0; index < history_.size(); ++index) {
      auto& each = history_[index];
      bool fits = each.kind != operation_kind::read && each.expected == current;
      if (done_[index] == '0' && fits && each.begin <= latest_begin && take(index, each.value)) return true;
    }
    return false;
  }

  bool take(std::size_t index, int next) {
    int weight = certain(history_[index]) ? 1 : 0;
    done_[index] = '1';
    left_ -= weight;
    bool found = extend(next);
    left_ += weight;
    done_[index] = '0';
    return found;
  }

  void note_progress(int current, std::int64_t latest_begin) {
    bool first = explanation_.empty();
    if (!first && left_ >= fewest_left_) return;
    fewest_left_ = left_;
    explanation_ = "with value " + std::to_string(current) + " none of these can come next:";
    for (std::size_t index = 0; index < history_.size(); ++index)
      if (done_[index] == '0' && history_[index].begin <= latest_begin)
        explanation_ += "\n    " + describe(history_[index]);
  }

  std::vector<operation> history_;
  std::string done_;
  int left_ = 0, fewest_left_ = 0;
  std::unordered_set<std::string> visited_;
  std::string explanation_;
  bool exhausted_ = false;
};

// Leaves out what didn't happen, and each uncertain set that may as well not have: nobody saw its effect.
std::vector<operation> that_matter(const std::vector<operation>& history) {
  std::set<int> seen;
  for (auto& each : history) seen.insert(each.kind == operation_kind::read ? each.value : each.expected);
  std::vector<operation> kept;
  for (auto& each : history) {
    if (each.kind == operation_kind::without_effect) continue;
    bool sent_since_report = each.kind == operation_kind::uncertain_set && !seen.count(each.value);
    if (!sent_since_report) kept.push_back(each);
  }
  return kept;
}

}  // namespace

check_result check_linearizable(const std::vector<operation>& history) {
  return search(that_matter(history)).run();
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
