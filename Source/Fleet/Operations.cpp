/// \file
/// Ledger changes that several planners share.

#include "Operations.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

std::string describeBlockers(const std::vector<Blocker> &Blockers) {
  std::string Text;
  for (const Blocker &CurrentBlocker : Blockers) {
    Text += Text.empty() ? "" : "; ";
    Text += CurrentBlocker.Text;
    if (CurrentBlocker.RuleLine != 0) {
      Text += fmt::format(" (rule line {})", CurrentBlocker.RuleLine);
    }
  }
  return Text;
}

absl::Status beginOperation(Draft &NextLedger, const RuleSet &Rules,
                            const RequiredHostCounts &RequiredHosts,
                            const HostName &Host, const Operation &Op) {
  const HostRecord *Record = NextLedger.find(Host);
  if (Record == nullptr) {
    return absl::NotFoundError("the ledger has no host " + Host.Text);
  }
  if (!NextLedger.value().HaltedBy.empty()) {
    return absl::FailedPreconditionError("halted by " +
                                         NextLedger.value().HaltedBy);
  }
  if (Record->away()) {
    return absl::FailedPreconditionError(
        fmt::format("host {} is {}, operation {}", Host.Text,
                    stateCode(Record->State), Record->CurrentOperation.Id));
  }
  const std::vector<Blocker> Blockers =
      absenceBlockers(NextLedger.value(), Rules, Host, RequiredHosts);
  if (!Blockers.empty()) {
    return absl::FailedPreconditionError(describeBlockers(Blockers));
  }
  if (absl::Status ChangeStatus = NextLedger.change(Host, HostChange::Leave);
      !ChangeStatus.ok()) {
    return ChangeStatus;
  }
  HostRecord &LeavingRecord = NextLedger.edit(Host);
  LeavingRecord.CurrentOperation = Op;
  NextLedger.addLogLine(Host, "host-leaving", 0,
                        {{"pool", LeavingRecord.Pool.Text},
                         {"kind", operationCode(Op.Kind)},
                         {"operation", Op.Id},
                         {"cause", Op.Cause}});
  return absl::OkStatus();
}

void recordHostLoss(Draft &NextLedger, const HostName &Host,
                    const std::string &LossCause) {
  const HostRecord Previous = *NextLedger.find(Host);
  if (!NextLedger.change(Host, HostChange::Fail).ok()) {
    return;
  }
  HostRecord &FailedRecord = NextLedger.edit(Host);
  if (FailedRecord.CurrentOperation.Id.empty()) {
    FailedRecord.CurrentOperation.Id =
        fmt::format("lost-{}-{}", Host.Text, FailedRecord.StateVersion);
  }
  if (Previous.CurrentOperation.Kind == OperationKind::Maintain &&
      NextLedger.value().Wave.DueHosts != 0) {
    ++NextLedger.editLedger().Wave.LostHosts;
  }
  NextLedger.addLogLine(Host, "host-lost", 0,
                        {{"pool", Previous.Pool.Text},
                         {"from", stateCode(Previous.State)},
                         {"operation", FailedRecord.CurrentOperation.Id},
                         {"why", LossCause}});
}

} // namespace balsamlatch::fleet
