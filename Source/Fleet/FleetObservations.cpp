/// \file
/// Keeps the observations up to date from the controller's events.

#include "FleetObservations.h"

#include <algorithm>

namespace balsamlatch::fleet {

namespace {

void countFailedReport(HostObservation &Observation, Instant Now) {
  if (!Observation.UnresponsiveSince) {
    Observation.UnresponsiveSince = Now;
  }
  ++Observation.FailedReports;
}

} // namespace

void FleetObservations::record(const WorkerReportReceived &Event, Instant Now) {
  HostObservation &Observation = Hosts[Event.Host];
  Observation.AnsweredAt = Now;
  if (!Event.Status.ok()) {
    countFailedReport(Observation, Now);
    return;
  }
  if (Event.Report.BootCount < Observation.BootCount) {
    return;
  }
  Observation.BootCount = Event.Report.BootCount;
  Observation.Report = Event.Report;
  Observation.ReportedAt = Now;
  SlotsPerHost = std::max(Event.Report.SlotsTotal, 1u);
  Observation.UnresponsiveSince.reset();
  Observation.FailedReports = 0;
}

void FleetObservations::record(const EntryVersionsReported &Event,
                               Instant Now) {
  Entries = Event.Live;
  EntriesUpdatedAt = Now;
}

void FleetObservations::record(const HostListingReceived &Event) {
  if (!Listing || Event.Listing.Generation >= Listing->Generation) {
    Listing = Event.Listing;
  }
}

void FleetObservations::trackStates(const Ledger &CurrentLedger, Instant Now) {
  std::erase_if(Hosts, [&](const auto &Item) {
    return !CurrentLedger.Hosts.contains(Item.first);
  });
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    HostObservation &Observation = Hosts[Host];
    if (Observation.StateVersion != Record.StateVersion) {
      Observation.StateVersion = Record.StateVersion;
      Observation.StateSince = Now;
    }
  }
}

void FleetObservations::recordRequest(const HostName &Host, Instant Now) {
  HostObservation &Observation = Hosts[Host];
  if (Observation.RequestedAt &&
      Observation.AnsweredAt < *Observation.RequestedAt) {
    countFailedReport(Observation, Now);
  }
  Observation.RequestedAt = Now;
}

bool FleetObservations::reportedSince(const HostName &Host, Instant Since,
                                      Instant Now) {
  const HostObservation &Observation = Hosts[Host];
  return Observation.Report && !Observation.UnresponsiveSince &&
         Observation.ReportedAt >= Since &&
         Now - Observation.ReportedAt <= MaxAge;
}

bool FleetObservations::unresponsive(const HostName &Host, Instant Now) {
  const HostObservation &Observation = Hosts[Host];
  return Observation.UnresponsiveSince &&
         Now - *Observation.UnresponsiveSince >= LossTimeout &&
         Observation.FailedReports >= MinFailedReports;
}

bool FleetObservations::reportsFromMajority(const Ledger &CurrentLedger,
                                            Instant Now) {
  std::size_t Reporting = 0;
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    const HostObservation &Observation = Hosts[Host];
    Reporting += Observation.Report && !unresponsive(Host, Now) ? 1 : 0;
  }
  return Reporting * 2 > CurrentLedger.Hosts.size();
}

bool FleetObservations::entriesHaveReached(std::uint64_t Version,
                                           Instant Now) const {
  return EntriesUpdatedAt && Now - *EntriesUpdatedAt <= MaxAge &&
         !Entries.empty() && entriesBehind(Version).empty();
}

std::vector<EntryName>
FleetObservations::entriesBehind(std::uint64_t Version) const {
  std::vector<EntryName> EntriesBehind;
  for (const EntryVersionsReported::View &View : Entries) {
    if (View.LedgerVersion < Version) {
      EntriesBehind.push_back(View.Entry);
    }
  }
  return EntriesBehind;
}

} // namespace balsamlatch::fleet
