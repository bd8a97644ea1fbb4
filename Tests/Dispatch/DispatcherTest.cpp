/// \file
/// Tests of the dispatcher with one kind of fault at a time, with placement
/// policies, gangs and best-effort tasks.

#define BOOST_TEST_MODULE Dispatcher
#include "Simulation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines) {
    Text += Line + "; ";
  }
  return Text;
}

/// Puts a configuration in force that has another queue in place of the first.
void removeFirstQueue(Simulation &Sim) {
  auto Changed = std::make_shared<Deployment>(*Sim.Config);
  ++Changed->Version;
  Changed->Queues.front().Name = QueueName("other");
  Sim.Config = Changed;
  Sim.JobDispatcher->configure(Changed);
}

/// The worker, of the two in the simulation, that had the first run.
FakeWorker &workerOfFirstRun(Simulation &Sim) {
  return Sim.Observed.Runs.front().Worker == "w0" ? Sim.Workers[0]
                                                  : Sim.Workers[1];
}

} // namespace

BOOST_AUTO_TEST_CASE(RunsStepsInOrderOnce) {
  Simulation Sim(3);
  Sim.submit("a", simpleJob(4, 3));
  Sim.run(3s);
  BOOST_TEST(joinLines(Sim.violations()) == "");
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 12);
}

BOOST_AUTO_TEST_CASE(ManyEndsInOneRecordDontCloseTheJobEarly) {
  // All tasks but one end at the same time, so their ends are recorded in one
  // batch. The job must stay open until the last task ends.
  Simulation Sim(2);
  Sim.Workers[0].Record.Capacity = {7000, 7000, 0};
  Sim.Workers[1].Record.Capacity = {1000, 1000, 0};
  Sim.Workers[1].RunDuration = 900ms;
  Sim.submit("a", simpleJob(8));
  Sim.run(600ms);
  BOOST_TEST(Sim.job("a").isOpen());
  Sim.run(2s);
  BOOST_TEST(joinLines(Sim.violations()) == "");
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(TasksOfAnUnresponsiveWorkerMoveAfterTheirLease) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(1));
  Sim.run(500ms);
  FakeWorker &Worker = workerOfFirstRun(Sim);
  Worker.IsDown = true; // its runs continue, but it is unreachable
  Sim.run(7s);
  BOOST_TEST(Sim.countStarts("a") == 2);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(AWorkerThatIsSlowToReportKeepsItsRuns) {
  Simulation Sim(2);
  jobs::JobSpec Spec = simpleJob(4);
  Spec.Steps.front().LongRunning = true;
  Sim.submit("lasting", Spec);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RunDuration = 8s;
  }
  Sim.submit("long", simpleJob(2));
  Sim.run(1s);
  // Each reply takes longer than the usual time allowed for it.
  Sim.ReplyDelay = 700ms;
  Sim.run(20s);
  BOOST_TEST(Sim.countStarts("lasting") == 4);
  BOOST_TEST(Sim.countStarts("long") == 2);
  // New work is started, and not stopped as unanswered.
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RunDuration = 400ms;
  }
  Sim.submit("later", simpleJob(2));
  Sim.run(5s);
  BOOST_TEST(Sim.countStarts("later") == 2);
  BOOST_TEST((Sim.job("later").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.violations().empty());
}

BOOST_AUTO_TEST_CASE(AStartWithoutReplyIsResolvedBeforeTheNextRun) {
  Simulation Sim(2);
  bool IsFirstStart = true;
  Sim.LosesAnswer = [&](const WorkerOrder &Order) {
    return std::holds_alternative<StartOrder>(Order) &&
           std::exchange(IsFirstStart, false);
  };
  Sim.Workers[0].RunDuration = Sim.Workers[1].RunDuration = 2s;
  Sim.submit("a", simpleJob(1));
  Sim.run(8s);
  BOOST_TEST(joinLines(Sim.violations()) == "");
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(ALateStartNeverCausesOverlappingRuns) {
  Simulation Sim(2);
  unsigned StartCount = 0;
  Sim.OrderDelay = [&](const WorkerOrder &Order) -> std::optional<Duration> {
    if (std::holds_alternative<StartOrder>(Order) && StartCount++ < 3) {
      return 2500ms;
    }
    return std::nullopt;
  };
  Sim.submit("a", simpleJob(3));
  Sim.run(10s);
  BOOST_TEST(joinLines(Sim.violations()) == "");
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(ARestartedWorkerLosesItsRunsAtOnce) {
  Simulation Sim(1);
  Sim.submit("a", longRunningJob(1));
  Sim.run(500ms);
  Sim.Workers[0].crash(Sim.Time.now(), Sim.Observed);
  Sim.run(300ms);
  BOOST_TEST(Sim.countStarts("a") == 2);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(ALaterLeaderAdoptsRunningTasks) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(2));
  Sim.submit("b", simpleJob(3));
  Sim.run(200ms);
  Sim.startNewTerm();
  Sim.run(3s);
  BOOST_TEST(Sim.countStarts("a") == 2);
  BOOST_TEST(Sim.countStarts("b") == 3);
  BOOST_TEST(joinLines(Sim.violations()) == "");
  BOOST_TEST((Sim.job("b").Record.State == jobs::JobState::Completed));
}

BOOST_AUTO_TEST_CASE(ALaterLeaderWaitsForWorkersThatItCantReach) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(1));
  Sim.run(500ms);
  workerOfFirstRun(Sim).IsDown = true;
  Sim.startNewTerm();
  Sim.run(8s);
  BOOST_TEST(Sim.countStarts("a") == 1);
  Sim.run(4s);
  BOOST_TEST(Sim.countStarts("a") == 2);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(AJobFailsOnceATaskHasFailedAsOftenAsAllowed) {
  Simulation Sim(3);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.FailsAll = true;
  }
  Sim.submit("a", simpleJob(1));
  Sim.run(10s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Failed));
  BOOST_TEST(Sim.countStarts("a") == 3);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

