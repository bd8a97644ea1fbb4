/// \file
/// The parts of the engine by themselves: queue, retry budget, health, learned
/// run times, attempts and slots.

#include "balsamlatch/Placement/AttemptMachine.h"
#include "balsamlatch/Placement/PoolQueue.h"
#include "balsamlatch/Placement/RetryBudget.h"
#include "balsamlatch/Placement/SizeModel.h"
#include "balsamlatch/Placement/SlotHolder.h"
#include "balsamlatch/Placement/SlotScheduler.h"
#include "balsamlatch/Placement/WorkerHealth.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace balsamlatch;
using namespace balsamlatch::placement;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("quotes");
const JobName Quote("quote");
const JobName Plan("plan");

HostName host(unsigned Number) {
  return HostName(fmt::format("host-{}", Number));
}

Waiting waiting(std::uint64_t Key, const std::string &Team, JobClass Class,
                Duration Start, Duration Ages = 1h) {
  return {RequestKey(Key), TeamName(Team), Class,
          Instant(Start),  Instant(Ages),  false};
}

SlotAsk askOf(std::uint64_t Sequence, std::uint32_t Prompt) {
  SlotAsk Ask;
  Ask.Pool = Pool;
  Ask.For = Pool;
  Ask.Prompt = Prompt;
  Ask.EarliestDeadline = 1s;
  Ask.Sequence = Sequence;
  return Ask;
}

std::uint32_t slotsFor(const SlotScheduler::Grants &Grants,
                       const std::string &Entry) {
  std::uint32_t Count = 0;
  for (const auto &[To, Grant] : Grants) {
    Count += To.Text == Entry ? Grant.Slots : 0;
  }
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Parts)

BOOST_AUTO_TEST_CASE(PromptWorkGoesByLatestStartAndPatientWorkAges) {
  PoolQueue Queue;
  Queue.setSlots(8);
  Queue.push(waiting(1, "a", JobClass::Patient, 50s, 10s));
  Queue.push(waiting(2, "a", JobClass::Prompt, 70s));
  Queue.push(waiting(3, "a", JobClass::Prompt, 60s));
  BOOST_TEST(Queue.next(Instant(1s))->Key.Value == 3U);
  BOOST_TEST(Queue.next(Instant(10s))->Key.Value == 1U);
  BOOST_TEST(Queue.urgent() == 3U);
}

BOOST_AUTO_TEST_CASE(ATeamBeyondItsQuotaYieldsOnlyWhileOthersWait) {
  PoolQueue Queue;
  Queue.setQuota(TeamName("greedy"), 1);
  Queue.started(TeamName("greedy"), JobClass::Prompt);
  Queue.push(waiting(1, "greedy", JobClass::Prompt, 1s));
  BOOST_TEST(Queue.next(Instant())->Key.Value == 1U);
  Queue.setSlots(8);
  Queue.push(waiting(2, "modest", JobClass::Prompt, 9s));
  BOOST_TEST(Queue.next(Instant())->Key.Value == 2U);
  Queue.remove(RequestKey(2));
  BOOST_TEST(Queue.next(Instant())->Key.Value == 1U);
}

