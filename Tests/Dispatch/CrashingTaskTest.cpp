/// \file
/// Tests with tasks that crash the workers that start them.

#define BOOST_TEST_MODULE CrashingTask
#include "Simulation.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

/// The first task of the job "deadly" crashes its workers.
void addDeadlyJob(Simulation &Sim, jobs::JobSpec Spec) {
  Sim.CrashesWorker = [](const TaskRef &Task) {
    return Task.Job == JobId("deadly") && Task.Index == 0;
  };
  Sim.submit("deadly", std::move(Spec));
}

unsigned countCrashes(const Simulation &Sim) {
  return static_cast<unsigned>(
      std::count_if(Sim.Observed.Runs.begin(), Sim.Observed.Runs.end(),
                    [](const RunTrace &Run) { return Run.CrashedWorker; }));
}

unsigned countStartsOfTask(const Simulation &Sim, const std::string &Id,
                           unsigned Index) {
  return static_cast<unsigned>(std::count_if(
      Sim.Observed.Runs.begin(), Sim.Observed.Runs.end(),
      [&](const RunTrace &Run) {
        return Run.Task.Job == JobId(Id) && Run.Task.Index == Index;
      }));
}

} // namespace

// A deadly task was started without limit and took down worker after worker.
BOOST_AUTO_TEST_CASE(ATaskThatCrashesItsWorkersIsGivenUp) {
  Simulation Sim(5);
  addDeadlyJob(Sim, simpleJob(3));
  Sim.run(30s);
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST(countCrashes(Sim) >= 2);
  BOOST_TEST(countCrashes(Sim) <= 3);
  BOOST_TEST(Sim.violations().empty());
}

// A task that crashed its workers some time after its start was started without
// limit, since a run that had survived its start counted as innocent.
BOOST_AUTO_TEST_CASE(ATaskThatCrashesItsWorkersLaterIsGivenUp) {
  for (const Duration Delay : {150ms, 300ms, 1000ms, 1900ms, 5000ms, 11000ms}) {
    for (const Duration DownTime : {1s, 3s, 6s}) {
      Simulation Sim(9);
      for (FakeWorker &Worker : Sim.Workers) {
        Worker.RunDuration = Delay + 100ms;
      }
      Sim.CrashDelay = [Delay](const TaskRef &) { return Delay; };
      Sim.CrashDownTime = DownTime;
      addDeadlyJob(Sim, simpleJob(1));
      Sim.run(6 * Delay + 60s);
      BOOST_TEST_CONTEXT("after " << toMilliseconds(Delay) << " ms, down for "
                                  << toMilliseconds(DownTime) << " ms") {
        BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
        BOOST_TEST(countCrashes(Sim) <= 5U);
        BOOST_TEST(Sim.violations().empty());
      }
    }
  }
}

// The same for a task that would run until its job is cancelled.
BOOST_AUTO_TEST_CASE(ALongRunningTaskThatCrashesItsWorkersLaterIsGivenUp) {
  for (const Duration Delay : {150ms, 300ms, 3000ms, 8000ms, 15000ms}) {
    Simulation Sim(9);
    Sim.CrashDelay = [Delay](const TaskRef &) { return Delay; };
    addDeadlyJob(Sim, longRunningJob(1));
    Sim.run(6 * Delay + 60s);
    BOOST_TEST_CONTEXT("after " << toMilliseconds(Delay) << " ms") {
      BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
      BOOST_TEST(countCrashes(Sim) <= 5U);
      BOOST_TEST(Sim.violations().empty());
    }
  }
}

// The same where the time to the crash differs from start to start, several
// tasks crash their workers, and the leader changes.
BOOST_AUTO_TEST_CASE(TasksThatCrashTheirWorkersAtAnyTimeAreGivenUp) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    Simulation Sim(9, Seed);
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.RunDuration = 2s;
    }
    Sim.CrashDelay = [&Sim](const TaskRef &) {
      return std::chrono::milliseconds(
          std::uniform_int_distribution<int>(5, 1950)(Sim.Random));
    };
    Sim.CrashesWorker = [](const TaskRef &Task) {
      return Task.Job == JobId("deadly") && Task.Index < 3;
    };
    Sim.submit("neighbour", simpleJob(20, 3));
    Sim.submit("deadly", simpleJob(6));
    for (unsigned Term = 0; Term < 10; ++Term) {
      Sim.run(8s);
      if (Seed % 2 == 0) {
        Sim.startNewTerm();
      }
    }
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
      BOOST_TEST(
          (Sim.job("neighbour").Record.State == jobs::JobState::Completed));
      BOOST_TEST(Sim.violations().empty());
    }
  }
}

