/// \file
/// Histories with faults of entries, workers and leaders, one after another and
/// at once, each followed by a calm time in which everything must run again.

#define BOOST_TEST_MODULE CarrierLiveness
#include "LivenessChecker.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::control;
using namespace balsamlatch::control::test;
using namespace std::chrono_literals;

namespace {

using Entry = CarrierSimulation::Entry;

bool chance(CarrierSimulation &Sim, unsigned Percent) {
  return Sim.Random() % 100 < Percent;
}

Duration randomDuration(CarrierSimulation &Sim, unsigned MaxMilliseconds) {
  return std::chrono::milliseconds(Sim.Random() % MaxMilliseconds);
}

jobs::JobSpec longRunningJob(unsigned Tasks, Duration TailObjective) {
  jobs::JobSpec Spec = dispatch::test::simpleJob(Tasks);
  Spec.Steps.front().LongRunning = true;
  Spec.Steps.front().TailObjective = TailObjective;
  return Spec;
}

/// Work that is paced next to tasks with a tail objective.
jobs::JobSpec fillerJob(unsigned Tasks, bool IsLongRunning) {
  jobs::JobSpec Spec = dispatch::test::simpleJob(Tasks);
  Spec.Text = "filler";
  Spec.Steps.front().BestEffort = true;
  Spec.Steps.front().LongRunning = IsLongRunning;
  return Spec;
}

void injectEntryFault(CarrierSimulation &Sim) {
  if (Sim.Entries.empty()) {
    return;
  }
  const unsigned Index = Sim.Random() % Sim.Entries.size();
  Entry &Affected = Sim.Entries[Index];
  switch (Sim.Random() % 10) {
  case 0:
    Affected.IsPaused = !Affected.IsPaused;
    break;
  case 1:
    Affected.IsCutFromLeader = !Affected.IsCutFromLeader;
    break;
  case 2:
    Affected.IsCutFromWorkers = !Affected.IsCutFromWorkers;
    break;
  case 3:
    Affected.AreRepliesCut = !Affected.AreRepliesCut;
    break;
  case 4:
    Affected.ExtraDelay = randomDuration(Sim, 700);
    break;
  case 5:
    Affected.IsDown = !Affected.IsDown;
    break;
  case 6:
    Sim.restartEntry(Index);
    break;
  case 7:
    Sim.leaveEntry(Index);
    break;
  case 8: // started again at another address
    ++Affected.Record.Port;
    Sim.restartEntry(Index);
    Sim.updateEntries();
    break;
  default:
    Affected.IsRegistered = !Affected.IsRegistered;
    Affected.IsDown = !Affected.IsRegistered;
    Sim.updateEntries();
    break;
  }
}

void injectWorkerFault(CarrierSimulation &Sim) {
  FakeWorker &Worker = Sim.Workers[Sim.Random() % Sim.Workers.size()];
  switch (Sim.Random() % 6) {
  case 0:
    Worker.IsDown = !Worker.IsDown && !Worker.HasCrashed;
    break;
  case 1:
    Sim.crashWorker(Worker);
    Worker.IsDown = false;
    break;
  case 2:
    Sim.endWorker(Worker);
    break;
  case 3:
    Sim.Unregistered.insert(Worker.Record.Instance.Id);
    break;
  case 4:
    Sim.OrderDelay = [&Sim] {
      return chance(Sim, 3) ? randomDuration(Sim, 3000) : Duration::zero();
    };
    break;
  default:
    Sim.LosesReply = [&Sim] { return chance(Sim, 15); };
    break;
  }
}

void injectLeaderFault(CarrierSimulation &Sim) {
  switch (Sim.Random() % 5) {
  case 0:
  case 1: {
    const bool IsPaused = chance(Sim, 50);
    Sim.changeLeader(100ms + randomDuration(Sim, 4000), IsPaused);
    break;
  }
  case 2:
    Sim.pauseLeader(50ms + randomDuration(Sim, 650));
    break;
  case 3:
    Sim.JournalUnavailable = !Sim.JournalUnavailable;
    break;
  default:
    if (!Sim.Entries.empty()) {
      Sim.setShownWorkers(chance(Sim, 30) ? 100 : 150 + Sim.Random() % 1000);
    }
    break;
  }
}

void injectFault(CarrierSimulation &Sim) {
  switch (Sim.Random() % 9) {
  case 0:
  case 1:
  case 2:
  case 3:
    injectEntryFault(Sim);
    break;
  case 4:
  case 5:
  case 6:
    injectWorkerFault(Sim);
    break;
  default:
    injectLeaderFault(Sim);
    break;
  }
}

void endFaults(CarrierSimulation &Sim) {
  Sim.LosesReply = nullptr;
  Sim.OrderDelay = nullptr;
  Sim.JournalUnavailable = false;
  Sim.Unregistered.clear();
  for (unsigned Index = 0; Index < Sim.Entries.size(); ++Index) {
    Entry &Each = Sim.Entries[Index];
    Each.IsPaused = false;
    Each.IsCutFromLeader = false;
    Each.IsCutFromWorkers = false;
    Each.AreRepliesCut = false;
    Each.ExtraDelay = {};
    Each.IsDown = false;
    Each.IsRegistered = true;
    if (Each.IsLeaving) {
      Sim.restartEntry(Index);
    }
  }
  Sim.updateEntries();
  for (FakeWorker &Worker : Sim.Workers) {
    if (Worker.IsDown || Worker.HasCrashed) {
      Sim.reviveWorker(Worker);
    }
  }
}

/// In some calm times an entry is gone.
void loseEntry(CarrierSimulation &Sim) {
  if (Sim.Entries.empty() || !chance(Sim, 30)) {
    return;
  }
  Entry &Lost = Sim.Entries[Sim.Random() % Sim.Entries.size()];
  switch (Sim.Random() % 3) {
  case 0:
    Lost.IsDown = true;
    break;
  case 1:
    Lost.IsPaused = true;
    break;
  default:
    Lost.IsCutFromLeader = true;
    break;
  }
}

/// In some calm times a worker is gone, as host lists show.
void loseWorker(CarrierSimulation &Sim) {
  if (Sim.HostListDelay && chance(Sim, 30)) {
    Sim.endWorker(Sim.Workers[Sim.Random() % Sim.Workers.size()]);
  }
}

/// A history of a fleet.
class LivenessHistory {
public:
  LivenessHistory(std::uint64_t HistorySeed, unsigned WorkerCount,
                  unsigned EntryCount)
      : Seed(HistorySeed), Sim(WorkerCount, EntryCount, HistorySeed) {
    if (WorkerCount > 100) {
      Sim.setShownWorkers(WorkerCount);
    }
    if (Seed % 5 < 3) {
      Sim.HostListDelay = [this] { return 20ms + randomDuration(Sim, 900); };
    }
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.StopDuration = Seed % 3 == 0 ? 300ms : 0ms;
      Worker.MaxListedEnds = Seed % 4 == 1 ? 2 : 500;
      Worker.TailLatency = [](unsigned Pace) { return Pace > 120 ? 300 : 50; };
    }
  }

