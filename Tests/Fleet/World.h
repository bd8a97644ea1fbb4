/// \file
/// A simulation of a fleet around the controllers, with one virtual clock:
/// fakes of the platform's store, hosts and workers, and entries that place
/// tasks. A run is determined by its seed.

#ifndef BALSAMLATCH_TESTS_FLEET_WORLD_H
#define BALSAMLATCH_TESTS_FLEET_WORLD_H

#include "balsamlatch/Fleet/Audit.h"
#include "balsamlatch/Fleet/Controller.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsamlatch::fleet::test {

/// Size, timing and seed of a simulation.
struct SimulationOptions {
  unsigned Hosts = 50;
  unsigned Pools = 5;
  unsigned HostsPerRack = 4;
  unsigned Centres = 3;
  unsigned Controllers = 2;
  unsigned Entries = 3;
  Duration RebootTime = std::chrono::seconds(60);
  /// Longest run time of a task.
  Duration LongestTask = std::chrono::seconds(4);
  /// Whether the entries place tasks.
  bool PlacesTasks = true;
  /// If positive, the simulation starts with a ledger in which each host was
  /// maintained this long ago.
  Duration MaintainedAgo{};
  std::uint64_t Seed = 1;
};

/// Returns rules with pools p0..pN, of which the last one is the spare pool.
/// One host in ten may be away in each pool.
RuleSet simulationRules(const SimulationOptions &Options, Duration Period);

/// The simulated fleet and its controllers.
class World {
public:
  World(SimulationOptions Options, RuleSet ActiveRules);

  void run(Duration Length);
  /// Runs until \p IsReached returns true, checked once per second, for at most
  /// \p Limit. Returns whether it did.
  bool runUntil(const std::function<bool()> &IsReached, Duration Limit);

  /// \name Faults that start now and last for the given time
  /// @{
  void failStore(Duration Length);
  void slowStore(Duration Latency, Duration Length);
  /// Loses the replies to this percentage of the store requests and orders,
  /// after they took effect.
  void loseReplies(unsigned Percent, Duration Length);
  void pauseController(unsigned Index, Duration Length);
  void crashHost(const HostName &Host, Duration Length);
  void crashRack(const RackName &Rack, Duration Length);
  void crashCentre(const DataCentreName &Centre, Duration Length);
  /// Makes the worker accept tasks again without an order.
  void clearDrain(const HostName &Name) { Hosts.at(Name).Draining = false; }
  /// Makes the host's next reboot take this long.
  void slowReboot(const HostName &Host, Duration Length);
  /// Ends slowReboot() for all reboots that start from now on.
  void endSlowReboots();
  /// The entry receives no ledger version, but its heartbeats continue.
  void blockLedgerUpdates(unsigned Index, Duration Length);
  /// The entry receives no ledger version and sends no heartbeats.
  void disconnectEntry(unsigned Index, Duration Length);
  /// Replaces the controller with a new process.
  void restartController(unsigned Index);
  /// Removes the host from the platform for good: it is no longer listed and
  /// sends no reports.
  void removeHost(const HostName &Host);
  void blockReports(const HostName &Host, Duration Length);
  /// @}

  /// Sends an owner's order to a controller. The result is added to answers().
  void submitOrder(unsigned Controller, OwnerOrderReceived Order);

  const Ledger &ledger() const { return History.back().Value; }
  const std::vector<LedgerVersion> &history() const { return History; }
  std::vector<Violation> audit() const { return auditHistory(History, *Rules); }
  const std::map<std::uint64_t, absl::Status> &answers() const {
    return Answers;
  }
  const std::vector<LogFleetDecision> &log() const { return LogLines; }
  bool logged(const std::string &Reason) const;
  std::vector<HostName> hostNames() const;
  const Controller &controller(unsigned Index) const {
    return *Nodes[Index].FleetController;
  }
  void setDemand(DemandReported Demand) { CurrentDemand = std::move(Demand); }
  Instant now() const { return Time; }

