/// \file
/// Changes to the next value of the ledger.

#include "Draft.h"

namespace balsamlatch::fleet {

const HostRecord *Draft::find(const HostName &Host) const {
  const auto Found = Next.Hosts.find(Host);
  return Found == Next.Hosts.end() ? nullptr : &Found->second;
}

absl::Status Draft::change(const HostName &Host, HostChange Change) {
  const auto Found = Next.Hosts.find(Host);
  if (Found == Next.Hosts.end()) {
    return absl::NotFoundError("the ledger has no host " + Host.Text);
  }
  if (Found->second.StateVersion > BaseVersion) {
    return absl::FailedPreconditionError("changed in this draft already");
  }
  const absl::StatusOr<HostState> State =
      nextState(Found->second.State, Change);
  if (!State.ok()) {
    return State.status();
  }
  Found->second.State = *State;
  // The store's next version is at least this, and no version lies between.
  Found->second.StateVersion = BaseVersion + 1;
  Changed = true;
  return absl::OkStatus();
}

HostRecord &Draft::edit(const HostName &Host) {
  Changed = true;
  return Next.Hosts.at(Host);
}

Ledger &Draft::editWhole() {
  Changed = true;
  return Next;
}

void Draft::add(const HostName &Host, HostRecord Record) {
  Record.StateVersion = BaseVersion + 1;
  Next.Hosts.insert_or_assign(Host, std::move(Record));
  Changed = true;
}

void Draft::remove(const HostName &Host) {
  Next.Hosts.erase(Host);
  Changed = true;
}

void Draft::note(const HostName &Host, std::string Reason, unsigned RuleLine,
                 boost::json::object Details) {
  Notes.push_back({Host, std::move(Reason), RuleLine, std::move(Details)});
}

} // namespace balsamlatch::fleet
