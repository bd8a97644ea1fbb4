/// \file
/// Tests of maintenance waves and host moves: which orders are issued when, and
/// the effect of replies and host lists.

#define BOOST_TEST_MODULE HostScheduler
#include "Simulation.h"

#include "balsamlatch/Dispatch/HostScheduler.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

const PoolName TestPool("pool");
const PoolName StandbyPool("spare");

/// A simulation with a host for each worker, and a host scheduler at the start
/// of its term.
struct FleetFixture {
  explicit FleetFixture(unsigned Count, bool EarlierOrdersKnown = true)
      : Sim(Count), Scheduler(Sim.Time, HostSchedulerOptions(), Sim.Log) {
    Scheduler.begin();
    if (EarlierOrdersKnown) {
      Scheduler.setRecentOrders({});
    }
    for (unsigned Index = 0; Index < Count; ++Index) {
      HostRecord &Host = Hosts.emplace_back();
      Host.Name = HostName(fmt::format("h{}", Index));
      Host.Pool = TestPool;
      Host.Capacity = {4000, 4000, 0};
      Host.WorkerId = fmt::format("w{}", Index);
    }
  }

  void publishHosts() {
    Scheduler.setHosts(Hosts, Sim.Time.now(), *Sim.JobDispatcher);
  }

  /// Moves all hosts but the first \p Kept to the standby pool and publishes
  /// the host list.
  void moveToStandby(std::size_t Kept) {
    Sim.Config->Pools.push_back({StandbyPool, true});
    for (std::size_t Index = Kept; Index < Hosts.size(); ++Index) {
      Hosts[Index].Pool = StandbyPool;
      Hosts[Index].WorkerId.clear();
    }
    Sim.run(4s);
    publishHosts();
  }

  std::vector<HostOrder> decide() {
    std::vector<HostOrder> Orders;
    for (const HostDecision &Decision :
         Scheduler.decide(*Sim.JobDispatcher, Sim.Table, *Sim.Config)) {
      if (const auto *Order = std::get_if<HostOrder>(&Decision)) {
        Orders.push_back(*Order);
      } else {
        Completed = true;
        CompletedWaves.insert(std::get<WaveCompleted>(Decision).Wave);
      }
    }
    return Orders;
  }

  /// The only host is ordered for the wave, and is maintained if the order is
  /// carried out.
  void maintain(std::uint64_t Wave, bool IsAnswered, bool IsCarriedOut) {
    const std::vector<HostOrder> Orders = decide();
    BOOST_REQUIRE(Orders.size() == 1);
    BOOST_REQUIRE(Orders.front().Wave == Wave);
    Scheduler.handleReply(Orders.front(), IsAnswered);
    if (!IsCarriedOut) {
      publishHosts();
      return;
    }
    Sim.Workers[0].endAll(Sim.Time.now(), Sim.Observed);
    Sim.Workers[0].HasCrashed = true;
    Hosts[0].Status = HostStatus::Maintenance;
    publishHosts();
    decide();
    Sim.run(2s);
    restartWorker(0);
    Sim.run(1s);
  }

  /// The worker's process ends; the host list shows it.
  void crashWorker(std::size_t Index) {
    Sim.Workers[Index].endAll(Sim.Time.now(), Sim.Observed);
    Sim.Workers[Index].HasCrashed = true;
    Hosts[Index].Status = HostStatus::Down;
    Hosts[Index].WorkerId.clear();
    publishHosts();
  }
  /// The worker is back under its ID.
  void restartWorker(std::size_t Index) {
    Sim.Workers[Index].crash(Sim.Time.now(), Sim.Observed);
    Hosts[Index].Status = HostStatus::Up;
    Hosts[Index].WorkerId = Sim.Workers[Index].Record.Instance.Id;
    publishHosts();
  }

  Simulation Sim;
  HostScheduler Scheduler;
  std::vector<HostRecord> Hosts;
  bool Completed = false;
  std::set<std::uint64_t> CompletedWaves;
};

WaveRequest waveOf(const std::vector<HostRecord> &Hosts, unsigned MaxAway,
                   std::uint64_t Number = 1) {
  WaveRequest Wave;
  Wave.Number = Number;
  for (const HostRecord &Host : Hosts) {
    Wave.Hosts.push_back(Host.Name);
  }
  Wave.TimeLimit = 30s;
  Wave.MaxAway = MaxAway;
  return Wave;
}

} // namespace

BOOST_AUTO_TEST_CASE(NoHostIsOrderedBeforeTheEarlierOrdersAreKnown) {
  FleetFixture Fleet(2, false);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 2));
  Fleet.Sim.run(10s);
  BOOST_TEST(Fleet.decide().empty());
}

BOOST_AUTO_TEST_CASE(AHostWithARecentOrderOfAnEarlierLeaderWaits) {
  FleetFixture Fleet(2, false);
  Fleet.Scheduler.setRecentOrders({Fleet.Hosts[0].Name});
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 2));
  Fleet.Sim.run(100ms);
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_TEST(Orders.front().Host.Text == "h1");
  // The next lease holder must get both orders.
  BOOST_TEST((Fleet.Scheduler.recentOrders() ==
              std::set{Fleet.Hosts[0].Name, Fleet.Hosts[1].Name}));
  Fleet.Sim.run(4s);
  BOOST_TEST(Fleet.decide().size() == 1);
}

// The orders of the earlier leader may still be on their way, while reports
// show all tasks at work.
BOOST_AUTO_TEST_CASE(OrdersOfAnEarlierLeaderCountAsInterruptions) {
  FleetFixture Fleet(6, false);
  jobs::JobSpec Spec = longRunningJob(6);
  Spec.Steps.front().MaxUnavailable = 2;
  Fleet.Sim.submit("a", Spec);
  Fleet.Sim.run(2s);
  Fleet.Scheduler.begin();
  Fleet.Scheduler.setRecentOrders({Fleet.Hosts[0].Name, Fleet.Hosts[1].Name});
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 6));
  Fleet.Sim.run(100ms);
  BOOST_TEST(Fleet.decide().empty());
  BOOST_TEST(!findTaskToMove(Fleet.Sim.JobDispatcher->workers().at("w2"),
                             *Fleet.Sim.JobDispatcher, Fleet.Sim.Table));
  // Work is still placed on their workers, which may have been maintained.
  BOOST_TEST(Fleet.Sim.JobDispatcher->workers().at("w0").isUsable(
      Fleet.Sim.Time.now()));
  Fleet.Sim.run(HostSchedulerOptions().HandoverDelay);
  Fleet.publishHosts();
  BOOST_TEST(Fleet.decide().size() == 2);
}

