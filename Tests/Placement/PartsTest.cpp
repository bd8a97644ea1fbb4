/// \file
/// Unit tests of the parts of the engine: queue, retry budget, worker health,
/// observed run times, attempts and slots.

#include "balsamlatch/Placement/AttemptMachine.h"
#include "balsamlatch/Placement/JobStatistics.h"
#include "balsamlatch/Placement/PoolQueue.h"
#include "balsamlatch/Placement/RetryBudget.h"
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

QueuedRequest makeQueuedRequest(std::uint64_t Key, const std::string &Team,
                                JobClass Class, Duration LatestStart,
                                Duration AgingTime = 1h) {
  return {RequestKey(Key),      TeamName(Team),     Class,
          Instant(LatestStart), Instant(AgingTime), false};
}

SlotRequest makeSlotRequest(std::uint64_t Sequence, std::uint32_t Prompt) {
  SlotRequest Message;
  Message.Pool = Pool;
  Message.For = Pool;
  Message.Prompt = Prompt;
  Message.EarliestDeadline = 1s;
  Message.Sequence = Sequence;
  return Message;
}

std::uint32_t slotsGrantedTo(const SlotScheduler::Grants &Grants,
                             const std::string &Entry) {
  std::uint32_t Count = 0;
  for (const auto &[EntryId, Grant] : Grants) {
    Count += EntryId.Text == Entry ? Grant.Slots : 0;
  }
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Parts)

BOOST_AUTO_TEST_CASE(PromptRequestsAreOrderedByLatestStartAndPatientOnesAge) {
  PoolQueue Queue;
  Queue.setSlots(8);
  Queue.push(makeQueuedRequest(1, "a", JobClass::Patient, 50s, 10s));
  Queue.push(makeQueuedRequest(2, "a", JobClass::Prompt, 70s));
  Queue.push(makeQueuedRequest(3, "a", JobClass::Prompt, 60s));
  BOOST_TEST(Queue.next(Instant(1s))->Key.Value == 3U);
  BOOST_TEST(Queue.next(Instant(10s))->Key.Value == 1U);
  BOOST_TEST(Queue.urgentCount() == 3U);
}

BOOST_AUTO_TEST_CASE(ATeamOverItsQuotaYieldsOnlyWhileOthersWait) {
  PoolQueue Queue;
  Queue.setQuota(TeamName("greedy"), 1);
  Queue.acquireSlot(TeamName("greedy"), JobClass::Prompt);
  Queue.push(makeQueuedRequest(1, "greedy", JobClass::Prompt, 1s));
  BOOST_TEST(Queue.next(Instant())->Key.Value == 1U);
  Queue.setSlots(8);
  Queue.push(makeQueuedRequest(2, "modest", JobClass::Prompt, 9s));
  BOOST_TEST(Queue.next(Instant())->Key.Value == 2U);
  Queue.remove(RequestKey(2));
  BOOST_TEST(Queue.next(Instant())->Key.Value == 1U);
}

