// Follows a stream of server-sent events as it passes through: how many events are whole, and what they said.
#pragma once
#include <cstdint>
#include <string>

namespace herontally::router {

class event_scanner {
 public:
  // `keep` gathers the data of each event with a line feed behind.
  explicit event_scanner(bool keep) : keep_(keep) {}
  void feed(const std::string& bytes);
  std::int64_t events() const { return events_; }
  const std::string& data() const { return data_; }
  const std::string& last_id() const { return last_id_; }
  // No event is half-way through.
  bool between_events() const { return line_.empty() && !open_; }

 private:
  void take_line();
  bool keep_, open_ = false, has_data_ = false;
  std::string line_, pending_, pending_id_, data_, last_id_;
  std::int64_t events_ = 0;
};

}  // namespace herontally::router