BOOST_AUTO_TEST_CASE(TwoHostsOfAWaveMayBeOrderedAtOnce) {
  FleetFixture Fleet(2, false);
  Fleet.Scheduler.setRecentOrders({Fleet.Hosts[0].Name, Fleet.Hosts[1].Name});
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 2));
  Fleet.Sim.run(3s);
  BOOST_TEST(Fleet.decide().empty());
  Fleet.Sim.run(1s);
  BOOST_TEST(Fleet.decide().size() == 2);
}

BOOST_AUTO_TEST_CASE(AWaveNeverExceedsItsLimitOfHostsAway) {
  FleetFixture Fleet(4);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 2));
  Fleet.Sim.run(4s);
  unsigned Orders = 0;
  for (int Round = 0; Round < 10; ++Round) {
    Orders += static_cast<unsigned>(Fleet.decide().size());
    Fleet.Sim.run(100ms);
  }
  BOOST_TEST(Orders == 2);
}

// An order without a reply that was carried out late came on top of the hosts
// ordered meanwhile.
BOOST_AUTO_TEST_CASE(AnOrderWithoutAReplyCountsAsItMayStillBeCarriedOut) {
  FleetFixture Fleet(3);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  Fleet.Sim.run(100ms);
  std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  const HostName First = Orders.front().Host;
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.publishHosts();
  // The same order may be sent again; it is carried out once.
  Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_TEST(Orders.front().Host.Text == First.Text);
  // The second order met the host being away already.
  Fleet.Scheduler.handleRefusals({Orders.front()}, *Fleet.Sim.JobDispatcher);
  for (const HostOrder &Order : Fleet.decide()) {
    BOOST_TEST(Order.Host.Text == First.Text);
    Fleet.Scheduler.handleRefusals({Order}, *Fleet.Sim.JobDispatcher);
  }
}

// An order of an earlier leader that was carried out late wasn't counted.
BOOST_AUTO_TEST_CASE(AnOrderOfAnEarlierLeaderCountsAsItMayStillBeCarriedOut) {
  FleetFixture Fleet(2, false);
  Fleet.Scheduler.setRecentOrders({Fleet.Hosts[0].Name});
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  Fleet.Sim.run(100ms);
  BOOST_TEST(Fleet.decide().empty());
  Fleet.Sim.run(4s);
  BOOST_TEST(Fleet.decide().size() == 1);
}

BOOST_AUTO_TEST_CASE(NoMoreTasksOfAStepAreInterruptedThanItsCallerAllows) {
  FleetFixture Fleet(3);
  Fleet.Sim.submit("a", longRunningJob(2));
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 3));
  // No order has a reply yet, so the tasks of each count as unavailable.
  unsigned InterruptedHosts = 0;
  for (int Round = 0; Round < 5; ++Round) {
    for (const HostOrder &Order : Fleet.decide()) {
      const auto &Runs =
          Fleet.Sim.JobDispatcher->workers().at(Order.WorkerId).Runs;
      InterruptedHosts += Runs.empty() ? 0 : 1;
    }
    Fleet.Sim.run(100ms);
  }
  BOOST_TEST(InterruptedHosts <= 1);
}

BOOST_AUTO_TEST_CASE(TasksThatMayBeAtWorkAreNotInterruptedTogether) {
  // The tasks may have started their work since the worker's last report.
  FleetFixture Fleet(2);
  Fleet.Sim.Workers[0].Hangs = true;
  Fleet.Sim.Workers[1].Hangs = true;
  jobs::JobSpec Spec = longRunningJob(2);
  Spec.Steps.front().MaxPerWorker = 0;
  Fleet.Sim.submit("a", Spec);
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  const std::string FirstWorker = Fleet.Sim.Observed.Runs.front().Worker;
  BOOST_REQUIRE(
      Fleet.Sim.JobDispatcher->workers().at(FirstWorker).Runs.size() == 2);
  Fleet.Scheduler.addWave(
      waveOf({Fleet.Hosts[FirstWorker == "w0" ? 0 : 1]}, 1));
  BOOST_TEST(Fleet.decide().empty());
}

BOOST_AUTO_TEST_CASE(TasksAreNotInterruptedBasedOnOldReports) {
  FleetFixture Fleet(3);
  Fleet.Sim.submit("a", longRunningJob(2));
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 3));
  Fleet.Sim.Time.advance(3s); // no reports are handled in this time
  for (const HostOrder &Order : Fleet.decide()) {
    BOOST_TEST(
        Fleet.Sim.JobDispatcher->workers().at(Order.WorkerId).Runs.empty());
  }
}

BOOST_AUTO_TEST_CASE(ARepeatedOrderEndsNoRuns) {
  FleetFixture Fleet(1);
  Fleet.Sim.submit("a", longRunningJob(1));
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), true);
  Fleet.publishHosts(); // the host is up with the same worker
  Fleet.Sim.run(2s);
  BOOST_TEST(Fleet.Sim.countStarts("a") == 1);
  Fleet.decide();
  BOOST_TEST(Fleet.Completed);
}

BOOST_AUTO_TEST_CASE(RunsOfAMaintainedHostAreLostOnceTheListShowsIt) {
  FleetFixture Fleet(2);
  Fleet.Sim.submit("a", longRunningJob(1));
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  const std::string FirstWorker = Fleet.Sim.Observed.Runs.front().Worker;
  Fleet.Scheduler.addWave(
      waveOf({Fleet.Hosts[FirstWorker == "w0" ? 0 : 1]}, 1));
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), true);
  Fleet.Sim.run(100ms);
  BOOST_TEST(Fleet.Sim.countStarts("a") == 1);
  Fleet.Sim.Workers[FirstWorker == "w0" ? 0 : 1].crash(Fleet.Sim.Time.now(),
                                                       Fleet.Sim.Observed);
  Fleet.Sim.Workers[FirstWorker == "w0" ? 0 : 1].IsDown = true;
  Fleet.Hosts[FirstWorker == "w0" ? 0 : 1].Status = HostStatus::Maintenance;
  Fleet.publishHosts();
  Fleet.Sim.run(100ms);
  BOOST_TEST(Fleet.Sim.countStarts("a") == 2);
}