BOOST_AUTO_TEST_CASE(TheQueueKeepsWhatIsPutInUntilItIsTakenOut) {
  BOOST_TEST(rc::check("queue", [] {
    PoolQueue Queue;
    Queue.setSlots(4);
    std::set<std::uint64_t> Model;
    const auto Steps = *rc::gen::container<std::vector<int>>(
        100, rc::gen::inRange(0, 100'000));
    std::uint64_t Last = 0;
    Instant Now{};
    for (const int Step : Steps) {
      Now += Duration(Step);
      if (Step % 3 == 0) {
        const JobClass Class =
            Step % 2 == 0 ? JobClass::Prompt : JobClass::Patient;
        Queue.push(waiting(++Last, fmt::format("team-{}", Step % 5), Class,
                           Duration(Step * 7 % 1000),
                           Duration(Step * 11 % 1'000'000)));
        Model.insert(Last);
      } else if (const Waiting *Next = Queue.next(Now)) {
        const Waiting Taken = *Next;
        RC_ASSERT(Model.erase(Taken.Key.Value) == 1U);
        RC_ASSERT(Queue.remove(Taken.Key));
        Queue.started(Taken.Team, Taken.Class);
        if (Step % 3 == 1) {
          Queue.ended(Taken.Team);
        }
      }
      RC_ASSERT(Queue.size() == Model.size());
      RC_ASSERT(Queue.empty() == (Queue.next(Now) == nullptr));
      RC_ASSERT(Queue.urgent() + Queue.unaged() == Queue.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheirShareOfTheLoad) {
  BOOST_TEST(rc::check("budget", [] {
    RetryBudget Budget;
    double First = 0;
    double Again = 0;
    for (const bool IsRetry : *rc::gen::container<std::vector<bool>>(
             500, rc::gen::arbitrary<bool>())) {
      if (!IsRetry) {
        Budget.firstAttempt();
        ++First;
      } else if (Budget.take()) {
        ++Again;
      }
      RC_ASSERT(Again <= 10 + First * 0.1 + 0.001);
    }
  }));
  Random Rng(1);
  BOOST_TEST((backOff(1, Rng) == 0s));
  for (unsigned Tries = 2; Tries < 100; ++Tries) {
    BOOST_TEST((backOff(Tries, Rng) <= 500ms));
  }
}

BOOST_AUTO_TEST_CASE(AWorkerIsBlamedOnlyForJobsThatSucceedElsewhere) {
  WorkerHealth Health;
  Health.setPoolSize(Pool, 10);
  for (int I = 0; I < 4; ++I) {
    Health.failed(host(1), Pool, Quote, true, Instant(1s));
  }
  BOOST_TEST(!Health.ejected(host(1)));
  Health.succeeded(host(2), Quote, Instant(1s));
  Health.failed(host(1), Pool, Quote, true, Instant(1s));
  BOOST_TEST(Health.ejected(host(1)));
  BOOST_TEST(!Health.dueProbe(Pool, Instant(2s)).has_value());
  BOOST_TEST((Health.dueProbe(Pool, Instant(3s)) == host(1)));
  Health.probing(host(1));
  BOOST_TEST(!Health.dueProbe(Pool, Instant(3s)).has_value());
  Health.succeeded(host(1), Quote, Instant(4s));
  BOOST_TEST(!Health.ejected(host(1)));
}

BOOST_AUTO_TEST_CASE(AJobThatFailsOnManyWorkersIsEjectedAndNoWorkerIs) {
  WorkerHealth Health;
  Health.setPoolSize(Pool, 10);
  for (unsigned I = 0; I < 6; ++I) {
    Health.succeeded(host(I), Plan, Instant(1s));
    Health.failed(host(I), Pool, Quote, true, Instant(1s));
  }
  BOOST_TEST(Health.ejected(Quote));
  BOOST_TEST(!Health.admitProbe(Quote, Instant(2s)));
  BOOST_TEST(Health.admitProbe(Quote, Instant(3s)));
  BOOST_TEST(!Health.admitProbe(Quote, Instant(3s)));
  for (unsigned I = 0; I < 6; ++I) {
    BOOST_TEST(!Health.ejected(host(I)));
  }
}

BOOST_AUTO_TEST_CASE(NeverMoreThanAThirdOfAPoolIsEjected) {
  WorkerHealth Health;
  Health.setPoolSize(Pool, 9);
  Health.succeeded(host(100), Quote, Instant(1s));
  Health.succeeded(host(101), Quote, Instant(1s));
  unsigned Ejected = 0;
  for (unsigned I = 0; I < 9; ++I) {
    for (int J = 0; J < 9; ++J) {
      Health.failed(host(I), Pool, Quote, false, Instant(1s));
    }
    Ejected += Health.ejected(host(I)) ? 1 : 0;
  }
  BOOST_TEST(Ejected == 3U);
}

BOOST_AUTO_TEST_CASE(RunTimesAreLearnedAndDeclaredOnesDoubted) {
  JobRule Rule;
  Rule.Job = Quote;
  Rule.RunTime = 1s;
  SizeModel Sizes;
  BOOST_TEST((Sizes.shortestRunTime(Rule, Instant()) == 100ms));
  for (int I = 1; I <= 64; ++I) {
    Sizes.ran(Quote, I * 1ms, Instant());
  }
  BOOST_TEST((Sizes.runTime(Rule) >= 58ms && Sizes.runTime(Rule) <= 64ms));
  BOOST_TEST((Sizes.shortestRunTime(Rule, Instant()) <= 10ms));
  BOOST_TEST((Sizes.shortestRunTime(Rule, Instant(1h)) == 100ms));
}

BOOST_AUTO_TEST_CASE(AnAttemptHoldsItsSlotUntilItsEndIsCertain) {
  AttemptMachine Life;
  BOOST_TEST((Life.cancelConfirmed() == AttemptStep::None));
  BOOST_TEST((Life.cancel() == AttemptStep::SendCancel));
  BOOST_TEST((Life.cancel() == AttemptStep::None));
  BOOST_TEST((Life.cancelConfirmed() == AttemptStep::ReleaseSlot));
  BOOST_TEST((Life.ended() == AttemptStep::None));
}

BOOST_AUTO_TEST_CASE(TheSchedulerNeverGrantsASlotTwice) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 2}, {host(2), 2}});
  const auto First = Scheduler.asked(EntryName("a"), askOf(1, 3), Instant(1s));
  const auto Second = Scheduler.asked(EntryName("b"), askOf(1, 3), Instant(1s));
  BOOST_TEST(slotsFor(First, "a") == 3U);
  BOOST_TEST(slotsFor(Second, "b") == 1U);
  BOOST_TEST(Scheduler.free() == 0U);
  // The asker saw its grants, uses none of them, and wants none.
  SlotAsk Done = askOf(2, 0);
  Done.LastGrant = First.back().second.Number;
  const auto Third = Scheduler.asked(EntryName("a"), Done, Instant(1s));
  BOOST_TEST(slotsFor(Third, "b") == 2U);
  // An ask that was overtaken changes nothing.
  BOOST_TEST(Scheduler.asked(EntryName("a"), askOf(1, 9), Instant(1s)).empty());
}

BOOST_AUTO_TEST_CASE(ASchedulerThatTakesOverLearnsWhatIsHeld) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 2}});
  SlotAsk Ask = askOf(1, 2);
  Ask.InUse = {{host(1), 1}};
  BOOST_TEST(slotsFor(Scheduler.asked(EntryName("a"), Ask, Instant(1s)), "a") ==
             1U);
  Scheduler.setEntries({EntryName("b")});
  BOOST_TEST(Scheduler.free() == 2U);
}

