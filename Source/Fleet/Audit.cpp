/// \file
/// The history checker: each version against the one before it.

#include "balsamlatch/Fleet/Audit.h"

#include "HostLifecycle.h"
#include "balsamlatch/Fleet/Budget.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace balsamlatch::fleet {

namespace {

class Auditor {
public:
  explicit Auditor(const RuleSet &InForce) : Rules(InForce) {}

  void first(const LedgerVersion &Begin);
  void step(const LedgerVersion &From, const LedgerVersion &To);
  std::vector<Violation> take() { return std::move(Found); }

private:
  void checkHost(const HostName &Host, const HostRecord &Old,
                 const HostRecord &New);
  void checkVersions(const HostName &Host, const HostRecord &Old,
                     const HostRecord &New);
  void checkPool(const HostName &Host, const HostRecord &Old,
                 const HostRecord &New);
  void checkBudgets(const HostName &Host, const HostRecord &New,
                    const AwayCounts &Counts);
  void checkOperation(const HostName &Host, const HostRecord &Old,
                      const HostRecord &New);
  void checkEntering(const HostName &Host, const HostRecord &New);
  bool replacementEnded(const HostName &Lost) const;
  void report(AuditRule Broken, const HostName &Host, std::string Text) {
    Found.push_back({Next->Version, Broken, Host, std::move(Text)});
  }

  const RuleSet &Rules;
  const LedgerVersion *Last = nullptr;
  const LedgerVersion *Next = nullptr;
  // Invariant: identifiers of operations that are over.
  std::set<std::string> Ended;
  std::vector<Violation> Found;
};

bool beginsAway(const HostRecord &Old, const HostRecord &New) {
  return Old.accepting() && New.away() && New.State != HostState::Failed;
}

void Auditor::first(const LedgerVersion &Begin) {
  Next = &Begin;
  for (const auto &[Host, Record] : Begin.Value.Hosts) {
    if (Record.StateVersion > Begin.Version) {
      report(AuditRule::Versions, Host, "state of a later version");
    }
  }
}

void Auditor::step(const LedgerVersion &From, const LedgerVersion &To) {
  Last = &From;
  Next = &To;
  if (To.Version <= From.Version) {
    report(AuditRule::Versions, {},
           fmt::format("version {} after {}", To.Version, From.Version));
  }
  const AwayCounts Counts(To.Value);
  for (const auto &[Host, New] : To.Value.Hosts) {
    const auto Old = From.Value.Hosts.find(Host);
    if (Old == From.Value.Hosts.end()) {
      checkEntering(Host, New);
      continue;
    }
    checkHost(Host, Old->second, New);
    if (beginsAway(Old->second, New)) {
      checkBudgets(Host, New, Counts);
    }
  }
  for (const auto &[Host, Old] : From.Value.Hosts) {
    if (!To.Value.Hosts.contains(Host)) {
      if (Old.State != HostState::Failed) {
        report(AuditRule::Resurrection, Host, "left without having failed");
      }
      Ended.insert(Old.InHand.Id);
    }
  }
}

void Auditor::checkHost(const HostName &Host, const HostRecord &Old,
                        const HostRecord &New) {
  if (Old.State != New.State && !legalTransition(Old.State, New.State)) {
    report(
        AuditRule::Transitions, Host,
        fmt::format("{} after {}", stateCode(New.State), stateCode(Old.State)));
  }
  checkVersions(Host, Old, New);
  checkPool(Host, Old, New);
  checkOperation(Host, Old, New);
}

void Auditor::checkVersions(const HostName &Host, const HostRecord &Old,
                            const HostRecord &New) {
  const bool Fresh =
      New.StateVersion > Last->Version && New.StateVersion <= Next->Version;
  const bool Kept = New.StateVersion == Old.StateVersion;
  if (Old.State == New.State ? !Kept : !Fresh) {
    report(AuditRule::Versions, Host,
           fmt::format("state version {} after {}", New.StateVersion,
                       Old.StateVersion));
  }
}

bool Auditor::replacementEnded(const HostName &Lost) const {
  return std::any_of(Next->Value.Hosts.begin(), Next->Value.Hosts.end(),
                     [&](const auto &Item) {
                       const auto Old = Last->Value.Hosts.find(Item.first);
                       return Item.second.InHand.Replaces == Lost &&
                              Old != Last->Value.Hosts.end() &&
                              Old->second.away() && Item.second.accepting();
                     });
}

void Auditor::checkPool(const HostName &Host, const HostRecord &Old,
                        const HostRecord &New) {
  if (Old.Pool == New.Pool) {
    return;
  }
  const bool Moved = Old.away() && New.State == HostState::OnProbation &&
                     Old.InHand.Kind == OperationKind::Move &&
                     Old.InHand.Target == New.Pool;
  const bool Replaced = Old.State == HostState::Failed &&
                        New.State == HostState::Failed &&
                        replacementEnded(Host);
  if (!Moved && !Replaced) {
    report(AuditRule::OnePool, Host,
           fmt::format("from {} to {} without a move", Old.Pool.Text,
                       New.Pool.Text));
  }
}

void Auditor::checkBudgets(const HostName &Host, const HostRecord &New,
                           const AwayCounts &Counts) {
  const auto Check = [&](const std::string &Group, const AwayCount &Count,
                         const AwayBudget &Budget) {
    const std::uint32_t Allowed = Budget.allowed(Count.Members);
    if (Count.Away > Allowed) {
      report(AuditRule::Budgets, Host,
             fmt::format("{} has {} of {} away, allowed {}", Group, Count.Away,
                         Count.Members, Allowed));
    }
  };
  if (const PoolRule *Rule = Rules.pool(New.Pool)) {
    Check("pool " + New.Pool.Text, Counts.pool(New.Pool), Rule->Away);
  }
  for (const DomainRule &Rule : Rules.Domains) {
    if (Rule.Kind == DomainKind::Rack) {
      Check("rack " + New.Rack.Text, Counts.rack(New.Rack), Rule.Away);
    } else {
      Check("data centre " + New.DataCentre.Text,
            Counts.dataCentre(New.DataCentre), Rule.Away);
    }
  }
}

void Auditor::checkOperation(const HostName &Host, const HostRecord &Old,
                             const HostRecord &New) {
  if (Old.InHand.Id == New.InHand.Id) {
    return;
  }
  if (!Old.InHand.Id.empty()) {
    Ended.insert(Old.InHand.Id);
  }
  if (!New.InHand.Id.empty() && Ended.contains(New.InHand.Id)) {
    report(AuditRule::Resurrection, Host,
           "operation " + New.InHand.Id + " came back");
  }
  if (beginsAway(Old, New) && !Last->Value.HaltedBy.empty() &&
      !Next->Value.HaltedBy.empty()) {
    report(AuditRule::Halt, Host, "operation begun during a halt");
  }
}

void Auditor::checkEntering(const HostName &Host, const HostRecord &New) {
  if (New.State != HostState::OnProbation) {
    report(AuditRule::Resurrection, Host,
           fmt::format("entered {}", stateCode(New.State)));
  }
  if (New.StateVersion <= Last->Version || New.StateVersion > Next->Version) {
    report(AuditRule::Versions, Host, "entered with another version's state");
  }
}

} // namespace

std::vector<Violation> auditHistory(const std::vector<LedgerVersion> &History,
                                    const RuleSet &Rules) {
  Auditor Check(Rules);
  for (std::size_t I = 0; I < History.size(); ++I) {
    if (I == 0) {
      Check.first(History[I]);
    } else {
      Check.step(History[I - 1], History[I]);
    }
  }
  return Check.take();
}

} // namespace balsamlatch::fleet