BOOST_AUTO_TEST_CASE(ABusyHostIsDrainedBeforeItsMaintenance) {
  FleetFixture Fleet(2);
  for (FakeWorker &Worker : Fleet.Sim.Workers) {
    Worker.RunDuration = 1500ms;
  }
  Fleet.Sim.run(4s);
  Fleet.Sim.submit("a", simpleJob(8));
  Fleet.Sim.run(200ms);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  BOOST_TEST(Fleet.decide().empty());
  Fleet.Sim.run(1600ms);
  BOOST_TEST(Fleet.decide().size() == 1);
}

BOOST_AUTO_TEST_CASE(AHostWithTooManyTasksOfAStepIsDrainedTaskByTask) {
  FleetFixture Fleet(2);
  jobs::JobSpec Spec = longRunningJob(3);
  Spec.Steps.front().MaxPerWorker = 0;
  Fleet.Sim.submit("a", Spec);
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  const std::string FirstWorker = Fleet.Sim.Observed.Runs.front().Worker;
  Fleet.Scheduler.addWave(
      waveOf({Fleet.Hosts[FirstWorker == "w0" ? 0 : 1]}, 1));
  unsigned MostAway = 0;
  std::vector<HostOrder> Orders;
  for (int Round = 0; Round < 100 && Orders.empty(); ++Round) {
    Orders = Fleet.decide();
    Fleet.Sim.run(100ms);
    unsigned AtWork = 0;
    for (const RunTrace &Run : Fleet.Sim.Observed.Runs) {
      AtWork += Run.EndedAt == Instant::max() ? 1 : 0;
    }
    MostAway = std::max(MostAway, 3 - AtWork);
  }
  BOOST_TEST(Orders.size() == 1);
  BOOST_TEST(MostAway <= 1);
  BOOST_TEST(Fleet.Sim.violations().empty());
}

BOOST_AUTO_TEST_CASE(ADrainThatCannotSucceedIsGivenUp) {
  // The second task of the step gets lost, so the first must not be
  // interrupted. Without a limit on the drain, its host would stay cordoned
  // while its capacity may be needed.
  FleetFixture Fleet(2);
  Fleet.Sim.submit("a", longRunningJob(2));
  Fleet.Sim.run(4s);
  Fleet.Sim.submit("b", simpleJob(4));
  Fleet.Sim.run(200ms);
  Fleet.Sim.Workers[0].RunDuration = 60s;
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf({Fleet.Hosts[0]}, 1));
  BOOST_TEST(Fleet.decide().empty());
  BOOST_TEST((Fleet.Sim.JobDispatcher->workers().at("w0").HostCordon ==
              Cordon::DrainingForMaintenance));
  Fleet.Sim.Workers[1].crash(Fleet.Sim.Time.now(), Fleet.Sim.Observed);
  Fleet.Sim.Workers[1].IsDown = true;
  Fleet.Sim.run(8s);
  BOOST_TEST(Fleet.decide().empty());
  BOOST_TEST(
      (Fleet.Sim.JobDispatcher->workers().at("w0").HostCordon == Cordon::None));
}

// Hosts stayed free of work time and again though they could get no order:
// tasks of their step were away for another cause than the wave.
BOOST_AUTO_TEST_CASE(HostsThatCannotBeOrderedTakeWork) {
  FleetFixture Fleet(4);
  Fleet.Sim.submit("a", longRunningJob(4));
  Fleet.Sim.run(4s);
  Fleet.Sim.Workers[3].crash(Fleet.Sim.Time.now(), Fleet.Sim.Observed);
  Fleet.Sim.Workers[3].IsDown = true;
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(
      waveOf({Fleet.Hosts[0], Fleet.Hosts[1], Fleet.Hosts[2]}, 3));
  BOOST_TEST(Fleet.decide().empty());
  for (const std::string Id : {"w0", "w1", "w2"}) {
    BOOST_TEST(
        (Fleet.Sim.JobDispatcher->workers().at(Id).HostCordon == Cordon::None));
  }
  // The wave goes on once the task is back.
  Fleet.Sim.Workers[3].IsDown = false;
  Fleet.Sim.run(4s);
  BOOST_TEST(Fleet.decide().size() == 1);
}

// Guards against a wave that waits for a task that its own host doesn't bring
// to work.
BOOST_AUTO_TEST_CASE(AHostWhoseTaskIsNotAtWorkIsDrained) {
  FleetFixture Fleet(1);
  Fleet.Sim.Workers[0].Hangs = true;
  Fleet.Sim.submit("a", longRunningJob(1));
  Fleet.Sim.submit("b", simpleJob(1));
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  BOOST_TEST(Fleet.decide().empty());
  BOOST_TEST((Fleet.Sim.JobDispatcher->workers().at("w0").HostCordon ==
              Cordon::DrainingForMaintenance));
  Fleet.Sim.run(8s);
  BOOST_TEST(Fleet.decide().size() == 1);
}

// All hosts of a step were kept free of work for a wave although only one after
// the other could get its order.
BOOST_AUTO_TEST_CASE(NoMoreHostsOfAStepDrainThanMayBeInterrupted) {
  FleetFixture Fleet(4);
  for (FakeWorker &Worker : Fleet.Sim.Workers) {
    Worker.RunDuration = 2s;
  }
  Fleet.Sim.submit("a", longRunningJob(4));
  Fleet.Sim.run(4s);
  Fleet.Sim.submit("b", simpleJob(12));
  Fleet.Sim.run(500ms);
  Fleet.publishHosts();
  WaveRequest Wave = waveOf(Fleet.Hosts, 4);
  Wave.TimeLimit = 6s;
  Fleet.Scheduler.addWave(Wave);
  BOOST_TEST(Fleet.decide().empty());
  unsigned Cordoned = 0;
  for (const auto &[Id, Worker] : Fleet.Sim.JobDispatcher->workers()) {
    BOOST_TEST(Worker.Runs.size() > 1);
    Cordoned += Worker.HostCordon == Cordon::None ? 0 : 1;
  }
  BOOST_TEST(Cordoned == 1);
}

