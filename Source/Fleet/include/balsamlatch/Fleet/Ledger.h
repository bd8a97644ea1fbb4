/// \file
/// The ledger of a region's hosts: one value in the store that holds each
/// host's pool, state and current operation. Every change is a compare-and-swap
/// of the whole value, so each host stays in exactly one pool and every budget
/// holds, whichever controller writes.

#ifndef BALSAMLATCH_FLEET_LEDGER_H
#define BALSAMLATCH_FLEET_LEDGER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamlatch::fleet {

/// A host's lifecycle state.
enum class HostState {
  InService,
  /// Accepts no new tasks; running tasks finish.
  Leaving,
  /// Runs nothing, and every live entry acts on the ledger version in which the
  /// host leaves.
  Drained,
  /// Rebooting for maintenance.
  InMaintenance,
  /// Back in use, and given little work until its probation period is over.
  OnProbation,
  Failed
};

/// The stable name of the state: "in-service", "leaving" and so on.
const char *stateCode(HostState State);

enum class OperationKind {
  None,
  /// Drain the host, reboot it and return it to service.
  Maintain,
  /// Drain the host and keep it drained until an owner returns it.
  Drain,
  /// Drain the host and return it in another pool.
  Move
};

/// The stable name of the kind: "none", "maintain" and so on.
const char *operationCode(OperationKind Kind);

/// The operation that is in progress on a host.
struct Operation {
  OperationKind Kind = OperationKind::None;
  /// Unique; makes the platform's orders idempotent.
  std::string Id;
  /// For Move: the pool that the host moves to.
  PoolName Target;
  /// What caused the operation, for explain: an owner's name or a rule's line.
  std::string Cause;
  WallTime Since{};
  /// The worker's boot count when the reboot was decided; 0 if it isn't
  /// decided. A higher count shows that the reboot is done.
  std::uint64_t PreRebootBootCount = 0;
  /// Cancelled: the host returns to service once its orders are completed.
  bool Cancelled = false;
  /// The failed host that this move replaces; empty if none.
  HostName Replaces;

  auto operator<=>(const Operation &) const = default;
};

/// One host's entry in the ledger.
struct HostRecord {
  PoolName Pool;
  HostState State = HostState::InService;
  RackName Rack;
  DataCentreName DataCentre;
  Operation CurrentOperation;
  /// Ledger version in which the state last changed.
  std::uint64_t StateVersion = 0;
  WallTime LastMaintained{};

  /// Whether the host accepts new tasks: in service or on probation.
  bool accepting() const;
  /// Whether the host is out of service and counts against the disruption
  /// budgets.
  bool away() const;

  auto operator<=>(const HostRecord &) const = default;
};

/// The current maintenance wave: one pass over the hosts that are due.
struct WaveRecord {
  /// Hosts that were due when the wave started.
  std::uint32_t DueHosts = 0;
  /// Hosts whose maintenance has started in this wave.
  std::uint32_t StartedHosts = 0;
  /// Hosts of this wave that were lost.
  std::uint32_t LostHosts = 0;
  /// Why no further host leaves; empty while the wave goes on.
  std::string StopReason;

  auto operator<=>(const WaveRecord &) const = default;
};

/// The ledger. Immutable once published.
struct Ledger {
  // Invariant: a host has exactly one record, so it is in exactly one pool.
  std::map<HostName, HostRecord> Hosts;
  /// The owner who halted the fleet: no operation starts while it is set. Empty
  /// if there is no halt.
  std::string HaltedBy;
  /// Token of the write that made this version. A writer that got no reply
  /// recognizes its own write by it.
  std::string WriterToken;
  WaveRecord Wave;

  bool operator==(const Ledger &) const = default;
};

/// Encodes the ledger as compact text for the store.
std::string encodeLedger(const Ledger &Value);

/// Decodes the text. InvalidArgument if it isn't a ledger.
absl::StatusOr<Ledger> decodeLedger(std::string_view Text);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_LEDGER_H
