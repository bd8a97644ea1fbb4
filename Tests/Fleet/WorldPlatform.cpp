/// \file
/// The fakes of the platform: store, leases, hosts, workers, listing; and the
/// entries that place tasks.

#include "World.h"

#include <fmt/format.h>

namespace balsamlatch::fleet::test {

using namespace std::chrono_literals;

void World::seedLedger() {
  Ledger Value;
  for (const auto &[Name, Target] : Hosts) {
    HostRecord Record = Target.Home;
    Record.StateVersion = 1;
    Record.LastMaintained = std::chrono::floor<std::chrono::seconds>(
        wall() - Settings.MaintainedAgo);
    Value.Hosts.emplace(Name, Record);
  }
  Stored = {1, encodeLedger(Value)};
  History.push_back({1, Value});
}

void World::bringDown(Host &Target, Duration Length) {
  const Instant Until = Time + Length;
  Target.Running = 0;
  Target.Up = false;
  Target.DownUntil = std::max(Target.DownUntil, Until);
  at(Length, [this, &Target] {
    if (!Target.Up && Time >= Target.DownUntil) {
      Target.Up = true;
      ++Target.BootCount;
    }
  });
}

void World::submit(unsigned Index, const SubmitToStore &Action) {
  if (Time < StoreDownUntil) {
    reply(random(1ms, 20ms), Index,
          StoreReplied{Action.Of, {absl::UnavailableError("down"), {}}});
    return;
  }
  const Duration Slow = Time < StoreSlowUntil ? SlowLatency : 5ms;
  const unsigned Generation = Nodes[Index].Generation;
  at(random(1ms, Slow), [this, Index, Action, Slow, Generation] {
    StoreReply Reply = apply(Action.Request);
    const bool Lost =
        Time < StoreDownUntil || (Time < LoseUntil && chance(LosePercent));
    if (Lost) {
      Reply = {absl::DeadlineExceededError("lost"), {}};
    }
    if (Nodes[Index].Generation == Generation) {
      reply(random(1ms, Slow), Index, StoreReplied{Action.Of, Reply});
    }
  });
}

StoreReply World::apply(const StoreRequest &Request) {
  if (const auto *Swap = std::get_if<StoreSwap>(&Request)) {
    return applySwap(*Swap);
  }
  if (const auto *Acquire = std::get_if<LeaseAcquire>(&Request)) {
    return applyLease(*Acquire);
  }
  return {absl::OkStatus(), Stored};
}

StoreReply World::applySwap(const StoreSwap &Swap) {
  ++Count.Swaps;
  if (Swap.ExpectedVersion != Stored.Version) {
    return {absl::AbortedError("version"), Stored};
  }
  // Versions of a key rise, but not by one.
  Stored.Version += static_cast<std::uint64_t>(random(1us, 3us).count());
  Stored.Value = Swap.Value;
  History.push_back({Stored.Version, decodeLedger(Stored.Value).value()});
  announce();
  return {absl::OkStatus(), Stored};
}

StoreReply World::applyLease(const LeaseAcquire &Acquire) {
  if (Time < LeaseUntil && LeaseHolderName != Acquire.Holder) {
    return {absl::AbortedError("held"), {1, LeaseHolderName}};
  }
  LeaseHolderName = Acquire.Holder;
  LeaseUntil = Time + Acquire.TimeToLive;
  return {absl::OkStatus(), {1, LeaseHolderName}};
}

void World::announce() {
  const StoreEntry Now = Stored;
  for (unsigned I = 0; I < Nodes.size(); ++I) {
    at(random(1ms, 300ms), [this, I, Now] {
      deliver(I, LedgerSeen{Now.Version, Now.Value});
    });
  }
}

absl::Status World::obey(const HostOrder &Order) {
  Host &Target = Hosts.at(Order.Host);
  if (Target.DoneOrders.contains(Order.Operation)) {
    return absl::OkStatus();
  }
  if (!Target.Up) {
    return absl::UnavailableError("the host is down");
  }
  switch (Order.Kind) {
  case HostOrderKind::Drain:
    Target.Draining = true;
    break;
  case HostOrderKind::Return:
    Target.Draining = false;
    break;
  case HostOrderKind::Reboot:
    Count.RebootsOutOfTurn += mayReboot(Order.Host) ? 0 : 1;
    if (absl::Status Refused = reboot(Target); !Refused.ok()) {
      return Refused;
    }
    break;
  case HostOrderKind::Assign:
    if (!Target.Draining || Target.Running > 0) {
      return absl::FailedPreconditionError("not drained");
    }
    Target.Home.Pool = Order.Pool;
    break;
  }
  Target.DoneOrders.insert(Order.Operation);
  return absl::OkStatus();
}

bool World::mayReboot(const HostName &Name) const {
  const HostState State = ledger().Hosts.at(Name).State;
  return State == HostState::InMaintenance || State == HostState::Failed;
}

absl::Status World::reboot(Host &Target) {
  if (Target.Running > 0) {
    ++Count.RebootsRefused;
    return absl::FailedPreconditionError("a task runs");
  }
  ++Count.Reboots;
  Count.RebootsUndrained += Target.Draining ? 0 : 1;
  const Duration Length = Target.NextReboot > Duration::zero()
                              ? Target.NextReboot
                              : Settings.RebootTime;
  Target.NextReboot = Duration::zero();
  bringDown(Target, Length);
  return absl::OkStatus();
}

void World::report(unsigned Index, const HostName &Name) {
  const Host &Target = Hosts.at(Name);
  if (Target.Removed) {
    return;
  }
  WorkerSeen Seen;
  Seen.Host = Name;
  if (!Target.Up || Time < Target.MuteUntil) {
    Seen.Status = absl::UnavailableError("no answer");
    at(1s, [this, Index, Seen] { deliver(Index, Seen); });
    return;
  }
  Seen.Report = {Target.Draining, Target.Running, 8, Target.BootCount, {}};
  at(random(1ms, 50ms), [this, Index, Seen] { deliver(Index, Seen); });
}

void World::tickEntries() {
  for (Entry &One : Entries) {
    const bool Hears =
        Time >= One.DeafUntil && Time >= One.CutUntil && Time >= StoreDownUntil;
    if (Hears && One.Version != Stored.Version) {
      One.Version = Stored.Version;
      One.View = History.back().Value;
    }
    if (Settings.Load) {
      placeTask(One);
    }
  }
  at(random(100ms, 300ms), [this] { tickEntries(); });
}

void World::placeTask(Entry &From) {
  if (From.View.Hosts.empty()) {
    return;
  }
  auto Chosen = From.View.Hosts.begin();
  std::advance(Chosen,
               random(0us, Duration(From.View.Hosts.size() - 1)).count());
  if (!Chosen->second.accepting()) {
    return;
  }
  const auto Present = ledger().Hosts.find(Chosen->first);
  const bool Hears = Time >= From.DeafUntil + 3s &&
                     Time >= From.CutUntil + 3s && Time >= StoreDownUntil + 3s;
  if (Hears && Present != ledger().Hosts.end() && Present->second.away() &&
      Present->second.State != HostState::Failed &&
      From.Version < Present->second.StateVersion && From.Version != 0) {
    ++Count.LateTasks;
  }
  Host &Worker = Hosts.at(Chosen->first);
  if (!Worker.Up || Worker.Draining || Worker.Running >= 8) {
    return;
  }
  ++Worker.Running;
  ++Count.TasksStarted;
  const std::uint64_t Boot = Worker.BootCount;
  at(random(50ms, Settings.LongestTask), [&Worker, Boot] {
    if (Worker.BootCount == Boot && Worker.Running > 0) {
      --Worker.Running;
    }
  });
}

void World::tickListing() {
  HostListing Listing;
  Listing.Generation =
      static_cast<std::uint64_t>(Time.time_since_epoch().count());
  for (const auto &[Name, Target] : Hosts) {
    if (Target.Removed) {
      continue;
    }
    Listing.Hosts.push_back({Name,
                             HostRole::Worker,
                             HostPresence::Live,
                             {},
                             Target.Home.Rack,
                             Target.Home.DataCentre,
                             Target.Home.Pool});
  }
  for (unsigned I = 0; I < Nodes.size(); ++I) {
    at(random(1s, 5s),
       [this, I, Listing] { deliver(I, ListingSeen{Listing}); });
  }
  at(10s, [this] { tickListing(); });
}

} // namespace balsamlatch::fleet::test