BOOST_AUTO_TEST_CASE(AWorkerThatRestartsDuringAHostOrderIsUsedAgain) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  Fleet.Sim.run(100ms);
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  // The order gets lost, and the worker crashes before the next list.
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.crashWorker(0);
  Fleet.Sim.run(2s);
  Fleet.restartWorker(0);
  Fleet.Sim.submit("a", simpleJob(1));
  Fleet.Sim.run(5s);
  BOOST_TEST(Fleet.Sim.countStarts("a") == 1);
}

BOOST_AUTO_TEST_CASE(AHostThatIsDownAfterALostOrderStillNeedsMaintenance) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.crashWorker(0);
  BOOST_TEST(Fleet.decide().empty());
  BOOST_TEST(!Fleet.Completed);
  BOOST_TEST(Fleet.Scheduler.doneHosts(1).empty());
  Fleet.Sim.run(4s);
  Fleet.restartWorker(0);
  Orders = Fleet.decide();
  BOOST_TEST(!Fleet.Completed);
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), true);
  Fleet.Hosts[0].Status = HostStatus::Maintenance;
  Fleet.publishHosts();
  Fleet.decide();
  BOOST_TEST(Fleet.Completed);
}

BOOST_AUTO_TEST_CASE(AnotherWorkerIsNoProofOfMaintenance) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.Hosts[0].WorkerId = "w0b";
  Fleet.publishHosts();
  BOOST_TEST(Fleet.decide().size() == 1);
  BOOST_TEST(!Fleet.Completed);
}

BOOST_AUTO_TEST_CASE(AHostThatIsListedInMaintenanceAfterItsOrderIsDone) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.publishHosts(); // the order is carried out after this list
  Fleet.Hosts[0].Status = HostStatus::Maintenance;
  Fleet.publishHosts();
  Fleet.decide();
  BOOST_TEST(Fleet.Completed);
}

// A host that drained again before its late order was carried out stayed
// cordoned for the rest of the term, and idle.
BOOST_AUTO_TEST_CASE(AHostThatIsDoneDoesNotDrainAnyMore) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.crashWorker(0);
  Fleet.Sim.run(2s);
  Fleet.Sim.Workers[0].RunDuration = 5s;
  Fleet.restartWorker(0);
  Fleet.Sim.submit("a", simpleJob(1));
  Fleet.Sim.run(1s);
  BOOST_REQUIRE(Fleet.decide().empty()); // the host drains
  const WorkerState &Worker =
      Fleet.Sim.JobDispatcher->workers().at(Orders.front().WorkerId);
  BOOST_REQUIRE((Worker.HostCordon == Cordon::DrainingForMaintenance));
  Fleet.crashWorker(0);
  Fleet.Hosts[0].Status = HostStatus::Maintenance;
  Fleet.publishHosts();
  Fleet.Sim.run(2s);
  Fleet.restartWorker(0);
  Fleet.decide();
  BOOST_TEST(Fleet.Completed);
  BOOST_TEST((Worker.HostCordon == Cordon::None));
}

BOOST_AUTO_TEST_CASE(MaintenanceForAnotherWaveIsNoProof) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  WaveRequest Later = waveOf(Fleet.Hosts, 1);
  Later.Number = 2;
  Fleet.Scheduler.addWave(Later);
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(!Orders.empty());
  for (const HostOrder &Order : Orders) {
    Fleet.Scheduler.handleReply(Order, false);
  }
  Fleet.Hosts[0].Status = HostStatus::Maintenance;
  Fleet.publishHosts();
  Fleet.decide();
  BOOST_TEST(!Fleet.Completed);
}

// A host that was maintained for another wave, after an order for this one had
// got no reply, counted as done for this one, too; the wave was completed.
BOOST_AUTO_TEST_CASE(MaintenanceByALaterOrderForAnotherWaveIsNoProof) {
  constexpr std::uint64_t LostWave = 3;
  for (const std::uint64_t OtherWaves : {1U, 2U}) {
    for (const bool IsRepeatAnswered : {true, false}) {
      FleetFixture Fleet(1);
      Fleet.publishHosts();
      Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1, LostWave));
      Fleet.maintain(LostWave, false, false);
      for (std::uint64_t Other = 1; Other <= OtherWaves; ++Other) {
        Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1, Other));
        Fleet.maintain(Other, true, true);
        BOOST_TEST(Fleet.CompletedWaves.contains(Other));
        BOOST_TEST(!Fleet.CompletedWaves.contains(LostWave));
      }
      Fleet.maintain(LostWave, IsRepeatAnswered, true);
      BOOST_TEST(Fleet.CompletedWaves.contains(LostWave));
    }
  }
}

BOOST_AUTO_TEST_CASE(AHostCountsAsAwayUntilItsLostOrderCannotBeCarriedOut) {
  FleetFixture Fleet(2);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  const HostName First = Orders.front().Host;
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.publishHosts();
  Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_TEST((Orders.front().Host == First)); // repeated at once
  Fleet.Scheduler.handleReply(Orders.front(), false);
  const std::size_t FirstIndex = First.Text == "h0" ? 0 : 1;
  Fleet.crashWorker(FirstIndex);
  Fleet.Sim.run(HostSchedulerOptions().LateOrderTime - 100ms);
  BOOST_TEST(Fleet.decide().empty());
  // A host that is lost for good doesn't stop the wave.
  Fleet.Sim.run(200ms);
  BOOST_TEST(Fleet.decide().size() == 1);
}

BOOST_AUTO_TEST_CASE(TheHostsOfAnEarlierLeaderCountAsAway) {
  FleetFixture Fleet(3, false);
  Fleet.Scheduler.setRecentOrders({Fleet.Hosts[0].Name});
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 2));
  Fleet.Scheduler.addUnconfirmedHosts(1, {Fleet.Hosts[1].Name});
  BOOST_TEST((Fleet.Scheduler.unconfirmedHosts(1) ==
              std::vector{Fleet.Hosts[1].Name}));
  Fleet.Sim.run(100ms);
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_TEST(Orders.front().Host.Text == "h1");
  Fleet.Scheduler.handleReply(Orders.front(), true);
  Fleet.publishHosts();
  BOOST_TEST(Fleet.Scheduler.unconfirmedHosts(1).empty());
}

