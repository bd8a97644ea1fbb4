/// \file
/// The event loop, the faults and the controllers of the fleet simulation.

#include "World.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace balsamlatch::fleet::test {

using namespace std::chrono_literals;

RuleSet simulationRules(const SimulationOptions &Options, Duration Period) {
  RuleSet Rules;
  Rules.Version = RulesVersion(1);
  unsigned Line = 0;
  for (unsigned I = 0; I < Options.Pools; ++I) {
    PoolRule Pool;
    Pool.Pool = PoolName(fmt::format("p{}", I));
    Pool.Spare = I + 1 == Options.Pools;
    Pool.Away = {AwayBudget::Kind::Percent, 10};
    Pool.Hosts = Options.Hosts / Options.Pools;
    Pool.Origin.Line = ++Line;
    Rules.Pools.emplace(Pool.Pool, Pool);
  }
  Rules.Domains.push_back(
      {DomainKind::Rack, {AwayBudget::Kind::Percent, 50}, {++Line, ""}});
  Rules.Domains.push_back(
      {DomainKind::DataCentre, {AwayBudget::Kind::Percent, 20}, {++Line, ""}});
  Rules.Maintenance.Period = Period;
  Rules.Maintenance.StopPercent = 10;
  Rules.Maintenance.Origin.Line = ++Line;
  return Rules;
}

World::World(SimulationOptions Options, RuleSet ActiveRules)
    : Settings(Options),
      Rules(std::make_shared<RuleSet>(std::move(ActiveRules))),
      RandomEngine(Options.Seed) {
  for (unsigned I = 0; I < Settings.Hosts; ++I) {
    Host NewHost;
    NewHost.PlatformRecord.Pool =
        PoolName(fmt::format("p{}", I % Settings.Pools));
    const unsigned Rack = I / Settings.HostsPerRack;
    NewHost.PlatformRecord.Rack = RackName(fmt::format("r{:03}", Rack));
    NewHost.PlatformRecord.DataCentre =
        DataCentreName(fmt::format("d{}", Rack % Settings.Centres));
    Hosts.emplace(HostName(fmt::format("h{:04}", I)), std::move(NewHost));
  }
  if (Settings.MaintainedAgo > Duration::zero()) {
    seedLedger();
  }
  Entries.resize(Settings.Entries);
  for (unsigned I = 0; I < Settings.Controllers; ++I) {
    Node &ControllerNode = Nodes.emplace_back();
    ControllerNode.FleetController =
        std::make_unique<Controller>(ControllerOptions{
            EntryName(fmt::format("e{}", I)), "r", Settings.Seed * 31 + I});
    deliver(I, RulesReceived{Rules});
  }
  schedule(0us, [this] { tickListing(); });
  schedule(10ms, [this] { tickControllers(); });
  schedule(20ms, [this] { tickEntries(); });
}

void World::restartController(unsigned Index) {
  Node &ControllerNode = Nodes[Index];
  ++ControllerNode.Generation;
  ControllerNode.Backlog.clear();
  ControllerNode.PausedUntil = Instant{};
  ControllerNode.FleetController = std::make_unique<Controller>(
      ControllerOptions{EntryName(fmt::format("e{}", Index)), "r",
                        Settings.Seed * 31 + Index +
                            std::uint64_t(1000) * ControllerNode.Generation});
  deliver(Index, RulesReceived{Rules});
}

std::vector<HostName> World::inconsistentWorkers() const {
  std::vector<HostName> Inconsistent;
  for (const auto &[Name, Target] : Hosts) {
    const HostRecord &Record = ledger().Hosts.at(Name);
    if (Record.accepting() &&
        (Target.Draining || Target.PlatformRecord.Pool != Record.Pool)) {
      Inconsistent.push_back(Name);
    }
  }
  return Inconsistent;
}

void World::reply(Duration Delay, unsigned Index, FleetEvent Event) {
  const unsigned Generation = Nodes[Index].Generation;
  schedule(Delay, [this, Index, Generation, DelayedEvent = std::move(Event)] {
    if (Nodes[Index].Generation == Generation) {
      deliver(Index, DelayedEvent);
    }
  });
}

void World::schedule(Duration Delay, std::function<void()> Callback) {
  EventQueue.emplace(Time + Delay, std::move(Callback));
}

Duration World::random(Duration Min, Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Min.count(), Max.count())(RandomEngine));
}

bool World::randomChance(unsigned Percent) {
  return std::uniform_int_distribution<unsigned>(0, 99)(RandomEngine) < Percent;
}

WallTime World::wall() const {
  return WallTime(Time.time_since_epoch() + std::chrono::hours(24 * 365 * 50));
}

void World::run(Duration Length) {
  const Instant End = Time + Length;
  while (!EventQueue.empty() && EventQueue.begin()->first <= End) {
    const auto NextEvent = EventQueue.begin();
    Time = NextEvent->first;
    const std::function<void()> Callback = std::move(NextEvent->second);
    EventQueue.erase(NextEvent);
    Callback();
  }
  Time = End;
}

bool World::runUntil(const std::function<bool()> &IsReached, Duration Limit) {
  const Instant End = Time + Limit;
  while (Time < End) {
    run(1s);
    if (IsReached()) {
      return true;
    }
  }
  return false;
}

void World::failStore(Duration Length) { StoreDownUntil = Time + Length; }

