/// \file
/// The public interface of the engine, and its handling of events about rules,
/// workers, entries and time.

#include "balsamlatch/Placement/Engine.h"

#include "EngineImpl.h"

#include <utility>

namespace balsamlatch::placement {

namespace {

constexpr Duration MaxEventGap = std::chrono::seconds(1);
/// Within this time, the events that queued up during a pause update the list
/// of workers.
constexpr Duration PlacementPause = std::chrono::seconds(1);

} // namespace

Engine::Impl::Impl(EngineOptions InitialOptions)
    : Options(std::move(InitialOptions)), Rng(Options.Seed) {
  LiveEntries.push_back(Options.Self);
}

std::vector<Action> Engine::Impl::handle(const Event &NewEvent,
                                         Instant EventTime) {
  detectPause(EventTime);
  Now = EventTime;
  fireTimers();
  std::visit([this](const auto &E) { handleEvent(E); }, NewEvent);
  schedulePools();
  return std::exchange(Actions, {});
}

/// Ticks arrive every TickPeriod, so a long gap between events means that this
/// process was paused.
void Engine::Impl::detectPause(Instant EventTime) {
  if (Now != Instant{} && EventTime - Now > MaxEventGap) {
    PlacementPausedUntil = EventTime + PlacementPause;
    logDecision(Options.Self.Text, Reason::Paused, 0,
                {{"paused_us", (EventTime - Now).count()}});
  }
}

PoolState &Engine::Impl::poolState(const PoolName &Name) {
  return Pools.try_emplace(Name, Name).first->second;
}

void Engine::Impl::logDecision(const std::string &Subject,
                               Reason DecisionReason, unsigned RuleLine,
                               boost::json::object Details) {
  Actions.push_back(
      LogDecision{Subject, DecisionReason, RuleLine, std::move(Details)});
}

void Engine::Impl::handleEvent(const RulesChanged &E) {
  Rules = E.Rules;
  for (const auto &[Name, Rule] : Rules->Pools) {
    poolState(Name);
    PoolsToSchedule.insert(Name);
  }
  SparePool = findSparePool(*Rules);
  for (auto &[Name, Pool] : Pools) {
    if (!SparePool.empty() && Name != SparePool && !Pool.SpareSlots) {
      Pool.SpareSlots.emplace(SparePool, Name);
    }
  }
  updateQuotas();
  updatePoolSizes();
  electSchedulers();
}

/// Each entry enforces an equal part of a quota, rounded up.
void Engine::Impl::updateQuotas() {
  if (Rules == nullptr) {
    return;
  }
  const auto Entries = static_cast<std::uint32_t>(liveEntryCount());
  for (const QuotaRule &Quota : Rules->Quotas) {
    poolState(Quota.Pool)
        .Queue.setQuota(Quota.Team, (Quota.Slots + Entries - 1) / Entries);
  }
}

void Engine::Impl::handleEvent(const WorkersChanged &E) {
  std::set<HostName> RemovedHosts;
  for (const auto &[Name, Pool] : Pools) {
    for (const WorkerState *Worker : Workers.members(Name)) {
      RemovedHosts.insert(Worker->View.Host);
    }
  }
  Workers.replace(E.Workers, Now);
  for (const WorkerView &View : E.Workers) {
    RemovedHosts.erase(View.Host);
    poolState(View.Pool);
  }
  for (const HostName &Host : RemovedHosts) {
    Health.removeWorker(Host);
  }
  updatePoolSizes();
  electSchedulers();
}

void Engine::Impl::updatePoolSizes() {
  for (auto &[Name, Pool] : Pools) {
    const auto Slots = static_cast<std::uint32_t>(Workers.slots(Name));
    Pool.Queue.setSlots(
        std::max(1U, Slots / static_cast<std::uint32_t>(liveEntryCount())));
    Health.setPoolSize(Name, Workers.acceptingCount(Name));
    PoolsToSchedule.insert(Name);
  }
}

void Engine::Impl::handleEvent(const WorkerReported &E) {
  for (const TaskUsage &Usage : E.Report.Running) {
    Statistics.recordUsage(Usage);
  }
}

void Engine::Impl::handleEvent(const EntriesChanged &E) {
  LiveEntries = E.LiveEntries;
  updateQuotas();
  updatePoolSizes();
  electSchedulers();
}

void Engine::Impl::handleEvent(const Tick & /*E*/) {
  for (auto &[Name, Pool] : Pools) {
    const bool HoldsSpareSlots = Pool.SpareSlots && !Pool.SpareSlots->isIdle();
    if (!Pool.Queue.empty() || !Pool.OwnSlots.isIdle() || HoldsSpareSlots) {
      PoolsToSchedule.insert(Name);
    }
  }
  for (auto &[Name, Scheduler] : Schedulers) {
    deliverGrants(Scheduler.tick(Now));
  }
}

void Engine::Impl::handleEvent(const StopRequested & /*E*/) {
  IsStopping = true;
}

void Engine::Impl::fireTimers() {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const auto [Expiry, Key] = *Timers.begin();
    OpenRequest &Req = Requests.at(Key);
    if (Req.Deadline <= Now) {
      expireRequest(Req);
      continue;
    }
    clearTimer(Req);
    if (Req.Phase == RequestPhase::BackingOff) {
      enqueue(Req);
    } else if (Req.Phase == RequestPhase::Running) {
      queueHedge(Req);
    }
  }
}

std::size_t Engine::Impl::liveEntryCount() const {
  return std::max<std::size_t>(1, LiveEntries.size());
}

Engine::Engine(EngineOptions Options)
    : Implementation(std::make_unique<Impl>(std::move(Options))) {}
Engine::~Engine() = default;
Engine::Engine(Engine &&) noexcept = default;
Engine &Engine::operator=(Engine &&) noexcept = default;

std::vector<Action> Engine::handle(const Event &NewEvent, Instant Now) {
  return Implementation->handle(NewEvent, Now);
}

const EngineCounters &Engine::counters() const {
  return Implementation->Counters;
}

std::vector<PoolStatus> Engine::poolStatuses() const {
  std::vector<PoolStatus> Standings;
  for (const auto &[Name, Pool] : Implementation->Pools) {
    Standings.push_back({Name, Pool.Queue.promptCount(),
                         Pool.Queue.patientCount(),
                         Implementation->Workers.slotsInUse(Name),
                         Implementation->Workers.slots(Name),
                         Implementation->Workers.ejectedCount(Name)});
  }
  return Standings;
}

std::size_t Engine::openRequests() const {
  return Implementation->Requests.size();
}
std::size_t Engine::openAttempts() const {
  return Implementation->Attempts.size();
}

} // namespace balsamlatch::placement