// A failing job was started again without limit once its queue was removed.
BOOST_AUTO_TEST_CASE(AJobOfARemovedQueueFailsOnceItsAttemptsAreUsed) {
  for (const bool ChangesLeader : {false, true}) {
    Simulation Sim(3);
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.FailsAll = true;
    }
    Sim.submit("a", simpleJob(1));
    Sim.run(200ms);
    removeFirstQueue(Sim);
    if (ChangesLeader) {
      Sim.startNewTerm();
    }
    Sim.run(15s);
    BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Failed));
    BOOST_TEST(Sim.countStarts("a") == 3);
    BOOST_TEST(joinLines(Sim.violations()) == "");
  }
}

BOOST_AUTO_TEST_CASE(AFailedTaskGoesToAnotherWorker) {
  Simulation Sim(2);
  Sim.Workers[0].FailsAll = true;
  Sim.submit("a", simpleJob(4));
  Sim.run(4s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(ACancelledJobStops) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(2));
  Sim.run(500ms);
  Sim.cancel("a");
  Sim.run(500ms);
  for (const RunTrace &Run : Sim.Observed.Runs) {
    BOOST_TEST((Run.End == jobs::RunOutcome::Stopped));
  }
  Sim.run(3s);
  BOOST_TEST(Sim.countStarts("a") == 2);
}

BOOST_AUTO_TEST_CASE(AStalledRunIsStoppedAndRunsElsewhere) {
  Simulation Sim(2);
  Sim.Workers[0].Hangs = Sim.Workers[1].Hangs = false;
  Sim.submit("a", simpleJob(1));
  Sim.run(50ms);
  workerOfFirstRun(Sim).Hangs = true;
  Sim.run(6s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(ALongTaskIsNotStalledBetweenTwoPercentages) {
  constexpr Duration RunDuration = 400s; // four seconds a percent
  for (const Duration Estimate : {Duration(RunDuration), Duration(400ms)}) {
    Simulation Sim(2);
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.RunDuration = RunDuration;
    }
    jobs::JobSpec Spec = simpleJob(1);
    Spec.Steps.front().EstimatedRunTime = Estimate;
    Sim.submit("a", Spec);
    Sim.run(RunDuration + 20s);
    BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
    BOOST_TEST(Sim.countStarts("a") <= (Estimate == RunDuration ? 1U : 2U));
  }
}

BOOST_AUTO_TEST_CASE(NothingStartsBeforeItsRecord) {
  Simulation Sim(2);
  Sim.submit("a", simpleJob(2));
  Sim.run(20ms);
  Sim.JournalUnavailable = true;
  Sim.run(2s);
  const unsigned StartsBefore = Sim.countStarts("a");
  Sim.submit("b", simpleJob(2));
  Sim.run(1s);
  BOOST_TEST(Sim.countStarts("a") == StartsBefore);
  BOOST_TEST(Sim.countStarts("b") == 0);
  Sim.JournalUnavailable = false;
  Sim.run(3s);
  BOOST_TEST((Sim.job("b").Record.State == jobs::JobState::Completed));
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(ALaterLeaderClosesAJobThatAnEarlierOneLeftOpen) {
  Simulation Sim(1);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.FailsAll = true;
  }
  // The journal contains the last failure but not the close of the job.
  const JobId Job("a");
  Sim.submit("a", simpleJob(1));
  Sim.run(2s);
  BOOST_REQUIRE((Sim.job("a").Record.State == jobs::JobState::Failed));
  jobs::JobSnapshot ReopenedJob = Sim.job("a").Record;
  ReopenedJob.State = jobs::JobState::Running;
  Sim.Table.apply(ReopenedJob, 99);
  Sim.startNewTerm();
  Sim.run(2s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Failed));
  BOOST_TEST(Sim.countStarts("a") == 3);
}

BOOST_AUTO_TEST_CASE(OnlyOwnLeasesCountOnceAWorkerKnowsTheLeader) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(1));
  Sim.run(500ms);
  Sim.startNewTerm();
  Sim.run(500ms);
  workerOfFirstRun(Sim).IsDown = true;
  Sim.run(6500ms);
  BOOST_TEST(Sim.countStarts("a") == 2);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(AWorkerMissingFromHostListsCountsAsEnded) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(1));
  Sim.run(500ms);
  FakeWorker &EndedWorker = workerOfFirstRun(Sim);
  const jobs::WorkerInstance Registered = EndedWorker.Record.Instance;
  EndedWorker.crash(Sim.Time.now(), Sim.Observed);
  // The registration is still from the earlier incarnation.
  EndedWorker.Record.Instance = Registered;
  EndedWorker.IsDown = true;
  Sim.startNewTerm();
  Sim.run(1s);
  const std::set<std::string> HostedWorkers = {
      EndedWorker.Record.Instance.Id == "w0" ? "w1" : "w0"};
  // Lists that may be older than the last start of the earlier leader.
  Sim.JobDispatcher->setHostedWorkers(HostedWorkers, Sim.Time.now());
  Sim.JobDispatcher->setHostedWorkers(HostedWorkers, Sim.Time.now());
  Sim.run(1100ms);
  BOOST_TEST(Sim.countStarts("a") == 1);
  Sim.JobDispatcher->setHostedWorkers(HostedWorkers, Sim.Time.now());
  Sim.run(100ms);
  BOOST_TEST(Sim.countStarts("a") == 1);
  Sim.JobDispatcher->setHostedWorkers(HostedWorkers, Sim.Time.now());
  Sim.run(100ms);
  BOOST_TEST(Sim.countStarts("a") == 2);
}

