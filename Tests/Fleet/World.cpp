/// \file
/// The event loop, the faults and the controllers of the test world.

#include "World.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace balsamlatch::fleet::test {

using namespace std::chrono_literals;

RuleSet worldRules(const WorldOptions &Options, Duration Period) {
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

World::World(WorldOptions Options, RuleSet InForce)
    : Settings(Options), Rules(std::make_shared<RuleSet>(std::move(InForce))),
      Engine(Options.Seed) {
  for (unsigned I = 0; I < Settings.Hosts; ++I) {
    Host One;
    One.Home.Pool = PoolName(fmt::format("p{}", I % Settings.Pools));
    const unsigned Rack = I / Settings.HostsPerRack;
    One.Home.Rack = RackName(fmt::format("r{:03}", Rack));
    One.Home.DataCentre =
        DataCentreName(fmt::format("d{}", Rack % Settings.Centres));
    Hosts.emplace(HostName(fmt::format("h{:04}", I)), std::move(One));
  }
  if (Settings.MaintainedAgo > Duration::zero()) {
    seedLedger();
  }
  Entries.resize(Settings.Entries);
  for (unsigned I = 0; I < Settings.Controllers; ++I) {
    Node &One = Nodes.emplace_back();
    One.Machine = std::make_unique<Controller>(ControllerOptions{
        EntryName(fmt::format("e{}", I)), "r", Settings.Seed * 31 + I});
    deliver(I, RulesSeen{Rules});
  }
  at(0us, [this] { tickListing(); });
  at(10ms, [this] { tickControllers(); });
  at(20ms, [this] { tickEntries(); });
}

void World::restartController(unsigned Index) {
  Node &One = Nodes[Index];
  ++One.Generation;
  One.Backlog.clear();
  One.PausedUntil = Instant{};
  One.Machine = std::make_unique<Controller>(ControllerOptions{
      EntryName(fmt::format("e{}", Index)), "r",
      Settings.Seed * 31 + Index + std::uint64_t(1000) * One.Generation});
  deliver(Index, RulesSeen{Rules});
}

std::vector<HostName> World::strayWorkers() const {
  std::vector<HostName> Stray;
  for (const auto &[Name, Target] : Hosts) {
    const HostRecord &Record = ledger().Hosts.at(Name);
    if (Record.accepting() &&
        (Target.Draining || Target.Home.Pool != Record.Pool)) {
      Stray.push_back(Name);
    }
  }
  return Stray;
}

void World::reply(Duration Delay, unsigned Index, FleetEvent Event) {
  const unsigned Generation = Nodes[Index].Generation;
  at(Delay, [this, Index, Generation, Sent = std::move(Event)] {
    if (Nodes[Index].Generation == Generation) {
      deliver(Index, Sent);
    }
  });
}

void World::at(Duration Delay, std::function<void()> What) {
  Agenda.emplace(Time + Delay, std::move(What));
}

Duration World::random(Duration From, Duration To) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      From.count(), To.count())(Engine));
}

bool World::chance(unsigned Percent) {
  return std::uniform_int_distribution<unsigned>(0, 99)(Engine) < Percent;
}

WallTime World::wall() const {
  return WallTime(Time.time_since_epoch() + std::chrono::hours(24 * 365 * 50));
}

void World::run(Duration Length) {
  const Instant End = Time + Length;
  while (!Agenda.empty() && Agenda.begin()->first <= End) {
    const auto First = Agenda.begin();
    Time = First->first;
    const std::function<void()> What = std::move(First->second);
    Agenda.erase(First);
    What();
  }
  Time = End;
}

bool World::runUntil(const std::function<bool()> &Reached, Duration Limit) {
  const Instant End = Time + Limit;
  while (Time < End) {
    run(1s);
    if (Reached()) {
      return true;
    }
  }
  return false;
}

void World::storeDown(Duration Length) { StoreDownUntil = Time + Length; }

void World::storeSlow(Duration Latency, Duration Length) {
  SlowLatency = Latency;
  StoreSlowUntil = Time + Length;
}

void World::loseAnswers(unsigned Percent, Duration Length) {
  LosePercent = Percent;
  LoseUntil = Time + Length;
}

