// Installs chosen views at a voter. It doesn't choose them; the reconfiguration package does. Internal to the
// replication package.
//
// Invariants:
// - The number of the installed view never decreases, except to 0 when the voter is wiped.
// - A view takes effect only after it is durable in every bucket.
// - A voter that a chosen view leaves out removes its records and never votes with them.
#pragma once
#include "replication/replica.h"

namespace herontally::replication {

// The installer of one voter.
class view_installer {
 public:
  explicit view_installer(std::shared_ptr<replica> self) : replica_(std::move(self)) {}
  // Sets the handler that is called after each installation.
  void on_installed(std::function<void(const consensus::view&)> handler) {
    installed_handler_ = std::move(handler);
  }
  // True once `chosen` is installed, was installed before, or has made this voter wipe itself. False
  // otherwise: it is older than the installed view, another view is being written, the disk failed, or this
  // voter has no view and isn't in it. Concurrent calls for the same view write it once.
  runtime::task<bool> install(consensus::view chosen);
  // Serves install_view_request.
  runtime::task<rpc::install_view_reply> serve(rpc::install_view_request request);

 private:
  runtime::task<bool> wipe();
  runtime::task<bool> write_view(consensus::view chosen);

  std::shared_ptr<replica> replica_;
  std::optional<consensus::view> installing_;  // the view that is being written
  std::vector<runtime::slot<bool>> waiters_;   // set when the write ends
  std::function<void(const consensus::view&)> installed_handler_;
};

}  // namespace herontally::replication