namespace {

/// Whether the order is a start, counted in \p StartOrders, and the first one.
bool isFirstStart(const WorkerOrder &Order, unsigned &StartOrders) {
  return std::holds_alternative<StartOrder>(Order) && ++StartOrders == 1;
}

void delayFirstStart(Simulation &Sim, Duration Delay) {
  Sim.OrderDelay = [Delay, StartOrders = 0U](const WorkerOrder &Order) mutable {
    return isFirstStart(Order, StartOrders) ? std::optional(Delay)
                                            : std::nullopt;
  };
}

} // namespace

// A run whose start got no reply was stopped, and its task was placed again.
// A worker that registered while an order for its host was open got work, which
// was lost or ran twice.
BOOST_AUTO_TEST_CASE(AWorkerIsCordonedFromItsRegistrationOn) {
  Simulation Sim(1);
  Sim.Registrations.emplace();
  Sim.submit("a", simpleJob(1));
  Sim.run(100ms);
  Sim.JobDispatcher->setCordons({{"w0", Cordon::OrderPending}});
  (*Sim.Registrations)["w0"] = Sim.Workers[0].Record;
  Sim.RegistrationsChanged = true;
  Sim.run(500ms);
  BOOST_TEST(Sim.countStarts("a") == 0);
  Sim.JobDispatcher->setCordons({});
  Sim.run(500ms);
  BOOST_TEST(Sim.countStarts("a") == 1);
}

// Host lists that did not show a restarted worker yet made its runs count as
// lost while it was cut off, and they ran twice.
BOOST_AUTO_TEST_CASE(ARestartedWorkerIsNotGoneBeforeAHostListHasShownIt) {
  Simulation Sim(2);
  Sim.run(100ms);
  Sim.JobDispatcher->setHostedWorkers({"w0", "w1"}, Sim.Time.now());
  Sim.Workers[0].crash(Sim.Time.now(), Sim.Observed);
  Sim.run(500ms);
  jobs::JobSpec Spec = simpleJob(1);
  Spec.Steps.front().LongRunning = true;
  Sim.submit("j", Spec);
  Sim.run(500ms);
  BOOST_REQUIRE(!Sim.Workers[0].runs().empty());
  Sim.Workers[0].IsDown = true;
  Sim.run(600ms);
  Sim.JobDispatcher->setHostedWorkers({"w1"}, Sim.Time.now());
  Sim.JobDispatcher->setHostedWorkers({"w1"}, Sim.Time.now());
  Sim.run(20s);
  BOOST_TEST(Sim.countStarts("j") == 2);
  BOOST_TEST(Sim.violations().empty());
}

BOOST_AUTO_TEST_CASE(AStartWithoutAReplyIsRepeated) {
  for (const Duration RunDuration : {1000ms, 20ms}) {
    Simulation Sim(2);
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.RunDuration = RunDuration;
    }
    unsigned StartOrders = 0;
    Sim.LosesAnswer = [&](const WorkerOrder &Order) {
      return isFirstStart(Order, StartOrders);
    };
    Sim.submit("a", simpleJob(1));
    Sim.run(RunDuration + 300ms);
    BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
    BOOST_TEST(Sim.countStarts("a") == 1);
  }
}

// A task whose start was carried out late waited until it could be placed
// again.
BOOST_AUTO_TEST_CASE(AStartThatIsCarriedOutLateIsRepeated) {
  Simulation Sim(2);
  delayFirstStart(Sim, 5s);
  Sim.submit("a", simpleJob(1));
  Sim.run(700ms);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  Sim.run(6s);
  BOOST_TEST(Sim.countStarts("a") == 1);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

// The first order is carried out after the repeated one was refused.
BOOST_AUTO_TEST_CASE(ALateStartWhoseRepetitionWasRefusedDoesNotRunBeside) {
  Simulation Sim(2);
  delayFirstStart(Sim, 2s);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RequiredTicket = "refuses";
  }
  Sim.submit("a", simpleJob(1));
  Sim.run(300ms);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RequiredTicket.clear();
  }
  Sim.run(6s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 1);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