BOOST_AUTO_TEST_CASE(TasksOnAHostWithALostOrderCountAsUnavailable) {
  FleetFixture Fleet(2);
  Fleet.Sim.submit("a", longRunningJob(2));
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 2));
  std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  const HostOrder First = Orders.front();
  Fleet.Scheduler.handleReply(First, false);
  Fleet.publishHosts();
  Fleet.Sim.run(100ms);
  // The repeated order ends nothing that doesn't count already.
  Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_TEST((Orders.front() == First));
  // The first order may still be carried out if the second one is refused.
  Fleet.Scheduler.handleRefusals({First}, *Fleet.Sim.JobDispatcher);
  const WorkerState &Other = Fleet.Sim.JobDispatcher->workers().at(
      First.WorkerId == "w0" ? "w1" : "w0");
  BOOST_TEST(!canInterrupt(Other, *Fleet.Sim.JobDispatcher, Fleet.Sim.Table));
}

BOOST_AUTO_TEST_CASE(HostsMoveToThePoolWithDemand) {
  // A queue demands more than its pool can run while another pool is idle.
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName BusyPool("busy");
  const PoolName IdlePool("idle");
  std::vector<PoolHost> Hosts;
  for (int Number = 0; Number < 12; ++Number) {
    PoolHost Host;
    Host.Name = HostName(fmt::format("h{}", Number));
    Host.Pool = Number < 4 ? BusyPool : (Number < 10 ? IdlePool : StandbyPool);
    Host.Capacity = {4000, 4000, 0};
    Host.IsMovable = true;
    Host.IsVacant = Number >= 4;
    Hosts.push_back(Host);
  }
  const std::vector<Pool> Pools = {{BusyPool}, {IdlePool}, {StandbyPool, true}};
  const PoolPlan Plan = Planner.plan(
      Instant(1s), Pools, {{BusyPool, {{30000, 1000, 0}, 0}}}, Hosts);
  BOOST_TEST(Plan.Moves.size() == 5); // nine desired, four present
  unsigned FromStandby = 0;
  for (const PoolPlan::HostMove &Move : Plan.Moves) {
    BOOST_TEST(Move.TargetPool.Text == BusyPool.Text);
    FromStandby += Move.Host.Text == "h10" || Move.Host.Text == "h11" ? 1 : 0;
  }
  BOOST_TEST(FromStandby == 1); // vacant hosts outside standby come first
}

BOOST_AUTO_TEST_CASE(AHostWhoseWorkerIsOutOfReachIsReplacedInItsPool) {
  FleetFixture Fleet(6);
  Fleet.Sim.submit("a", longRunningJob(4));
  Fleet.Sim.run(1s);
  Fleet.moveToStandby(4);
  BOOST_TEST(Fleet.decide().empty());
  Fleet.Sim.Workers[0].IsDown =
      true; // its runs continue, but it is unreachable
  Fleet.Sim.run(3s);
  Fleet.publishHosts();
  BOOST_TEST(Fleet.decide().size() == 1);
  // A worker that is only silent for a moment is not replaced.
  Fleet.Sim.Workers[1].IsDown = true;
  Fleet.Sim.run(600ms);
  BOOST_TEST(Fleet.decide().empty());
}

BOOST_AUTO_TEST_CASE(HostsAreMovedForTheJobsThatAreAboutToCome) {
  // The load of a queue rises: the first job fills one host, and more jobs
  // arrive before a host that is moved now can run work.
  FleetFixture Fleet(6);
  Fleet.moveToStandby(2);
  BOOST_TEST(Fleet.decide().empty());
  Fleet.Sim.submit("a", simpleJob(4));
  Fleet.Sim.run(50ms);
  BOOST_TEST(Fleet.decide().size() == 3);
}

BOOST_AUTO_TEST_CASE(HostsAreMovedForOccurrencesThatAreAboutToBeDue) {
  FleetFixture Fleet(6);
  Fleet.moveToStandby(2);
  jobs::JobSpec Spec = simpleJob(16);
  Spec.RunSchedule = {2, Fleet.Sim.Time.wallNow() + 5s, 5s};
  Fleet.Sim.submit("a", Spec);
  Fleet.Sim.run(2s);
  BOOST_TEST(Fleet.decide().empty());
  Fleet.Sim.run(2s);
  BOOST_TEST(Fleet.decide().size() == 3); // five desired, two present
}

BOOST_AUTO_TEST_CASE(UnneededHostsGoToStandbyAfterAWhile) {
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName IdlePool("idle");
  std::vector<PoolHost> Hosts(5);
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Hosts[Number].Name = HostName(fmt::format("h{}", Number));
    Hosts[Number].Pool = IdlePool;
    Hosts[Number].Capacity = {4000, 4000, 0};
    Hosts[Number].IsMovable = Hosts[Number].IsVacant = true;
  }
  const std::vector<Pool> Pools = {{IdlePool}, {StandbyPool, true}};
  BOOST_TEST(Planner.plan(Instant(1s), Pools, {}, Hosts).Moves.empty());
  BOOST_TEST(Planner.plan(Instant(4s), Pools, {}, Hosts).Moves.size() == 3);
}

BOOST_AUTO_TEST_CASE(HostsWithLongRunningTasksAreNotMoved) {
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName BusyPool("busy");
  const PoolName OtherPool("other");
  std::vector<PoolHost> Hosts(4);
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Hosts[Number].Name = HostName(fmt::format("h{}", Number));
    Hosts[Number].Pool = Number == 0 ? BusyPool : OtherPool;
    Hosts[Number].Capacity = {4000, 4000, 0};
    Hosts[Number].IsMovable = true;
    Hosts[Number].HasLongRunningTask = Number != 0;
  }
  const PoolPlan Plan =
      Planner.plan(Instant(1s), {{BusyPool}, {OtherPool}},
                   {{BusyPool, {{30000, 1000, 0}, 0}}}, Hosts);
  BOOST_TEST(Plan.Moves.empty());
  BOOST_TEST(Plan.Drains.empty());
}