BOOST_AUTO_TEST_CASE(RequestsStayQueuedUntilRemoved) {
  BOOST_TEST(rc::check("queue", [] {
    PoolQueue Queue;
    Queue.setSlots(4);
    std::set<std::uint64_t> ExpectedKeys;
    const auto Steps = *rc::gen::container<std::vector<int>>(
        100, rc::gen::inRange(0, 100'000));
    std::uint64_t LastKey = 0;
    Instant Now{};
    for (const int Step : Steps) {
      Now += Duration(Step);
      if (Step % 3 == 0) {
        const JobClass Class =
            Step % 2 == 0 ? JobClass::Prompt : JobClass::Patient;
        Queue.push(makeQueuedRequest(
            ++LastKey, fmt::format("team-{}", Step % 5), Class,
            Duration(Step * 7 % 1000), Duration(Step * 11 % 1'000'000)));
        ExpectedKeys.insert(LastKey);
      } else if (const QueuedRequest *NextRequest = Queue.next(Now)) {
        const QueuedRequest SelectedRequest = *NextRequest;
        RC_ASSERT(ExpectedKeys.erase(SelectedRequest.Key.Value) == 1U);
        RC_ASSERT(Queue.remove(SelectedRequest.Key));
        Queue.acquireSlot(SelectedRequest.Team, SelectedRequest.Class);
        if (Step % 3 == 1) {
          Queue.releaseSlot(SelectedRequest.Team);
        }
      }
      RC_ASSERT(Queue.size() == ExpectedKeys.size());
      RC_ASSERT(Queue.empty() == (Queue.next(Now) == nullptr));
      RC_ASSERT(Queue.urgentCount() + Queue.unagedCount() == Queue.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  BOOST_TEST(rc::check("budget", [] {
    RetryBudget Budget;
    double FirstAttempts = 0;
    double Retries = 0;
    for (const bool IsRetry : *rc::gen::container<std::vector<bool>>(
             500, rc::gen::arbitrary<bool>())) {
      if (!IsRetry) {
        Budget.recordFirstAttempt();
        ++FirstAttempts;
      } else if (Budget.trySpend()) {
        ++Retries;
      }
      RC_ASSERT(Retries <= 10 + FirstAttempts * 0.1 + 0.001);
    }
  }));
  RandomEngine Rng(1);
  BOOST_TEST((backOffDelay(1, Rng) == 0s));
  for (unsigned AttemptCount = 2; AttemptCount < 100; ++AttemptCount) {
    BOOST_TEST((backOffDelay(AttemptCount, Rng) <= 500ms));
  }
}

BOOST_AUTO_TEST_CASE(AWorkerIsEjectedOnlyForJobsThatSucceedElsewhere) {
  WorkerHealth Health;
  Health.setPoolSize(Pool, 10);
  for (int I = 0; I < 4; ++I) {
    Health.recordFailure(host(1), Pool, Quote, true, Instant(1s));
  }
  BOOST_TEST(!Health.isEjected(host(1)));
  Health.recordSuccess(host(2), Quote, Instant(1s));
  Health.recordFailure(host(1), Pool, Quote, true, Instant(1s));
  BOOST_TEST(Health.isEjected(host(1)));
  BOOST_TEST(!Health.findDueProbe(Pool, Instant(2s)).has_value());
  BOOST_TEST((Health.findDueProbe(Pool, Instant(3s)) == host(1)));
  Health.startProbe(host(1));
  BOOST_TEST(!Health.findDueProbe(Pool, Instant(3s)).has_value());
  Health.recordSuccess(host(1), Quote, Instant(4s));
  BOOST_TEST(!Health.isEjected(host(1)));
}

BOOST_AUTO_TEST_CASE(AJobThatFailsOnManyWorkersIsEjectedAndNoWorkerIs) {
  WorkerHealth Health;
  Health.setPoolSize(Pool, 10);
  for (unsigned I = 0; I < 6; ++I) {
    Health.recordSuccess(host(I), Plan, Instant(1s));
    Health.recordFailure(host(I), Pool, Quote, true, Instant(1s));
  }
  BOOST_TEST(Health.isEjected(Quote));
  BOOST_TEST(!Health.admitJobProbe(Quote, Instant(2s)));
  BOOST_TEST(Health.admitJobProbe(Quote, Instant(3s)));
  BOOST_TEST(!Health.admitJobProbe(Quote, Instant(3s)));
  for (unsigned I = 0; I < 6; ++I) {
    BOOST_TEST(!Health.isEjected(host(I)));
  }
}

BOOST_AUTO_TEST_CASE(NeverMoreThanAThirdOfAPoolIsEjected) {
  WorkerHealth Health;
  Health.setPoolSize(Pool, 9);
  Health.recordSuccess(host(100), Quote, Instant(1s));
  Health.recordSuccess(host(101), Quote, Instant(1s));
  unsigned EjectedCount = 0;
  for (unsigned I = 0; I < 9; ++I) {
    for (int J = 0; J < 9; ++J) {
      Health.recordFailure(host(I), Pool, Quote, false, Instant(1s));
    }
    EjectedCount += Health.isEjected(host(I)) ? 1 : 0;
  }
  BOOST_TEST(EjectedCount == 3U);
}

BOOST_AUTO_TEST_CASE(ObservedRunTimesReplaceDeclaredOnes) {
  JobRule Rule;
  Rule.Job = Quote;
  Rule.RunTime = 1s;
  JobStatistics Statistics;
  BOOST_TEST((Statistics.shortestRunTime(Rule, Instant()) == 100ms));
  for (int I = 1; I <= 64; ++I) {
    Statistics.recordRun(Quote, I * 1ms, Instant());
  }
  BOOST_TEST(
      (Statistics.runTime(Rule) >= 58ms && Statistics.runTime(Rule) <= 64ms));
  BOOST_TEST((Statistics.shortestRunTime(Rule, Instant()) <= 10ms));
  BOOST_TEST((Statistics.shortestRunTime(Rule, Instant(1h)) == 100ms));
}

BOOST_AUTO_TEST_CASE(AnAttemptHoldsItsSlotUntilItsEndIsCertain) {
  AttemptMachine State;
  BOOST_TEST((State.confirmCancel() == AttemptAction::None));
  BOOST_TEST((State.cancel() == AttemptAction::SendCancel));
  BOOST_TEST((State.cancel() == AttemptAction::None));
  BOOST_TEST((State.confirmCancel() == AttemptAction::ReleaseSlot));
  BOOST_TEST((State.endCall() == AttemptAction::None));
}

BOOST_AUTO_TEST_CASE(TheSchedulerNeverGrantsASlotTwice) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 2}, {host(2), 2}});
  const auto FirstGrants = Scheduler.handleRequest(
      EntryName("a"), makeSlotRequest(1, 3), Instant(1s));
  const auto SecondGrants = Scheduler.handleRequest(
      EntryName("b"), makeSlotRequest(1, 3), Instant(1s));
  BOOST_TEST(slotsGrantedTo(FirstGrants, "a") == 3U);
  BOOST_TEST(slotsGrantedTo(SecondGrants, "b") == 1U);
  BOOST_TEST(Scheduler.freeSlots() == 0U);
  // The entry received its grants, uses none of them, and wants none.
  SlotRequest IdleMessage = makeSlotRequest(2, 0);
  IdleMessage.LastGrant = FirstGrants.back().second.Number;
  const auto ThirdGrants =
      Scheduler.handleRequest(EntryName("a"), IdleMessage, Instant(1s));
  BOOST_TEST(slotsGrantedTo(ThirdGrants, "b") == 2U);
  // A request that arrives after a later one of the same entry is ignored.
  BOOST_TEST(
      Scheduler
          .handleRequest(EntryName("a"), makeSlotRequest(1, 9), Instant(1s))
          .empty());
}

BOOST_AUTO_TEST_CASE(ANewSchedulerLearnsHeldSlotsFromRequests) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 2}});
  SlotRequest Message = makeSlotRequest(1, 2);
  Message.InUse = {{host(1), 1}};
  BOOST_TEST(slotsGrantedTo(
                 Scheduler.handleRequest(EntryName("a"), Message, Instant(1s)),
                 "a") == 1U);
  Scheduler.setEntries({EntryName("b")});
  BOOST_TEST(Scheduler.freeSlots() == 2U);
}

