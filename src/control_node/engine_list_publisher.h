// Internal to the control node: sends the engine list from the core that polls the platform to all cores, and
// accepts it there under the owner's epoch. It doesn't poll the platform; see engine_list_poller.h.
#pragma once
#include "control_node/context.h"

namespace herontally::control_node {

class engine_list_publisher : public std::enable_shared_from_this<engine_list_publisher> {
 public:
  explicit engine_list_publisher(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Sends the list to every core, this one included; cores that have it get only a confirmation. The sequence
  // number grows only when the list differs from the last one, since every agent fetches the list when the
  // number is new.
  void publish(const std::string& text);
  // Starts the sequence numbers of a new epoch. The first list that is published afterwards counts as new.
  void begin_epoch();
  // The list that was published last; empty: none in this epoch.
  const std::string& last_published() const { return last_text_; }
  // Handles engine_list_request: accepts the list, or the confirmation of the list that this core has.
  // ballot_outdated: the sender's epoch was superseded; content_missing: this core doesn't have the list that
  // is confirmed.
  rpc::engine_list_reply handle(const rpc::engine_list_request& request);

 private:
  using list_version = config_distribution::engine_list_version;
  task<> send_to(rpc::member receiver, list_version version, std::string text);

  std::shared_ptr<context> context_;
  std::string last_text_;
  std::int64_t sequence_ = 0;
  // By a core's name and incarnation: the version that it accepted from this node last.
  std::map<std::string, list_version> accepted_by_;
  singleton::epoch_fence fence_;
};

}  // namespace herontally::control_node