BOOST_AUTO_TEST_CASE(PoolsShareTheHostsWhenTheyDesireMoreThanThereAre) {
  // The work of one queue still fills its hosts when the turn of another queue
  // begins.
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName EarlyPool("early");
  const PoolName LatePool("late");
  std::vector<PoolHost> Hosts(12);
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Hosts[Number].Name = HostName(fmt::format("h{}", Number));
    Hosts[Number].Pool = Number < 10 ? EarlyPool : LatePool;
    Hosts[Number].Capacity = {4000, 4000, 0};
    Hosts[Number].IsMovable = true;
    Hosts[Number].ClaimedCpuMilli = 4000;
  }
  const std::vector<Pool> Pools = {{EarlyPool}, {LatePool}};
  const PoolDemand Demand{{48000, 1000, 0}, 0};
  PoolPlan Plan = Planner.plan(
      Instant(1s), Pools, {{EarlyPool, Demand}, {LatePool, Demand}}, Hosts);
  BOOST_TEST(Plan.Drains.size() == 4);
  BOOST_TEST(Plan.Moves.empty());
  // A pool that alone desires more than there is keeps all that is unneeded
  // elsewhere.
  Planner.reset();
  Plan = Planner.plan(Instant(1s), Pools, {{EarlyPool, Demand}}, Hosts);
  BOOST_TEST(Plan.Drains.empty());
}

namespace {

std::vector<PoolHost> vacantHosts(unsigned Count, const PoolName &Pool) {
  std::vector<PoolHost> Hosts(Count);
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Hosts[Number].Name = HostName(fmt::format("{}-{}", Pool.Text, Number));
    Hosts[Number].Pool = Pool;
    Hosts[Number].Capacity = {4000, 4000, 0};
    Hosts[Number].IsMovable = Hosts[Number].IsVacant = true;
  }
  return Hosts;
}

} // namespace

// Work waited for ever in a small fleet, beside idle pools of the least size.
BOOST_AUTO_TEST_CASE(IdlePoolsGiveUpTheirLastHostsForWork) {
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName BusyPool("busy");
  const PoolName IdlePool("idle");
  std::vector<PoolHost> Hosts = vacantHosts(2, IdlePool);
  const PoolPlan Plan =
      Planner.plan(Instant(1s), {{BusyPool}, {IdlePool}},
                   {{BusyPool, {{30000, 1000, 0}, 0}}}, Hosts);
  BOOST_TEST(!Plan.Moves.empty());
}

namespace {

/// An idle pool beside two pools whose long-running tasks need more hosts than
/// there are.
struct ShortFleetFixture {
  ShortFleetFixture() {
    Demand[Long].LongRunningHosts = 3;
    Demand[Other].LongRunningHosts = 3;
    Demand[Other].BatchResources = {30000, 1000, 0};
    addHosts(Long, 2, true);
    addHosts(Other, 1, true);
    addHosts(Idle, 2, false);
  }

  void addHosts(const PoolName &Pool, unsigned Count, bool HasLongRunning) {
    for (PoolHost &Host : vacantHosts(Count, Pool)) {
      Host.HasLongRunningTask = HasLongRunning;
      Host.IsVacant = !HasLongRunning;
      Hosts.push_back(Host);
    }
  }

  PoolPlan plan(Instant Now) {
    return Planner.plan(Now, {{Idle}, {Long}, {Other}}, Demand, Hosts);
  }

  /// The moves are carried out, and long-running tasks take the hosts.
  void apply(const PoolPlan &Plan) {
    for (const PoolPlan::HostMove &Move : Plan.Moves) {
      for (PoolHost &Host : Hosts) {
        if (Host.Name == Move.Host) {
          Host.Pool = Move.TargetPool;
          Host.HasLongRunningTask = true;
          Host.IsVacant = false;
        }
      }
    }
  }

  const PoolName Idle = PoolName("idle");
  const PoolName Long = PoolName("long");
  const PoolName Other = PoolName("other");
  PoolPlanner Planner{PoolPlannerOptions()};
  std::map<PoolName, PoolDemand> Demand;
  std::vector<PoolHost> Hosts;
};

} // namespace

// Nothing was shared if the long-running tasks alone needed all hosts, so an
// idle pool kept two while work elsewhere was never done.
BOOST_AUTO_TEST_CASE(AnIdlePoolKeepsOneHostIfLongRunningTasksNeedThemAll) {
  ShortFleetFixture Fleet;
  const PoolPlan Plan = Fleet.plan(Instant(1s));
  BOOST_REQUIRE(Plan.Moves.size() == 1);
  BOOST_TEST(Plan.Moves.front().TargetPool.Text == Fleet.Other.Text);
  BOOST_TEST(Plan.Drains.empty());
}

// A host that moves there and back again runs nothing for two moves.
BOOST_AUTO_TEST_CASE(SharedHostsStayWhereTheyAre) {
  ShortFleetFixture Fleet;
  Fleet.apply(Fleet.plan(Instant(1s)));
  for (Instant Now(2s); Now < Instant(12s); Now += 500ms) {
    Fleet.Demand[Fleet.Idle].BatchResources = {Now < Instant(7s) ? 0 : 30000,
                                               100, 0};
    const PoolPlan Plan = Fleet.plan(Now);
    BOOST_TEST(Plan.Moves.empty());
    BOOST_TEST(Plan.Drains.empty());
  }
}

// The last host of an idle pool took long-running tasks of another one, and no
// host could come back when work for the pool arrived.
BOOST_AUTO_TEST_CASE(AnIdlePoolKeepsAHostThatWouldNotComeBack) {
  ShortFleetFixture Fleet;
  Fleet.Demand[Fleet.Long].LongRunningHosts = 2;
  Fleet.Demand[Fleet.Other].LongRunningHosts = 2;
  BOOST_TEST(Fleet.plan(Instant(1s)).Moves.size() == 1);
}

// With fewer hosts than pools an idle pool kept the host that another one
// needed.
BOOST_AUTO_TEST_CASE(AnIdlePoolGivesUpItsOnlyHostToAPoolWithout) {
  ShortFleetFixture Fleet;
  Fleet.Hosts = vacantHosts(1, Fleet.Idle);
  Fleet.Demand.erase(Fleet.Long);
  Fleet.Demand[Fleet.Other] = {{500, 100, 0}, 0};
  const PoolPlan Plan = Fleet.plan(Instant(1s));
  BOOST_REQUIRE(Plan.Moves.size() == 1);
  BOOST_TEST(Plan.Moves.front().TargetPool.Text == Fleet.Other.Text);
}

