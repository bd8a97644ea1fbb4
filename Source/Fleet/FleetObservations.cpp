/// \file
/// Bookkeeping of what the controller has observed.

#include "FleetObservations.h"

#include <algorithm>

namespace balsamlatch::fleet {

namespace {

void countSilent(HostFacts &Known, Instant Now) {
  if (!Known.SilentSince) {
    Known.SilentSince = Now;
  }
  ++Known.SilentReports;
}

} // namespace

void Facts::take(const WorkerSeen &Seen, Instant Now) {
  HostFacts &Known = Hosts[Seen.Host];
  Known.HeardAt = Now;
  if (!Seen.Status.ok()) {
    countSilent(Known, Now);
    return;
  }
  if (Seen.Report.BootCount < Known.BootCount) {
    return;
  }
  Known.BootCount = Seen.Report.BootCount;
  Known.Report = Seen.Report;
  Known.ReportAt = Now;
  SlotsPerHost = std::max(Seen.Report.SlotsTotal, 1u);
  Known.SilentSince.reset();
  Known.SilentReports = 0;
}

void Facts::take(const EntriesSeen &Seen, Instant Now) {
  Entries = Seen.Live;
  EntriesAt = Now;
}

void Facts::take(const ListingSeen &Seen) {
  if (!Listing || Seen.Listing.Generation >= Listing->Generation) {
    Listing = Seen.Listing;
  }
}

void Facts::follow(const Ledger &Value, Instant Now) {
  std::erase_if(Hosts, [&](const auto &Item) {
    return !Value.Hosts.contains(Item.first);
  });
  for (const auto &[Host, Record] : Value.Hosts) {
    HostFacts &Known = Hosts[Host];
    if (Known.StateVersion != Record.StateVersion) {
      Known.StateVersion = Record.StateVersion;
      Known.StateSince = Now;
    }
  }
}

void Facts::ask(const HostName &Host, Instant Now) {
  HostFacts &Known = Hosts[Host];
  if (Known.AskedAt && Known.HeardAt < *Known.AskedAt) {
    countSilent(Known, Now);
  }
  Known.AskedAt = Now;
}

bool Facts::reportedSince(const HostName &Host, Instant Since, Instant Now) {
  const HostFacts &Known = Hosts[Host];
  return Known.Report && !Known.SilentSince && Known.ReportAt >= Since &&
         Now - Known.ReportAt <= Fresh;
}

bool Facts::silent(const HostName &Host, Instant Now) {
  const HostFacts &Known = Hosts[Host];
  return Known.SilentSince && Now - *Known.SilentSince >= LostAfter &&
         Known.SilentReports >= LostReports;
}

bool Facts::seesMost(const Ledger &Value, Instant Now) {
  std::size_t Seen = 0;
  for (const auto &[Host, Record] : Value.Hosts) {
    const HostFacts &Known = Hosts[Host];
    Seen += Known.Report && !silent(Host, Now) ? 1 : 0;
  }
  return Seen * 2 > Value.Hosts.size();
}

bool Facts::entriesActOn(std::uint64_t Version, Instant Now) const {
  return EntriesAt && Now - *EntriesAt <= Fresh && !Entries.empty() &&
         entriesBehind(Version).empty();
}

std::vector<EntryName> Facts::entriesBehind(std::uint64_t Version) const {
  std::vector<EntryName> Behind;
  for (const EntriesSeen::View &View : Entries) {
    if (View.LedgerVersion < Version) {
      Behind.push_back(View.Entry);
    }
  }
  return Behind;
}

} // namespace balsamlatch::fleet