// A worker that a lost reply made look unresponsive got no work for 0.65 s.
BOOST_AUTO_TEST_CASE(ARenewalWithoutAReplyIsRepeatedAtOnce) {
  Simulation Sim(1);
  unsigned Renewals = 0;
  Sim.LosesAnswer = [&](const WorkerOrder &Order) {
    return std::holds_alternative<RenewOrder>(Order) && ++Renewals % 3 == 0;
  };
  Sim.submit("a", simpleJob(1, 3));
  Sim.run(2s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
}

// An end whose reply was lost was seen only after a whole long poll.
BOOST_AUTO_TEST_CASE(LongPollsAreShorterWhileRepliesGetLost) {
  Simulation Sim(1);
  Duration LongestWait{};
  bool LosesReplies = false;
  unsigned Renewals = 0;
  Sim.LosesAnswer = [&](const WorkerOrder &Order) {
    const auto *Renew = std::get_if<RenewOrder>(&Order);
    if (Renew == nullptr) {
      return false;
    }
    LongestWait = std::max(LongestWait, Renew->Wait);
    return LosesReplies && ++Renewals % 4 == 0;
  };
  Sim.submit("a", longRunningJob(1));
  Sim.run(1s);
  BOOST_TEST((LongestWait == 1000ms));
  LosesReplies = true;
  Sim.run(1s);
  LongestWait = {};
  Sim.run(2s);
  BOOST_TEST((LongestWait == 400ms));
  LosesReplies = false;
  Sim.run(5s);
  BOOST_TEST((LongestWait == 1000ms));
}

// Tasks that were done ran again, since a worker lists only so many ends at a
// time and the others were taken for lost runs.
BOOST_AUTO_TEST_CASE(EndsThatAWorkerDoesNotListYetAreNotLost) {
  for (const bool ChangesLeader : {false, true}) {
    Simulation Sim(1);
    Sim.Workers[0].MaxListedEnds = 2;
    Sim.submit("a", simpleJob(4));
    Sim.run(200ms);
    Sim.JournalUnavailable = true; // no end is acknowledged
    Sim.run(2s);
    if (ChangesLeader) {
      Sim.startNewTerm();
      Sim.run(500ms);
    }
    Sim.JournalUnavailable = false;
    Sim.run(5s);
    BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
    BOOST_TEST(Sim.countStarts("a") == 4);
    BOOST_TEST(joinLines(Sim.violations()) == "");
  }
}

// The leader ended when a lost run turned out to be done while its task was
// placed again, or it started the completed task again.
BOOST_AUTO_TEST_CASE(ALostRunThatIsDoneIsNotPlacedAgain) {
  for (const unsigned Steps : {1U, 2U}) {
    Simulation Sim(1);
    Sim.Workers[0].RunDuration = 1s;
    Sim.submit("a", simpleJob(1, Steps));
    Sim.run(300ms);
    Sim.Workers[0].IsDown = true;
    Sim.run(6s);
    BOOST_TEST((Sim.job("a").find({JobId("a"), 0, 0, 0})->Phase ==
                jobs::TaskPhase::Waiting));
    Sim.Workers[0].IsDown = false;
    Sim.run(5s);
    BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
    BOOST_TEST(Sim.countStarts("a") == Steps);
    BOOST_TEST(joinLines(Sim.violations()) == "");
  }
}

// A completed task ran again if its run had been declared lost and that wasn't
// recorded yet.
BOOST_AUTO_TEST_CASE(ADoneRunCountsWhileItsLossIsBeingRecorded) {
  Simulation Sim(1);
  Sim.Workers[0].RunDuration = 1s;
  Sim.submit("a", simpleJob(1));
  Sim.run(300ms);
  Sim.Workers[0].IsDown = true;
  Sim.JournalUnavailable = true;
  Sim.run(6s);
  Sim.Workers[0].IsDown = false;
  Sim.run(1s);
  Sim.JournalUnavailable = false;
  Sim.run(5s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 1);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

// A completed task ran again if its next run was being recorded when the end
// became known.
BOOST_AUTO_TEST_CASE(ADoneRunCountsWhileTheNextRunIsBeingRecorded) {
  Simulation Sim(2);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RunDuration = 1s;
  }
  Sim.submit("a", simpleJob(1));
  Sim.run(300ms);
  FakeWorker &FirstWorker = workerOfFirstRun(Sim);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.IsDown = true;
  }
  Sim.run(6s);
  BOOST_TEST((Sim.job("a").find({JobId("a"), 0, 0, 0})->Phase ==
              jobs::TaskPhase::Waiting));
  Sim.JournalUnavailable = true;
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.IsDown = &Worker == &FirstWorker;
  }
  Sim.run(2s); // the task is proposed for the other worker
  FirstWorker.IsDown = false;
  Sim.run(1s);
  Sim.JournalUnavailable = false;
  Sim.run(5s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 1);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

namespace {

/// Counts the renewals that are sent within the time.
unsigned countRenewals(Simulation &Sim, Duration Time) {
  unsigned Renewals = 0;
  Sim.LosesAnswer = [&Renewals](const WorkerOrder &Order) {
    Renewals += std::holds_alternative<RenewOrder>(Order) ? 1 : 0;
    return false;
  };
  Sim.run(Time);
  Sim.LosesAnswer = nullptr;
  return Renewals;
}

} // namespace

// With many moves, most calls of the leader went to workers of hosts that had
// been moved, whose registrations last for seconds.
BOOST_AUTO_TEST_CASE(AWorkerWhoseHostWasMovedIsHardlyAsked) {
  Simulation Sim(1);
  Sim.run(500ms);
  Sim.Workers[0].IsDown = true;
  Sim.JobDispatcher->handleHostGone("w0");
  BOOST_TEST(countRenewals(Sim, 4500ms) <= 3);
  // The host is back with a new incarnation of the worker.
  Sim.Workers[0].crash(Sim.Time.now(), Sim.Observed);
  Sim.Workers[0].IsDown = false;
  Sim.submit("a", simpleJob(1));
  Sim.run(500ms);
  BOOST_TEST(Sim.countStarts("a") == 1);
}

