#include "router/event_scanner.h"

namespace herontally::router {

void event_scanner::process_line() {
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  if (line_.empty()) {
    // A blank line ends an event; an event without data is a comment or a keep-alive.
    if (has_data_) {
      ++events_;
      if (collect_data_) data_ += pending_ + "\n";
      if (!pending_id_.empty()) last_id_ = pending_id_;
    }
    pending_.clear();
    pending_id_.clear();
    has_data_ = in_event_ = false;
    return;
  }
  in_event_ = true;
  auto colon = line_.find(':');
  std::string field = line_.substr(0, colon);
  std::size_t value_begin = colon == std::string::npos ? line_.size() : colon + 1;
  if (value_begin < line_.size() && line_[value_begin] == ' ') ++value_begin;
  if (field == "data") {
    if (collect_data_) {
      if (has_data_) pending_ += "\n";
      pending_.append(line_, value_begin, std::string::npos);
    }
    has_data_ = true;
  } else if (field == "id") {
    pending_id_ = line_.substr(value_begin);
  }
}

void event_scanner::feed(const std::string& bytes) {
  std::size_t from = 0;
  while (from < bytes.size()) {
    auto end = bytes.find('\n', from);
    if (end == std::string::npos) {
      line_.append(bytes, from, std::string::npos);
      return;
    }
    line_.append(bytes, from, end - from);
    process_line();
    line_.clear();
    from = end + 1;
  }
}

}  // namespace herontally::router
