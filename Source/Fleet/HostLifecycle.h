/// \file
/// The legal changes of a host's state. The machine itself is in the source
/// file, so that Boost.MSM stays out of the headers.

#ifndef BALSAMLATCH_FLEET_HOSTLIFECYCLE_H
#define BALSAMLATCH_FLEET_HOSTLIFECYCLE_H

#include "balsamlatch/Fleet/Ledger.h"

#include <absl/status/statusor.h>

namespace balsamlatch::fleet {

enum class HostChange {
  /// A planned operation begins.
  Leave,
  /// Nothing runs and every live entry has confirmed.
  Quiesce,
  /// The reboot is decided.
  StartReboot,
  /// The host is back after a reboot, a move or a failure.
  Readmit,
  /// A planned operation was cancelled before the reboot.
  Recall,
  /// Probation has passed.
  Prove,
  /// The host is lost.
  Fail
};

/// The state after \p Change. FailedPrecondition: it is not legal in \p From.
absl::StatusOr<HostState> nextState(HostState From, HostChange Change);

/// Whether some change leads directly from \p From to \p To.
bool legalTransition(HostState From, HostState To);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_HOSTLIFECYCLE_H
