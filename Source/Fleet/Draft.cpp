/// \file
/// Changes to the next value of the ledger.

#include "Draft.h"

namespace balsamlatch::fleet {

const HostRecord *Draft::find(const HostName &Host) const {
  const std::map<HostName, HostRecord> &Hosts = value().Hosts;
  const auto Found = Hosts.find(Host);
  return Found == Hosts.end() ? nullptr : &Found->second;
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
  HostRecord &Changed = edit(Host);
  Changed.State = *State;
  // The store's next version is at least this, and no version lies between.
  Changed.StateVersion = BaseVersion + 1;
  return absl::OkStatus();
}

HostRecord &Draft::edit(const HostName &Host) { return own().Hosts.at(Host); }

Ledger &Draft::editWhole() { return own(); }

void Draft::add(const HostName &Host, HostRecord Record) {
  Record.StateVersion = BaseVersion + 1;
  own().Hosts.insert_or_assign(Host, std::move(Record));
}

void Draft::remove(const HostName &Host) { own().Hosts.erase(Host); }

Ledger &Draft::own() {
  if (!Own) {
    Own = *Base;
  }
  return *Own;
}

void Draft::note(const HostName &Host, std::string Reason, unsigned RuleLine,
                 boost::json::object Details) {
  Notes.push_back({Host, std::move(Reason), RuleLine, std::move(Details)});
}

} // namespace balsamlatch::fleet