void World::slowStore(Duration Latency, Duration Length) {
  SlowStoreLatency = Latency;
  StoreSlowUntil = Time + Length;
}

void World::loseReplies(unsigned Percent, Duration Length) {
  LostReplyPercent = Percent;
  LoseRepliesUntil = Time + Length;
}

void World::pauseController(unsigned Index, Duration Length) {
  Nodes[Index].PausedUntil = Time + Length;
  schedule(Length, [this, Index] {
    std::vector<FleetEvent> DelayedEvents = std::move(Nodes[Index].Backlog);
    Nodes[Index].Backlog.clear();
    for (const FleetEvent &Event : DelayedEvents) {
      deliver(Index, Event);
    }
  });
}

void World::crashHost(const HostName &Name, Duration Length) {
  Host &Target = Hosts.at(Name);
  bringDown(Target, Length);
  // Half of the drained workers lose their draining state in a crash.
  Target.Draining = Target.Draining && randomChance(50);
}

void World::crashRack(const RackName &Rack, Duration Length) {
  for (auto &[Name, Target] : Hosts) {
    if (Target.PlatformRecord.Rack == Rack) {
      crashHost(Name, Length);
    }
  }
}

void World::crashCentre(const DataCentreName &Centre, Duration Length) {
  for (auto &[Name, Target] : Hosts) {
    if (Target.PlatformRecord.DataCentre == Centre) {
      crashHost(Name, Length);
    }
  }
}

void World::slowReboot(const HostName &Name, Duration Length) {
  Hosts.at(Name).NextRebootTime = Length;
}

void World::endSlowReboots() {
  for (auto &[Name, Target] : Hosts) {
    Target.NextRebootTime = Duration::zero();
  }
}

void World::blockLedgerUpdates(unsigned Index, Duration Length) {
  Entries[Index].UpdatesBlockedUntil = Time + Length;
}

void World::disconnectEntry(unsigned Index, Duration Length) {
  Entries[Index].DisconnectedUntil = Time + Length;
}

void World::removeHost(const HostName &Name) {
  Host &Target = Hosts.at(Name);
  Target.IsUp = false;
  Target.IsRemoved = true;
}

void World::blockReports(const HostName &Name, Duration Length) {
  Hosts.at(Name).ReportsBlockedUntil = Time + Length;
}

void World::submitOrder(unsigned Index, OwnerOrderReceived Order) {
  deliver(Index, FleetEvent(std::move(Order)));
}

bool World::logged(const std::string &Reason) const {
  return std::any_of(
      LogLines.begin(), LogLines.end(),
      [&](const LogFleetDecision &Line) { return Line.Reason == Reason; });
}

std::vector<HostName> World::hostNames() const {
  std::vector<HostName> Names;
  for (const auto &[Name, Target] : Hosts) {
    Names.push_back(Name);
  }
  return Names;
}

void World::deliver(unsigned Index, const FleetEvent &Event) {
  Node &Target = Nodes[Index];
  if (Time < Target.PausedUntil) {
    if (!std::holds_alternative<FleetTick>(Event)) {
      Target.Backlog.push_back(Event);
    }
    return;
  }
  execute(Index, Target.FleetController->handle(Event, Time, wall()));
}

void World::execute(unsigned Index, std::vector<FleetAction> Actions) {
  for (FleetAction &Action : Actions) {
    if (const auto *Submit = std::get_if<SendStoreRequest>(&Action)) {
      submit(Index, *Submit);
    } else if (const auto *Send = std::get_if<SendHostOrder>(&Action)) {
      const bool ReplyLost =
          Time < LoseRepliesUntil && randomChance(LostReplyPercent);
      const unsigned Generation = Nodes[Index].Generation;
      schedule(random(5ms, 100ms), [this, Index, Order = *Send, ReplyLost,
                                    Generation] {
        absl::Status OrderStatus = executeOrder(Order.Order);
        if (ReplyLost) {
          OrderStatus = absl::DeadlineExceededError("lost");
        }
        if (Nodes[Index].Generation == Generation) {
          deliver(Index,
                  HostOrderReplyReceived{Order.Of, std::move(OrderStatus)});
        }
      });
    } else if (const auto *Ask = std::get_if<RequestWorkerReport>(&Action)) {
      schedule(random(1ms, 50ms),
               [this, Index, Name = Ask->Host] { report(Index, Name); });
    } else if (const auto *Answer = std::get_if<AnswerOwnerOrder>(&Action)) {
      Answers[Answer->Question] = Answer->Status;
    } else if (auto *Line = std::get_if<LogFleetDecision>(&Action)) {
      LogLines.push_back(std::move(*Line));
    }
  }
}

void World::tickControllers() {
  EntryVersionsReported Views;
  for (unsigned I = 0; I < Entries.size(); ++I) {
    if (Time >= Entries[I].DisconnectedUntil) {
      Views.Live.push_back(
          {EntryName(fmt::format("e{}", I)), Entries[I].Version});
    }
  }
  for (unsigned I = 0; I < Nodes.size(); ++I) {
    deliver(I, Views);
    if (!CurrentDemand.Pools.empty()) {
      deliver(I, CurrentDemand);
    }
    deliver(I, FleetTick());
  }
  schedule(FleetTickPeriod, [this] { tickControllers(); });
}

} // namespace balsamlatch::fleet::test