BOOST_AUTO_TEST_CASE(ABurstLeavesTheSparePoolReserveOfOtherPools) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 20}});
  SchedulerLimits Limits;
  Limits.SpillingPoolCount = 3;
  Scheduler.setLimits(Limits);
  SlotRequest BurstMessage = makeSlotRequest(1, 20);
  BurstMessage.For = PoolName("cut-plans");
  const auto BurstGrants =
      Scheduler.handleRequest(EntryName("a"), BurstMessage, Instant(1s));
  BOOST_TEST(slotsGrantedTo(BurstGrants, "a") == 18U);
  SlotRequest OtherMessage = makeSlotRequest(1, 1);
  OtherMessage.For = PoolName("stock");
  BOOST_TEST(slotsGrantedTo(Scheduler.handleRequest(EntryName("b"),
                                                    OtherMessage, Instant(1s)),
                            "b") == 1U);
}

BOOST_AUTO_TEST_CASE(HostsThatTwoEntriesAvoidAreExcludedUpToAThirdOfThePool) {
  SlotScheduler Scheduler(Pool);
  Scheduler.setWorkers({{host(1), 2}, {host(2), 2}, {host(3), 2}});
  SlotRequest FirstMessage = makeSlotRequest(1, 0);
  FirstMessage.AvoidedHosts = {host(1)};
  Scheduler.handleRequest(EntryName("a"), FirstMessage, Instant(1s));
  Scheduler.handleRequest(EntryName("b"), FirstMessage, Instant(1s));
  BOOST_TEST(slotsGrantedTo(Scheduler.handleRequest(EntryName("c"),
                                                    makeSlotRequest(1, 9),
                                                    Instant(1s)),
                            "c") == 4U);
  // Two of three hosts are more than a third of the pool, so each entry avoids
  // only its own.
  SlotRequest SecondMessage = makeSlotRequest(2, 0);
  SecondMessage.AvoidedHosts = {host(1), host(2)};
  Scheduler.handleRequest(EntryName("a"), SecondMessage, Instant(1s));
  const auto LaterGrants = Scheduler.handleRequest(
      EntryName("d"), makeSlotRequest(1, 9), Instant(1s));
  BOOST_TEST(slotsGrantedTo(LaterGrants, "d") == 2U);
}

BOOST_AUTO_TEST_CASE(AnExpiredGrantIsNeverUsed) {
  SlotHolder Holder(Pool, Pool);
  Holder.setScheduler(EntryName("a"));
  SlotGrant Grant;
  Grant.Pool = Pool;
  Grant.Host = host(1);
  Grant.Slots = 1;
  Grant.ValidFor = 50ms;
  const auto AnyHost = [](const HostName &) { return true; };
  Holder.addGrant(EntryName("other"), Grant, Instant(1s));
  BOOST_TEST(
      !Holder.takeGrant(JobClass::Prompt, Instant(1s), AnyHost).has_value());
  Holder.addGrant(EntryName("a"), Grant, Instant(1s));
  BOOST_TEST(
      !Holder.takeGrant(JobClass::Prompt, Instant(2s), AnyHost).has_value());
  Holder.addGrant(EntryName("a"), Grant, Instant(2s));
  BOOST_TEST(
      Holder.takeGrant(JobClass::Prompt, Instant(2s), AnyHost).has_value());
}

BOOST_AUTO_TEST_CASE(EveryEntryFindsTheSameSchedulerWhateverTheOrder) {
  const std::vector<EntryName> LiveEntries{EntryName("a"), EntryName("b"),
                                           EntryName("c")};
  const std::vector<EntryName> RotatedEntries{LiveEntries[2], LiveEntries[0],
                                              LiveEntries[1]};
  BOOST_TEST((electScheduler(Pool, LiveEntries) ==
              electScheduler(Pool, RotatedEntries)));
  BOOST_TEST(electScheduler(Pool, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