BOOST_AUTO_TEST_CASE(ABurstLeavesTheReserveOfOtherPoolsOnTheSpare) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 20}});
  SchedulerLimits Limits;
  Limits.SpillingPools = 3;
  Scheduler.setLimits(Limits);
  SlotAsk Burst = askOf(1, 20);
  Burst.For = PoolName("cut-plans");
  const auto Taken = Scheduler.asked(EntryName("a"), Burst, Instant(1s));
  BOOST_TEST(slotsFor(Taken, "a") == 18U);
  SlotAsk Other = askOf(1, 1);
  Other.For = PoolName("stock");
  BOOST_TEST(
      slotsFor(Scheduler.asked(EntryName("b"), Other, Instant(1s)), "b") == 1U);
}

BOOST_AUTO_TEST_CASE(WhatTwoEntriesAvoidIsGrantedToNoneButAPartOnly) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 2}, {host(2), 2}, {host(3), 2}});
  SlotAsk Wary = askOf(1, 0);
  Wary.Avoid = {host(1)};
  Scheduler.asked(EntryName("a"), Wary, Instant(1s));
  Scheduler.asked(EntryName("b"), Wary, Instant(1s));
  BOOST_TEST(slotsFor(Scheduler.asked(EntryName("c"), askOf(1, 9), Instant(1s)),
                      "c") == 4U);
  // Two of three hosts are more than a third: each entry keeps to its own.
  SlotAsk Warier = askOf(2, 0);
  Warier.Avoid = {host(1), host(2)};
  Scheduler.asked(EntryName("a"), Warier, Instant(1s));
  const auto Later = Scheduler.asked(EntryName("d"), askOf(1, 9), Instant(1s));
  BOOST_TEST(slotsFor(Later, "d") == 2U);
}

BOOST_AUTO_TEST_CASE(ALapsedGrantIsNeverUsed) {
  SlotHolder Holder(Pool, Pool);
  Holder.setScheduler(EntryName("a"));
  SlotGrant Grant;
  Grant.Pool = Pool;
  Grant.Host = host(1);
  Grant.Slots = 1;
  Grant.ValidFor = 50ms;
  const auto Any = [](const HostName &) { return true; };
  Holder.granted(EntryName("other"), Grant, Instant(1s));
  BOOST_TEST(!Holder.take(JobClass::Prompt, Instant(1s), Any).has_value());
  Holder.granted(EntryName("a"), Grant, Instant(1s));
  BOOST_TEST(!Holder.take(JobClass::Prompt, Instant(2s), Any).has_value());
  Holder.granted(EntryName("a"), Grant, Instant(2s));
  BOOST_TEST(Holder.take(JobClass::Prompt, Instant(2s), Any).has_value());
}

BOOST_AUTO_TEST_CASE(EveryEntryFindsTheSameSchedulerWhateverTheOrder) {
  const std::vector<EntryName> Live{EntryName("a"), EntryName("b"),
                                    EntryName("c")};
  const std::vector<EntryName> Turned{Live[2], Live[0], Live[1]};
  BOOST_TEST((schedulerOf(Pool, Live) == schedulerOf(Pool, Turned)));
  BOOST_TEST(schedulerOf(Pool, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
