/// \file
/// Changes to a draft of the next ledger.

#include "Draft.h"

namespace balsamlatch::fleet {

const HostRecord *Draft::find(const HostName &Host) const {
  const std::map<HostName, HostRecord> &Hosts = value().Hosts;
  const auto Position = Hosts.find(Host);
  return Position == Hosts.end() ? nullptr : &Position->second;
}

absl::Status Draft::change(const HostName &Host, HostChange Change) {
  const HostRecord *Record = find(Host);
  if (Record == nullptr) {
    return absl::NotFoundError("the ledger has no host " + Host.Text);
  }
  if (Record->StateVersion > BaseVersion) {
    return absl::FailedPreconditionError("changed in this draft already");
  }
  const absl::StatusOr<HostState> State = nextState(Record->State, Change);
  if (!State.ok()) {
    return State.status();
  }
  HostRecord &Updated = edit(Host);
  Updated.State = *State;
  // The store's next version is at least this, and no version lies between
  // them.
  Updated.StateVersion = BaseVersion + 1;
  return absl::OkStatus();
}

HostRecord &Draft::edit(const HostName &Host) {
  return mutableLedger().Hosts.at(Host);
}

Ledger &Draft::editLedger() { return mutableLedger(); }

void Draft::add(const HostName &Host, HostRecord Record) {
  Record.StateVersion = BaseVersion + 1;
  mutableLedger().Hosts.insert_or_assign(Host, std::move(Record));
}

void Draft::remove(const HostName &Host) { mutableLedger().Hosts.erase(Host); }

Ledger &Draft::mutableLedger() {
  if (!ChangedLedger) {
    ChangedLedger = *BaseLedger;
  }
  return *ChangedLedger;
}

void Draft::addLogLine(const HostName &Host, std::string Reason,
                       unsigned RuleLine, boost::json::object Details) {
  LogLines.push_back({Host, std::move(Reason), RuleLine, std::move(Details)});
}

} // namespace balsamlatch::fleet
