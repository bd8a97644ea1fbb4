/// \file
/// What this controller has observed and can learn anew: workers' reports, the
/// entries' ledger versions, the platform's listing. None of it is a promise.

#ifndef BALSAMLATCH_FLEET_FLEETOBSERVATIONS_H
#define BALSAMLATCH_FLEET_FLEETOBSERVATIONS_H

#include "balsamlatch/Fleet/Controller.h"

#include <map>
#include <optional>

namespace balsamlatch::fleet {

struct HostFacts {
  /// The last good report and when it came.
  std::optional<WorkerReport> Report;
  Instant ReportAt{};
  /// Highest boot count of any report; reports may come out of order.
  std::uint64_t BootCount = 0;
  /// When the reports began to fail without a good one since.
  std::optional<Instant> SilentSince;
  unsigned SilentReports = 0;
  /// When the report was last asked for, and when an answer or a fault came.
  std::optional<Instant> AskedAt;
  Instant HeardAt{};
  /// The ledger's version of the host's state, and when it was first seen
  /// here by the monotonic clock.
  std::uint64_t StateVersion = 0;
  Instant StateSince{};
};

class Facts {
public:
  /// Entries' views and reports older than this are not relied on.
  static constexpr Duration Fresh = std::chrono::seconds(5);
  /// A host is lost when its reports fail for this long, and this often.
  static constexpr Duration LostAfter = std::chrono::seconds(20);
  static constexpr unsigned LostReports = 3;

  void take(const WorkerSeen &Seen, Instant Now);
  void take(const EntriesSeen &Seen, Instant Now);
  void take(const ListingSeen &Seen);
  /// Notes since when each host has been in its present state, and forgets
  /// hosts that are gone.
  void follow(const Ledger &Value, Instant Now);
  /// Notes that a report is asked for. If the last one has got neither an
  /// answer nor a fault, that counts as a fault: nobody may know the host's
  /// address any more.
  void ask(const HostName &Host, Instant Now);

  HostFacts &host(const HostName &Host) { return Hosts[Host]; }
  /// Slots of a worker by the last report; the platform's usual number before.
  std::uint32_t slotsPerHost() const { return SlotsPerHost; }
  const HostListing *listing() const { return Listing ? &*Listing : nullptr; }

  /// Whether the host's last good report is fresh and came after \p Since.
  bool reportedSince(const HostName &Host, Instant Since, Instant Now);

  /// Whether the host's reports have failed for long enough.
  bool silent(const HostName &Host, Instant Now);
  /// Whether most hosts of the ledger report here, so that silence of a host
  /// says something about the host and not about this controller.
  bool seesMost(const Ledger &Value, Instant Now);

  /// Whether every live entry acts on the version or a later one. False while
  /// the entries' views are not fresh.
  bool entriesActOn(std::uint64_t Version, Instant Now) const;
  /// Live entries that don't, for the log.
  std::vector<EntryName> entriesBehind(std::uint64_t Version) const;

private:
  static constexpr std::uint32_t UsualSlots = 8;

  std::uint32_t SlotsPerHost = UsualSlots;
  std::map<HostName, HostFacts> Hosts;
  std::optional<HostListing> Listing;
  std::vector<EntriesSeen::View> Entries;
  std::optional<Instant> EntriesAt;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_FLEETOBSERVATIONS_H
