/// \file
/// The reconciliation of a host in each lifecycle state.

#include "HostReconciler.h"

#include "Operations.h"

#include <array>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

constexpr std::array OrderCodes = {"drain", "return", "reboot", "assign"};

const char *orderCode(HostOrderKind Kind) {
  return OrderCodes.at(static_cast<std::size_t>(Kind));
}

/// Includes the pool, because a cancelled move assigns the host back to its old
/// pool under the same operation.
std::string assignId(const Operation &Op, const PoolName &Pool) {
  return orderId(Op.Id, HostOrderKind::Assign) + "/" + Pool.Text;
}

bool isIdle(const WorkerReport &Report) {
  return Report.Draining && Report.SlotsInUse == 0 && Report.Running.empty();
}

} // namespace

std::string orderId(const std::string &OperationId, HostOrderKind Kind) {
  return OperationId + "/" + orderCode(Kind);
}

Blocker HostReconciler::reconcile(const HostName &Host) {
  const HostRecord *CurrentRecord = NextLedger.find(Host);
  // A host that changes state in this draft is reconciled after the write.
  if (CurrentRecord == nullptr ||
      CurrentRecord->StateVersion > NextLedger.baseVersion()) {
    return {};
  }
  if (CurrentRecord->State == HostState::InService) {
    return reconcileInService(Host);
  }
  // A copy, because the steps below change the draft.
  const HostRecord Record = *CurrentRecord;
  switch (Record.State) {
  case HostState::InService:
    return {};
  case HostState::Leaving:
    return reconcileLeaving(Host, Record);
  case HostState::Drained:
    return reconcileDrained(Host, Record);
  case HostState::InMaintenance:
    return reconcileMaintenance(Host, Record);
  case HostState::OnProbation:
    return reconcileProbation(Host);
  case HostState::Failed:
    return reconcileFailed(Host, Record);
  }
  return {};
}

Blocker HostReconciler::reconcileLeaving(const HostName &Host,
                                         const HostRecord &Record) {
  if (!ensureOrder(HostOrderKind::Drain, Host, Record.CurrentOperation)) {
    return orderBlocker(HostOrderKind::Drain, Host, Record.CurrentOperation);
  }
  if (Record.CurrentOperation.Cancelled) {
    return recall(Host, Record);
  }
  Blocker WaitBlocker = ensureIdle(Host, Record);
  if (WaitBlocker.Reason.empty()) {
    applyChange(Host, HostChange::Quiesce, "host-drained");
  }
  return WaitBlocker;
}

Blocker HostReconciler::reconcileDrained(const HostName &Host,
                                         const HostRecord &Record) {
  if (!ensureOrder(HostOrderKind::Drain, Host, Record.CurrentOperation)) {
    return orderBlocker(HostOrderKind::Drain, Host, Record.CurrentOperation);
  }
  if (Record.CurrentOperation.Cancelled) {
    return recall(Host, Record);
  }
  if (Record.CurrentOperation.Kind == OperationKind::Move) {
    return reconcileMove(Host, Record);
  }
  if (Record.CurrentOperation.Kind != OperationKind::Maintain) {
    return {"host-held", 0, "drained until an owner returns it"};
  }
  Blocker WaitBlocker = ensureIdle(Host, Record);
  if (WaitBlocker.Reason.empty()) {
    applyChange(Host, HostChange::StartReboot, "host-rebooting");
    NextLedger.edit(Host).CurrentOperation.PreRebootBootCount =
        Context.Observations.host(Host).BootCount;
  }
  return WaitBlocker;
}

Blocker HostReconciler::reconcileMove(const HostName &Host,
                                      const HostRecord &Record) {
  if (!ensureAssigned(Host, Record.CurrentOperation,
                      Record.CurrentOperation.Target)) {
    return {"waiting-order", 0, "the platform has not done the assignment"};
  }
  Blocker WaitBlocker = ensureReturned(Host, Record.CurrentOperation);
  if (!WaitBlocker.Reason.empty()) {
    return WaitBlocker;
  }
  applyChange(Host, HostChange::Readmit, "host-moved");
  NextLedger.edit(Host).Pool = Record.CurrentOperation.Target;
  if (Record.CurrentOperation.PreRebootBootCount != 0) {
    NextLedger.edit(Host).LastMaintained = Context.Wall;
  }
  completeReplacement(Record);
  return {};
}

void HostReconciler::completeReplacement(const HostRecord &Replacement) {
  const HostRecord *LostHost =
      NextLedger.find(Replacement.CurrentOperation.Replaces);
  if (LostHost == nullptr || LostHost->State != HostState::Failed ||
      LostHost->Pool != Replacement.CurrentOperation.Target) {
    return;
  }
  // The lost host gets the pool that its replacement left. Its record becomes a
  // move, so that the platform is told the new pool when the host returns.
  HostRecord &ReplacedRecord =
      NextLedger.edit(Replacement.CurrentOperation.Replaces);
  ReplacedRecord.Pool = Replacement.Pool;
  ReplacedRecord.CurrentOperation.Kind = OperationKind::Move;
  ReplacedRecord.CurrentOperation.Target = Replacement.Pool;
  ReplacedRecord.CurrentOperation.Replaces = HostName();
}

