/// \file
/// The legal transitions of a host's state. The state machine is in the source
/// file to keep Boost.MSM out of the headers.

#ifndef BALSAMLATCH_FLEET_HOSTLIFECYCLE_H
#define BALSAMLATCH_FLEET_HOSTLIFECYCLE_H

#include "balsamlatch/Fleet/Ledger.h"

#include <absl/status/statusor.h>

namespace balsamlatch::fleet {

/// The changes of a host's state.
enum class HostChange {
  /// A planned operation starts.
  Leave,
  /// Nothing runs, and every live entry acts on the ledger version in which the
  /// host leaves.
  Quiesce,
  /// The reboot may be ordered from here on.
  StartReboot,
  /// The host is back after a reboot, a move or a failure.
  Readmit,
  /// A planned operation was cancelled before the reboot.
  Recall,
  /// The probation period is over.
  PassProbation,
  /// The host is lost.
  Fail
};

/// The state after \p Change. FailedPrecondition if the change isn't legal in
/// \p Source.
absl::StatusOr<HostState> nextState(HostState Source, HostChange Change);

/// Whether one change leads from \p Source to \p Target.
bool legalTransition(HostState Source, HostState Target);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_HOSTLIFECYCLE_H
