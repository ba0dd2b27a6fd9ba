// Internal to the control node: hands the engine list from the core that polls the platform to all cores, and
// takes it there under the owner's epoch.
#pragma once
#include "control_node/context.h"

namespace herontally::control_node {

class engine_list_publisher : public std::enable_shared_from_this<engine_list_publisher> {
 public:
  explicit engine_list_publisher(std::shared_ptr<context> shared) : context_(std::move(shared)) {}
  // Sends the list, or that it still holds, to every core, this one included. The list has a new sequence
  // only when it is another one: every agent fetches a list of a new sequence.
  void publish(const std::string& text);
  // Begins a new epoch: the first list is a new one.
  void begin_epoch();
  // The list that was published last; empty: none in this epoch.
  const std::string& last_published() const { return last_text_; }
  // Serves engine_list_request.
  rpc::engine_list_reply take(const rpc::engine_list_request& request);

 private:
  using list_version = config_distribution::engine_list_version;
  task<> send_to(rpc::member receiver, list_version version, std::string text);

  std::shared_ptr<context> context_;
  std::string last_text_;
  std::int64_t sequence_ = 0;
  // By a core's name and incarnation: the list that it took from us last.
  std::map<std::string, list_version> taken_by_;
  singleton::epoch_fence fence_;
};

}  // namespace herontally::control_node