bool HostReconciler::ensureAssigned(const HostName &Host, const Operation &Op,
                                    const PoolName &Pool) {
  const HostObservation &Observation = Context.Observations.host(Host);
  if (Context.Observations.reportedSince(Host, Observation.StateSince,
                                         Context.Now) &&
      !Observation.Report->Draining &&
      !Context.Orders.completed(assignId(Op, Pool))) {
    // The platform assigns a host only while it is drained.
    reissueOrder(HostOrderKind::Drain, Host);
  }
  const HostOrder Order{HostOrderKind::Assign, Host, assignId(Op, Pool), Pool};
  return Context.Orders.ensureCompleted(Order, Context.Now, Context.NewTicket(),
                                        Context.Actions);
}

Blocker HostReconciler::reconcileMaintenance(const HostName &Host,
                                             const HostRecord &Record) {
  const HostObservation &Observation = Context.Observations.host(Host);
  if (Context.Now - Observation.StateSince > RebootTimeout) {
    recordHostLoss(NextLedger, Host, "did not come back from its reboot");
    return {};
  }
  const bool HasReported = Context.Observations.reportedSince(
      Host, Observation.StateSince, Context.Now);
  if (HasReported && !Observation.Report->Draining &&
      !Context.Orders.completed(
          orderId(Record.CurrentOperation.Id, HostOrderKind::Reboot))) {
    // The worker restarted by itself and lost its draining state.
    reissueOrder(HostOrderKind::Drain, Host);
    return {"waiting-worker", 0, "the worker takes tasks before its reboot"};
  }
  if (!ensureOrder(HostOrderKind::Reboot, Host, Record.CurrentOperation)) {
    return orderBlocker(HostOrderKind::Reboot, Host, Record.CurrentOperation);
  }
  if (!HasReported ||
      Observation.BootCount <= Record.CurrentOperation.PreRebootBootCount) {
    return {"waiting-reboot", 0, "the worker has not reported a new start"};
  }
  Blocker WaitBlocker = ensureReturned(Host, Record.CurrentOperation);
  if (WaitBlocker.Reason.empty()) {
    applyChange(Host, HostChange::Readmit, "host-readmitted");
    NextLedger.edit(Host).LastMaintained = Context.Wall;
  }
  return WaitBlocker;
}

Blocker HostReconciler::reconcileProbation(const HostName &Host) {
  const HostObservation &Observation = Context.Observations.host(Host);
  if (!Context.Observations.reportedSince(Host, Observation.StateSince,
                                          Context.Now)) {
    return {"waiting-worker", 0, "no fresh report of the worker"};
  }
  if (Observation.Report->Draining) {
    reissueOrder(HostOrderKind::Return, Host);
    return {"waiting-worker", 0, "the worker still refuses tasks"};
  }
  if (Context.Now - Observation.StateSince < ProbationPeriod) {
    return {"on-probation", 0, "must prove itself first"};
  }
  applyChange(Host, HostChange::PassProbation, "host-proved");
  NextLedger.edit(Host).CurrentOperation = Operation();
  return {};
}

Blocker HostReconciler::reconcileInService(const HostName &Host) {
  const HostObservation &Observation = Context.Observations.host(Host);
  // A delayed order of a controller that was paused may have drained it.
  if (Context.Observations.reportedSince(Host, Observation.StateSince,
                                         Context.Now) &&
      Observation.Report->Draining) {
    reissueOrder(HostOrderKind::Return, Host);
    return {"waiting-worker", 0, "the worker refuses tasks; it is returned"};
  }
  return {};
}

Blocker HostReconciler::reconcileFailed(const HostName &Host,
                                        const HostRecord &Record) {
  const HostObservation &Observation = Context.Observations.host(Host);
  if (!Context.Observations.reportedSince(Host, Observation.StateSince,
                                          Context.Now)) {
    return {"waiting-worker", 0, "the worker does not report"};
  }
  const Operation &Op = Record.CurrentOperation;
  if (Op.Kind == OperationKind::Drain && !Op.Cancelled) {
    return {"host-held", 0, "drained until an owner returns it"};
  }
  const bool WasRebooted = Op.PreRebootBootCount != 0;
  if (WasRebooted) {
    if (!ensureOrder(HostOrderKind::Reboot, Host, Op)) {
      return orderBlocker(HostOrderKind::Reboot, Host, Op);
    }
    if (Observation.BootCount <= Op.PreRebootBootCount) {
      return {"waiting-reboot", 0, "the worker has not reported a new start"};
    }
  }
  if (Op.Kind == OperationKind::Move) {
    // The platform may have assigned the host already, so the move is
    // completed.
    return reconcileMove(Host, Record);
  }
  Blocker WaitBlocker = ensureReturned(Host, Op);
  if (WaitBlocker.Reason.empty()) {
    applyChange(Host, HostChange::Readmit, "host-recovered");
    if (WasRebooted) {
      NextLedger.edit(Host).LastMaintained = Context.Wall;
    }
  }
  return WaitBlocker;
}

