#include "router/event_scanner.h"

namespace herontally::router {

void event_scanner::take_line() {
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  if (line_.empty()) {
    // A blank line ends an event; one without data is a comment or a keep-alive.
    if (has_data_) {
      ++events_;
      if (keep_) data_ += pending_ + "\n";
      if (!pending_id_.empty()) last_id_ = pending_id_;
    }
    pending_.clear();
    pending_id_.clear();
    has_data_ = open_ = false;
    return;
  }
  open_ = true;
  auto colon = line_.find(':');
  std::string field = line_.substr(0, colon);
  std::size_t begin = colon == std::string::npos ? line_.size() : colon + 1;
  if (begin < line_.size() && line_[begin] == ' ') ++begin;
  if (field == "data") {
    if (keep_) {
      if (has_data_) pending_ += "\n";
      pending_.append(line_, begin, std::string::npos);
    }
    has_data_ = true;
  } else if (field == "id") {
    pending_id_ = line_.substr(begin);
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
    take_line();
    line_.clear();
    from = end + 1;
  }
}

}  // namespace herontally::router
