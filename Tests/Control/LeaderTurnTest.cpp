/// \file
/// The turn of one queue on a fleet of 1,100 workers, as seen from the leader.

#define BOOST_TEST_MODULE LeaderTurn
#include "CarrierSimulation.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::control;
using namespace balsamlatch::control::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned WorkerCount = 1100;
constexpr unsigned WorkersInTurn = 420;
constexpr unsigned EntryCount = 147;
constexpr unsigned TasksPerSecond = 3200;
/// An entry has up to half a core. Half of that is left to decisions, the
/// journal and callers, and a call takes 100 us or so.
constexpr std::size_t MaxCallsPerSecond = 2500;

} // namespace

// The leader's loop was full for the length of a turn, and too little of the
// queue was served.
BOOST_AUTO_TEST_CASE(ATurnLeavesTheLeaderProcessorTime) {
  CarrierSimulation Sim(WorkerCount, EntryCount);
  for (unsigned Index = 0; Index < WorkerCount; ++Index) {
    Sim.Workers[Index].RunDuration = 800ms;
    if (Index >= WorkersInTurn) {
      Sim.Workers[Index].Record.Pool = PoolName("other");
    }
  }
  Sim.run(1s);
  constexpr unsigned TasksPerJob = 8;
  constexpr Duration Interval = 1'000'000us * TasksPerJob / TasksPerSecond;
  constexpr unsigned Jobs = 4 * TasksPerSecond / TasksPerJob;
  for (unsigned Number = 0; Number < Jobs; ++Number) {
    Sim.submit(fmt::format("{:016x}", Number),
               dispatch::test::simpleJob(TasksPerJob));
    Sim.run(Interval);
  }
  BOOST_TEST(Sim.Observed.Runs.size() > 3U * TasksPerSecond);
  for (const auto &[Second, Calls] : Sim.LeaderCalls) {
    if (Second >= 1) { // the first calls to all workers come before
      BOOST_TEST(Calls <= MaxCallsPerSecond, "second " << Second);
    }
    BOOST_TEST_MESSAGE("second " << Second << ": " << Calls << " calls");
  }
  BOOST_TEST(Sim.Observed.CompletedAt.size() > Jobs / 2);
  BOOST_TEST(Sim.violations().empty());
}
