/// \file
/// What this controller has observed: workers' reports, the entries' ledger
/// versions, the platform's host list. None of it is stored, and all of it may
/// be outdated; a new controller observes it again.

#ifndef BALSAMLATCH_FLEET_FLEETOBSERVATIONS_H
#define BALSAMLATCH_FLEET_FLEETOBSERVATIONS_H

#include "balsamlatch/Fleet/Controller.h"

#include <map>
#include <optional>

namespace balsamlatch::fleet {

/// What this controller has observed of one host.
struct HostObservation {
  /// The last successful report and when it arrived.
  std::optional<WorkerReport> Report;
  Instant ReportedAt{};
  /// Highest boot count reported so far. A report with a lower one is out of
  /// order and ignored.
  std::uint64_t BootCount = 0;
  /// When the reports began to fail, without a successful one since, and how
  /// many failed.
  std::optional<Instant> UnresponsiveSince;
  unsigned FailedReports = 0;
  /// When a report was last requested, and when a report or an error last
  /// arrived.
  std::optional<Instant> RequestedAt;
  Instant AnsweredAt{};
  /// The state version in the ledger, and when this controller first saw it
  /// (monotonic clock).
  std::uint64_t StateVersion = 0;
  Instant StateSince{};
};

/// What this controller has observed of the fleet.
class FleetObservations {
public:
  /// Entries' ledger versions and reports that are older than this aren't
  /// relied on.
  static constexpr Duration MaxAge = std::chrono::seconds(5);
  /// A host counts as unresponsive when its reports have failed for at least
  /// LossTimeout and at least MinFailedReports times.
  static constexpr Duration LossTimeout = std::chrono::seconds(20);
  static constexpr unsigned MinFailedReports = 3;

  void record(const WorkerReportReceived &Event, Instant Now);
  void record(const EntryVersionsReported &Event, Instant Now);
  void record(const HostListingReceived &Event);
  /// Records when each host entered its current state, and drops hosts that
  /// aren't in the ledger.
  void trackStates(const Ledger &CurrentLedger, Instant Now);
  /// Records that a report is requested. If the previous request got neither a
  /// report nor an error, it counts as failed: the platform may no longer know
  /// the host's address.
  void recordRequest(const HostName &Host, Instant Now);

  HostObservation &host(const HostName &Host) { return Hosts[Host]; }
  /// Slots per worker, from the last report of any worker; DefaultSlotsPerHost
  /// before the first.
  std::uint32_t slotsPerHost() const { return SlotsPerHost; }
  const HostListing *listing() const { return Listing ? &*Listing : nullptr; }

  /// Whether the host's last report was successful, is fresh and arrived after
  /// \p Since.
  bool reportedSince(const HostName &Host, Instant Since, Instant Now);

  /// Whether the host's reports have failed often and long enough for a loss.
  bool unresponsive(const HostName &Host, Instant Now);
  /// Whether more than half of the ledger's hosts report to this controller.
  /// Otherwise a missing report may be the controller's fault.
  bool reportsFromMajority(const Ledger &CurrentLedger, Instant Now);

  /// Whether every live entry acts on the version or a later one. False if the
  /// entries' versions aren't fresh.
  bool entriesHaveReached(std::uint64_t Version, Instant Now) const;
  /// Live entries that act on an earlier version, for the log.
  std::vector<EntryName> entriesBehind(std::uint64_t Version) const;

private:
  static constexpr std::uint32_t DefaultSlotsPerHost = 8;

  std::uint32_t SlotsPerHost = DefaultSlotsPerHost;
  std::map<HostName, HostObservation> Hosts;
  std::optional<HostListing> Listing;
  std::vector<EntryVersionsReported::View> Entries;
  std::optional<Instant> EntriesUpdatedAt;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_FLEETOBSERVATIONS_H
