/// \file
/// The history checker: compares each ledger version with the previous one.

#include "balsamlatch/Fleet/Audit.h"

#include "HostLifecycle.h"
#include "balsamlatch/Fleet/Budget.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace balsamlatch::fleet {

namespace {

/// Checks one version after the other and collects the violations.
class Auditor {
public:
  explicit Auditor(const RuleSet &ActiveRules) : Rules(ActiveRules) {}

  void checkFirst(const LedgerVersion &First);
  void checkNext(const LedgerVersion &OldVersion,
                 const LedgerVersion &NewVersion);
  std::vector<Violation> takeViolations() { return std::move(Violations); }

private:
  void checkHost(const HostName &Host, const HostRecord &OldRecord,
                 const HostRecord &NewRecord);
  void checkVersions(const HostName &Host, const HostRecord &OldRecord,
                     const HostRecord &NewRecord);
  void checkPool(const HostName &Host, const HostRecord &OldRecord,
                 const HostRecord &NewRecord);
  void checkBudgets(const HostName &Host, const HostRecord &NewRecord,
                    const AwayCounts &Counts);
  void checkOperation(const HostName &Host, const HostRecord &OldRecord,
                      const HostRecord &NewRecord);
  void checkNewHost(const HostName &Host, const HostRecord &NewRecord);
  bool replacementEnded(const HostName &LostHost) const;
  void report(HistoryInvariant Invariant, const HostName &Host,
              std::string Text) {
    Violations.push_back({Current->Version, Invariant, Host, std::move(Text)});
  }

