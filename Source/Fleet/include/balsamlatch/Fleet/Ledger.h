/// \file
/// The ledger of a region's hosts: one value in the store that says, for each
/// host, its pool, its state and the operation in hand. Every change is one
/// compare-and-swap of the whole value, which keeps each host in one pool and
/// every budget whoever writes.

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

/// Where a host is in its life.
enum class HostState {
  InService,
  /// No new work; running tasks end.
  Leaving,
  /// Nothing runs and every live entry has seen it leave.
  Drained,
  /// Rebooting for maintenance.
  InMaintenance,
  /// Back, takes little work until it has proved itself.
  OnProbation,
  Failed
};

/// "in-service", "leaving" and so on.
const char *stateCode(HostState State);

enum class OperationKind {
  None,
  /// Leave, reboot, come back.
  Maintain,
  /// Leave and stay drained until an owner returns the host.
  Drain,
  /// Leave and come back in another pool.
  Move
};

/// "none", "maintain" and so on.
const char *operationCode(OperationKind Kind);

/// What is being done with a host.
struct Operation {
  OperationKind Kind = OperationKind::None;
  /// Unique; makes the platform's orders idempotent.
  std::string Id;
  /// The pool to belong to after a Move.
  PoolName Target;
  /// Who or what asked, for explain: an owner's name or a rule's line.
  std::string Cause;
  WallTime Since{};
  /// The worker's boot count when the reboot was decided; 0: not decided.
  std::uint64_t BootBefore = 0;
  /// Called off: the host goes back as soon as its orders are settled.
  bool Cancelled = false;
  /// The failed host that this move replaces; empty: none.
  HostName Replaces;

  auto operator<=>(const Operation &) const = default;
};

/// One host's line of the ledger.
struct HostRecord {
  PoolName Pool;
  HostState State = HostState::InService;
  RackName Rack;
  DataCentreName DataCentre;
  Operation InHand;
  /// Ledger version in which the state last changed.
  std::uint64_t StateVersion = 0;
  WallTime LastMaintained{};

  /// Whether the host takes new work: in service or on probation.
  bool accepting() const;
  /// Whether the host counts against the availability budgets.
  bool away() const;

  auto operator<=>(const HostRecord &) const = default;
};

/// The maintenance wave in hand: one pass over the hosts that are due.
struct WaveRecord {
  /// Hosts that were due when the wave began.
  std::uint32_t Size = 0;
  /// Hosts that have begun to leave in this wave.
  std::uint32_t Started = 0;
  /// Hosts of this wave that did not come back in time.
  std::uint32_t Lost = 0;
  /// Why no further host leaves; empty: the wave goes on.
  std::string Stopped;

  auto operator<=>(const WaveRecord &) const = default;
};

/// The whole ledger. Immutable once published.
struct Ledger {
  // Invariant: a host has exactly one record, so it is in exactly one pool.
  std::map<HostName, HostRecord> Hosts;
  /// Owner's halt: no operation starts while it is set. Empty: none.
  std::string HaltedBy;
  /// Token of the writer of this version, to settle a lost answer.
  std::string WriterToken;
  WaveRecord Wave;

  bool operator==(const Ledger &) const = default;
};

/// Compact text for the store.
std::string encodeLedger(const Ledger &Value);

/// InvalidArgument says what is wrong with the text.
absl::StatusOr<Ledger> decodeLedger(std::string_view Text);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_LEDGER_H
