/// \file
/// Drafting and answering of the owners' orders.

#include "OperatorOrders.h"

#include "Operations.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

absl::Status cancel(Draft &Next, const HostName &Host, const OwnerName &By) {
  const HostRecord *Record = Next.find(Host);
  if (Record == nullptr) {
    return absl::NotFoundError("the ledger has no host " + Host.Text);
  }
  if (Record->accepting()) {
    return absl::FailedPreconditionError(
        fmt::format("host {} is {}", Host.Text, stateCode(Record->State)));
  }
  const bool Held = Record->InHand.Kind == OperationKind::Drain;
  if (Record->State == HostState::Failed && !Held) {
    return absl::FailedPreconditionError(
        "the host is lost; it returns when its worker reports again");
  }
  if (!Record->InHand.Cancelled) {
    Next.edit(Host).InHand.Cancelled = true;
    Next.note(Host, "operation-cancelled", 0,
              {{"by", By.Text}, {"operation", Record->InHand.Id}});
  }
  return absl::OkStatus();
}

absl::Status halt(Draft &Next, const OwnerName &By) {
  if (By.empty()) {
    return absl::InvalidArgumentError("an owner must be named");
  }
  if (Next.value().HaltedBy != By.Text) {
    Next.editWhole().HaltedBy = By.Text;
    Next.note({}, "fleet-halted", 0, {{"by", By.Text}});
  }
  return absl::OkStatus();
}

absl::Status resume(Draft &Next, const OwnerName &By) {
  const Ledger &Value = Next.value();
  if (!Value.HaltedBy.empty() || !Value.Wave.Stopped.empty()) {
    Ledger &Whole = Next.editWhole();
    Whole.HaltedBy.clear();
    Whole.Wave = WaveRecord();
    Next.note({}, "fleet-resumed", 0, {{"by", By.Text}});
  }
  return absl::OkStatus();
}

} // namespace

void OperatorOrders::take(const OperatorAsked &Asked, Instant Now) {
  Waiting.push_back({Asked, fmt::format("{}-q{}", Prefix, ++Count), Now});
}

void OperatorOrders::apply(Draft &Next, const RuleSet *Rules,
                           const HostsNeeded &Needed, WallTime Wall,
                           std::vector<FleetAction> &Out) {
  std::erase_if(Waiting, [&](Order &Given) {
    const absl::Status Drafted = draft(Given, Next, Rules, Needed, Wall);
    if (!Drafted.ok() || !Next.changed()) {
      Out.emplace_back(AnswerOperator{Given.Asked.Question, Drafted});
      return true;
    }
    Given.Drafted = true;
    Given.Tried = true;
    return false;
  });
}

void OperatorOrders::written(std::vector<FleetAction> &Out) {
  std::erase_if(Waiting, [&](const Order &Given) {
    if (Given.Drafted) {
      Out.emplace_back(AnswerOperator{Given.Asked.Question, absl::OkStatus()});
    }
    return Given.Drafted;
  });
}

void OperatorOrders::notWritten() {
  for (Order &Given : Waiting) {
    Given.Drafted = false;
  }
}

void OperatorOrders::expire(Instant Now, std::vector<FleetAction> &Out) {
  std::erase_if(Waiting, [&](const Order &Given) {
    if (Now - Given.Since < StoreWait) {
      return false;
    }
    const absl::Status Why =
        Given.Tried
            ? absl::DeadlineExceededError(
                  "the store does not answer; the order may take effect")
            : absl::UnavailableError("the store does not answer; not done");
    Out.emplace_back(AnswerOperator{Given.Asked.Question, Why});
    return true;
  });
}

absl::Status OperatorOrders::draft(const Order &Given, Draft &Next,
                                   const RuleSet *Rules,
                                   const HostsNeeded &Needed,
                                   WallTime Wall) const {
  const OperatorAsked &Asked = Given.Asked;
  switch (Asked.Verb) {
  case OperatorVerb::Drain:
    return begin(Given,
                 Asked.StayDrained ? OperationKind::Drain
                                   : OperationKind::Maintain,
                 Next, Rules, Needed, Wall);
  case OperatorVerb::Move:
    return begin(Given, OperationKind::Move, Next, Rules, Needed, Wall);
  case OperatorVerb::Return:
    return cancel(Next, Asked.Host, Asked.By);
  case OperatorVerb::Halt:
    return halt(Next, Asked.By);
  case OperatorVerb::Resume:
    return resume(Next, Asked.By);
  }
  return absl::InternalError("unknown order");
}

absl::Status OperatorOrders::begin(const Order &Given, OperationKind Kind,
                                   Draft &Next, const RuleSet *Rules,
                                   const HostsNeeded &Needed,
                                   WallTime Wall) const {
  const OperatorAsked &Asked = Given.Asked;
  const HostRecord *Record = Next.find(Asked.Host);
  if (Record != nullptr && Record->InHand.Id == Given.Operation) {
    return absl::OkStatus();
  }
  if (Rules == nullptr) {
    return absl::FailedPreconditionError("no rules are in force here yet");
  }
  Operation Hand;
  Hand.Kind = Kind;
  Hand.Id = Given.Operation;
  Hand.Cause = Asked.By.Text;
  Hand.Since = Wall;
  if (Kind == OperationKind::Move) {
    if (Rules->pool(Asked.Pool) == nullptr) {
      return absl::NotFoundError("no rule for pool " + Asked.Pool.Text);
    }
    if (Record != nullptr && Record->Pool == Asked.Pool) {
      return absl::FailedPreconditionError("the host is in this pool already");
    }
    Hand.Target = Asked.Pool;
  }
  return beginOperation(Next, *Rules, Needed, Asked.Host, Hand);
}

} // namespace balsamlatch::fleet
