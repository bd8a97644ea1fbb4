/// \file
/// Drafting and answering of the owners' orders.

#include "OperatorOrders.h"

#include "Operations.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

absl::Status cancel(Draft &NextLedger, const HostName &Host,
                    const OwnerName &Owner) {
  const HostRecord *Record = NextLedger.find(Host);
  if (Record == nullptr) {
    return absl::NotFoundError("the ledger has no host " + Host.Text);
  }
  if (Record->accepting()) {
    return absl::FailedPreconditionError(
        fmt::format("host {} is {}", Host.Text, stateCode(Record->State)));
  }
  const bool IsHeld = Record->CurrentOperation.Kind == OperationKind::Drain;
  if (Record->State == HostState::Failed && !IsHeld) {
    return absl::FailedPreconditionError(
        "the host is lost; it returns when its worker reports again");
  }
  if (!Record->CurrentOperation.Cancelled) {
    NextLedger.edit(Host).CurrentOperation.Cancelled = true;
    NextLedger.addLogLine(
        Host, "operation-cancelled", 0,
        {{"by", Owner.Text}, {"operation", Record->CurrentOperation.Id}});
  }
  return absl::OkStatus();
}

absl::Status halt(Draft &NextLedger, const OwnerName &Owner) {
  if (Owner.empty()) {
    return absl::InvalidArgumentError("an owner must be named");
  }
  if (NextLedger.value().HaltedBy != Owner.Text) {
    NextLedger.editLedger().HaltedBy = Owner.Text;
    NextLedger.addLogLine({}, "fleet-halted", 0, {{"by", Owner.Text}});
  }
  return absl::OkStatus();
}

absl::Status resume(Draft &NextLedger, const OwnerName &Owner) {
  const Ledger &CurrentLedger = NextLedger.value();
  if (!CurrentLedger.HaltedBy.empty() ||
      !CurrentLedger.Wave.StopReason.empty()) {
    Ledger &EditedLedger = NextLedger.editLedger();
    EditedLedger.HaltedBy.clear();
    EditedLedger.Wave = WaveRecord();
    NextLedger.addLogLine({}, "fleet-resumed", 0, {{"by", Owner.Text}});
  }
  return absl::OkStatus();
}

} // namespace

void OperatorOrders::enqueue(const OwnerOrderReceived &Request, Instant Now) {
  PendingOrders.push_back(
      {Request, fmt::format("{}-q{}", IdPrefix, ++RequestCount), Now});
}

void OperatorOrders::draftAll(Draft &NextLedger, const RuleSet *Rules,
                              const RequiredHostCounts &RequiredHosts,
                              WallTime Wall,
                              std::vector<FleetAction> &Actions) {
  std::erase_if(PendingOrders, [&](Order &PendingOrder) {
    const absl::Status DraftStatus =
        draftOrder(PendingOrder, NextLedger, Rules, RequiredHosts, Wall);
    if (!DraftStatus.ok() || !NextLedger.changed()) {
      Actions.emplace_back(
          AnswerOwnerOrder{PendingOrder.Request.Question, DraftStatus});
      return true;
    }
    PendingOrder.InDraft = true;
    PendingOrder.MayBeWritten = true;
    return false;
  });
}

void OperatorOrders::confirmWritten(std::vector<FleetAction> &Actions) {
  std::erase_if(PendingOrders, [&](const Order &PendingOrder) {
    if (PendingOrder.InDraft) {
      Actions.emplace_back(
          AnswerOwnerOrder{PendingOrder.Request.Question, absl::OkStatus()});
    }
    return PendingOrder.InDraft;
  });
}

void OperatorOrders::resetDrafted() {
  for (Order &PendingOrder : PendingOrders) {
    PendingOrder.InDraft = false;
  }
}

void OperatorOrders::expire(Instant Now, std::vector<FleetAction> &Actions) {
  std::erase_if(PendingOrders, [&](const Order &PendingOrder) {
    if (Now - PendingOrder.EnqueuedAt < StoreTimeout) {
      return false;
    }
    const absl::Status FinalStatus =
        PendingOrder.MayBeWritten
            ? absl::DeadlineExceededError(
                  "the store does not answer; the order may take effect")
            : absl::UnavailableError("the store does not answer; not done");
    Actions.emplace_back(
        AnswerOwnerOrder{PendingOrder.Request.Question, FinalStatus});
    return true;
  });
}

absl::Status OperatorOrders::draftOrder(const Order &PendingOrder,
                                        Draft &NextLedger, const RuleSet *Rules,
                                        const RequiredHostCounts &RequiredHosts,
                                        WallTime Wall) const {
  const OwnerOrderReceived &Request = PendingOrder.Request;
  switch (Request.Verb) {
  case OwnerOrderKind::Drain:
    return beginHostOperation(PendingOrder,
                              Request.StayDrained ? OperationKind::Drain
                                                  : OperationKind::Maintain,
                              NextLedger, Rules, RequiredHosts, Wall);
  case OwnerOrderKind::Move:
    return beginHostOperation(PendingOrder, OperationKind::Move, NextLedger,
                              Rules, RequiredHosts, Wall);
  case OwnerOrderKind::Return:
    return cancel(NextLedger, Request.Host, Request.By);
  case OwnerOrderKind::Halt:
    return halt(NextLedger, Request.By);
  case OwnerOrderKind::Resume:
    return resume(NextLedger, Request.By);
  }
  return absl::InternalError("unknown order");
}

absl::Status OperatorOrders::beginHostOperation(
    const Order &PendingOrder, OperationKind Kind, Draft &NextLedger,
    const RuleSet *Rules, const RequiredHostCounts &RequiredHosts,
    WallTime Wall) const {
  const OwnerOrderReceived &Request = PendingOrder.Request;
  const HostRecord *Record = NextLedger.find(Request.Host);
  if (Record != nullptr &&
      Record->CurrentOperation.Id == PendingOrder.OperationId) {
    return absl::OkStatus();
  }
  if (Rules == nullptr) {
    return absl::FailedPreconditionError("no rules are in force here yet");
  }
  Operation Op;
  Op.Kind = Kind;
  Op.Id = PendingOrder.OperationId;
  Op.Cause = Request.By.Text;
  Op.Since = Wall;
  if (Kind == OperationKind::Move) {
    if (Rules->pool(Request.Pool) == nullptr) {
      return absl::NotFoundError("no rule for pool " + Request.Pool.Text);
    }
    if (Record != nullptr && Record->Pool == Request.Pool) {
      return absl::FailedPreconditionError("the host is in this pool already");
    }
    Op.Target = Request.Pool;
  }
  return beginOperation(NextLedger, *Rules, RequiredHosts, Request.Host, Op);
}

} // namespace balsamlatch::fleet