  const RuleSet &Rules;
  const LedgerVersion *Previous = nullptr;
  const LedgerVersion *Current = nullptr;
  // Identifiers of operations that have ended.
  std::set<std::string> EndedOperations;
  std::vector<Violation> Violations;
};

bool startsPlannedAbsence(const HostRecord &OldRecord,
                          const HostRecord &NewRecord) {
  return OldRecord.accepting() && NewRecord.away() &&
         NewRecord.State != HostState::Failed;
}

void Auditor::checkFirst(const LedgerVersion &First) {
  Current = &First;
  for (const auto &[Host, Record] : First.Value.Hosts) {
    if (Record.StateVersion > First.Version) {
      report(HistoryInvariant::MonotonicVersions, Host,
             "state of a later version");
    }
  }
}

void Auditor::checkNext(const LedgerVersion &OldVersion,
                        const LedgerVersion &NewVersion) {
  Previous = &OldVersion;
  Current = &NewVersion;
  if (NewVersion.Version <= OldVersion.Version) {
    report(HistoryInvariant::MonotonicVersions, {},
           fmt::format("version {} after {}", NewVersion.Version,
                       OldVersion.Version));
  }
  const AwayCounts Counts(NewVersion.Value);
  for (const auto &[Host, NewRecord] : NewVersion.Value.Hosts) {
    const auto OldRecord = OldVersion.Value.Hosts.find(Host);
    if (OldRecord == OldVersion.Value.Hosts.end()) {
      checkNewHost(Host, NewRecord);
      continue;
    }
    checkHost(Host, OldRecord->second, NewRecord);
    if (startsPlannedAbsence(OldRecord->second, NewRecord)) {
      checkBudgets(Host, NewRecord, Counts);
    }
  }
  for (const auto &[Host, OldRecord] : OldVersion.Value.Hosts) {
    if (!NewVersion.Value.Hosts.contains(Host)) {
      if (OldRecord.State != HostState::Failed) {
        report(HistoryInvariant::RecordLifetime, Host,
               "left without having failed");
      }
      EndedOperations.insert(OldRecord.CurrentOperation.Id);
    }
  }
}

void Auditor::checkHost(const HostName &Host, const HostRecord &OldRecord,
                        const HostRecord &NewRecord) {
  if (OldRecord.State != NewRecord.State &&
      !legalTransition(OldRecord.State, NewRecord.State)) {
    report(HistoryInvariant::LegalTransitions, Host,
           fmt::format("{} after {}", stateCode(NewRecord.State),
                       stateCode(OldRecord.State)));
  }
  checkVersions(Host, OldRecord, NewRecord);
  checkPool(Host, OldRecord, NewRecord);
  checkOperation(Host, OldRecord, NewRecord);
}

void Auditor::checkVersions(const HostName &Host, const HostRecord &OldRecord,
                            const HostRecord &NewRecord) {
  const bool IsCurrentVersion = NewRecord.StateVersion > Previous->Version &&
                                NewRecord.StateVersion <= Current->Version;
  const bool IsUnchanged = NewRecord.StateVersion == OldRecord.StateVersion;
  if (OldRecord.State == NewRecord.State ? !IsUnchanged : !IsCurrentVersion) {
    report(HistoryInvariant::MonotonicVersions, Host,
           fmt::format("state version {} after {}", NewRecord.StateVersion,
                       OldRecord.StateVersion));
  }
}

bool Auditor::replacementEnded(const HostName &LostHost) const {
  return std::any_of(
      Current->Value.Hosts.begin(), Current->Value.Hosts.end(),
      [&](const auto &Item) {
        const auto OldRecord = Previous->Value.Hosts.find(Item.first);
        return Item.second.CurrentOperation.Replaces == LostHost &&
               OldRecord != Previous->Value.Hosts.end() &&
               OldRecord->second.away() && Item.second.accepting();
      });
}

void Auditor::checkPool(const HostName &Host, const HostRecord &OldRecord,
                        const HostRecord &NewRecord) {
  if (OldRecord.Pool == NewRecord.Pool) {
    return;
  }
  const bool IsMove = OldRecord.away() &&
                      NewRecord.State == HostState::OnProbation &&
                      OldRecord.CurrentOperation.Kind == OperationKind::Move &&
                      OldRecord.CurrentOperation.Target == NewRecord.Pool;
  const bool IsReplacement = OldRecord.State == HostState::Failed &&
                             NewRecord.State == HostState::Failed &&
                             replacementEnded(Host);
  if (!IsMove && !IsReplacement) {
    report(HistoryInvariant::SinglePool, Host,
           fmt::format("from {} to {} without a move", OldRecord.Pool.Text,
                       NewRecord.Pool.Text));
  }
}

void Auditor::checkBudgets(const HostName &Host, const HostRecord &NewRecord,
                           const AwayCounts &Counts) {
  const auto CheckBudget = [&](const std::string &Group, const AwayCount &Count,
                               const AwayBudget &Budget) {
    const std::uint32_t Allowed = Budget.allowed(Count.Members);
    if (Count.Away > Allowed) {
      report(HistoryInvariant::DisruptionBudgets, Host,
             fmt::format("{} has {} of {} away, allowed {}", Group, Count.Away,
                         Count.Members, Allowed));
    }
  };
  if (const PoolRule *Rule = Rules.pool(NewRecord.Pool)) {
    CheckBudget("pool " + NewRecord.Pool.Text, Counts.pool(NewRecord.Pool),
                Rule->Away);
  }
  for (const DomainRule &Rule : Rules.Domains) {
    if (Rule.Kind == DomainKind::Rack) {
      CheckBudget("rack " + NewRecord.Rack.Text, Counts.rack(NewRecord.Rack),
                  Rule.Away);
    } else {
      CheckBudget("data centre " + NewRecord.DataCentre.Text,
                  Counts.dataCentre(NewRecord.DataCentre), Rule.Away);
    }
  }
}

void Auditor::checkOperation(const HostName &Host, const HostRecord &OldRecord,
                             const HostRecord &NewRecord) {
  if (OldRecord.CurrentOperation.Id == NewRecord.CurrentOperation.Id) {
    return;
  }
  if (!OldRecord.CurrentOperation.Id.empty()) {
    EndedOperations.insert(OldRecord.CurrentOperation.Id);
  }
  if (!NewRecord.CurrentOperation.Id.empty() &&
      EndedOperations.contains(NewRecord.CurrentOperation.Id)) {
    report(HistoryInvariant::RecordLifetime, Host,
           "operation " + NewRecord.CurrentOperation.Id + " came back");
  }
  if (startsPlannedAbsence(OldRecord, NewRecord) &&
      !Previous->Value.HaltedBy.empty() && !Current->Value.HaltedBy.empty()) {
    report(HistoryInvariant::FleetHalt, Host, "operation begun during a halt");
  }
}

void Auditor::checkNewHost(const HostName &Host, const HostRecord &NewRecord) {
  if (NewRecord.State != HostState::OnProbation) {
    report(HistoryInvariant::RecordLifetime, Host,
           fmt::format("entered {}", stateCode(NewRecord.State)));
  }
  if (NewRecord.StateVersion <= Previous->Version ||
      NewRecord.StateVersion > Current->Version) {
    report(HistoryInvariant::MonotonicVersions, Host,
           "entered with another version's state");
  }
}

} // namespace

std::vector<Violation> auditHistory(const std::vector<LedgerVersion> &History,
                                    const RuleSet &Rules) {
  Auditor HistoryAuditor(Rules);
  for (std::size_t I = 0; I < History.size(); ++I) {
    if (I == 0) {
      HistoryAuditor.checkFirst(History[I]);
    } else {
      HistoryAuditor.checkNext(History[I - 1], History[I]);
    }
  }
  return HistoryAuditor.takeViolations();
}

} // namespace balsamlatch::fleet