  /// Counters over the whole run.
  struct Counts {
    /// Reboots of hosts that are neither in maintenance nor failed in the
    /// ledger.
    std::uint64_t UnplannedReboots = 0;
    /// Reboots of workers that were accepting tasks.
    std::uint64_t UndrainedReboots = 0;
    std::uint64_t RebootsRefused = 0;
    std::uint64_t Reboots = 0;
    /// Tasks placed on a leaving host by an entry that should have known: it,
    /// and the store, had been reachable for more than 3 s.
    std::uint64_t MisplacedTasks = 0;
    std::uint64_t TasksStarted = 0;
    std::uint64_t Swaps = 0;
  };
  /// Workers that refuse tasks, or are in another pool, although the ledger has
  /// them accepting.
  std::vector<HostName> inconsistentWorkers() const;
  const Counts &counts() const { return RunCounts; }

private:
  struct Host {
    HostRecord PlatformRecord;
    bool IsUp = true;
    bool IsRemoved = false;
    Instant DownUntil{};
    bool Draining = false;
    std::uint64_t BootCount = 1;
    std::uint32_t Running = 0;
    std::set<std::string> CompletedOrders;
    Duration NextRebootTime{};
    Instant ReportsBlockedUntil{};
  };
  struct Node {
    std::unique_ptr<Controller> FleetController;
    /// Counts the controller's processes; replies to an earlier one are
    /// dropped.
    unsigned Generation = 0;
    Instant PausedUntil{};
    std::vector<FleetEvent> Backlog;
  };
  struct Entry {
    std::uint64_t Version = 0;
    Ledger View;
    Instant UpdatesBlockedUntil{};
    Instant DisconnectedUntil{};
  };

  void schedule(Duration Delay, std::function<void()> Callback);
  Duration random(Duration Min, Duration Max);
  bool randomChance(unsigned Percent);
  WallTime wall() const;

  void deliver(unsigned Index, const FleetEvent &Event);
  /// Delivers the event after the delay, unless the process was replaced.
  void reply(Duration Delay, unsigned Index, FleetEvent Event);
  void seedLedger();
  void execute(unsigned Index, std::vector<FleetAction> Actions);
  void submit(unsigned Index, const SendStoreRequest &Action);
  StoreReply apply(const StoreRequest &Request);
  StoreReply applySwap(const StoreSwap &Swap);
  StoreReply applyLease(const LeaseAcquire &Acquire);
  void publishLedger();
  absl::Status executeOrder(const HostOrder &Order);
  bool mayReboot(const HostName &Name) const;
  absl::Status rebootHost(Host &Target);
  void report(unsigned Index, const HostName &Name);
  void bringDown(Host &Target, Duration Length);
  void tickControllers();
  void tickEntries();
  void tickListing();
  void placeTask(Entry &SourceEntry);

  SimulationOptions Settings;
  RuleSetPtr Rules;
  std::mt19937_64 RandomEngine;
  Instant Time = Instant(std::chrono::hours(1));
  std::multimap<Instant, std::function<void()>> EventQueue;

  StoreEntry StoredLedger;
  std::string LeaseHolderName;
  Instant LeaseUntil{};
  Instant StoreDownUntil{};
  Instant StoreSlowUntil{};
  Duration SlowStoreLatency{};
  Instant LoseRepliesUntil{};
  unsigned LostReplyPercent = 0;

  std::map<HostName, Host> Hosts;
  std::vector<Node> Nodes;
  std::vector<Entry> Entries;
  DemandReported CurrentDemand;
  std::vector<LedgerVersion> History;
  std::map<std::uint64_t, absl::Status> Answers;
  std::vector<LogFleetDecision> LogLines;
  Counts RunCounts;
};

} // namespace balsamlatch::fleet::test

#endif // BALSAMLATCH_TESTS_FLEET_WORLD_H