// A run that was stopped before it could crash its worker cleared its task.
BOOST_AUTO_TEST_CASE(AStoppedRunDoesNotClearATaskThatCrashesItsWorkersLater) {
  Simulation Sim(9);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RunDuration = 2s;
  }
  Sim.CrashDelay = [](const TaskRef &) { return 1s; };
  addDeadlyJob(Sim, simpleJob(1));
  const TaskRef Task{JobId("deadly"), 0, 0, 0};
  for (unsigned Turn = 0; Turn < 600; ++Turn) {
    Sim.run(100ms);
    const jobs::TaskRecord *Record = Sim.job("deadly").find(Task);
    // Every second run is stopped after some 500 ms.
    if (Record != nullptr && Record->Run % 2 == 0 && Turn % 5 == 0 &&
        Record->Phase == jobs::TaskPhase::Placed) {
      Sim.JobDispatcher->moveRun(Record->Worker.Id, Task, "test");
    }
  }
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST(countCrashes(Sim) <= 4U);
}

// Crashes that come by themselves, now and then, must not end a task that runs
// until its job is cancelled.
BOOST_AUTO_TEST_CASE(ALongRunningTaskIsNotGivenUpForCrashesFarApart) {
  Simulation Sim(8);
  Sim.submit("long", longRunningJob(5));
  for (unsigned Crash = 0; Crash < 48; ++Crash) {
    Sim.run(4s);
    FakeWorker &Worker = Sim.Workers[Crash % 8];
    Worker.endAll(Sim.Time.now(), Sim.Observed);
    Worker.HasCrashed = true;
    Sim.run(1s);
    Worker.crash(Sim.Time.now(), Sim.Observed);
  }
  BOOST_TEST((Sim.job("long").Record.State == jobs::JobState::Running));
}

// The crashes of workers that no host list had shown yet didn't count, and a
// deadly task took down worker after worker.
BOOST_AUTO_TEST_CASE(ACrashingTaskIsGivenUpOnWorkersThatWereNeverListed) {
  Simulation Sim(8);
  Sim.CrashDownTime = 1h;
  Sim.run(3s);
  addDeadlyJob(Sim, simpleJob(1));
  for (int Round = 0; Round < 120; ++Round) {
    Sim.run(250ms);
    Sim.JobDispatcher->setHostedWorkers({}, Sim.Time.now());
  }
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST(countCrashes(Sim) <= 3);
  BOOST_TEST(Sim.violations().empty());
}

// The tasks beside a deadly task were placed with it again and lost again.
BOOST_AUTO_TEST_CASE(TasksBesideACrashingTaskAreLostOnce) {
  Simulation Sim(3);
  Sim.submit("neighbour", simpleJob(6));
  addDeadlyJob(Sim, simpleJob(1));
  Sim.run(30s);
  BOOST_TEST((Sim.job("neighbour").Record.State == jobs::JobState::Completed));
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  for (unsigned Index = 0; Index < 6; ++Index) {
    BOOST_TEST(countStartsOfTask(Sim, "neighbour", Index) <= 2U);
  }
}

// Each new leader started a deadly task anew.
BOOST_AUTO_TEST_CASE(ALaterLeaderKnowsACrashingTask) {
  Simulation Sim(5);
  addDeadlyJob(Sim, simpleJob(1));
  for (unsigned Term = 0; Term < 6; ++Term) {
    Sim.run(2300ms);
    Sim.startNewTerm();
  }
  Sim.run(20s);
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST(countCrashes(Sim) <= 5U);
  BOOST_TEST(Sim.violations().empty());
}

// A crash that outlasted the leases was forgotten when the worker was back.
BOOST_AUTO_TEST_CASE(ACrashIsCountedAfterTheLeasesHaveExpired) {
  Simulation Sim(5);
  Sim.CrashDownTime = 6s;
  addDeadlyJob(Sim, simpleJob(1));
  Sim.run(60s);
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST(countCrashes(Sim) <= 4U);
  BOOST_TEST(Sim.violations().empty());
}

