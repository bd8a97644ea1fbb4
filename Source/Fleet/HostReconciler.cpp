/// \file
/// The steps of the operations in hand.

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

/// Names the pool too: an operation can be turned back or to another pool.
std::string assignId(const Operation &Hand, const PoolName &Pool) {
  return orderId(Hand.Id, HostOrderKind::Assign) + "/" + Pool.Text;
}

bool idle(const WorkerReport &Report) {
  return Report.Draining && Report.SlotsInUse == 0 && Report.Running.empty();
}

} // namespace

std::string orderId(const std::string &Operation, HostOrderKind Kind) {
  return Operation + "/" + orderCode(Kind);
}

Hindrance HostSteps::step(const HostName &Host) {
  const HostRecord *Found = Next.find(Host);
  // A host that changed in this draft waits until that is written.
  if (Found == nullptr || Found->StateVersion > Next.baseVersion()) {
    return {};
  }
  if (Found->State == HostState::InService) {
    return stepInService(Host);
  }
  // A copy: the steps change the draft.
  const HostRecord Record = *Found;
  switch (Record.State) {
  case HostState::InService:
    return {};
  case HostState::Leaving:
    return stepLeaving(Host, Record);
  case HostState::Drained:
    return stepDrained(Host, Record);
  case HostState::InMaintenance:
    return stepMaintenance(Host, Record);
  case HostState::OnProbation:
    return stepProbation(Host);
  case HostState::Failed:
    return stepFailed(Host, Record);
  }
  return {};
}

Hindrance HostSteps::stepLeaving(const HostName &Host,
                                 const HostRecord &Record) {
  if (!ordered(HostOrderKind::Drain, Host, Record.InHand)) {
    return waitForOrder(HostOrderKind::Drain, Host, Record.InHand);
  }
  if (Record.InHand.Cancelled) {
    return recall(Host, Record);
  }
  Hindrance Waits = waitForIdle(Host, Record);
  if (Waits.Reason.empty()) {
    finish(Host, HostChange::Quiesce, "host-drained");
  }
  return Waits;
}

Hindrance HostSteps::stepDrained(const HostName &Host,
                                 const HostRecord &Record) {
  if (!ordered(HostOrderKind::Drain, Host, Record.InHand)) {
    return waitForOrder(HostOrderKind::Drain, Host, Record.InHand);
  }
  if (Record.InHand.Cancelled) {
    return recall(Host, Record);
  }
  if (Record.InHand.Kind == OperationKind::Move) {
    return stepMove(Host, Record);
  }
  if (Record.InHand.Kind != OperationKind::Maintain) {
    return {"host-held", 0, "drained until an owner returns it"};
  }
  Hindrance Waits = waitForIdle(Host, Record);
  if (Waits.Reason.empty()) {
    finish(Host, HostChange::StartReboot, "host-rebooting");
    Next.edit(Host).InHand.BootBefore = Around.Observed.host(Host).BootCount;
  }
  return Waits;
}

Hindrance HostSteps::stepMove(const HostName &Host, const HostRecord &Record) {
  if (!assigned(Host, Record.InHand, Record.InHand.Target)) {
    return {"waiting-order", 0, "the platform has not done the assignment"};
  }
  Hindrance Waits = waitForReturn(Host, Record.InHand);
  if (!Waits.Reason.empty()) {
    return Waits;
  }
  finish(Host, HostChange::Readmit, "host-moved");
  Next.edit(Host).Pool = Record.InHand.Target;
  if (Record.InHand.BootBefore != 0) {
    Next.edit(Host).LastMaintained = Around.Wall;
  }
  endReplacement(Record);
  return {};
}

void HostSteps::endReplacement(const HostRecord &Healthy) {
  const HostRecord *Lost = Next.find(Healthy.InHand.Replaces);
  if (Lost == nullptr || Lost->State != HostState::Failed ||
      Lost->Pool != Healthy.InHand.Target) {
    return;
  }
  // The lost host takes the place that the healthy one left. When it comes
  // back, the platform has to be told so.
  HostRecord &Replaced = Next.edit(Healthy.InHand.Replaces);
  Replaced.Pool = Healthy.Pool;
  Replaced.InHand.Kind = OperationKind::Move;
  Replaced.InHand.Target = Healthy.Pool;
  Replaced.InHand.Replaces = HostName();
}

