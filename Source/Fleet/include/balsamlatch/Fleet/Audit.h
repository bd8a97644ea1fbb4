/// \file
/// Checks the history of a ledger's versions against what must always hold.

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

enum class AuditRule {
  /// Versions rise; a host's StateVersion rises with its state, and only then.
  Versions,
  /// Each change of state is legal.
  Transitions,
  /// A host changes pool only by a finished move or a finished replacement.
  OnePool,
  /// No host goes away by plan into a budget that is used up.
  Budgets,
  /// Operations that ended don't come back; hosts leave the ledger only when
  /// failed and enter it only on probation.
  Resurrection,
  /// No operation begins during a halt.
  Halt
};

struct Violation {
  std::uint64_t Version = 0;
  AuditRule Broken = AuditRule::Versions;
  HostName Host;
  std::string Text;

  auto operator<=>(const Violation &) const = default;
};

/// All violations, in the order of the versions. The rules are taken to be in
/// force for the whole history.
std::vector<Violation> auditHistory(const std::vector<LedgerVersion> &History,
                                    const RuleSet &Rules);

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_AUDIT_H
