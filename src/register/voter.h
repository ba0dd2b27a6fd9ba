// One voter of a register group: promises and accepts, lasting on disk before it answers.
#pragma once
#include "disk/store.h"
#include "register/view.h"
#include "wire/wire.h"

namespace herontally::reg {

enum class voter_fault { failed, corrupt };

struct voter_options {
  std::string group;
  int buckets = 4;
  std::int64_t limit_bytes = 256 << 20;
  // A number kept in memory beside each record, for `for_each_attribute`.
  std::function<std::int64_t(const std::string& record, std::string_view bytes)> attribute;
};

class voter {
 public:
  voter(wire::port port, voter_options choice);
  // Reads the disk, makes an identity on an empty one, and takes messages from then on. A corrupt disk is
  // reported, wiped and begun anew under a new identity: it must not vote as its predecessor.
  runtime::task<std::optional<voter_fault>> open();
  const std::string& id() const;
  const view& current() const;
  // Told of each newly installed view, and of each accepted value.
  void on_view(std::function<void(const view&)> handler);
  void on_accepted(std::function<void(const std::string& key, const std::string& value)> handler);
  // Installs a view that is known to be chosen. A voter that a chosen view leaves out wipes itself.
  runtime::task<bool> install(view chosen);
  // Removes contents that nothing refers to any more.
  runtime::task<bool> forget(std::vector<std::string> content_digests);
  // Removes keys that their own contents give up, and returns how many. `sure` is asked at each one's turn;
  // `promised` is the ballot that was promised last: a round under it may be under way.
  using key_test = std::function<bool(const wire::ballot& promised, const std::optional<std::string>& value)>;
  runtime::task<int> forget_keys(std::vector<std::string> keys, key_test sure);
  // Requests up to `limit` records of one bucket with this prefix after `after`, in order; returns the last
  // one requested, empty once there are no more.
  int bucket_count() const;
  std::string for_each_record(
      int bucket, const std::string& prefix, const std::string& after, int limit,
      const std::function<void(const std::string& record, const std::string& bytes)>& handle_record) const;
  // The same for the records' attributes, without reading the disk.
  std::string for_each_attribute(
      int bucket, const std::string& prefix, const std::string& after, int limit,
      const std::function<void(const std::string& record, std::int64_t attribute)>& handle_record) const;
  // A cell's parts, as `for_each_record` meets them under "k/".
  static std::pair<wire::ballot, std::optional<std::string>> parts_of(const std::string& cell_bytes);
  // Compares itself with its peers and hands over what they miss; runs until the process stops.
  runtime::task<> repair_forever();
  std::optional<std::string> accepted_value(const std::string& key) const;
  std::optional<std::string> content(const std::string& digest) const;
  std::vector<std::string> keys_with_prefix(const std::string& prefix) const;
  std::int64_t live_bytes() const;
  std::size_t key_count() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace herontally::reg