// The same for any worker without runs that can't be reached.
BOOST_AUTO_TEST_CASE(AnIdleUnresponsiveWorkerIsAskedLessOften) {
  Simulation Sim(1);
  Sim.run(500ms);
  Sim.Workers[0].IsDown = true;
  BOOST_TEST(countRenewals(Sim, 10s) <= 14);
  Sim.Workers[0].IsDown = false;
  Sim.submit("a", simpleJob(1));
  Sim.run(1100ms);
  BOOST_TEST(Sim.countStarts("a") == 1);
}

// Tasks of a crashed worker waited for two host lists that were seconds apart.
BOOST_AUTO_TEST_CASE(AnUnresponsiveWorkerNeedsHostListsAtOnce) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(1));
  Sim.run(500ms);
  const std::set<std::string> AllWorkers = {"w0", "w1"};
  Sim.JobDispatcher->setHostedWorkers(AllWorkers, Sim.Time.now());
  BOOST_TEST(!Sim.JobDispatcher->needsHostList());
  workerOfFirstRun(Sim).IsDown = true;
  Sim.run(1200ms);
  BOOST_TEST(Sim.JobDispatcher->needsHostList());
  // The host is up, so the worker is only out of reach.
  for (unsigned List = 0; List < 4; ++List) {
    Sim.JobDispatcher->setHostedWorkers(AllWorkers, Sim.Time.now());
  }
  BOOST_TEST(!Sim.JobDispatcher->needsHostList());
  BOOST_TEST(Sim.countStarts("a") == 1);
}

namespace {

/// A simulation whose queue has a placement policy that permits only workers
/// with odd numbers.
struct PolicySimulation : Simulation {
  explicit PolicySimulation(unsigned Count) : Simulation(Count) {
    Config->Queues.front().Terms.Policy = PlacementPolicy{50ms, 2ms};
    for (unsigned Index = 0; Index < Count; ++Index) {
      Workers[Index].RequiredTicket = Index % 2 == 1 ? ticketOf(Index) : "none";
    }
    Policy = [this, Count](const PermitQuery &Query) {
      PermitReply Reply{{}, 1s};
      for (const WorkerInstance &Worker : Query.Workers) {
        for (unsigned Index = 1; Index < Count; Index += 2) {
          if (Workers[Index].Record.Instance.Id == Worker.Id) {
            Reply.Allowed.push_back({Worker.Id, Workers[Index].RequiredTicket});
          }
        }
      }
      return std::optional(Reply);
    };
  }

