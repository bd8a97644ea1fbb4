/// \file
/// Waves and moves: what is ordered when, and what an order's answer means.

#define BOOST_TEST_MODULE HostKeeper
#include "World.h"

#include "balsamlatch/Dispatch/HostKeeper.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

const PoolName ThePool("pool");
const PoolName Spare("spare");

jobs::JobSpec lastingJob(unsigned Tasks) {
  jobs::JobSpec Spec = simpleJob(Tasks);
  Spec.Steps.front().Lasting = true;
  Spec.Steps.front().MaxPerWorker = 1;
  Spec.Steps.front().MaxUnavailable = 1;
  return Spec;
}

/// A world with a host for each worker, and a keeper past its settling.
struct Fleet {
  explicit Fleet(unsigned Count, bool EarlierOrdersKnown = true)
      : W(Count), Keeper(W.Time, HostKeeperOptions(), W.Log) {
    Keeper.begin();
    if (EarlierOrdersKnown) {
      Keeper.setEarlierOrders({});
    }
    for (unsigned Number = 0; Number < Count; ++Number) {
      HostRecord &Host = Hosts.emplace_back();
      Host.Name = HostName(fmt::format("h{}", Number));
      Host.Pool = ThePool;
      Host.Capacity = {4000, 4000, 0};
      Host.WorkerId = fmt::format("w{}", Number);
    }
  }

  void list() { Keeper.setHosts(Hosts, *W.Decisions); }

  /// All hosts but the first ones stand by, and the keeper knows of them.
  void standBy(std::size_t Kept) {
    W.Config->Pools.push_back({Spare, true});
    for (std::size_t Number = Kept; Number < Hosts.size(); ++Number) {
      Hosts[Number].Pool = Spare;
      Hosts[Number].WorkerId.clear();
    }
    W.run(4s);
    list();
  }

  std::vector<HostOrder> decide() {
    std::vector<HostOrder> Orders;
    for (const HostDecision &Each :
         Keeper.decide(*W.Decisions, W.Book, *W.Config)) {
      if (const auto *Order = std::get_if<HostOrder>(&Each)) {
        Orders.push_back(*Order);
      } else {
        Completed = true;
      }
    }
    return Orders;
  }

  World W;
  HostKeeper Keeper;
  std::vector<HostRecord> Hosts;
  bool Completed = false;
};

WaveRequest waveOf(const std::vector<HostRecord> &Hosts, unsigned AtOnce) {
  WaveRequest Wave;
  Wave.Number = 1;
  for (const HostRecord &Host : Hosts) {
    Wave.Hosts.push_back(Host.Name);
  }
  Wave.TimeAllowed = 30s;
  Wave.MaxAway = AtOnce;
  return Wave;
}

} // namespace

BOOST_AUTO_TEST_CASE(NoHostIsOrderedBeforeTheEarlierOrdersAreKnown) {
  Fleet F(2, false);
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 2));
  F.W.run(10s);
  BOOST_TEST(F.decide().empty());
}

BOOST_AUTO_TEST_CASE(AHostThatAnEarlierHolderOrderedWaits) {
  Fleet F(2, false);
  F.Keeper.setEarlierOrders({F.Hosts[0].Name});
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 2));
  F.W.run(100ms);
  const std::vector<HostOrder> Orders = F.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  BOOST_TEST(Orders.front().Host.Text == "h1");
  // The next holder must know of both.
  BOOST_TEST(
      (F.Keeper.recentOrders() == std::set{F.Hosts[0].Name, F.Hosts[1].Name}));
  F.W.run(4s);
  BOOST_TEST(F.decide().size() == 1);
}

BOOST_AUTO_TEST_CASE(TwoHostsOfAWaveMayBeOrderedAtOnce) {
  Fleet F(2, false);
  F.Keeper.setEarlierOrders({F.Hosts[0].Name, F.Hosts[1].Name});
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 2));
  F.W.run(3s);
  BOOST_TEST(F.decide().empty());
  F.W.run(1s);
  BOOST_TEST(F.decide().size() == 2);
}

BOOST_AUTO_TEST_CASE(AWaveKeepsItsBound) {
  Fleet F(4);
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 2));
  F.W.run(4s);
  unsigned Orders = 0;
  for (int Round = 0; Round < 10; ++Round) {
    Orders += static_cast<unsigned>(F.decide().size());
    F.W.run(100ms);
  }
  BOOST_TEST(Orders == 2);
}

BOOST_AUTO_TEST_CASE(AStepLosesNoMoreTasksThanItsCallerAllows) {
  Fleet F(3);
  F.W.submit("a", lastingJob(2));
  F.W.run(4s);
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 3));
  // The answers are still out: each order's tasks count as away.
  unsigned Taken = 0;
  for (int Round = 0; Round < 5; ++Round) {
    for (const HostOrder &Order : F.decide()) {
      const auto &Runs = F.W.Decisions->workers().at(Order.WorkerId).Runs;
      Taken += Runs.empty() ? 0 : 1;
    }
    F.W.run(100ms);
  }
  BOOST_TEST(Taken <= 1);
}