// A deadly task waits for a vacant worker, which long steps don't leave it.
BOOST_AUTO_TEST_CASE(ACrashingTaskIsGivenUpWhileNoWorkerIsVacant) {
  Simulation Sim(3);
  jobs::JobSpec LongRunning = simpleJob(3);
  LongRunning.Steps.front().LongRunning = true;
  LongRunning.Steps.front().MaxPerWorker = 1;
  Sim.submit("long", LongRunning);
  Sim.run(1s);
  addDeadlyJob(Sim, simpleJob(1));
  Sim.run(40s);
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST((Sim.job("long").Record.State == jobs::JobState::Running));
  BOOST_TEST(countCrashes(Sim) <= 3U);
}

// A deadly task was started without limit if its workers crashed before their
// reply to the start had arrived.
BOOST_AUTO_TEST_CASE(ACrashingTaskWithoutConfirmedStartsIsGivenUp) {
  for (const Duration DownTime : {1s, 3s, 6s}) {
    Simulation Sim(5);
    Sim.CrashDownTime = DownTime;
    Sim.LosesAnswer = [](const WorkerOrder &Order) {
      return std::holds_alternative<StartOrder>(Order);
    };
    addDeadlyJob(Sim, simpleJob(1));
    Sim.run(60s);
    BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
    BOOST_TEST(countCrashes(Sim) <= 5U);
    BOOST_TEST(Sim.violations().empty());
  }
}

// A task is not at fault for the crashes of workers that it doesn't cause.
BOOST_AUTO_TEST_CASE(ATaskThatLosesItsWorkerOnceIsNotGivenUp) {
  Simulation Sim(4);
  Sim.submit("j", simpleJob(4));
  Sim.run(20ms);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.crash(Sim.Time.now(), Sim.Observed);
  }
  Sim.run(15s);
  BOOST_TEST((Sim.job("j").Record.State == jobs::JobState::Completed));
}

// Tasks of a worker that was out of reach, but did not crash, keep their score.
BOOST_AUTO_TEST_CASE(AWorkerOutOfReachIsNoCrash) {
  Simulation Sim(2);
  jobs::JobSpec LongRunning = simpleJob(1);
  LongRunning.Steps.front().LongRunning = true;
  Sim.submit("j", LongRunning);
  Sim.run(30ms);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.IsDown = true;
  }
  Sim.run(6s);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.IsDown = false;
  }
  Sim.run(10s);
  BOOST_TEST((Sim.job("j").Record.State == jobs::JobState::Running));
  const TaskRef Task{JobId("j"), 0, 0, 0};
  BOOST_TEST(Sim.job("j").find(Task)->CrashScore == 0U);
}

// Tasks whose workers died before the start, or some time after it, were given
// up.
BOOST_AUTO_TEST_CASE(TasksOnFlappingWorkersAreNotGivenUp) {
  Simulation Sim(2);
  jobs::JobSpec LongRunning = simpleJob(4);
  LongRunning.Steps.front().LongRunning = true;
  Sim.submit("long", LongRunning);
  Sim.submit("j", simpleJob(40));
  for (unsigned Crash = 0; Crash < 30; ++Crash) {
    FakeWorker &Worker = Sim.Workers[Crash % 2];
    Sim.run(150ms);
    Worker.endAll(Sim.Time.now(), Sim.Observed);
    Worker.HasCrashed = true;
    Sim.run(150ms);
    Worker.crash(Sim.Time.now(), Sim.Observed);
  }
  Sim.run(20s);
  BOOST_TEST((Sim.job("j").Record.State == jobs::JobState::Completed));
  BOOST_TEST((Sim.job("long").Record.State == jobs::JobState::Running));
}

// Crashes in the long life of a task added up until it was given up.
BOOST_AUTO_TEST_CASE(ATaskThatSurvivesItsStartIsClearedOfCrashes) {
  Simulation Sim(3);
  jobs::JobSpec LongRunning = simpleJob(1);
  LongRunning.Steps.front().LongRunning = true;
  Sim.submit("long", LongRunning);
  // Every second start meets a crash of its worker that it doesn't cause.
  Sim.CrashesWorker = [&Sim](const TaskRef &) {
    return Sim.Observed.Runs.size() % 2 == 1;
  };
  for (unsigned Crash = 0; Crash < 8; ++Crash) {
    Sim.run(5s);
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.crash(Sim.Time.now(), Sim.Observed);
    }
  }
  Sim.run(10s);
  BOOST_TEST((Sim.job("long").Record.State == jobs::JobState::Running));
}

