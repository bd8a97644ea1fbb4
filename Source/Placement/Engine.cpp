/// \file
/// The engine's face, and the events about rules, workers, entries and time.

#include "balsamlatch/Placement/Engine.h"

#include "EngineImpl.h"

#include <utility>

namespace balsamlatch::placement {

namespace {

constexpr Duration LongestGap = std::chrono::seconds(1);
/// Within this time the events that waited bring the view up to date.
constexpr Duration HoldAfterPause = std::chrono::seconds(1);

} // namespace

Engine::Impl::Impl(EngineOptions Given)
    : Options(std::move(Given)), Rng(Options.Seed) {
  Live.push_back(Options.Self);
}

std::vector<Action> Engine::Impl::handle(const Event &Happened, Instant At) {
  noticePause(At);
  Now = At;
  expire();
  std::visit([this](const auto &E) { on(E); }, Happened);
  pumpAll();
  return std::exchange(Out, {});
}

/// Ticks come every TickPeriod, so a long gap is a pause of this process.
void Engine::Impl::noticePause(Instant At) {
  if (Now != Instant{} && At - Now > LongestGap) {
    HoldUntil = At + HoldAfterPause;
    log(Options.Self.Text, Reason::Paused, 0,
        {{"paused_us", (At - Now).count()}});
  }
}

PoolState &Engine::Impl::pool(const PoolName &Name) {
  return Pools.try_emplace(Name, Name).first->second;
}

void Engine::Impl::log(const std::string &Subject, Reason Why,
                       unsigned RuleLine, boost::json::object Details) {
  Out.push_back(LogDecision{Subject, Why, RuleLine, std::move(Details)});
}

void Engine::Impl::on(const RulesChanged &E) {
  Rules = E.Rules;
  for (const auto &[Name, Rule] : Rules->Pools) {
    pool(Name);
    Dirty.insert(Name);
  }
  SparePool = sparePoolOf(*Rules);
  for (auto &[Name, P] : Pools) {
    if (!SparePool.empty() && Name != SparePool && !P.Spare) {
      P.Spare.emplace(SparePool, Name);
    }
  }
  applyQuotas();
  applyWorkers();
  electSchedulers();
}

/// Each entry enforces its equal part of a quota.
void Engine::Impl::applyQuotas() {
  if (Rules == nullptr) {
    return;
  }
  const auto Entries = static_cast<std::uint32_t>(liveEntries());
  for (const QuotaRule &Quota : Rules->Quotas) {
    pool(Quota.Pool)
        .Queue.setQuota(Quota.Team, (Quota.Slots + Entries - 1) / Entries);
  }
}

void Engine::Impl::on(const WorkersChanged &E) {
  std::set<HostName> Gone;
  for (const auto &[Name, P] : Pools) {
    for (const WorkerState *Worker : Workers.members(Name)) {
      Gone.insert(Worker->View.Host);
    }
  }
  Workers.replace(E.Workers, Now);
  for (const WorkerView &View : E.Workers) {
    Gone.erase(View.Host);
    pool(View.Pool);
  }
  for (const HostName &Host : Gone) {
    Health.removeWorker(Host);
  }
  applyWorkers();
  electSchedulers();
}

void Engine::Impl::applyWorkers() {
  for (auto &[Name, P] : Pools) {
    const auto Slots = static_cast<std::uint32_t>(Workers.slots(Name));
    P.Queue.setSlots(
        std::max(1U, Slots / static_cast<std::uint32_t>(liveEntries())));
    Health.setPoolSize(Name, Workers.acceptingCount(Name));
    Dirty.insert(Name);
  }
}

void Engine::Impl::on(const WorkerReported &E) {
  for (const TaskUsage &Usage : E.Report.Running) {
    Sizes.recordUsage(Usage);
  }
}

void Engine::Impl::on(const EntriesChanged &E) {
  Live = E.Live;
  applyQuotas();
  applyWorkers();
  electSchedulers();
}

void Engine::Impl::on(const Tick & /*E*/) {
  for (auto &[Name, P] : Pools) {
    const bool Spilled = P.Spare && !P.Spare->isIdle();
    if (!P.Queue.empty() || !P.Own.isIdle() || Spilled) {
      Dirty.insert(Name);
    }
  }
  for (auto &[Name, Scheduler] : Schedulers) {
    deliver(Scheduler.tick(Now));
  }
}

void Engine::Impl::on(const StopRequested & /*E*/) { Stopping = true; }

void Engine::Impl::expire() {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const auto [At, Key] = *Timers.begin();
    OpenRequest &R = Requests.at(Key);
    if (R.Deadline <= Now) {
      passDeadline(R);
      continue;
    }
    clearTimer(R);
    if (R.At == Phase::BackingOff) {
      enqueue(R);
    } else if (R.At == Phase::Running) {
      hedge(R);
    }
  }
}

std::size_t Engine::Impl::liveEntries() const {
  return std::max<std::size_t>(1, Live.size());
}

Engine::Engine(EngineOptions Options)
    : Self(std::make_unique<Impl>(std::move(Options))) {}
Engine::~Engine() = default;
Engine::Engine(Engine &&) noexcept = default;
Engine &Engine::operator=(Engine &&) noexcept = default;

std::vector<Action> Engine::handle(const Event &Happened, Instant Now) {
  return Self->handle(Happened, Now);
}

const EngineCounters &Engine::counters() const { return Self->Counters; }

std::vector<PoolStanding> Engine::standings() const {
  std::vector<PoolStanding> All;
  for (const auto &[Name, P] : Self->Pools) {
    All.push_back({Name, P.Queue.promptCount(), P.Queue.patientCount(),
                   Self->Workers.slotsInUse(Name), Self->Workers.slots(Name),
                   Self->Workers.ejectedCount(Name)});
  }
  return All;
}

std::size_t Engine::openRequests() const { return Self->Requests.size(); }
std::size_t Engine::openAttempts() const { return Self->Attempts.size(); }

} // namespace balsamlatch::placement
