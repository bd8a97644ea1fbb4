/// \file
/// Changes to the ledger that several planners make.

#include "Operations.h"

#include <fmt/format.h>

namespace balsamlatch::fleet {

std::string describe(const std::vector<Hindrance> &Why) {
  std::string Text;
  for (const Hindrance &One : Why) {
    Text += Text.empty() ? "" : "; ";
    Text += One.Text;
    if (One.RuleLine != 0) {
      Text += fmt::format(" (rule line {})", One.RuleLine);
    }
  }
  return Text;
}

absl::Status beginOperation(Draft &Next, const RuleSet &Rules,
                            const HostsNeeded &Needed, const HostName &Host,
                            const Operation &Hand) {
  const HostRecord *Record = Next.find(Host);
  if (Record == nullptr) {
    return absl::NotFoundError("the ledger has no host " + Host.Text);
  }
  if (!Next.value().HaltedBy.empty()) {
    return absl::FailedPreconditionError("halted by " + Next.value().HaltedBy);
  }
  if (Record->away()) {
    return absl::FailedPreconditionError(
        fmt::format("host {} is {}, operation {}", Host.Text,
                    stateCode(Record->State), Record->InHand.Id));
  }
  const std::vector<Hindrance> Why =
      mayGoAway(Next.value(), Rules, Host, Needed);
  if (!Why.empty()) {
    return absl::FailedPreconditionError(describe(Why));
  }
  if (absl::Status Legal = Next.change(Host, HostChange::Leave); !Legal.ok()) {
    return Legal;
  }
  HostRecord &Leaving = Next.edit(Host);
  Leaving.InHand = Hand;
  Next.note(Host, "host-leaving", 0,
            {{"pool", Leaving.Pool.Text},
             {"kind", operationCode(Hand.Kind)},
             {"operation", Hand.Id},
             {"cause", Hand.Cause}});
  return absl::OkStatus();
}

void failHost(Draft &Next, const HostName &Host, const std::string &Why) {
  const HostRecord Before = *Next.find(Host);
  if (!Next.change(Host, HostChange::Fail).ok()) {
    return;
  }
  HostRecord &Lost = Next.edit(Host);
  if (Lost.InHand.Id.empty()) {
    Lost.InHand.Id = fmt::format("lost-{}-{}", Host.Text, Lost.StateVersion);
  }
  if (Before.InHand.Kind == OperationKind::Maintain &&
      Next.value().Wave.Size != 0) {
    ++Next.editWhole().Wave.Lost;
  }
  Next.note(Host, "host-lost", 0,
            {{"pool", Before.Pool.Text},
             {"from", stateCode(Before.State)},
             {"operation", Lost.InHand.Id},
             {"why", Why}});
}

} // namespace balsamlatch::fleet