bool HostSteps::assigned(const HostName &Host, const Operation &Hand,
                         const PoolName &Pool) {
  const HostFacts &Known = Around.Observed.host(Host);
  if (Around.Observed.reportedSince(Host, Known.StateSince, Around.Now) &&
      !Known.Report->Draining && !Around.Orders.settled(assignId(Hand, Pool))) {
    // The platform assigns drained hosts only.
    repair(HostOrderKind::Drain, Host);
  }
  const HostOrder Order{HostOrderKind::Assign, Host, assignId(Hand, Pool),
                        Pool};
  return Around.Orders.settle(Order, Around.Now, Around.NewTicket(),
                              Around.Out);
}

Hindrance HostSteps::stepMaintenance(const HostName &Host,
                                     const HostRecord &Record) {
  const HostFacts &Known = Around.Observed.host(Host);
  if (Around.Now - Known.StateSince > ReturnWait) {
    failHost(Next, Host, "did not come back from its reboot");
    return {};
  }
  const bool Reported =
      Around.Observed.reportedSince(Host, Known.StateSince, Around.Now);
  if (Reported && !Known.Report->Draining &&
      !Around.Orders.settled(
          orderId(Record.InHand.Id, HostOrderKind::Reboot))) {
    // It has restarted by itself and forgotten that it was drained.
    repair(HostOrderKind::Drain, Host);
    return {"waiting-worker", 0, "the worker takes tasks before its reboot"};
  }
  if (!ordered(HostOrderKind::Reboot, Host, Record.InHand)) {
    return waitForOrder(HostOrderKind::Reboot, Host, Record.InHand);
  }
  if (!Reported || Known.BootCount <= Record.InHand.BootBefore) {
    return {"waiting-reboot", 0, "the worker has not reported a new start"};
  }
  Hindrance Waits = waitForReturn(Host, Record.InHand);
  if (Waits.Reason.empty()) {
    finish(Host, HostChange::Readmit, "host-readmitted");
    Next.edit(Host).LastMaintained = Around.Wall;
  }
  return Waits;
}

Hindrance HostSteps::stepProbation(const HostName &Host) {
  const HostFacts &Known = Around.Observed.host(Host);
  if (!Around.Observed.reportedSince(Host, Known.StateSince, Around.Now)) {
    return {"waiting-worker", 0, "no fresh report of the worker"};
  }
  if (Known.Report->Draining) {
    repair(HostOrderKind::Return, Host);
    return {"waiting-worker", 0, "the worker still refuses tasks"};
  }
  if (Around.Now - Known.StateSince < Probation) {
    return {"on-probation", 0, "must prove itself first"};
  }
  finish(Host, HostChange::Prove, "host-proved");
  Next.edit(Host).InHand = Operation();
  return {};
}

Hindrance HostSteps::stepInService(const HostName &Host) {
  const HostFacts &Known = Around.Observed.host(Host);
  // A late order of a controller that was paused may have drained the worker.
  if (Around.Observed.reportedSince(Host, Known.StateSince, Around.Now) &&
      Known.Report->Draining) {
    repair(HostOrderKind::Return, Host);
    return {"waiting-worker", 0, "the worker refuses tasks; it is returned"};
  }
  return {};
}

Hindrance HostSteps::stepFailed(const HostName &Host,
                                const HostRecord &Record) {
  const HostFacts &Known = Around.Observed.host(Host);
  if (!Around.Observed.reportedSince(Host, Known.StateSince, Around.Now)) {
    return {"waiting-worker", 0, "the worker does not report"};
  }
  const Operation &Hand = Record.InHand;
  if (Hand.Kind == OperationKind::Drain && !Hand.Cancelled) {
    return {"host-held", 0, "drained until an owner returns it"};
  }
  const bool Rebooted = Hand.BootBefore != 0;
  if (Rebooted) {
    if (!ordered(HostOrderKind::Reboot, Host, Hand)) {
      return waitForOrder(HostOrderKind::Reboot, Host, Hand);
    }
    if (Known.BootCount <= Hand.BootBefore) {
      return {"waiting-reboot", 0, "the worker has not reported a new start"};
    }
  }
  if (Hand.Kind == OperationKind::Move) {
    // The platform may have assigned it already: what was begun is finished.
    return stepMove(Host, Record);
  }
  Hindrance Waits = waitForReturn(Host, Hand);
  if (Waits.Reason.empty()) {
    finish(Host, HostChange::Readmit, "host-recovered");
    if (Rebooted) {
      Next.edit(Host).LastMaintained = Around.Wall;
    }
  }
  return Waits;
}