// A host stayed in standby while pools that had to share lacked it.
BOOST_AUTO_TEST_CASE(NoHostIsLeftOverWhenPoolsShare) {
  PoolPlanner Planner{PoolPlannerOptions()};
  const std::vector<Pool> Pools = {
      {PoolName("a")}, {PoolName("b")}, {PoolName("c")}, {StandbyPool, true}};
  std::map<PoolName, PoolDemand> Demand;
  for (const char *Name : {"a", "b", "c"}) {
    Demand[PoolName(Name)].BatchResources = {40000, 1000, 0};
  }
  const PoolPlan Plan =
      Planner.plan(Instant(1s), Pools, Demand, vacantHosts(11, StandbyPool));
  BOOST_TEST(Plan.Moves.size() == 11);
}

namespace {

/// A fleet whose hosts are filled by jobs of one queue when jobs of an urgent
/// queue arrive, whose own pool has a single host.
struct TwoQueueFixture : FleetFixture {
  TwoQueueFixture() : FleetFixture(6) {
    Queue &FillingQueue = Sim.Config->Queues.front();
    FillingQueue.Terms.Priority = 1;
    UrgentQueue = FillingQueue;
    UrgentQueue.Name = QueueName("urgent");
    UrgentQueue.Pool = PoolName("urgent");
    UrgentQueue.Terms.Priority = 0;
    Sim.Config->Queues.push_back(UrgentQueue);
    Sim.Config->Pools.push_back({UrgentQueue.Pool});
    Hosts.back().Pool = UrgentQueue.Pool;
    Sim.Workers.back().Record.Pool = UrgentQueue.Pool;
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.RunDuration = 3s;
    }
  }

  /// Returns how many runs were stopped within a second of the urgent jobs'
  /// arrival.
  std::size_t countStopped(jobs::JobSpec FillingSpec) {
    Sim.submit("filling", std::move(FillingSpec));
    Sim.run(500ms);
    Sim.submit("urgent", simpleJob(24), UrgentQueue);
    for (int Round = 0; Round < 10; ++Round) {
      Sim.run(100ms);
      publishHosts();
      decide();
    }
    return static_cast<std::size_t>(
        std::count_if(Sim.Observed.Runs.begin(), Sim.Observed.Runs.end(),
                      [](const RunTrace &Run) {
                        return Run.End == jobs::RunOutcome::Stopped;
                      }));
  }

  Queue UrgentQueue;
};

