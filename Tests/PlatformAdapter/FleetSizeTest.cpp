/// \file
/// What one event costs the leader must not grow with the fleet: with 1,500
/// workers at most twice as much as with 50.

#define BOOST_TEST_MODULE FleetSize
#include "../Dispatch/Simulation.h"
#include "WorkerRegistrations.h"

#include "balsamlatch/Dispatch/HostScheduler.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::platform;
using namespace std::chrono_literals;

namespace {

constexpr unsigned SmallFleet = 50;
constexpr unsigned LargeFleet = 1500;
constexpr double MaxGrowth = 2;
constexpr unsigned Rounds = 7;

/// Processor time of the quickest of several runs of the action.
template <typename ActionT> double secondsFor(ActionT Action) {
  Duration Least = Duration::max();
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    const Duration Before = processorTime();
    Action();
    Least = std::min(Least, processorTime() - Before);
  }
  return std::chrono::duration<double>(Least).count();
}

/// The median of several measurements.
template <typename MeasureT> double medianOf(MeasureT Measure) {
  std::array<double, 5> Times{};
  std::generate(Times.begin(), Times.end(), Measure);
  std::nth_element(Times.begin(), Times.begin() + Times.size() / 2,
                   Times.end());
  return Times[Times.size() / 2];
}

/// Time to record the ends of 2,000 jobs while long-running tasks take half of
/// all workers.
double timeToCloseJobs(unsigned WorkerCount) {
  constexpr unsigned TasksPerWorker = 2;
  constexpr unsigned Jobs = 2000;
  dispatch::test::Simulation Sim(WorkerCount);
  jobs::JobSpec Spec = dispatch::test::simpleJob(WorkerCount * TasksPerWorker);
  Spec.Steps.front().LongRunning = true;
  Sim.submit("lasting", Spec);
  Sim.run(500ms);
  BOOST_TEST(Sim.Observed.Runs.size() == WorkerCount * TasksPerWorker);
  std::vector<jobs::JobEvent> Ends;
  for (unsigned Number = 0; Number < Jobs; ++Number) {
    Ends.emplace_back(
        jobs::JobClosed{jobs::JobId(fmt::format("{:016x}", Number)),
                        jobs::JobState::Completed, WallTime()});
  }
  return secondsFor([&] { Sim.JobDispatcher->handleRecorded(Ends); });
}

control::StoredItem registration(const std::string &Key, std::uint64_t Revision,
                                 bool IsDraining) {
  return {Key,
          fmt::format(R"({{"service":"p","address":"10.0.0.1:80","state":"{}",)"
                      R"("capacity":{{"cpu":1}},"born":5}})",
                      IsDraining ? "draining" : "ready"),
          Revision};
}

/// Time to take over 200 changes of one registration each.
double timeToTakeRegistrations(unsigned WorkerCount) {
  constexpr unsigned Changes = 200;
  NullLog Log;
  ManualClock Time;
  jobs::JobTable Table;
  dispatch::Dispatcher Dispatcher(Time, dispatch::DispatchOptions(), Log);
  Dispatcher.begin(dispatch::FencingToken(1), Table);
  WorkerRegistrations Registrations(Log, "servers/");
  control::PrefixMirror::Items Items;
  std::uint64_t Revision = 0;
  for (unsigned Number = 0; Number < WorkerCount; ++Number) {
    const std::string Key = fmt::format("servers/i-{:08x}", Number);
    Items[Key] = registration(Key, ++Revision, false);
  }
  const std::string ChangedKey = Items.begin()->first;
  Registrations.update(Items);
  Dispatcher.updateWorkers(Registrations.takeChanges());
  bool IsDraining = false;
  return secondsFor([&] {
    for (unsigned Number = 0; Number < Changes; ++Number) {
      IsDraining = !IsDraining;
      Items[ChangedKey] = registration(ChangedKey, ++Revision, IsDraining);
      BOOST_REQUIRE(Registrations.update(Items, {ChangedKey}));
      Dispatcher.updateWorkers(Registrations.takeChanges());
    }
  });
}

/// Time that a decision takes for 400 host orders.
double timeToOrderHosts(unsigned HostCount) {
  constexpr unsigned Orders = 400;
  dispatch::test::Simulation Sim(HostCount);
  Sim.run(100ms);
  std::vector<dispatch::HostRecord> Hosts;
  dispatch::WaveRequest Wave{1, {}, 30s, 0};
  for (unsigned Number = 0; Number < Orders; ++Number) {
    dispatch::HostRecord &Host = Hosts.emplace_back();
    Host.Name = HostName(fmt::format("h{}", Number));
    Host.WorkerId = fmt::format("w{}", Number % HostCount);
    Wave.Hosts.push_back(Host.Name);
  }
  dispatch::HostScheduler Scheduler(Sim.Time, dispatch::HostSchedulerOptions(),
                                    Sim.Log);
  const auto TimeToDecide = [&](unsigned MaxAway) {
    Wave.MaxAway = MaxAway;
    return secondsFor([&] {
      Scheduler.begin();
      Scheduler.setRecentOrders({});
      Scheduler.setHosts(Hosts, Sim.Time.now(), *Sim.JobDispatcher);
      Scheduler.addWave(Wave);
      BOOST_REQUIRE(
          Scheduler.decide(*Sim.JobDispatcher, Sim.Table, *Sim.Config).size() ==
          MaxAway);
    });
  };
  return TimeToDecide(Orders) - TimeToDecide(1);
}

} // namespace

// Each order for a host took a pass over all workers.
BOOST_AUTO_TEST_CASE(AHostOrderCostsTheSameInALargeFleet) {
  const double Small = medianOf([] { return timeToOrderHosts(SmallFleet); });
  const double Large = medianOf([] { return timeToOrderHosts(LargeFleet); });
  BOOST_TEST_MESSAGE("host orders: " << Small << " s and " << Large << " s");
  BOOST_TEST(Large <= MaxGrowth * Small);
}

// Each end of a job took a pass over all runs on all workers, 36 % of the
// leader's processor time in a turn.
BOOST_AUTO_TEST_CASE(AnEndOfAJobCostsTheSameInALargeFleet) {
  const double Small = timeToCloseJobs(SmallFleet);
  const double Large = timeToCloseJobs(LargeFleet);
  BOOST_TEST_MESSAGE("closing jobs: " << Small << " s and " << Large << " s");
  BOOST_TEST(Large <= MaxGrowth * Small);
}

// Each batch of changed registrations took several passes over all workers, 33
// % of the leader's processor time.
BOOST_AUTO_TEST_CASE(AChangedRegistrationCostsTheSameInALargeFleet) {
  const double Small = timeToTakeRegistrations(SmallFleet);
  const double Large = timeToTakeRegistrations(LargeFleet);
  BOOST_TEST_MESSAGE("registrations: " << Small << " s and " << Large << " s");
  BOOST_TEST(Large <= MaxGrowth * Small);
}