BOOST_AUTO_TEST_CASE(TasksThatMayHaveBegunTheirWorkAreNotTakenTogether) {
  // The worker's last report is from before its tasks were at work.
  Fleet F(2);
  F.W.Workers[0].Hangs = true;
  F.W.Workers[1].Hangs = true;
  jobs::JobSpec Spec = lastingJob(2);
  Spec.Steps.front().MaxPerWorker = 0;
  F.W.submit("a", Spec);
  F.W.run(4s);
  F.list();
  const std::string First = F.W.Past.Runs.front().Worker;
  BOOST_REQUIRE(F.W.Decisions->workers().at(First).Runs.size() == 2);
  F.Keeper.addWave(waveOf({F.Hosts[First == "w0" ? 0 : 1]}, 1));
  BOOST_TEST(F.decide().empty());
}

BOOST_AUTO_TEST_CASE(NoTaskIsTakenOnTheStrengthOfOldReports) {
  Fleet F(3);
  F.W.submit("a", lastingJob(2));
  F.W.run(4s);
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 3));
  F.W.Time.advance(3s); // the holder was busy with other things
  for (const HostOrder &Order : F.decide()) {
    BOOST_TEST(F.W.Decisions->workers().at(Order.WorkerId).Runs.empty());
  }
}

BOOST_AUTO_TEST_CASE(AnOrderThatWasCarriedOutBeforeEndsNothing) {
  Fleet F(1);
  F.W.submit("a", lastingJob(1));
  F.W.run(4s);
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 1));
  const std::vector<HostOrder> Orders = F.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  F.Keeper.answered(Orders.front(), true);
  F.list(); // the host is up, with the same worker
  F.W.run(2s);
  BOOST_TEST(F.W.started("a") == 1);
  F.decide();
  BOOST_TEST(F.Completed);
}

BOOST_AUTO_TEST_CASE(RunsOfAMaintainedHostAreLostOnceTheListShowsIt) {
  Fleet F(2);
  F.W.submit("a", lastingJob(1));
  F.W.run(4s);
  F.list();
  const std::string First = F.W.Past.Runs.front().Worker;
  F.Keeper.addWave(waveOf({F.Hosts[First == "w0" ? 0 : 1]}, 1));
  const std::vector<HostOrder> Orders = F.decide();
  BOOST_REQUIRE(Orders.size() == 1);
  F.Keeper.answered(Orders.front(), true);
  F.W.run(100ms);
  BOOST_TEST(F.W.started("a") == 1);
  F.W.Workers[First == "w0" ? 0 : 1].crash(F.W.Time.now(), F.W.Past);
  F.W.Workers[First == "w0" ? 0 : 1].Down = true;
  F.Hosts[First == "w0" ? 0 : 1].Status = HostStatus::Maintenance;
  F.list();
  F.W.run(100ms);
  BOOST_TEST(F.W.started("a") == 2);
}

BOOST_AUTO_TEST_CASE(ABusyHostIsDrainedBeforeItsMaintenance) {
  Fleet F(2);
  for (FakeWorker &Each : F.W.Workers) {
    Each.RunTime = 1500ms;
  }
  F.W.run(4s);
  F.W.submit("a", simpleJob(8));
  F.W.run(200ms);
  F.list();
  F.Keeper.addWave(waveOf(F.Hosts, 1));
  BOOST_TEST(F.decide().empty());
  F.W.run(1600ms);
  BOOST_TEST(F.decide().size() == 1);
}

BOOST_AUTO_TEST_CASE(AHostWithMoreOfAStepThanMayBeAwayIsEmptiedTaskByTask) {
  Fleet F(2);
  jobs::JobSpec Spec = lastingJob(3);
  Spec.Steps.front().MaxPerWorker = 0;
  F.W.submit("a", Spec);
  F.W.run(4s);
  F.list();
  const std::string First = F.W.Past.Runs.front().Worker;
  F.Keeper.addWave(waveOf({F.Hosts[First == "w0" ? 0 : 1]}, 1));
  unsigned MostAway = 0;
  std::vector<HostOrder> Orders;
  for (int Round = 0; Round < 100 && Orders.empty(); ++Round) {
    Orders = F.decide();
    F.W.run(100ms);
    unsigned AtWork = 0;
    for (const RunTrace &Each : F.W.Past.Runs) {
      AtWork += Each.Ended == Instant::max() ? 1 : 0;
    }
    MostAway = std::max(MostAway, 3 - AtWork);
  }
  BOOST_TEST(Orders.size() == 1);
  BOOST_TEST(MostAway <= 1);
  BOOST_TEST(F.W.faults().empty());
}