// The members of a gang waited to be isolated one after another.
BOOST_AUTO_TEST_CASE(AGangOfSuspectsWaitsOnce) {
  Simulation Sim(2);
  jobs::JobSpec Gang = simpleJob(6);
  Gang.Steps.front().Gang = true;
  Sim.submit("gang", Gang);
  Sim.run(40ms);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.crash(Sim.Time.now(), Sim.Observed);
  }
  Sim.run(6s);
  BOOST_TEST((Sim.job("gang").Record.State == jobs::JobState::Completed));
}

// A worker stayed reserved for tasks that were no longer isolated.
BOOST_AUTO_TEST_CASE(AReservedWorkerIsReleasedWhenNoTaskCanUseIt) {
  const PoolName Pool("pool");
  CrashIsolation Isolation;
  WorkerState Worker;
  Isolation.noteWait({JobId("j"), 0, 0, 0}, Pool, Instant());
  Isolation.reserveWorkers(Pool, {&Worker}, {Instant(), WallTime()});
  BOOST_TEST(Worker.IsReserved);
  Isolation.reserveWorkers(Pool, {&Worker}, {Instant(10s), WallTime()});
  BOOST_TEST(!Worker.IsReserved);
}

// A task whose runs met the crashes of one unstable worker was given up.
BOOST_AUTO_TEST_CASE(ATaskIsNotGivenUpBecauseOneWorkerIsUnstable) {
  Simulation Sim(2);
  Sim.JournalDelay = 300ms;
  jobs::JobSpec Spec = simpleJob(1);
  Spec.Steps.front().LongRunning = true;
  Sim.submit("j", Spec);
  FakeWorker &Unstable = Sim.Workers[0];
  unsigned Crashes = 0;
  for (unsigned Turn = 0; Turn < 500; ++Turn) {
    Sim.run(20ms);
    if (!Unstable.runs().empty()) {
      Unstable.crash(Sim.Time.now(), Sim.Observed);
      ++Crashes;
    }
  }
  BOOST_TEST(Crashes == 1U);
  BOOST_TEST(Sim.job("j").isOpen());
  BOOST_TEST(!Sim.Workers[1].runs().empty());
}

// The same where no other worker has room for a while.
BOOST_AUTO_TEST_CASE(ATaskWaitsForAnUnstableWorkerThatMayHaveCrashedUnderIt) {
  Simulation Sim(2);
  Sim.Workers[1].IsDown = true;
  jobs::JobSpec Spec = simpleJob(1);
  Spec.Steps.front().LongRunning = true;
  Sim.submit("j", Spec);
  FakeWorker &Unstable = Sim.Workers[0];
  for (unsigned Turn = 0; Turn < 100; ++Turn) {
    Sim.run(20ms);
    if (!Unstable.runs().empty()) {
      Unstable.crash(Sim.Time.now(), Sim.Observed);
    }
  }
  BOOST_TEST(Sim.job("j").isOpen());
  Sim.run(4s);
  BOOST_TEST(Sim.job("j").isOpen());
  BOOST_TEST(!Unstable.runs().empty());
}

// Tasks that were lost beside a deadly task were started together with it again
// once they no longer waited for a vacant worker, and shared its crashes.
BOOST_AUTO_TEST_CASE(TasksThatMayCrashWorkersDoNotStartTogether) {
  const TaskRef Suspect{JobId("j"), 0, 0, 0};
  WorkerState Worker;
  Worker.MayHaveIsolatedRun = true;
  RunState &Run = Worker.Runs[Suspect];
  Run.Phase = RunPhase::Running;
  Run.StartsAlone = true;
  BOOST_TEST(!mayShareWorker(false, Worker));
  Run.HasSettled = true;
  BOOST_TEST(mayShareWorker(false, Worker));
}

// Doubts about the crashes of workers that have just started must not let a
// deadly task crash one worker after another.
BOOST_AUTO_TEST_CASE(ACrashingTaskIsGivenUpAmongWorkersThatHaveJustStarted) {
  Simulation Sim(5);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.crash(Sim.Time.now(), Sim.Observed);
  }
  Sim.run(200ms);
  addDeadlyJob(Sim, simpleJob(1));
  Sim.run(40s);
  BOOST_TEST((Sim.job("deadly").Record.State == jobs::JobState::Failed));
  BOOST_TEST(countCrashes(Sim) <= 5U);
  BOOST_TEST(Sim.violations().empty());
}
