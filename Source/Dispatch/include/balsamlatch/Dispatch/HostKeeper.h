/// \file
/// Decides which hosts are maintained next: within each wave's bound and time,
/// without taking more of a lasting step away than its caller allows, and
/// without cutting work off while there is time to let it end.

#ifndef BALSAMLATCH_DISPATCH_HOSTKEEPER_H
#define BALSAMLATCH_DISPATCH_HOSTKEEPER_H

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Dispatch/Hosts.h"

namespace balsamlatch::dispatch {

struct HostKeeperOptions {
  /// No host is ordered in the first part of a term, in which an earlier
  /// holder may still be ordering.
  Duration SettleTime = std::chrono::milliseconds(3500);
  /// Time for which a host is kept free of new work before its runs are cut
  /// off.
  Duration DrainLimit = std::chrono::seconds(7);
  /// What a host is away for maintenance.
  Duration MaintenanceTime = std::chrono::seconds(2);
  /// Part of a wave's time that is left unused, in percent.
  unsigned WaveSparePercent = 25;
};

/// An order that is due. The caller carries it out and reports the outcome.
struct MaintainHost {
  HostName Host;
  std::string WorkerId;
  std::uint64_t Wave = 0;

  auto operator<=>(const MaintainHost &) const = default;
};

struct WaveCompleted {
  std::uint64_t Wave = 0;

  auto operator<=>(const WaveCompleted &) const = default;
};

using HostDecision = std::variant<MaintainHost, WaveCompleted>;

class HostKeeper {
public:
  HostKeeper(const Clock &TimeSource, HostKeeperOptions Options, LogSink &Sink);

  void begin();
  /// The hosts as listed after all orders that were answered so far.
  void setHosts(std::vector<HostRecord> Hosts, Dispatcher &Workers);
  /// A wave that is already completed is not given again.
  void addWave(const WaveRequest &Wave);
  bool hasWave(std::uint64_t Number) const { return Waves.contains(Number); }
  bool idle() const { return Waves.empty(); }

  std::vector<HostDecision> decide(Dispatcher &Workers,
                                   const jobs::JobBook &Jobs);

  /// The platform took the order, or was never heard of again. It takes an
  /// order for a host that was maintained before without doing anything, so
  /// what became of the host's worker is told by the next list.
  void answered(const MaintainHost &Order, bool Taken);
  /// The platform refused the order.
  void refused(const MaintainHost &Order, Dispatcher &Workers);

  /// Hosts of the wave that need no order any more, as an earlier holder left
  /// them and as they are now.
  void addDone(std::uint64_t Wave, const std::vector<HostName> &Hosts);
  std::vector<HostName> done(std::uint64_t Wave) const;

private:
  struct Wave {
    WaveRequest Request;
    Instant Since{};
    std::set<HostName> Done;
    std::set<HostName> Ordered;
    // Orders whose effect the next list shows, and whether they were taken.
    std::map<HostName, std::pair<MaintainHost, bool>> Unsettled;
    // Hosts kept free of new work, and since when.
    std::map<HostName, Instant> Draining;
    // When the maintenance of hosts that were ordered began.
    std::map<HostName, Instant> Away;
  };

  void settle(Wave &Which, Dispatcher &Workers);
  const HostRecord *find(const HostName &Name) const;
  void decideWave(Wave &Which, Dispatcher &Workers, const jobs::JobBook &Jobs,
                  std::vector<HostDecision> &Into);
  unsigned away(const Wave &Which) const;
  unsigned drainsWanted(const Wave &Which, std::size_t Left) const;
  bool vacant(const HostRecord &Host, const Dispatcher &Workers) const;

  const Clock &Time;
  const HostKeeperOptions Settings;
  LogSink &Log;
  Instant TermBegan{};
  std::map<HostName, HostRecord> Hosts;
  std::map<std::uint64_t, Wave> Waves;
};

/// Whether all lasting tasks on the worker may be taken away now: of each of
/// their steps, no more are away then than its caller allows.
bool mayTakeAway(const WorkerState &Worker, const Dispatcher &Workers,
                 const jobs::JobBook &Jobs);

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTKEEPER_H