void World::pauseController(unsigned Index, Duration Length) {
  Nodes[Index].PausedUntil = Time + Length;
  at(Length, [this, Index] {
    std::vector<FleetEvent> Late = std::move(Nodes[Index].Backlog);
    Nodes[Index].Backlog.clear();
    for (const FleetEvent &Event : Late) {
      deliver(Index, Event);
    }
  });
}

void World::crash(const HostName &Name, Duration Length) {
  Host &Target = Hosts.at(Name);
  bringDown(Target, Length);
  // Some workers forget over a crash that they were drained.
  Target.Draining = Target.Draining && chance(50);
}

void World::crashRack(const RackName &Rack, Duration Length) {
  for (auto &[Name, Target] : Hosts) {
    if (Target.Home.Rack == Rack) {
      crash(Name, Length);
    }
  }
}

void World::crashCentre(const DataCentreName &Centre, Duration Length) {
  for (auto &[Name, Target] : Hosts) {
    if (Target.Home.DataCentre == Centre) {
      crash(Name, Length);
    }
  }
}

void World::slowReboot(const HostName &Name, Duration Length) {
  Hosts.at(Name).NextReboot = Length;
}

void World::endSlowReboots() {
  for (auto &[Name, Target] : Hosts) {
    Target.NextReboot = Duration::zero();
  }
}

void World::deafenEntry(unsigned Index, Duration Length) {
  Entries[Index].DeafUntil = Time + Length;
}

void World::cutEntry(unsigned Index, Duration Length) {
  Entries[Index].CutUntil = Time + Length;
}

void World::remove(const HostName &Name) {
  Host &Target = Hosts.at(Name);
  Target.Up = false;
  Target.Removed = true;
}

void World::muteWorker(const HostName &Name, Duration Length) {
  Hosts.at(Name).MuteUntil = Time + Length;
}

void World::ask(unsigned Index, OperatorAsked Asked) {
  deliver(Index, FleetEvent(std::move(Asked)));
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
  Node &To = Nodes[Index];
  if (Time < To.PausedUntil) {
    if (!std::holds_alternative<FleetTick>(Event)) {
      To.Backlog.push_back(Event);
    }
    return;
  }
  carryOut(Index, To.Machine->handle(Event, Time, wall()));
}

void World::carryOut(unsigned Index, std::vector<FleetAction> Actions) {
  for (FleetAction &Action : Actions) {
    if (const auto *Submit = std::get_if<SubmitToStore>(&Action)) {
      submit(Index, *Submit);
    } else if (const auto *Give = std::get_if<GiveOrder>(&Action)) {
      const bool Lost = Time < LoseUntil && chance(LosePercent);
      const unsigned Generation = Nodes[Index].Generation;
      at(random(5ms, 100ms), [this, Index, Order = *Give, Lost, Generation] {
        absl::Status Done = obey(Order.Order);
        if (Lost) {
          Done = absl::DeadlineExceededError("lost");
        }
        if (Nodes[Index].Generation == Generation) {
          deliver(Index, OrderReplied{Order.Of, std::move(Done)});
        }
      });
    } else if (const auto *Ask = std::get_if<AskWorker>(&Action)) {
      at(random(1ms, 50ms),
         [this, Index, Name = Ask->Host] { report(Index, Name); });
    } else if (const auto *Answer = std::get_if<AnswerOperator>(&Action)) {
      Answers[Answer->Question] = Answer->Status;
    } else if (auto *Line = std::get_if<LogFleetDecision>(&Action)) {
      LogLines.push_back(std::move(*Line));
    }
  }
}

void World::tickControllers() {
  EntriesSeen Live;
  for (unsigned I = 0; I < Entries.size(); ++I) {
    if (Time >= Entries[I].CutUntil) {
      Live.Live.push_back(
          {EntryName(fmt::format("e{}", I)), Entries[I].Version});
    }
  }
  for (unsigned I = 0; I < Nodes.size(); ++I) {
    deliver(I, Live);
    if (!Wanted.Pools.empty()) {
      deliver(I, Wanted);
    }
    deliver(I, FleetTick());
  }
  at(FleetTickPeriod, [this] { tickControllers(); });
}

} // namespace balsamlatch::fleet::test
