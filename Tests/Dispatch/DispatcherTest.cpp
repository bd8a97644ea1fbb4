/// \file
/// The dispatcher among workers that fail in single ways.

#define BOOST_TEST_MODULE Dispatcher
#include "World.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

std::string joined(const std::vector<std::string> &Faults) {
  std::string Text;
  for (const std::string &Each : Faults) {
    Text += Each + "; ";
  }
  return Text;
}

jobs::JobSpec lastingJob(unsigned Tasks) {
  jobs::JobSpec Spec = simpleJob(Tasks);
  Spec.Steps.front().Lasting = true;
  Spec.Steps.front().MaxPerWorker = 1;
  Spec.Steps.front().MaxUnavailable = 1;
  return Spec;
}

} // namespace

BOOST_AUTO_TEST_CASE(RunsStepsInOrderOnce) {
  World W(3);
  W.submit("a", simpleJob(4, 3));
  W.run(3s);
  BOOST_TEST(joined(W.faults()) == "");
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(W.started("a") == 12);
}

BOOST_AUTO_TEST_CASE(ManyEndsInOneRecordDontCloseTheJobEarly) {
  // All but one task end at the same time, so that their ends are recorded
  // together; the job waits for the last one.
  World W(2);
  W.Workers[0].Record.Capacity = {7000, 7000, 0};
  W.Workers[1].Record.Capacity = {1000, 1000, 0};
  W.Workers[1].RunTime = 900ms;
  W.submit("a", simpleJob(8));
  W.run(600ms);
  BOOST_TEST(W.job("a").open());
  W.run(2s);
  BOOST_TEST(joined(W.faults()) == "");
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(WorkOfASilentWorkerRunsElsewhereAfterItsLease) {
  World W(2);
  W.submit("a", lastingJob(1));
  W.run(500ms);
  const std::string First = W.Past.Runs.front().Worker;
  FakeWorker &Host = First == "w0" ? W.Workers[0] : W.Workers[1];
  Host.Down = true; // it runs on, but nobody hears it
  W.run(7s);
  BOOST_TEST(W.started("a") == 2);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(AnUnansweredStartIsSettledBeforeTheNextRun) {
  World W(2);
  bool Once = true;
  W.LosesAnswer = [&](const WorkerOrder &Order) {
    return std::holds_alternative<StartOrder>(Order) &&
           std::exchange(Once, false);
  };
  W.Workers[0].RunTime = W.Workers[1].RunTime = 2s;
  W.submit("a", simpleJob(1));
  W.run(8s);
  BOOST_TEST(joined(W.faults()) == "");
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(AStartCarriedOutLateRunsNowhereTwice) {
  World W(2);
  unsigned Count = 0;
  W.LateBy = [&](const WorkerOrder &Order) -> std::optional<Duration> {
    if (std::holds_alternative<StartOrder>(Order) && Count++ < 3) {
      return 2500ms;
    }
    return std::nullopt;
  };
  W.submit("a", simpleJob(3));
  W.run(10s);
  BOOST_TEST(joined(W.faults()) == "");
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(ARestartedWorkerLosesItsRunsAtOnce) {
  World W(1);
  W.submit("a", lastingJob(1));
  W.run(500ms);
  W.Workers[0].crash(W.Time.now(), W.Past);
  W.run(300ms);
  BOOST_TEST(W.started("a") == 2);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(ALaterHolderTakesOverWhatRuns) {
  World W(2);
  W.submit("a", lastingJob(2));
  W.submit("b", simpleJob(3));
  W.run(200ms);
  W.changeHolder();
  W.run(3s);
  BOOST_TEST(W.started("a") == 2);
  BOOST_TEST(W.started("b") == 3);
  BOOST_TEST(joined(W.faults()) == "");
  BOOST_TEST((W.job("b").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(ALaterHolderWaitsForWorkersThatItCantReach) {
  World W(2);
  W.submit("a", lastingJob(1));
  W.run(500ms);
  const std::string First = W.Past.Runs.front().Worker;
  (First == "w0" ? W.Workers[0] : W.Workers[1]).Down = true;
  W.changeHolder();
  W.run(8s);
  BOOST_TEST(W.started("a") == 1);
  W.run(4s);
  BOOST_TEST(W.started("a") == 2);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(AJobFailsOnceATaskHasFailedAsOftenAsAllowed) {
  World W(3);
  for (FakeWorker &Each : W.Workers) {
    Each.FailsAll = true;
  }
  W.submit("a", simpleJob(1));
  W.run(10s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Failed));
  BOOST_TEST(W.started("a") == 3);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(AFailedTaskGoesToAnotherWorker) {
  World W(2);
  W.Workers[0].FailsAll = true;
  W.submit("a", simpleJob(4));
  W.run(4s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(ACancelledJobStops) {
  World W(2);
  W.submit("a", lastingJob(2));
  W.run(500ms);
  W.cancel("a");
  W.run(500ms);
  for (const RunTrace &Each : W.Past.Runs) {
    BOOST_TEST((Each.How == jobs::RunEnd::Stopped));
  }
  W.run(3s);
  BOOST_TEST(W.started("a") == 2);
}

BOOST_AUTO_TEST_CASE(AStalledRunIsStoppedAndRunsElsewhere) {
  World W(2);
  W.Workers[0].Hangs = W.Workers[1].Hangs = false;
  W.submit("a", simpleJob(1));
  W.run(50ms);
  const std::string First = W.Past.Runs.front().Worker;
  (First == "w0" ? W.Workers[0] : W.Workers[1]).Hangs = true;
  W.run(6s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(NothingStartsBeforeItsRecord) {
  World W(2);
  W.submit("a", simpleJob(2));
  W.run(20ms);
  W.JournalAway = true;
  W.run(2s);
  const unsigned Before = W.started("a");
  W.submit("b", simpleJob(2));
  W.run(1s);
  BOOST_TEST(W.started("a") == Before);
  BOOST_TEST(W.started("b") == 0);
  W.JournalAway = false;
  W.run(3s);
  BOOST_TEST((W.job("b").Record.State == jobs::JobState::Completed));
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(ALaterHolderClosesWhatAnEarlierOneDidNot) {
  World W(1);
  for (FakeWorker &Each : W.Workers) {
    Each.FailsAll = true;
  }
  // The journal has the last failure but not the close.
  const JobId Job("a");
  W.submit("a", simpleJob(1));
  W.run(2s);
  BOOST_REQUIRE((W.job("a").Record.State == jobs::JobState::Failed));
  jobs::JobSnapshot Before = W.job("a").Record;
  Before.State = jobs::JobState::Running;
  W.Book.apply(Before, 99);
  W.changeHolder();
  W.run(2s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Failed));
  BOOST_TEST(W.started("a") == 3);
}

BOOST_AUTO_TEST_CASE(OnceAWorkerKnowsTheHolderOnlyItsOwnLeasesCount) {
  World W(2);
  W.submit("a", lastingJob(1));
  W.run(500ms);
  W.changeHolder();
  W.run(500ms);
  const std::string First = W.Past.Runs.front().Worker;
  (First == "w0" ? W.Workers[0] : W.Workers[1]).Down = true;
  W.run(6500ms);
  BOOST_TEST(W.started("a") == 2);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(AWorkerThatNoHostRunsHasEnded) {
  World W(2);
  W.submit("a", lastingJob(1));
  W.run(500ms);
  const std::string First = W.Past.Runs.front().Worker;
  FakeWorker &Gone = First == "w0" ? W.Workers[0] : W.Workers[1];
  Gone.crash(W.Time.now(), W.Past);
  Gone.Record.Life.Born -= 1000; // the registration is still the old one
  Gone.Down = true;
  W.changeHolder();
  W.run(1s);
  const std::set<std::string> Hosted = {First == "w0" ? "w1" : "w0"};
  W.Decisions->setHostedWorkers(Hosted);
  W.run(100ms);
  BOOST_TEST(W.started("a") == 1);
  W.Decisions->setHostedWorkers(Hosted);
  W.run(100ms);
  BOOST_TEST(W.started("a") == 2);
}

namespace {

/// A world whose queue has a placement policy that allows odd workers only.
struct PolicyWorld : World {
  explicit PolicyWorld(unsigned Count) : World(Count) {
    Config->Queues.front().Policy = PlacementPolicy{50ms, 2ms};
    for (unsigned Number = 0; Number < Count; ++Number) {
      Workers[Number].Ticket = Number % 2 == 1 ? ticketOf(Number) : "none";
    }
    Policy = [this, Count](const PermitQuery &Query) {
      PermitReply Reply{{}, 1s};
      for (const WorkerLife &Each : Query.Workers) {
        for (unsigned Number = 1; Number < Count; Number += 2) {
          if (Workers[Number].Record.Life.Id == Each.Id) {
            Reply.Allowed.push_back({Each.Id, Workers[Number].Ticket});
          }
        }
      }
      return std::optional(Reply);
    };
  }

  static std::string ticketOf(unsigned Number) {
    return "t" + std::to_string(Number);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(TasksRunOnlyWhereThePolicyAllowsThem) {
  PolicyWorld W(6);
  W.submit("a", simpleJob(4, 2));
  W.run(4s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(W.started("a") == 8); // no start was refused
  BOOST_TEST(W.Queries.size() == 2);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(APermitThatRanOutIsAskedForAgain) {
  // One worker has room for one task at a time, and each takes as long as a
  // permit is good.
  PolicyWorld W(2);
  W.Workers[1].Record.Capacity = {1000, 1000, 0};
  W.Workers[1].RunTime = 900ms;
  W.submit("a", simpleJob(3));
  W.run(5s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(W.started("a") == 3);
  BOOST_TEST(W.Queries.size() == 3);
}

BOOST_AUTO_TEST_CASE(APermitThatTheWorkerRefusesIsAskedForAgain) {
  PolicyWorld W(2);
  W.Workers[1].Ticket = "new";
  const auto Honest = W.Policy;
  W.Policy = [&](const PermitQuery &Query) {
    auto Reply = Honest(Query);
    if (W.Queries.size() == 1) {
      Reply->Allowed.front().Ticket = "old";
    }
    return Reply;
  };
  W.submit("a", simpleJob(1));
  W.run(2s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(W.Queries.size() == 2);
}

BOOST_AUTO_TEST_CASE(QueriesOfSeveralStepsAreOutTogether) {
  PolicyWorld W(6);
  W.Config->Queues.front().Policy->DecisionTime = 300ms;
  W.Decisions->limitQueries(4);
  for (const char *Id : {"a", "b", "c", "d"}) {
    W.submit(Id, simpleJob(1));
  }
  W.run(1500ms);
  for (const char *Id : {"a", "b", "c", "d"}) {
    BOOST_TEST((W.job(Id).Record.State == jobs::JobState::Completed));
  }
}

BOOST_AUTO_TEST_CASE(AQueryWithoutAnswerIsRepeatedAfterAPause) {
  PolicyWorld W(2);
  const auto Honest = W.Policy;
  W.Policy = [&](const PermitQuery &Query) {
    return W.Queries.size() < 4 ? std::nullopt : Honest(Query);
  };
  W.submit("a", simpleJob(1));
  W.run(400ms);
  BOOST_TEST(W.Queries.size() <= 3);
  W.run(2s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
}

namespace {

jobs::JobSpec gangJob(unsigned Tasks, unsigned Steps) {
  jobs::JobSpec Spec = simpleJob(Tasks, Steps);
  Spec.Steps.front().Gang = true;
  return Spec;
}

/// A book with one gang of three placed members.
jobs::JobBook bookWithGang() {
  jobs::JobBook Book;
  Book.apply(jobs::JobAccepted{JobId("g"), {}, {}, gangJob(3, 1), {}}, 1);
  for (unsigned Index = 0; Index < 3; ++Index) {
    Book.apply(jobs::TaskPlaced{{JobId("g"), 0, 0, Index}, 1, {"w", 1}}, 1);
  }
  return Book;
}

} // namespace

BOOST_AUTO_TEST_CASE(AGangsEndsInSeveralRecordsDontCloseItsJobEarly) {
  World W(2);
  W.Workers[1].RunTime = 405ms;
  W.submit("a", gangJob(8, 2));
  W.run(600ms);
  BOOST_TEST(W.job("a").open());
  W.run(2s);
  BOOST_TEST((W.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(W.started("a") == 16);
  BOOST_TEST(joined(W.faults()) == "");
}

BOOST_AUTO_TEST_CASE(AGangIsPlacedWholeOrNotAtAll) {
  World W(2);
  W.submit("a", gangJob(9, 1));
  W.run(1s);
  BOOST_TEST(W.started("a") == 0);
  W.Workers[1].Record.Capacity = {5000, 5000, 0};
  W.run(1s);
  BOOST_TEST(W.started("a") == 9);
}

BOOST_AUTO_TEST_CASE(TheRestOfAGangIsStoppedWhenAMemberEnds) {
  World W(2);
  W.Workers[0].RunTime = W.Workers[1].RunTime = 30s;
  W.submit("a", gangJob(8, 1));
  W.run(500ms);
  BOOST_TEST(W.started("a") == 8);
  W.Workers[1].crash(W.Time.now(), W.Past);
  W.run(8s);
  for (const RunTrace &Each : W.Past.Runs) {
    BOOST_TEST((Each.Run > 1 || Each.Ended != Instant::max()));
  }
  BOOST_TEST(W.started("a") == 16); // all members again, together
}

BOOST_AUTO_TEST_CASE(AGangsFailedRunCountsOnce) {
  jobs::JobBook Book = bookWithGang();
  for (unsigned Index = 0; Index < 3; ++Index) {
    Book.apply(
        jobs::TaskEnded{{JobId("g"), 0, 0, Index}, 1, jobs::RunEnd::Failed, ""},
        2);
  }
  BOOST_TEST(Book.find(JobId("g"))->worstFailures() == 1);
}

BOOST_AUTO_TEST_CASE(AGangSharesItsNewestCheckpoint) {
  jobs::JobBook Book = bookWithGang();
  Book.apply(jobs::CheckpointSaved{{JobId("g"), 0, 0, 2}, 1, "c"}, 2);
  for (unsigned Index = 0; Index < 3; ++Index) {
    BOOST_TEST(
        Book.find(JobId("g"))->find({JobId("g"), 0, 0, Index})->Checkpoint ==
        "c");
  }
}

BOOST_AUTO_TEST_CASE(WorkThatFitsNowhereAsksForHosts) {
  // Half of each worker's room is free, and no half is enough.
  World W(2);
  for (FakeWorker &Each : W.Workers) {
    Each.RunTime = 60s;
  }
  jobs::JobSpec Large = simpleJob(2);
  Large.Steps.front().Need.CpuMilli = 2500;
  W.submit("a", Large);
  W.run(200ms);
  W.submit("b", Large);
  W.run(300ms);
  BOOST_TEST(W.Decisions->hostsLacking().empty());
  W.run(1500ms);
  BOOST_REQUIRE(W.Decisions->hostsLacking().size() == 1);
  BOOST_TEST(W.Decisions->hostsLacking().begin()->second == 4);
}

namespace {

/// One worker with a serving task whose tail must stay below 100 ms, and two
/// fillers that disturb it.
struct SharedWorld : World {
  SharedWorld() : World(1) {
    jobs::JobSpec Serving = lastingJob(1);
    Serving.Steps.front().TailObjective = 100ms;
    submit("serving", Serving);
    jobs::JobSpec Filling = lastingJob(2);
    Filling.Text = "filler";
    Filling.Steps.front().MaxPerWorker = 0;
    Filling.Steps.front().Filler = true;
    submit("filler", Filling);
    Workers[0].Tail = [](unsigned Disturbance) -> std::int64_t {
      return 40 + Disturbance * 2 / 3; // 173 ms with both
    };
  }

  /// How long the tail stays over its objective without a break, at most.
  Duration longestOver(Duration Length) {
    Duration Longest{};
    Duration Over{};
    for (Duration Done{}; Done < Length; Done += 50ms) {
      run(50ms);
      unsigned Sum = 0;
      for (const auto &[Task, Pace] : Workers[0].Paces) {
        Sum += Pace;
      }
      Over = Workers[0].Tail(Sum) > 100 ? Over + 50ms : Duration::zero();
      Longest = std::max(Longest, Over);
    }
    return Longest;
  }

  unsigned pace() const {
    return Workers[0].Paces.empty() ? 0 : Workers[0].Paces.begin()->second;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(FillersAreSlowedDownUntilServingTasksMeetTheirObjective) {
  SharedWorld W;
  BOOST_TEST((W.longestOver(10s) < 3s));
  BOOST_TEST(W.Workers[0].Paces.size() == 2);
  // Without disturbance they work whole again.
  W.Workers[0].Tail = [](unsigned) -> std::int64_t { return 20; };
  W.run(10s);
  BOOST_TEST(W.pace() == 100);
}

BOOST_AUTO_TEST_CASE(APaceOrderWithoutAnswerIsRepeated) {
  SharedWorld W;
  unsigned Lost = 0;
  W.LosesAnswer = [&](const WorkerOrder &Order) {
    return std::holds_alternative<PaceOrder>(Order) && ++Lost <= 2;
  };
  BOOST_TEST((W.longestOver(10s) < 4s));
}

BOOST_AUTO_TEST_CASE(ALaterHolderPacesFillersAnew) {
  SharedWorld W;
  W.run(10s);
  W.changeHolder();
  BOOST_TEST((W.longestOver(10s) < 3s));
}
