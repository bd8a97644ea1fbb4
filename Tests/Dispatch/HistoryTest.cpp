/// \file
/// Runs seeded random histories with overlapping faults, and tests that the
/// history checker rejects a violation of each guarantee.

#define BOOST_TEST_MODULE DispatchHistories
#include "Simulation.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned HistoryCount = 60;

bool chance(Simulation &Sim, unsigned Percent) {
  return Sim.Random() % 100 < Percent;
}

void injectFault(Simulation &Sim) {
  FakeWorker &AffectedWorker = Sim.Workers[Sim.Random() % Sim.Workers.size()];
  switch (Sim.Random() % 8) {
  case 0:
    AffectedWorker.IsDown = true;
    break;
  case 1:
    AffectedWorker.crash(Sim.Time.now(), Sim.Observed);
    break;
  case 2:
    Sim.startNewTerm();
    break;
  case 3:
    Sim.JournalUnavailable = !Sim.JournalUnavailable;
    break;
  case 4:
    AffectedWorker.FailsAll = !AffectedWorker.FailsAll;
    break;
  default:
    break;
  }
  if (chance(Sim, 60)) {
    Sim.JournalUnavailable = false;
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.IsDown = false;
    }
  }
}

void runHistory(std::uint64_t Seed) {
  Simulation Sim(4, Seed);
  if (Seed % 2 == 0) {
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.MaxListedEnds = 1;
    }
  }
  Sim.LosesAnswer = [&](const WorkerOrder &) { return chance(Sim, 3); };
  Sim.OrderDelay = [&](const WorkerOrder &) -> std::optional<Duration> {
    return chance(Sim, 3) ? std::optional<Duration>(
                                std::chrono::milliseconds(Sim.Random() % 6000))
                          : std::nullopt;
  };
  std::set<JobId> CrashingJobs;
  Sim.CrashesWorker = [&](const TaskRef &Task) {
    return Task.Index == 0 && CrashingJobs.contains(Task.Job);
  };
  for (unsigned Number = 0; Number < 12; ++Number) {
    const std::string Id = fmt::format("j{}", Number);
    const unsigned Steps = 1 + Sim.Random() % 3;
    jobs::JobSpec Spec = simpleJob(1 + Sim.Random() % 5, Steps);
    Spec.Steps.front().LongRunning = chance(Sim, 20) && Spec.Steps.size() == 1;
    if (chance(Sim, 10)) {
      CrashingJobs.insert(JobId(Id));
    }
    Sim.submit(Id, Spec);
    Sim.run(std::chrono::milliseconds(200 + Sim.Random() % 1000));
    injectFault(Sim);
    if (chance(Sim, 15)) {
      Sim.cancel(Id);
    }
  }
  Sim.LosesAnswer = nullptr;
  Sim.OrderDelay = nullptr;
  Sim.JournalUnavailable = false;
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.IsDown = false;
    Worker.FailsAll = false;
  }
  Sim.run(40s);
  for (const std::string &Violation : Sim.violations()) {
    BOOST_ERROR("seed " << Seed << ": " << Violation);
  }
  for (const auto &[Id, Job] : Sim.Table.jobs()) {
    BOOST_TEST((!Job.isOpen() || Job.spec().hasLongRunningStep()),
               "seed " << Seed << ": " << Id.Text << " never ends");
  }
}

RunTrace makeTrace(unsigned Step, std::uint32_t Run, int StartSeconds,
                   int EndSeconds, jobs::RunOutcome End) {
  return {{JobId("j"), 0, Step, 0},
          Run,
          "w",
          Instant(std::chrono::seconds(StartSeconds)),
          Instant(std::chrono::seconds(EndSeconds)),
          End,
          true};
}

std::vector<std::string> findViolations(const History &Observed,
                                        unsigned Steps = 1) {
  return checkHistory(Observed, {{JobId("j"), simpleJob(1, Steps)}}, 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderFaults) {
  for (std::uint64_t Seed = 1; Seed <= HistoryCount; ++Seed) {
    runHistory(Seed);
  }
}

BOOST_AUTO_TEST_CASE(CheckerRejectsInvalidHistories) {
  using jobs::RunOutcome;
  const JobId Job("j");
  BOOST_TEST(findViolations({{makeTrace(0, 1, 0, 1, RunOutcome::Done)}, {}, {}})
                 .empty());
  BOOST_TEST(!findViolations({{makeTrace(0, 1, 0, 2, RunOutcome::Lost),
                               makeTrace(0, 2, 1, 3, RunOutcome::Done)},
                              {},
                              {}})
                  .empty());
  BOOST_TEST(!findViolations({{makeTrace(0, 1, 0, 1, RunOutcome::Done),
                               makeTrace(0, 2, 2, 3, RunOutcome::Done)},
                              {},
                              {}})
                  .empty());
  BOOST_TEST(!findViolations({{makeTrace(0, 1, 0, 1, RunOutcome::Failed),
                               makeTrace(0, 2, 2, 3, RunOutcome::Failed),
                               makeTrace(0, 3, 4, 5, RunOutcome::Done)},
                              {},
                              {}})
                  .empty());
  History Crashes;
  for (std::uint32_t Run = 1; Run <= 6; ++Run) {
    BOOST_TEST(findViolations(Crashes).empty());
    const int Start = static_cast<int>(Run);
    Crashes.Runs.push_back(
        makeTrace(0, Run, Start, Start + 1, RunOutcome::Lost));
    Crashes.Runs.back().CrashedWorker = true;
  }
  BOOST_TEST(!findViolations(Crashes).empty());
  BOOST_TEST(
      !findViolations({{makeTrace(1, 1, 0, 1, RunOutcome::Done)}, {}, {}}, 2)
           .empty());
  BOOST_TEST(!findViolations({{makeTrace(0, 1, 0, 9, RunOutcome::Done)},
                              {{Job, Instant(5s)}},
                              {}})
                  .empty());
  BOOST_TEST(!findViolations({{makeTrace(0, 1, 9, 10, RunOutcome::Done)},
                              {},
                              {{Job, Instant(5s)}}})
                  .empty());
}