  static std::string ticketOf(unsigned Index) {
    return "t" + std::to_string(Index);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(TasksRunOnlyWhereThePolicyAllowsThem) {
  PolicySimulation Sim(6);
  Sim.submit("a", simpleJob(4, 2));
  Sim.run(4s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 8); // no start was refused
  BOOST_TEST(Sim.Queries.size() == 2);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

// The steps of a job whose queue was removed were started without a permit, and
// refused for good.
BOOST_AUTO_TEST_CASE(AJobOfARemovedQueueKeepsItsPolicy) {
  PolicySimulation Sim(4);
  Sim.submit("a", simpleJob(2, 2));
  Sim.run(300ms);
  BOOST_TEST(Sim.countStarts("a") == 2);
  removeFirstQueue(Sim);
  Sim.run(5s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 4);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(APermitThatRanOutIsAskedForAgain) {
  // The permitted worker has room for one task at a time, and each task runs
  // for about as long as a permit is valid.
  PolicySimulation Sim(2);
  Sim.Workers[1].Record.Capacity = {1000, 1000, 0};
  Sim.Workers[1].RunDuration = 900ms;
  Sim.submit("a", simpleJob(3));
  Sim.run(5s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 3);
  BOOST_TEST(Sim.Queries.size() == 3);
}

BOOST_AUTO_TEST_CASE(APermitThatTheWorkerRefusesIsAskedForAgain) {
  PolicySimulation Sim(2);
  Sim.Workers[1].RequiredTicket = "new";
  const auto CorrectPolicy = Sim.Policy;
  Sim.Policy = [&](const PermitQuery &Query) {
    auto Reply = CorrectPolicy(Query);
    if (Sim.Queries.size() == 1) {
      Reply->Allowed.front().Ticket = "old";
    }
    return Reply;
  };
  Sim.submit("a", simpleJob(1));
  Sim.run(2s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.Queries.size() == 2);
}

BOOST_AUTO_TEST_CASE(QueriesOfSeveralStepsAreOutTogether) {
  PolicySimulation Sim(6);
  Sim.Config->Queues.front().Terms.Policy->DecisionTime = 300ms;
  Sim.JobDispatcher->setQueryLimit(4);
  for (const char *Id : {"a", "b", "c", "d"}) {
    Sim.submit(Id, simpleJob(1));
  }
  Sim.run(1500ms);
  for (const char *Id : {"a", "b", "c", "d"}) {
    BOOST_TEST((Sim.job(Id).Record.State == jobs::JobState::Completed));
  }
}

BOOST_AUTO_TEST_CASE(AQueryWithoutAnswerIsRepeatedAfterAPause) {
  PolicySimulation Sim(2);
  const auto CorrectPolicy = Sim.Policy;
  Sim.Policy = [&](const PermitQuery &Query) {
    return Sim.Queries.size() < 4 ? std::nullopt : CorrectPolicy(Query);
  };
  Sim.submit("a", simpleJob(1));
  Sim.run(400ms);
  BOOST_TEST(Sim.Queries.size() <= 3);
  Sim.run(2s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
}

namespace {

jobs::JobSpec gangJob(unsigned Tasks, unsigned Steps) {
  jobs::JobSpec Spec = simpleJob(Tasks, Steps);
  Spec.Steps.front().Gang = true;
  return Spec;
}

/// Returns a job table with a gang of three placed members.
jobs::JobTable tableWithGang() {
  jobs::JobTable Table;
  Table.apply(jobs::JobAccepted{JobId("g"), {}, {}, gangJob(3, 1), {}}, 1);
  for (unsigned Index = 0; Index < 3; ++Index) {
    Table.apply(jobs::TaskPlaced{{JobId("g"), 0, 0, Index}, 1, {"w", 1}}, 1);
  }
  return Table;
}

} // namespace

BOOST_AUTO_TEST_CASE(AGangsEndsInSeveralRecordsDontCloseItsJobEarly) {
  Simulation Sim(2);
  Sim.Workers[1].RunDuration = 405ms;
  Sim.submit("a", gangJob(8, 2));
  Sim.run(600ms);
  BOOST_TEST(Sim.job("a").isOpen());
  Sim.run(2s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 16);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(AGangIsPlacedWholeOrNotAtAll) {
  Simulation Sim(2);
  Sim.submit("a", gangJob(9, 1));
  Sim.run(1s);
  BOOST_TEST(Sim.countStarts("a") == 0);
  Sim.Workers[1].Record.Capacity = {5000, 5000, 0};
  Sim.run(1s);
  BOOST_TEST(Sim.countStarts("a") == 9);
}

BOOST_AUTO_TEST_CASE(TheRestOfAGangIsStoppedWhenAMemberEnds) {
  Simulation Sim(2);
  Sim.Workers[0].RunDuration = Sim.Workers[1].RunDuration = 30s;
  Sim.submit("a", gangJob(8, 1));
  Sim.run(500ms);
  BOOST_TEST(Sim.countStarts("a") == 8);
  Sim.Workers[1].crash(Sim.Time.now(), Sim.Observed);
  Sim.run(8s);
  for (const RunTrace &Run : Sim.Observed.Runs) {
    BOOST_TEST((Run.Run > 1 || Run.EndedAt != Instant::max()));
  }
  BOOST_TEST(Sim.countStarts("a") == 16); // all members run again, together
}

// The leader ended when the start of a gang member was repeated after another
// member had completed the gang.
BOOST_AUTO_TEST_CASE(AGangMayCompleteBeforeAllStartsAreAnswered) {
  Simulation Sim(2);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.Record.Capacity = {1000, 1000, 0};
    Worker.RunDuration = 50ms;
  }
  Sim.LosesAnswer = [](const WorkerOrder &Order) {
    const auto *Start = std::get_if<StartOrder>(&Order);
    return Start != nullptr && Start->Task.Index == 1;
  };
  jobs::JobSpec Spec = gangJob(2, 1);
  Spec.RunSchedule = {2, Sim.Time.wallNow(), 1s};
  Sim.submit("a", Spec);
  Sim.run(5s);
  BOOST_TEST((Sim.job("a").Record.State == jobs::JobState::Completed));
  BOOST_TEST(Sim.countStarts("a") == 4);
  BOOST_TEST(joinLines(Sim.violations()) == "");
}

BOOST_AUTO_TEST_CASE(AGangsFailedRunCountsOnce) {
  jobs::JobTable Table = tableWithGang();
  for (unsigned Index = 0; Index < 3; ++Index) {
    Table.apply(
        jobs::TaskEnded{
            {JobId("g"), 0, 0, Index}, 1, jobs::RunOutcome::Failed, ""},
        2);
  }
  BOOST_TEST(Table.find(JobId("g"))->maxFailures() == 1);
}

BOOST_AUTO_TEST_CASE(AGangSharesItsNewestCheckpoint) {
  jobs::JobTable Table = tableWithGang();
  Table.apply(jobs::CheckpointSaved{{JobId("g"), 0, 0, 2}, 1, "c"}, 2);
  for (unsigned Index = 0; Index < 3; ++Index) {
    BOOST_TEST(
        Table.find(JobId("g"))->find({JobId("g"), 0, 0, Index})->Checkpoint ==
        "c");
  }
}

BOOST_AUTO_TEST_CASE(WorkThatFitsOnNoWorkerRequiresMoreHosts) {
  // Each worker has free resources, but not enough for one more task.
  Simulation Sim(2);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RunDuration = 60s;
  }
  jobs::JobSpec LargeJob = simpleJob(2);
  LargeJob.Steps.front().RequestedResources.CpuMilli = 2500;
  Sim.submit("a", LargeJob);
  Sim.run(200ms);
  Sim.submit("b", LargeJob);
  Sim.run(300ms);
  BOOST_TEST(Sim.JobDispatcher->requiredHosts().empty());
  Sim.run(1500ms);
  BOOST_REQUIRE(Sim.JobDispatcher->requiredHosts().size() == 1);
  BOOST_TEST(Sim.JobDispatcher->requiredHosts().begin()->second == 4);
}

BOOST_AUTO_TEST_CASE(TasksThatMustBeSpreadNeedAHostEach) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(6));
  Sim.submit("b", longRunningJob(5)); // may share the hosts of the first job
  Sim.run(2s);
  BOOST_REQUIRE(Sim.JobDispatcher->requiredHosts().size() == 1);
  BOOST_TEST(Sim.JobDispatcher->requiredHosts().begin()->second == 6);
}

// A leader with a backlog for a full pool spent its processor time on searches
// for room, and fell further behind.
BOOST_AUTO_TEST_CASE(PlanningForAFullPoolTakesLittleTime) {
  constexpr unsigned WorkerCount = 220;
  constexpr unsigned JobCount = 400;
  constexpr int Passes = 50;
  Simulation Sim(WorkerCount);
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.RunDuration = 1h;
  }
  Sim.submit("filling", simpleJob(4 * WorkerCount));
  Sim.run(300ms);
  BOOST_REQUIRE(Sim.countStarts("filling") == 4 * WorkerCount);
  for (unsigned Number = 0; Number < JobCount; ++Number) {
    Sim.submit("waiting-" + std::to_string(1000 + Number), simpleJob(8));
  }
  Sim.run(300ms);
  const Duration Begin = processorTime();
  for (int Pass = 0; Pass < Passes; ++Pass) {
    Sim.Time.advance(8ms);
    Sim.JobDispatcher->updateWorkers({}); // a pass is due
    Sim.JobDispatcher->tick(true, true);
  }
  BOOST_TEST_MESSAGE("a pass takes "
                     << (processorTime() - Begin).count() / Passes << " us");
  // Of the processor time that 8 ms a pass give a quarter of a core.
  BOOST_TEST((processorTime() - Begin < Passes * 2ms));
}

namespace {

/// One worker with a serving task whose tail latency must stay below 100 ms,
/// and two best-effort tasks that increase it.
struct BestEffortSimulation : Simulation {
  BestEffortSimulation() : Simulation(1) {
    jobs::JobSpec ServingJob = longRunningJob(1);
    ServingJob.Steps.front().TailObjective = 100ms;
    submit("serving", ServingJob);
    jobs::JobSpec BestEffortJob = longRunningJob(2);
    BestEffortJob.Text = "filler";
    BestEffortJob.Steps.front().MaxPerWorker = 0;
    BestEffortJob.Steps.front().BestEffort = true;
    submit("filler", BestEffortJob);
    Workers[0].TailLatency = [](unsigned TotalPace) -> std::int64_t {
      return 40 + TotalPace * 2 /
                      3; // 173 ms with both best-effort tasks at full pace
    };
  }

