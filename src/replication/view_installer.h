// Installs views that were chosen. Internal to the replication package.
//
// Invariants: the installed view's number never falls; a view is on every bucket's disk before it counts; a
// voter that a chosen view leaves out wipes itself and never votes with what it held.
#pragma once
#include "replication/replica.h"

namespace herontally::replication {

class view_installer {
 public:
  explicit view_installer(std::shared_ptr<replica> self) : replica_(std::move(self)) {}
  // Called after each installation.
  void on_installed(std::function<void(const consensus::view&)> handler) { handler_ = std::move(handler); }
  // True once `chosen` is installed, or was before. Concurrent calls for one view share the writing.
  runtime::task<bool> install(consensus::view chosen);
  // Serves install_view_request.
  runtime::task<rpc::install_view_reply> serve(rpc::install_view_request request);

 private:
  runtime::task<bool> wipe();
  runtime::task<bool> write(consensus::view chosen);

  std::shared_ptr<replica> replica_;
  std::optional<consensus::view> installing_;  // on its way to the disk
  std::vector<runtime::slot<bool>> waiting_;   // notified when a writing ends
  std::function<void(const consensus::view&)> handler_;
};

}  // namespace herontally::replication
