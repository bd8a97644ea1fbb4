/// \file
/// Adds hosts to the ledger and removes them.

#include "HostRegistration.h"

#include <set>

namespace balsamlatch::fleet {

namespace {

bool isRegistrable(const ListedHost &Listed, const RuleSet &Rules) {
  return Listed.Role == HostRole::Worker &&
         Listed.Presence == HostPresence::Live &&
         Rules.pool(Listed.Pool) != nullptr;
}

HostRecord makeHostRecord(const ListedHost &Listed, HostState State,
                          WallTime Wall) {
  HostRecord Record;
  Record.Pool = Listed.Pool;
  Record.State = State;
  Record.Rack = Listed.Rack;
  Record.DataCentre = Listed.DataCentre;
  Record.LastMaintained = Wall;
  return Record;
}

} // namespace

void registerInitialHosts(Draft &NextLedger, const HostListing &Listing,
                          const RuleSet &Rules, WallTime Wall) {
  for (const ListedHost &Listed : Listing.Hosts) {
    if (isRegistrable(Listed, Rules)) {
      NextLedger.add(Listed.Host,
                     makeHostRecord(Listed, HostState::InService, Wall));
    }
  }
  if (NextLedger.changed()) {
    NextLedger.addLogLine({}, "ledger-begun", 0,
                          {{"hosts", NextLedger.value().Hosts.size()}});
  }
}

void registerHostChanges(Draft &NextLedger, FleetObservations &Observations,
                         const RuleSet &Rules, Instant Now, WallTime Wall) {
  const HostListing *Listing = Observations.listing();
  if (Listing == nullptr) {
    return;
  }
  std::set<HostName> ListedHosts;
  for (const ListedHost &Listed : Listing->Hosts) {
    ListedHosts.insert(Listed.Host);
    if (NextLedger.find(Listed.Host) == nullptr &&
        isRegistrable(Listed, Rules)) {
      NextLedger.add(Listed.Host,
                     makeHostRecord(Listed, HostState::OnProbation, Wall));
      NextLedger.addLogLine(Listed.Host, "host-enrolled", 0,
                            {{"pool", Listed.Pool.Text}});
    }
  }
  std::vector<HostName> RemovedHosts;
  for (const auto &[Host, Record] : NextLedger.value().Hosts) {
    if (Record.State == HostState::Failed && !ListedHosts.contains(Host) &&
        Now - Observations.host(Host).StateSince > RemovalDelay) {
      RemovedHosts.push_back(Host);
    }
  }
  for (const HostName &Host : RemovedHosts) {
    NextLedger.remove(Host);
    NextLedger.addLogLine(Host, "host-forgotten", 0, {});
  }
}

} // namespace balsamlatch::fleet