Blocker HostReconciler::recall(const HostName &Host, const HostRecord &Record) {
  if (Record.CurrentOperation.Kind == OperationKind::Move) {
    // The platform may have assigned the host to the target already.
    if (!ensureAssigned(Host, Record.CurrentOperation, Record.Pool)) {
      return {"waiting-order", 0, "the platform has not taken the move back"};
    }
  }
  Blocker WaitBlocker = ensureReturned(Host, Record.CurrentOperation);
  if (WaitBlocker.Reason.empty()) {
    applyChange(Host, HostChange::Recall, "host-recalled");
    NextLedger.edit(Host).CurrentOperation = Operation();
  }
  return WaitBlocker;
}

bool HostReconciler::ensureOrder(HostOrderKind Kind, const HostName &Host,
                                 const Operation &Op) {
  const HostOrder Order{Kind, Host, orderId(Op.Id, Kind), {}};
  return Context.Orders.ensureCompleted(Order, Context.Now, Context.NewTicket(),
                                        Context.Actions);
}

Blocker HostReconciler::orderBlocker(HostOrderKind Kind, const HostName &,
                                     const Operation &Op) const {
  const absl::Status LastStatus =
      Context.Orders.lastStatus(orderId(Op.Id, Kind));
  return {
      "waiting-order", 0,
      fmt::format("the platform has not done {}: {}", orderCode(Kind),
                  LastStatus.ok() ? "no answer yet" : LastStatus.ToString())};
}

Blocker HostReconciler::ensureReturned(const HostName &Host,
                                       const Operation &Op) {
  if (!ensureOrder(HostOrderKind::Return, Host, Op)) {
    return orderBlocker(HostOrderKind::Return, Host, Op);
  }
  const Instant CompletedAt =
      Context.Orders.completedAt(orderId(Op.Id, HostOrderKind::Return));
  if (!Context.Observations.reportedSince(Host, CompletedAt, Context.Now)) {
    return {"waiting-worker", 0, "no fresh report of the worker"};
  }
  if (Context.Observations.host(Host).Report->Draining) {
    reissueOrder(HostOrderKind::Return, Host);
    return {"waiting-worker", 0, "the worker still refuses tasks"};
  }
  return {};
}

Blocker HostReconciler::ensureIdle(const HostName &Host,
                                   const HostRecord &Record) {
  const Instant CompletedAt = Context.Orders.completedAt(
      orderId(Record.CurrentOperation.Id, HostOrderKind::Drain));
  if (!Context.Observations.reportedSince(Host, CompletedAt, Context.Now)) {
    return {"waiting-worker", 0, "no fresh report of the worker"};
  }
  const WorkerReport &Report = *Context.Observations.host(Host).Report;
  if (!Report.Draining) {
    reissueOrder(HostOrderKind::Drain, Host);
    return {"waiting-worker", 0, "the worker still takes tasks"};
  }
  if (!isIdle(Report)) {
    return {"waiting-worker", 0,
            fmt::format("{} slots in use", Report.SlotsInUse)};
  }
  if (!Context.Observations.entriesHaveReached(Record.StateVersion,
                                               Context.Now)) {
    const std::vector<EntryName> EntriesBehind =
        Context.Observations.entriesBehind(Record.StateVersion);
    return {"waiting-entries", 0,
            EntriesBehind.empty()
                ? std::string("the entries' views are not fresh")
                : fmt::format("{} entries act on an older ledger, first {}",
                              EntriesBehind.size(),
                              EntriesBehind.front().Text)};
  }
  return {};
}

void HostReconciler::reissueOrder(HostOrderKind Kind, const HostName &Host) {
  // Uses a new identifier, because the platform ignores an order whose
  // identifier it knows. Each report that still shows the wrong state gives a
  // new one.
  const HostObservation &Observation = Context.Observations.host(Host);
  const std::string OrderId = fmt::format(
      "{}-repair-{}-{}-{}/{}", Context.ControllerId, Host.Text,
      Observation.StateVersion,
      Observation.ReportedAt.time_since_epoch().count(), orderCode(Kind));
  Context.Orders.ensureCompleted({Kind, Host, OrderId, {}}, Context.Now,
                                 Context.NewTicket(), Context.Actions);
}

void HostReconciler::applyChange(const HostName &Host, HostChange Change,
                                 const char *Reason) {
  const HostRecord Previous = *NextLedger.find(Host);
  if (!NextLedger.change(Host, Change).ok()) {
    return;
  }
  NextLedger.addLogLine(Host, Reason, 0,
                        {{"pool", Previous.Pool.Text},
                         {"from", stateCode(Previous.State)},
                         {"to", stateCode(NextLedger.find(Host)->State)},
                         {"operation", Previous.CurrentOperation.Id},
                         {"cause", Previous.CurrentOperation.Cause}});
}

} // namespace balsamlatch::fleet
