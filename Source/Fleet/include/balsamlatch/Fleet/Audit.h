/// \file
/// Checks a history of ledger versions against the ledger's invariants.

#ifndef BALSAMLATCH_FLEET_AUDIT_H
#define BALSAMLATCH_FLEET_AUDIT_H

#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <string>
#include <vector>

namespace balsamlatch::fleet {

/// One version of the ledger as the store held it.
struct LedgerVersion {
  std::uint64_t Version = 0;
  Ledger Value;

  bool operator==(const LedgerVersion &) const = default;
};

/// What must hold for each version and its predecessor.
enum class HistoryInvariant {
  /// Versions increase. A host's StateVersion increases if and only if its
  /// state changes.
  MonotonicVersions,
  /// Each change of state is a legal transition.
  LegalTransitions,
  /// A host changes pool only at the end of a move or of its replacement.
  SinglePool,
  /// No host leaves service by plan when a budget is used up.
  DisruptionBudgets,
  /// An ended operation doesn't come back. A host leaves the ledger only when
  /// failed and enters it only on probation.
  RecordLifetime,
  /// No operation starts during a halt.
  FleetHalt
};

/// An invariant that a ledger version violates.
struct Violation {
  std::uint64_t Version = 0;
  HistoryInvariant Invariant = HistoryInvariant::MonotonicVersions;
  HostName Host;
  std::string Text;

  auto operator<=>(const Violation &) const = default;
};

/// Returns all violations in the order of the versions. The rules are assumed
/// to be in force for the whole history.
std::vector<Violation> auditHistory(const std::vector<LedgerVersion> &History,
                                    const RuleSet &Rules);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_AUDIT_H
