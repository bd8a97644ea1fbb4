/// \file
/// Hosts that enter and leave the ledger.

#include "HostRegistration.h"

#include <set>

namespace balsamlatch::fleet {

namespace {

bool enrollable(const ListedHost &Listed, const RuleSet &Rules) {
  return Listed.Role == HostRole::Worker &&
         Listed.Presence == HostPresence::Live &&
         Rules.pool(Listed.Pool) != nullptr;
}

HostRecord recordOf(const ListedHost &Listed, HostState State, WallTime Wall) {
  HostRecord Record;
  Record.Pool = Listed.Pool;
  Record.State = State;
  Record.Rack = Listed.Rack;
  Record.DataCentre = Listed.DataCentre;
  Record.LastMaintained = Wall;
  return Record;
}

} // namespace

void enrolAll(Draft &Next, const HostListing &Listing, const RuleSet &Rules,
              WallTime Wall) {
  for (const ListedHost &Listed : Listing.Hosts) {
    if (enrollable(Listed, Rules)) {
      Next.add(Listed.Host, recordOf(Listed, HostState::InService, Wall));
    }
  }
  if (Next.changed()) {
    Next.note({}, "ledger-begun", 0, {{"hosts", Next.value().Hosts.size()}});
  }
}

void enrolChanges(Draft &Next, Facts &Observed, const RuleSet &Rules,
                  Instant Now, WallTime Wall) {
  const HostListing *Listing = Observed.listing();
  if (Listing == nullptr) {
    return;
  }
  std::set<HostName> Names;
  for (const ListedHost &Listed : Listing->Hosts) {
    Names.insert(Listed.Host);
    if (Next.find(Listed.Host) == nullptr && enrollable(Listed, Rules)) {
      Next.add(Listed.Host, recordOf(Listed, HostState::OnProbation, Wall));
      Next.note(Listed.Host, "host-enrolled", 0, {{"pool", Listed.Pool.Text}});
    }
  }
  std::vector<HostName> Gone;
  for (const auto &[Host, Record] : Next.value().Hosts) {
    if (Record.State == HostState::Failed && !Names.contains(Host) &&
        Now - Observed.host(Host).StateSince > ForgetAfter) {
      Gone.push_back(Host);
    }
  }
  for (const HostName &Host : Gone) {
    Next.remove(Host);
    Next.note(Host, "host-forgotten", 0, {});
  }
}

} // namespace balsamlatch::fleet
