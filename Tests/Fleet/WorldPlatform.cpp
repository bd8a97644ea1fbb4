/// \file
/// The simulated platform: store, lease, hosts, workers and host list; and the
/// entries that place tasks.

#include "World.h"

#include <fmt/format.h>

namespace balsamlatch::fleet::test {

using namespace std::chrono_literals;

void World::seedLedger() {
  Ledger Value;
  for (const auto &[Name, Target] : Hosts) {
    HostRecord Record = Target.PlatformRecord;
    Record.StateVersion = 1;
    Record.LastMaintained = std::chrono::floor<std::chrono::seconds>(
        wall() - Settings.MaintainedAgo);
    Value.Hosts.emplace(Name, Record);
  }
  StoredLedger = {1, encodeLedger(Value)};
  History.push_back({1, Value});
}

void World::bringDown(Host &Target, Duration Length) {
  const Instant EndTime = Time + Length;
  Target.Running = 0;
  Target.IsUp = false;
  Target.DownUntil = std::max(Target.DownUntil, EndTime);
  schedule(Length, [this, &Target] {
    if (!Target.IsUp && Time >= Target.DownUntil) {
      Target.IsUp = true;
      ++Target.BootCount;
    }
  });
}

void World::submit(unsigned Index, const SendStoreRequest &Action) {
  if (Time < StoreDownUntil) {
    reply(random(1ms, 20ms), Index,
          StoreReplied{Action.Of, {absl::UnavailableError("down"), {}}});
    return;
  }
  const Duration MaxLatency = Time < StoreSlowUntil ? SlowStoreLatency : 5ms;
  const unsigned Generation = Nodes[Index].Generation;
  schedule(
      random(1ms, MaxLatency), [this, Index, Action, MaxLatency, Generation] {
        StoreReply Reply = apply(Action.Request);
        const bool ReplyLost =
            Time < StoreDownUntil ||
            (Time < LoseRepliesUntil && randomChance(LostReplyPercent));
        if (ReplyLost) {
          Reply = {absl::DeadlineExceededError("lost"), {}};
        }
        if (Nodes[Index].Generation == Generation) {
          reply(random(1ms, MaxLatency), Index, StoreReplied{Action.Of, Reply});
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
  return {absl::OkStatus(), StoredLedger};
}

StoreReply World::applySwap(const StoreSwap &Swap) {
  ++RunCounts.Swaps;
  if (Swap.ExpectedVersion != StoredLedger.Version) {
    return {absl::AbortedError("version"), StoredLedger};
  }
  // A key's versions increase, but not always by one.
  StoredLedger.Version += static_cast<std::uint64_t>(random(1us, 3us).count());
  StoredLedger.Value = Swap.Value;
  History.push_back(
      {StoredLedger.Version, decodeLedger(StoredLedger.Value).value()});
  publishLedger();
  return {absl::OkStatus(), StoredLedger};
}

StoreReply World::applyLease(const LeaseAcquire &Acquire) {
  if (Time < LeaseUntil && LeaseHolderName != Acquire.Holder) {
    return {absl::AbortedError("held"), {1, LeaseHolderName}};
  }
  LeaseHolderName = Acquire.Holder;
  LeaseUntil = Time + Acquire.TimeToLive;
  return {absl::OkStatus(), {1, LeaseHolderName}};
}

void World::publishLedger() {
  const StoreEntry Published = StoredLedger;
  for (unsigned I = 0; I < Nodes.size(); ++I) {
    schedule(random(1ms, 300ms), [this, I, Published] {
      deliver(I, LedgerReceived{Published.Version, Published.Value});
    });
  }
}

absl::Status World::executeOrder(const HostOrder &Order) {
  Host &Target = Hosts.at(Order.Host);
  if (Target.CompletedOrders.contains(Order.Operation)) {
    return absl::OkStatus();
  }
  if (!Target.IsUp) {
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
    RunCounts.UnplannedReboots += mayReboot(Order.Host) ? 0 : 1;
    if (absl::Status RebootStatus = rebootHost(Target); !RebootStatus.ok()) {
      return RebootStatus;
    }
    break;
  case HostOrderKind::Assign:
    if (!Target.Draining || Target.Running > 0) {
      return absl::FailedPreconditionError("not drained");
    }
    Target.PlatformRecord.Pool = Order.Pool;
    break;
  }
  Target.CompletedOrders.insert(Order.Operation);
  return absl::OkStatus();
}

bool World::mayReboot(const HostName &Name) const {
  const HostState State = ledger().Hosts.at(Name).State;
  return State == HostState::InMaintenance || State == HostState::Failed;
}

absl::Status World::rebootHost(Host &Target) {
  if (Target.Running > 0) {
    ++RunCounts.RebootsRefused;
    return absl::FailedPreconditionError("a task runs");
  }
  ++RunCounts.Reboots;
  RunCounts.UndrainedReboots += Target.Draining ? 0 : 1;
  const Duration Length = Target.NextRebootTime > Duration::zero()
                              ? Target.NextRebootTime
                              : Settings.RebootTime;
  Target.NextRebootTime = Duration::zero();
  bringDown(Target, Length);
  return absl::OkStatus();
}

void World::report(unsigned Index, const HostName &Name) {
  const Host &Target = Hosts.at(Name);
  if (Target.IsRemoved) {
    return;
  }
  WorkerReportReceived Event;
  Event.Host = Name;
  if (!Target.IsUp || Time < Target.ReportsBlockedUntil) {
    Event.Status = absl::UnavailableError("no answer");
    schedule(1s, [this, Index, Event] { deliver(Index, Event); });
    return;
  }
  Event.Report = {Target.Draining, Target.Running, 8, Target.BootCount, {}};
  schedule(random(1ms, 50ms), [this, Index, Event] { deliver(Index, Event); });
}

void World::tickEntries() {
  for (Entry &CurrentEntry : Entries) {
    const bool ReceivesLedger = Time >= CurrentEntry.UpdatesBlockedUntil &&
                                Time >= CurrentEntry.DisconnectedUntil &&
                                Time >= StoreDownUntil;
    if (ReceivesLedger && CurrentEntry.Version != StoredLedger.Version) {
      CurrentEntry.Version = StoredLedger.Version;
      CurrentEntry.View = History.back().Value;
    }
    if (Settings.PlacesTasks) {
      placeTask(CurrentEntry);
    }
  }
  schedule(random(100ms, 300ms), [this] { tickEntries(); });
}

void World::placeTask(Entry &SourceEntry) {
  if (SourceEntry.View.Hosts.empty()) {
    return;
  }
  auto Target = SourceEntry.View.Hosts.begin();
  std::advance(
      Target, random(0us, Duration(SourceEntry.View.Hosts.size() - 1)).count());
  if (!Target->second.accepting()) {
    return;
  }
  const auto CurrentRecord = ledger().Hosts.find(Target->first);
  const bool ReceivesLedger = Time >= SourceEntry.UpdatesBlockedUntil + 3s &&
                              Time >= SourceEntry.DisconnectedUntil + 3s &&
                              Time >= StoreDownUntil + 3s;
  if (ReceivesLedger && CurrentRecord != ledger().Hosts.end() &&
      CurrentRecord->second.away() &&
      CurrentRecord->second.State != HostState::Failed &&
      SourceEntry.Version < CurrentRecord->second.StateVersion &&
      SourceEntry.Version != 0) {
    ++RunCounts.MisplacedTasks;
  }
  Host &Worker = Hosts.at(Target->first);
  if (!Worker.IsUp || Worker.Draining || Worker.Running >= 8) {
    return;
  }
  ++Worker.Running;
  ++RunCounts.TasksStarted;
  const std::uint64_t Boot = Worker.BootCount;
  schedule(random(50ms, Settings.LongestTask), [&Worker, Boot] {
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
    if (Target.IsRemoved) {
      continue;
    }
    Listing.Hosts.push_back({Name,
                             HostRole::Worker,
                             HostPresence::Live,
                             {},
                             Target.PlatformRecord.Rack,
                             Target.PlatformRecord.DataCentre,
                             Target.PlatformRecord.Pool});
  }
  for (unsigned I = 0; I < Nodes.size(); ++I) {
    schedule(random(1s, 5s),
             [this, I, Listing] { deliver(I, HostListingReceived{Listing}); });
  }
  schedule(10s, [this] { tickListing(); });
}

} // namespace balsamlatch::fleet::test