  /// Returns the longest time for which the tail latency stays continuously
  /// above its objective.
  Duration longestOver(Duration Length) {
    Duration MaxTimeOver{};
    Duration TimeOver{};
    for (Duration Elapsed{}; Elapsed < Length; Elapsed += 50ms) {
      run(50ms);
      unsigned TotalPace = 0;
      for (const auto &[Task, Pace] : Workers[0].Paces) {
        TotalPace += Pace;
      }
      TimeOver = Workers[0].TailLatency(TotalPace) > 100 ? TimeOver + 50ms
                                                         : Duration::zero();
      MaxTimeOver = std::max(MaxTimeOver, TimeOver);
    }
    return MaxTimeOver;
  }

  unsigned pace() const {
    return Workers[0].Paces.empty() ? 0 : Workers[0].Paces.begin()->second;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(
    BestEffortTasksAreThrottledUntilServingTasksMeetTheirObjective) {
  BestEffortSimulation Sim;
  BOOST_TEST((Sim.longestOver(10s) < 3s));
  BOOST_TEST(Sim.Workers[0].Paces.size() == 2);
  // Without interference the best-effort tasks return to full pace.
  Sim.Workers[0].TailLatency = [](unsigned) -> std::int64_t { return 20; };
  Sim.run(10s);
  BOOST_TEST(Sim.pace() == 100);
}

BOOST_AUTO_TEST_CASE(APaceOrderWithoutAnswerIsRepeated) {
  BestEffortSimulation Sim;
  unsigned LostCount = 0;
  Sim.LosesAnswer = [&](const WorkerOrder &Order) {
    return std::holds_alternative<PaceOrder>(Order) && ++LostCount <= 2;
  };
  BOOST_TEST((Sim.longestOver(10s) < 4s));
}

BOOST_AUTO_TEST_CASE(ALaterLeaderPacesBestEffortTasksAnew) {
  BestEffortSimulation Sim;
  Sim.run(10s);
  Sim.startNewTerm();
  BOOST_TEST((Sim.longestOver(10s) < 3s));
}

BOOST_AUTO_TEST_CASE(ADelayedTaskIsReportedWithWhyWorkersAreLeftOut) {
  Simulation Sim(3);
  Sim.Log.KeptReason = "tasks-delayed";
  Sim.submit("a", longRunningJob(2));
  Sim.run(500ms);
  BOOST_TEST(Sim.Log.Kept.empty());
  FakeWorker &Worker = workerOfFirstRun(Sim);
  std::map<std::string, Cordon> Cordons;
  for (const FakeWorker &Each : Sim.Workers) {
    Cordons[Each.Record.Instance.Id] = Cordon::OrderPending;
  }
  Sim.JobDispatcher->setCordons(Cordons);
  Worker.crash(Sim.Time.now(), Sim.Observed);
  Sim.run(5s);
  BOOST_REQUIRE(!Sim.Log.Kept.empty());
  const boost::json::object &Line = Sim.Log.Kept.back();
  BOOST_TEST(Line.at("job").as_string() == "a");
  BOOST_TEST(Line.at("state").as_string() == "waiting");
  BOOST_TEST(Line.at("tasks").as_uint64() == 1);
  BOOST_TEST(Line.at("delayed_ms").as_int64() >= 2000);
  BOOST_TEST(Line.at("cordoned").as_uint64() == 2);
  BOOST_TEST(Line.at("unsuitable").as_uint64() == 1);
  BOOST_TEST(Line.at("usable").as_uint64() == 0);
}

BOOST_AUTO_TEST_CASE(AReplyFromBeforeAHostOrderBringsNoWorkerBack) {
  Simulation Sim(1);
  Sim.run(500ms);
  const Instant SentAt = Sim.Time.now();
  Sim.run(100ms);
  Sim.Workers[0].IsDown = true;
  Sim.JobDispatcher->handleHostGone("w0");
  RenewReport Report;
  Report.Incarnation = Sim.Workers[0].Record.Instance.Incarnation;
  Sim.JobDispatcher->handleRenewReply("w0", SentAt, OrderOutcome::Done, Report);
  Sim.run(5ms); // registers the worker again
  BOOST_TEST(!Sim.JobDispatcher->workers().at("w0").isUsable(Sim.Time.now()));
}

BOOST_AUTO_TEST_CASE(APersistentTaskRunsOnADrainingWorkerIfNoOtherHasRoom) {
  Simulation Sim(2);
  Sim.Workers[0].RunDuration = Sim.Workers[1].RunDuration = 60s;
  Sim.submit("filling", simpleJob(4));
  Sim.run(500ms);
  BOOST_REQUIRE(Sim.countStarts("filling") == 4);
  const std::string Vacant =
      Sim.Observed.Runs.front().Worker == "w0" ? "w1" : "w0";
  Sim.JobDispatcher->setCordons({{Vacant, Cordon::Draining}});
  Sim.submit("waiting", simpleJob(1));
  Sim.submit("a", longRunningJob(1));
  Sim.run(3s);
  BOOST_TEST(Sim.countStarts("a") == 1);
  BOOST_TEST(Sim.countStarts("waiting") == 0);
}

BOOST_AUTO_TEST_CASE(NoTaskRunsOnAWorkerWhoseHostHasAnOpenOrder) {
  Simulation Sim(1);
  Sim.run(500ms);
  Sim.JobDispatcher->setCordons({{"w0", Cordon::OrderPending}});
  Sim.submit("a", longRunningJob(1));
  Sim.run(5s);
  BOOST_TEST(Sim.countStarts("a") == 0);
}

BOOST_AUTO_TEST_CASE(PersistentTasksRunSoonAfterTheirWorkersStopFailing) {
  Simulation Sim(1);
  for (const char *Id : {"a", "b", "c"}) {
    Sim.submit(Id, longRunningJob(1));
  }
  Sim.Workers[0].FailsAll = true;
  Sim.run(20s);
  Sim.Workers[0].FailsAll = false;
  Sim.run(7s);
  for (const char *Id : {"a", "b", "c"}) {
    const auto IsRunning = [&](const RunTrace &Run) {
      return Run.Task.Job.Text == Id && Run.EndedAt == Instant::max();
    };
    BOOST_TEST(std::any_of(Sim.Observed.Runs.begin(), Sim.Observed.Runs.end(),
                           IsRunning),
               Id << " doesn't run");
  }
}

BOOST_AUTO_TEST_CASE(BestEffortTasksReturnToFullPaceOnceNoServingTaskIsNear) {
  BestEffortSimulation Sim;
  Sim.run(10s);
  BOOST_REQUIRE(Sim.pace() < 100);
  Sim.cancel("serving");
  Sim.run(10s);
  BOOST_TEST(Sim.pace() == 100);
}

BOOST_AUTO_TEST_CASE(ALaterLeaderLetsLoneBestEffortTasksWorkAtFullPace) {
  BestEffortSimulation Sim;
  Sim.cancel("serving");
  Sim.run(10s);
  Sim.startNewTerm();
  Sim.run(10s);
  BOOST_TEST(Sim.pace() == 100);
}

BOOST_AUTO_TEST_CASE(APersistentTaskDelaysMaintenanceOnlyAfterAWhile) {
  Simulation Sim(1);
  Sim.run(500ms);
  Sim.JobDispatcher->setCordons({{"w0", Cordon::DrainingForMaintenance}});
  Sim.submit("a", longRunningJob(1));
  Sim.run(2400ms);
  BOOST_TEST(Sim.countStarts("a") == 0);
  Sim.run(1s);
  BOOST_TEST(Sim.countStarts("a") == 1);
}

BOOST_AUTO_TEST_CASE(ATaskIsRestartedIfItsWorkerStartsWithAnEarlierClock) {
  Simulation Sim(2);
  Sim.submit("a", longRunningJob(1));
  Sim.run(1s);
  FakeWorker &Worker = workerOfFirstRun(Sim);
  Worker.crash(Sim.Time.now(), Sim.Observed);
  Worker.Record.Instance.Incarnation = 500;
  Sim.run(3s);
  BOOST_TEST(Sim.countStarts("a") == 2);
  // The worker takes work again.
  Sim.submit("b", longRunningJob(2));
  Sim.run(2s);
  BOOST_TEST(Sim.countStarts("b") == 2);
  // The registration of its earlier incarnation may arrive late.
  WorkerRecord Stale = Worker.Record;
  Stale.Instance.Incarnation = 1000;
  Sim.JobDispatcher->updateWorkers({{Stale.Instance.Id, Stale}});
  Sim.run(2s);
  BOOST_TEST(Sim.countStarts("b") == 2);
  BOOST_TEST(Sim.violations().empty());
}