  void run(unsigned Rounds) {
    submitLongRunning();
    Sim.submit("filler", fillerJob(3, true));
    Sim.run(1s);
    for (unsigned Round = 0; Round < Rounds; ++Round) {
      disturb(Seed % 2 == 0 ? 1 : 12);
      calm(Round + 1 == Rounds);
    }
  }

private:
  void submitLongRunning() {
    const std::string Id = fmt::format("s{}", ++LongRunningJobs);
    Sim.submit(Id, longRunningJob(1 + Sim.Random() % 4,
                                  chance(Sim, 50) ? 100ms : 0ms));
  }

  void submitBatch() {
    const std::string Id = fmt::format("b{}", ++BatchJobs);
    if (chance(Sim, 20)) {
      Sim.submit(Id, fillerJob(1 + Sim.Random() % 4, false));
    } else {
      Sim.submit(Id, dispatch::test::simpleJob(1 + Sim.Random() % 16,
                                               1 + Sim.Random() % 3));
    }
    if (chance(Sim, 10)) {
      Sim.cancel(Id);
    }
  }

  /// Faults that overlap, or with 1 at a time, one after another.
  void disturb(unsigned MaxOverlapping) {
    unsigned Overlapping = 0;
    const unsigned Faults = 4 + Sim.Random() % 12;
    for (unsigned Number = 0; Number < Faults; ++Number) {
      submitBatch();
      if (LongRunningJobs < 5 && chance(Sim, 10)) {
        submitLongRunning();
      }
      injectFault(Sim);
      // Some faults come while orders are on their way.
      Sim.run(chance(Sim, 40) ? 5ms + randomDuration(Sim, 40)
                              : 100ms + randomDuration(Sim, 1500));
      if (++Overlapping >= MaxOverlapping || chance(Sim, 15)) {
        endFaults(Sim);
        Overlapping = 0;
        Sim.run(randomDuration(Sim, 300));
      }
      for (const std::string &Violation : checkClaims(Sim)) {
        BOOST_ERROR("seed " << Seed << ": " << Violation);
      }
    }
    endFaults(Sim);
    loseEntry(Sim);
    loseWorker(Sim);
  }

  void calm(bool IsLast) {
    // The leader's pause and the orders under way belong to the faults.
    Sim.run(700ms);
    LivenessChecker Checker(Sim);
    const auto RunChecked = [&](Duration Length) {
      for (Duration Elapsed{}; Elapsed < Length; Elapsed += 50ms) {
        Sim.run(50ms);
        Checker.check();
      }
    };
    RunChecked(8s);
    Checker.watchCarriers();
    RunChecked(2s);
    Checker.checkCarriers();
    for (const std::string &Violation : Checker.violations()) {
      BOOST_ERROR("seed " << Seed << ": " << Violation);
    }
    if (IsLast) {
      Sim.run(30s);
      checkEnd();
    }
  }

  void checkEnd() {
    for (const std::string &Violation : Sim.violations()) {
      BOOST_ERROR("seed " << Seed << ": " << Violation);
    }
    for (const auto &[Id, Job] : Sim.Table.jobs()) {
      BOOST_TEST((!Job.isOpen() || Job.spec().hasLongRunningStep()),
                 "seed " << Seed << ": " << Id.Text << " never ends");
    }
  }

  const std::uint64_t Seed;
  CarrierSimulation Sim;
  unsigned LongRunningJobs = 0;
  unsigned BatchJobs = 0;
};

/// First seed and number of histories, for longer runs by hand.
std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

void runHistories(unsigned WorkerCount, unsigned EntryCount, unsigned Rounds,
                  std::uint64_t Count) {
  const std::uint64_t First = setting("BALSAMLATCH_SEED", 1);
  const std::uint64_t End = First + setting("BALSAMLATCH_HISTORIES", Count);
  for (std::uint64_t Seed = First; Seed < End; ++Seed) {
    LivenessHistory(Seed, WorkerCount, EntryCount).run(Rounds);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(EverythingRunsAgainWithCarriers) {
  runHistories(5, 3, 3, 50);
}

BOOST_AUTO_TEST_CASE(EverythingRunsAgainWithoutCarriers) {
  runHistories(5, 0, 3, 25);
}

BOOST_AUTO_TEST_CASE(EverythingRunsAgainInALargeFleet) {
  runHistories(140, 3, 2, 2);
}
