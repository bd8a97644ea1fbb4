/// \file
/// A small world around the pure controllers: the platform's store, hosts and
/// workers as fakes, entries that place tasks, one virtual clock. Everything
/// follows from the seed.

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

struct WorldOptions {
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
  bool Load = true;
  /// If positive, a ledger stands at the start, and each host was maintained
  /// this long ago.
  Duration MaintainedAgo{};
  std::uint64_t Seed = 1;
};

/// Rules with pools p0..pN, the last one the spare; one in ten away a pool.
RuleSet worldRules(const WorldOptions &Options, Duration Period);

class World {
public:
  World(WorldOptions Settings, RuleSet Rules);

  void run(Duration Length);
  /// Runs until \p Reached, checked each second, for at most \p Limit.
  bool runUntil(const std::function<bool()> &Reached, Duration Limit);

  /// \name Faults, from now for the length given
  /// @{
  void storeDown(Duration Length);
  void storeSlow(Duration Latency, Duration Length);
  /// Answers of this share of the writes are lost after they took effect.
  void loseAnswers(unsigned Percent, Duration Length);
  void pauseController(unsigned Index, Duration Length);
  void crash(const HostName &Host, Duration Length);
  void crashRack(const RackName &Rack, Duration Length);
  void crashCentre(const DataCentreName &Centre, Duration Length);
  /// The worker accepts tasks again, though nobody has returned it.
  void forgetDrain(const HostName &Name) { Hosts.at(Name).Draining = false; }
  /// The next reboot of the host takes this long.
  void slowReboot(const HostName &Host, Duration Length);
  /// No reboot that begins from now on is slow.
  void endSlowReboots();
  /// The entry learns no ledger; its heartbeats go on.
  void deafenEntry(unsigned Index, Duration Length);
  /// The entry learns no ledger and sends no heartbeats.
  void cutEntry(unsigned Index, Duration Length);
  /// The controller's process ends and a new one begins.
  void restartController(unsigned Index);
  /// The platform takes the host away for good: nobody has its address.
  void remove(const HostName &Host);
  void muteWorker(const HostName &Host, Duration Length);
  /// @}

  /// Sends an owner's order to a controller; the answer goes to answers().
  void ask(unsigned Controller, OperatorAsked Asked);

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
    return *Nodes[Index].Machine;
  }
  void demand(DemandSeen Demand) { Wanted = std::move(Demand); }
  Instant now() const { return Time; }

  /// Counted over the whole run.
  struct Counts {
    /// Reboots of hosts that the ledger doesn't have in maintenance or lost.
    std::uint64_t RebootsOutOfTurn = 0;
    /// Reboots of workers that took tasks at that moment.
    std::uint64_t RebootsUndrained = 0;
    std::uint64_t RebootsRefused = 0;
    std::uint64_t Reboots = 0;
    /// Tasks offered more than 3 s after their entry, neither deaf nor cut
    /// off, could have learned of the leaving.
    std::uint64_t LateTasks = 0;
    std::uint64_t TasksStarted = 0;
    std::uint64_t Swaps = 0;
  };
  /// Workers that the ledger lets accept tasks, but that refuse them or are
  /// in another pool.
  std::vector<HostName> strayWorkers() const;
  const Counts &counts() const { return Count; }

private:
  struct Host {
    HostRecord Home;
    bool Up = true;
    bool Removed = false;
    Instant DownUntil{};
    bool Draining = false;
    std::uint64_t BootCount = 1;
    std::uint32_t Running = 0;
    std::set<std::string> DoneOrders;
    Duration NextReboot{};
    Instant MuteUntil{};
  };
  struct Node {
    std::unique_ptr<Controller> Machine;
    /// Of the process; replies to an earlier one are dropped.
    unsigned Generation = 0;
    Instant PausedUntil{};
    std::vector<FleetEvent> Backlog;
  };
  struct Entry {
    std::uint64_t Version = 0;
    Ledger View;
    Instant DeafUntil{};
    Instant CutUntil{};
  };

  void at(Duration Delay, std::function<void()> What);
  Duration random(Duration From, Duration To);
  bool chance(unsigned Percent);
  WallTime wall() const;

  void deliver(unsigned Index, const FleetEvent &Event);
  /// Delivers after the delay, if the process is still the same.
  void reply(Duration Delay, unsigned Index, FleetEvent Event);
  void seedLedger();
  void carryOut(unsigned Index, std::vector<FleetAction> Actions);
  void submit(unsigned Index, const SubmitToStore &Action);
  StoreReply apply(const StoreRequest &Request);
  StoreReply applySwap(const StoreSwap &Swap);
  StoreReply applyLease(const LeaseAcquire &Acquire);
  void announce();
  absl::Status obey(const HostOrder &Order);
  bool mayReboot(const HostName &Name) const;
  absl::Status reboot(Host &Target);
  void report(unsigned Index, const HostName &Name);
  void bringDown(Host &Target, Duration Length);
  void tickControllers();
  void tickEntries();
  void tickListing();
  void placeTask(Entry &From);

  WorldOptions Settings;
  RuleSetPtr Rules;
  std::mt19937_64 Engine;
  Instant Time = Instant(std::chrono::hours(1));
  std::multimap<Instant, std::function<void()>> Agenda;

  StoreEntry Stored;
  std::string LeaseHolderName;
  Instant LeaseUntil{};
  Instant StoreDownUntil{};
  Instant StoreSlowUntil{};
  Duration SlowLatency{};
  Instant LoseUntil{};
  unsigned LosePercent = 0;

  std::map<HostName, Host> Hosts;
  std::vector<Node> Nodes;
  std::vector<Entry> Entries;
  DemandSeen Wanted;
  std::vector<LedgerVersion> History;
  std::map<std::uint64_t, absl::Status> Answers;
  std::vector<LogFleetDecision> LogLines;
  Counts Count;
};

} // namespace balsamlatch::fleet::test

#endif // BALSAMLATCH_TESTS_FLEET_WORLD_H