Hindrance HostSteps::recall(const HostName &Host, const HostRecord &Record) {
  if (Record.InHand.Kind == OperationKind::Move) {
    // The platform may have assigned it to the target already.
    if (!assigned(Host, Record.InHand, Record.Pool)) {
      return {"waiting-order", 0, "the platform has not taken the move back"};
    }
  }
  Hindrance Waits = waitForReturn(Host, Record.InHand);
  if (Waits.Reason.empty()) {
    finish(Host, HostChange::Recall, "host-recalled");
    Next.edit(Host).InHand = Operation();
  }
  return Waits;
}

bool HostSteps::ordered(HostOrderKind Kind, const HostName &Host,
                        const Operation &Hand) {
  const HostOrder Order{Kind, Host, orderId(Hand.Id, Kind), {}};
  return Around.Orders.settle(Order, Around.Now, Around.NewTicket(),
                              Around.Out);
}

Hindrance HostSteps::waitForOrder(HostOrderKind Kind, const HostName &,
                                  const Operation &Hand) const {
  const absl::Status Last = Around.Orders.refusal(orderId(Hand.Id, Kind));
  return {"waiting-order", 0,
          fmt::format("the platform has not done {}: {}", orderCode(Kind),
                      Last.ok() ? "no answer yet" : Last.ToString())};
}

Hindrance HostSteps::waitForReturn(const HostName &Host,
                                   const Operation &Hand) {
  if (!ordered(HostOrderKind::Return, Host, Hand)) {
    return waitForOrder(HostOrderKind::Return, Host, Hand);
  }
  const Instant Done =
      Around.Orders.settledAt(orderId(Hand.Id, HostOrderKind::Return));
  if (!Around.Observed.reportedSince(Host, Done, Around.Now)) {
    return {"waiting-worker", 0, "no fresh report of the worker"};
  }
  if (Around.Observed.host(Host).Report->Draining) {
    repair(HostOrderKind::Return, Host);
    return {"waiting-worker", 0, "the worker still refuses tasks"};
  }
  return {};
}

Hindrance HostSteps::waitForIdle(const HostName &Host,
                                 const HostRecord &Record) {
  const Instant Done =
      Around.Orders.settledAt(orderId(Record.InHand.Id, HostOrderKind::Drain));
  if (!Around.Observed.reportedSince(Host, Done, Around.Now)) {
    return {"waiting-worker", 0, "no fresh report of the worker"};
  }
  const WorkerReport &Report = *Around.Observed.host(Host).Report;
  if (!Report.Draining) {
    repair(HostOrderKind::Drain, Host);
    return {"waiting-worker", 0, "the worker still takes tasks"};
  }
  if (!idle(Report)) {
    return {"waiting-worker", 0,
            fmt::format("{} slots in use", Report.SlotsInUse)};
  }
  if (!Around.Observed.entriesActOn(Record.StateVersion, Around.Now)) {
    const std::vector<EntryName> Behind =
        Around.Observed.entriesBehind(Record.StateVersion);
    return {"waiting-entries", 0,
            Behind.empty()
                ? std::string("the entries' views are not fresh")
                : fmt::format("{} entries act on an older ledger, first {}",
                              Behind.size(), Behind.front().Text)};
  }
  return {};
}

void HostSteps::repair(HostOrderKind Kind, const HostName &Host) {
  // A new identifier: the platform takes a known one for a repetition. It
  // changes only after the last repair was answered and reported on.
  const HostFacts &Known = Around.Observed.host(Host);
  const std::string Id = fmt::format(
      "{}-repair-{}-{}-{}/{}", Around.Self, Host.Text, Known.StateVersion,
      Known.ReportAt.time_since_epoch().count(), orderCode(Kind));
  Around.Orders.settle({Kind, Host, Id, {}}, Around.Now, Around.NewTicket(),
                       Around.Out);
}

void HostSteps::finish(const HostName &Host, HostChange Change,
                       const char *Reason) {
  const HostRecord Before = *Next.find(Host);
  if (!Next.change(Host, Change).ok()) {
    return;
  }
  Next.note(Host, Reason, 0,
            {{"pool", Before.Pool.Text},
             {"from", stateCode(Before.State)},
             {"to", stateCode(Next.find(Host)->State)},
             {"operation", Before.InHand.Id},
             {"cause", Before.InHand.Cause}});
}

} // namespace balsamlatch::fleet
