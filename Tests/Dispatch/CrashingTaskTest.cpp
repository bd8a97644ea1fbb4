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
