/// \file
/// Tests with workers that accept more work than their capacity allows.

#define BOOST_TEST_MODULE Capacity
#include "Simulation.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr Resources FullCapacity{4000, 4000, 0};
constexpr Resources HalfCapacity{2000, 2000, 0};

} // namespace

BOOST_AUTO_TEST_CASE(AShrunkWorkerGetsOnlyWhatFits) {
  Simulation Sim(1);
  Sim.submit("j", simpleJob(40));
  for (unsigned Change = 0; Change < 4; ++Change) {
    Sim.run(700ms);
    Sim.setCapacity(Sim.Workers[0],
                    Change % 2 == 0 ? HalfCapacity : FullCapacity);
  }
  Sim.run(20s);
  BOOST_TEST((Sim.job("j").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.violations().empty());
}

// A placement that waited for the journal was started although its worker had
// shrunk meanwhile.
BOOST_AUTO_TEST_CASE(
    AWorkerThatShrinksBeforeAPlacementIsRecordedIsNotOverloaded) {
  Simulation Sim(1);
  Sim.run(100ms);
  Sim.JournalDelay = 1s;
  Sim.submit("j", simpleJob(4));
  Sim.run(1500ms);
  BOOST_TEST(Sim.Observed.Runs.empty());
  Sim.setCapacity(Sim.Workers[0], HalfCapacity);
  Sim.run(20s);
  BOOST_TEST((Sim.job("j").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.violations().empty());
}

// Runs that were counted as lost took room that was given to other runs.
BOOST_AUTO_TEST_CASE(RunsThatAreToBeStoppedStillTakeRoom) {
  Simulation Sim(1);
  FakeWorker &Worker = Sim.Workers[0];
  Worker.RunDuration = 5s;
  Worker.StopDuration = 400ms;
  Sim.submit("lost", simpleJob(4));
  Sim.run(300ms);
  Worker.IsDown = true;
  Sim.submit("next", simpleJob(4));
  Sim.run(1s);
  Sim.JobDispatcher->setHostedWorkers({}, Sim.Time.now());
  Sim.JobDispatcher->setHostedWorkers({}, Sim.Time.now());
  Sim.run(200ms);
  Worker.IsDown = false;
  Sim.run(30s);
  BOOST_TEST((Sim.job("next").Record.State == jobs::JobState::Completed));
  BOOST_TEST((Sim.job("lost").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.Observed.Overloads.empty());
}

// Starts without replies were repeated on a worker that had shrunk meanwhile.
BOOST_AUTO_TEST_CASE(AStartIsNotRepeatedOnAWorkerThatHasShrunk) {
  Simulation Sim(1);
  Sim.run(100ms);
  unsigned Starts = 0;
  Sim.OrderDelay = [&](const WorkerOrder &Order) -> std::optional<Duration> {
    // Two orders for each of the four tasks don't arrive in the test's time.
    return std::holds_alternative<StartOrder>(Order) && ++Starts <= 8
               ? std::optional<Duration>(1h)
               : std::nullopt;
  };
  Sim.submit("j", simpleJob(4));
  while (Starts < 4) {
    Sim.run(5ms);
  }
  Sim.setCapacity(Sim.Workers[0], HalfCapacity);
  Sim.run(20s);
  BOOST_TEST(Sim.Observed.Overloads.empty());
  BOOST_TEST((Sim.job("j").Record.State == jobs::JobState::Completed));
}