BOOST_AUTO_TEST_CASE(ADrainThatLeadsToNothingEnds) {
  // The second task of the step is away, so the first one may not be taken;
  // hosts that drained on for it would lack where they are needed.
  Fleet F(2);
  F.W.submit("a", lastingJob(2));
  F.W.run(4s);
  F.W.Workers[0].RunTime = 60s;
  F.W.Workers[1].crash(F.W.Time.now(), F.W.Past);
  F.W.Workers[1].Down = true;
  F.W.submit("b", simpleJob(1));
  F.W.run(1s);
  F.list();
  F.Keeper.addWave(waveOf({F.Hosts[0]}, 1));
  BOOST_TEST(F.decide().empty());
  BOOST_TEST(F.W.Decisions->workers().at("w0").Cordoned);
  F.W.run(8s);
  BOOST_TEST(F.decide().empty());
  BOOST_TEST(!F.W.Decisions->workers().at("w0").Cordoned);
}

BOOST_AUTO_TEST_CASE(HostsFollowTheWork) {
  // A queue asks for more than its pool holds while another pool is idle.
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName Busy("busy");
  const PoolName Idle("idle");
  std::vector<PoolHost> Hosts;
  for (int Number = 0; Number < 12; ++Number) {
    PoolHost Host;
    Host.Name = HostName(fmt::format("h{}", Number));
    Host.Pool = Number < 4 ? Busy : (Number < 10 ? Idle : Spare);
    Host.Capacity = {4000, 4000, 0};
    Host.Movable = true;
    Host.Vacant = Number >= 4;
    Hosts.push_back(Host);
  }
  const std::vector<Pool> Pools = {{Busy}, {Idle}, {Spare, true}};
  const PoolPlan Plan =
      Planner.plan(Instant(1s), Pools, {{Busy, {{30000, 1000, 0}, 0}}}, Hosts);
  BOOST_TEST(Plan.Moves.size() == 5); // nine wanted, four there
  unsigned FromSpare = 0;
  for (const PoolPlan::Step &Step : Plan.Moves) {
    BOOST_TEST(Step.To.Text == Busy.Text);
    FromSpare += Step.Host.Text == "h10" || Step.Host.Text == "h11" ? 1 : 0;
  }
  BOOST_TEST(FromSpare == 1); // hosts that are paid for come first
}

BOOST_AUTO_TEST_CASE(HostsAreMovedForTheJobsThatAreAboutToCome) {
  // A queue's turn begins: the first job fills one host, and more follow
  // before a host that is moved now can run anything.
  Fleet F(6);
  F.standBy(2);
  BOOST_TEST(F.decide().empty());
  F.W.submit("a", simpleJob(4));
  F.W.run(50ms);
  BOOST_TEST(F.decide().size() == 3);
}

BOOST_AUTO_TEST_CASE(HostsAreMovedForOccurrencesThatAreAboutToBeDue) {
  Fleet F(6);
  F.standBy(2);
  jobs::JobSpec Spec = simpleJob(16);
  Spec.Times = {2, F.W.Time.wallNow() + 5s, 5s};
  F.W.submit("a", Spec);
  F.W.run(2s);
  BOOST_TEST(F.decide().empty());
  F.W.run(2s);
  BOOST_TEST(F.decide().size() == 3); // five wanted, two there
}

BOOST_AUTO_TEST_CASE(UnneededHostsGoToStandbyAfterAWhile) {
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName Idle("idle");
  std::vector<PoolHost> Hosts(5);
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Hosts[Number].Name = HostName(fmt::format("h{}", Number));
    Hosts[Number].Pool = Idle;
    Hosts[Number].Capacity = {4000, 4000, 0};
    Hosts[Number].Movable = Hosts[Number].Vacant = true;
  }
  const std::vector<Pool> Pools = {{Idle}, {Spare, true}};
  BOOST_TEST(Planner.plan(Instant(1s), Pools, {}, Hosts).Moves.empty());
  BOOST_TEST(Planner.plan(Instant(4s), Pools, {}, Hosts).Moves.size() == 3);
}

BOOST_AUTO_TEST_CASE(HostsWithLastingWorkStay) {
  PoolPlanner Planner{PoolPlannerOptions()};
  const PoolName Busy("busy");
  const PoolName Other("other");
  std::vector<PoolHost> Hosts(4);
  for (std::size_t Number = 0; Number < Hosts.size(); ++Number) {
    Hosts[Number].Name = HostName(fmt::format("h{}", Number));
    Hosts[Number].Pool = Number == 0 ? Busy : Other;
    Hosts[Number].Capacity = {4000, 4000, 0};
    Hosts[Number].Movable = true;
    Hosts[Number].Lasting = Number != 0;
  }
  const PoolPlan Plan = Planner.plan(Instant(1s), {{Busy}, {Other}},
                                     {{Busy, {{30000, 1000, 0}, 0}}}, Hosts);
  BOOST_TEST(Plan.Moves.empty());
  BOOST_TEST(Plan.Drains.empty());
}