jobs::JobSpec checkpointingJob(unsigned Tasks) {
  jobs::JobSpec Spec = simpleJob(Tasks);
  Spec.Steps.front().Checkpoints = true;
  return Spec;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(RunsWithCheckpointsMakeRoomForAMoreUrgentQueue,
                        TwoQueueFixture) {
  BOOST_TEST(countStopped(checkpointingJob(20)) > 0U);
  BOOST_TEST(Sim.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(RunsWithoutCheckpointsAreNotPreempted,
                        TwoQueueFixture) {
  BOOST_TEST(countStopped(simpleJob(20)) == 0U);
}

BOOST_FIXTURE_TEST_CASE(RunsOfAnEquallyUrgentQueueAreNotPreempted,
                        TwoQueueFixture) {
  Sim.Config->Queues.front().Terms.Priority = 0;
  BOOST_TEST(countStopped(checkpointingJob(20)) == 0U);
}

BOOST_FIXTURE_TEST_CASE(AWorkerThatRestartsDuringADrainForAMoveIsUsedAgain,
                        TwoQueueFixture) {
  Sim.submit("filling", simpleJob(20));
  Sim.run(500ms);
  publishHosts();
  Sim.submit("urgent", simpleJob(24), UrgentQueue);
  Sim.run(100ms);
  decide();
  std::vector<std::size_t> Draining;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    if (Sim.JobDispatcher->workers().at(Hosts[Index].WorkerId).HostCordon ==
        Cordon::Draining) {
      Draining.push_back(Index);
    }
  }
  BOOST_REQUIRE(!Draining.empty());
  for (const std::size_t Index : Draining) {
    crashWorker(Index);
  }
  // The demand that the hosts were to move for is gone when they are back.
  Sim.cancel("urgent");
  Sim.run(PoolPlannerOptions().DemandWindow + 500ms);
  decide();
  for (const std::size_t Index : Draining) {
    restartWorker(Index);
  }
  Sim.run(1s);
  decide();
  for (const std::size_t Index : Draining) {
    BOOST_TEST(
        (Sim.JobDispatcher->workers().at(Hosts[Index].WorkerId).HostCordon !=
         Cordon::Draining),
        Hosts[Index].WorkerId << " gets no work any more");
  }
}

BOOST_AUTO_TEST_CASE(AHostWhoseWorkerNeverReportsIsReplacedInItsPool) {
  FleetFixture Fleet(6);
  Fleet.Sim.submit("a", longRunningJob(4));
  Fleet.Sim.run(1s);
  Fleet.moveToStandby(4);
  Fleet.Sim.Workers[0].IsDown = true;
  Fleet.Sim.startNewTerm();
  Fleet.Scheduler.begin();
  Fleet.Scheduler.setRecentOrders({});
  Fleet.Sim.run(8s);
  Fleet.publishHosts();
  std::size_t Moves = 0;
  for (int Round = 0; Round < 20; ++Round) {
    Moves += Fleet.decide().size();
    Fleet.Sim.run(100ms);
  }
  BOOST_TEST(Moves == 1);
}

BOOST_AUTO_TEST_CASE(AHostWhoseWorkerDrainsIsReplacedInItsPool) {
  FleetFixture Fleet(6);
  Fleet.Sim.submit("a", longRunningJob(3));
  Fleet.Sim.run(1s);
  Fleet.moveToStandby(4);
  for (FakeWorker &Worker : Fleet.Sim.Workers) {
    Worker.Record.Draining = true;
  }
  Fleet.Sim.Workers[0].Record.Draining = false;
  Fleet.Sim.submit("b", longRunningJob(2));
  Fleet.Sim.run(3s);
  Fleet.publishHosts();
  BOOST_TEST(Fleet.decide().size() > 0);
}

BOOST_AUTO_TEST_CASE(AWorkerThatStartsDuringAHostOrderIsCordoned) {
  FleetFixture Fleet(1);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  Fleet.Sim.run(100ms);
  BOOST_REQUIRE(Fleet.decide().size() == 1);
  // The order has no reply yet when the worker is back under another ID.
  Fleet.crashWorker(0);
  FakeWorker NextWorker = Fleet.Sim.Workers[0];
  NextWorker.Record.Instance = {"w1", 2000};
  NextWorker.Record.Address.WorkerId = "w1";
  NextWorker.HasCrashed = false;
  Fleet.Sim.Workers.push_back(NextWorker);
  Fleet.Hosts[0].Status = HostStatus::Up;
  Fleet.Hosts[0].WorkerId = "w1";
  Fleet.publishHosts();
  Fleet.Sim.run(1s);
  Fleet.publishHosts();
  Fleet.Sim.submit("a", simpleJob(1));
  Fleet.Sim.run(3s);
  BOOST_TEST(Fleet.Sim.countStarts("a") == 0);
}

BOOST_AUTO_TEST_CASE(TasksThatLeaveADrainingHostDoNotComeBackToIt) {
  FleetFixture Fleet(2);
  jobs::JobSpec Spec = longRunningJob(2);
  Spec.Steps.front().MaxPerWorker = 0;
  Fleet.Sim.submit("a", Spec);
  Fleet.Sim.run(4s);
  Fleet.publishHosts();
  Fleet.Scheduler.addWave(waveOf(Fleet.Hosts, 1));
  std::map<std::size_t, Instant> BackAt;
  for (int Round = 0; Round < 200 && !Fleet.Completed; ++Round) {
    Fleet.Sim.run(100ms);
    std::erase_if(BackAt, [&](const auto &Entry) {
      const bool IsBack = Fleet.Sim.Time.now() >= Entry.second;
      if (IsBack) {
        Fleet.Sim.Workers[Entry.first].HasCrashed = false;
        Fleet.restartWorker(Entry.first);
      }
      return IsBack;
    });
    Fleet.publishHosts();
    for (const HostOrder &Order : Fleet.decide()) {
      const std::size_t Index = Order.Host == Fleet.Hosts[0].Name ? 0 : 1;
      Fleet.Scheduler.handleReply(Order, true);
      Fleet.crashWorker(Index);
      BackAt[Index] = Fleet.Sim.Time.now() + 2s;
    }
  }
  BOOST_TEST(Fleet.Completed);
  BOOST_TEST(Fleet.Sim.Observed.Runs.size() == 4U);
}

BOOST_AUTO_TEST_CASE(TwoLostRepliesMoveNoHost) {
  // Idle workers report every two seconds.
  FleetFixture Fleet(4);
  Fleet.moveToStandby(PoolPlannerOptions().MinHosts);
  BOOST_TEST(Fleet.decide().empty());
  unsigned LostCount = 0;
  Fleet.Sim.LosesAnswer = [&](const WorkerOrder &Order) {
    return workerOf(Order).WorkerId == "w0" && ++LostCount <= 2;
  };
  std::size_t Moves = 0;
  for (int Round = 0; Round < 400; ++Round) {
    Fleet.Sim.run(10ms);
    Moves += Fleet.decide().size();
  }
  BOOST_TEST(LostCount > 2U);
  BOOST_TEST(Moves == 0U);
}

BOOST_AUTO_TEST_CASE(AHostCountsForItsNewPoolUntilItsMoveIsOver) {
  FleetFixture Fleet(3);
  Fleet.Sim.submit("a", longRunningJob(1));
  Fleet.Sim.run(1s);
  Fleet.moveToStandby(1);
  // The hosts in standby keep their workers' IDs.
  Fleet.Hosts[1].WorkerId = "w1";
  Fleet.Hosts[2].WorkerId = "w2";
  Fleet.publishHosts();
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  const std::size_t Moved = Orders.front().Host == Fleet.Hosts[1].Name ? 1 : 2;
  Fleet.Scheduler.handleReply(Orders.front(), true);
  Fleet.Sim.Workers[Moved].HasCrashed = true;
  Fleet.Hosts[Moved].Status = HostStatus::Moving;
  std::size_t Moves = 0;
  for (int Round = 0; Round < 15; ++Round) {
    Fleet.publishHosts();
    Moves += Fleet.decide().size();
    Fleet.Sim.run(100ms);
  }
  BOOST_TEST(Moves == 0U);
}

// A host list from before a worker was back under its ID, after an order that
// was lost, ended a run that the next incarnation had taken; it ran twice.
BOOST_AUTO_TEST_CASE(AListOfACrashedHostDoesNotEndTheNextIncarnation) {
  FleetFixture Fleet(2);
  Simulation &Sim = Fleet.Sim;
  Sim.Registrations.emplace();
  for (const FakeWorker &Worker : Sim.Workers) {
    (*Sim.Registrations)[Worker.Record.Instance.Id] = Worker.Record;
  }
  Sim.RegistrationsChanged = true;
  Sim.run(10s);
  Fleet.publishHosts();
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.crash(Sim.Time.now(), Sim.Observed);
  }
  Sim.submit("a", longRunningJob(1));
  while (Sim.countStarts("a") == 0) {
    Sim.run(5ms);
  }
  const std::size_t Index = Sim.Workers[0].runs().empty() ? 1 : 0;
  Fleet.Scheduler.addWave(waveOf({Fleet.Hosts[Index]}, 1));
  const std::vector<HostOrder> Orders = Fleet.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_REQUIRE(Sim.Workers[Index].runs().size() == 1);
  Fleet.Scheduler.handleReply(Orders.front(), false);
  Fleet.Hosts[Index].Status = HostStatus::Down;
  Fleet.Hosts[Index].WorkerId.clear();
  Fleet.publishHosts();
  Fleet.Hosts[Index].Status = HostStatus::Up;
  Fleet.Hosts[Index].WorkerId = Sim.Workers[Index].Record.Instance.Id;
  Sim.run(200ms);
  for (const FakeWorker &Worker : Sim.Workers) {
    (*Sim.Registrations)[Worker.Record.Instance.Id] = Worker.Record;
  }
  Sim.RegistrationsChanged = true;
  Sim.run(5s);
  for (const std::string &Violation : Sim.violations()) {
    BOOST_TEST_MESSAGE(Violation);
  }
  BOOST_TEST(Sim.violations().empty());
}
