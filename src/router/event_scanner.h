// Parses a stream of server-sent events incrementally while it is forwarded: counts complete events and
// optionally collects their data. It doesn't modify the stream.
#pragma once
#include <cstdint>
#include <string>

namespace herontally::router {

class event_scanner {
 public:
  // `collect_data`: collects the data of each event, followed by a line feed, in `data`.
  explicit event_scanner(bool collect_data) : collect_data_(collect_data) {}
  // The next bytes of the stream, split anywhere.
  void feed(const std::string& bytes);
  // Complete events with data so far; comments and keep-alives don't count.
  std::int64_t events() const { return events_; }
  const std::string& data() const { return data_; }
  // The id of the last complete event that had one.
  const std::string& last_id() const { return last_id_; }
  // Bytes kept of an event that is partially received.
  std::size_t unfinished_bytes() const { return line_.size() + pending_.size(); }
  // Whether no event is partially received.
  bool between_events() const { return line_.empty() && !in_event_; }

 private:
  void process_line();
  bool collect_data_, in_event_ = false, has_data_ = false;
  std::string line_, pending_, pending_id_, data_, last_id_;
  std::int64_t events_ = 0;
};

}  // namespace herontally::router
