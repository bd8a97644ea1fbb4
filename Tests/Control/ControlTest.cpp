/// \file
/// Tests of the journal, leader election, request routing and policy relay
/// against a store with lost replies, delayed writes, lost leases and outages.

#define BOOST_TEST_MODULE Control
#include "FakeStore.h"
#include "UnresponsivePorts.h"

#include "balsamlatch/Control/JobController.h"
#include "balsamlatch/Control/JobRouter.h"
#include "balsamlatch/Control/JobWire.h"
#include "balsamlatch/Control/LeaderLoad.h"
#include "balsamlatch/Control/PolicyRelay.h"
#include "balsamlatch/Http/Server.h"
#include "balsamlatch/Jobs/JournalCodec.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::control;
using namespace balsamlatch::control::test;
using namespace std::chrono_literals;

namespace {

/// Workers that report the same running task to each renewal.
class ReportingWorkers final : public WorkerPort {
public:
  explicit ReportingWorkers(EventLoop &CallbackLoop) : Loop(CallbackLoop) {}

  void renew(const dispatch::RenewOrder &Order,
             RenewCallback Callback) override {
    Renewals.push_back(Order);
    dispatch::RenewReport Report;
    Report.Incarnation = 5;
    Report.Running = {{RunningTask, 1, "", 50, 0}};
    Loop.after(1ms, [Callback = std::move(Callback), Report] {
      Callback(dispatch::OrderOutcome::Done, Report);
    });
  }
  void start(const dispatch::StartOrder &, ReplyCallback) override {}
  void stop(const dispatch::StopOrder &, ReplyCallback) override {}
  void pace(const dispatch::PaceOrder &, ReplyCallback) override {}

  jobs::TaskRef RunningTask{jobs::JobId("running"), 0, 0, 0};
  std::vector<dispatch::RenewOrder> Renewals;

private:
  EventLoop &Loop;
};

/// Workers whose start orders are answered by the test.
class WorkersWithOpenStarts final : public WorkerPort {
public:
  explicit WorkersWithOpenStarts(EventLoop &CallbackLoop)
      : Loop(CallbackLoop) {}

  void renew(const dispatch::RenewOrder &, RenewCallback Callback) override {
    dispatch::RenewReport Report;
    Report.Incarnation = 5;
    Loop.after(1ms, [Callback = std::move(Callback), Report] {
      Callback(dispatch::OrderOutcome::Done, Report);
    });
  }
  void start(const dispatch::StartOrder &, ReplyCallback Callback) override {
    Starts.push_back(std::move(Callback));
  }
  void stop(const dispatch::StopOrder &, ReplyCallback) override {}
  void pace(const dispatch::PaceOrder &, ReplyCallback) override {}

  std::vector<ReplyCallback> Starts;

private:
  EventLoop &Loop;
};

dispatch::WorkerRecord registeredWorker(const std::string &Id) {
  dispatch::WorkerRecord Record;
  Record.Instance = {Id, 5};
  Record.Pool = PoolName("p");
  Record.Address = {"127.0.0.1", 1, Id};
  Record.Capacity = {1000, 1000, 0};
  return Record;
}

jobs::JobEvent acceptedEvent(const std::string &Id) {
  jobs::JobAccepted Event;
  Event.Job = jobs::JobId(Id);
  Event.Spec.Steps.emplace_back();
  return Event;
}

struct Fixture {
  EventLoop Loop;
  SystemClock Time;
  NullLog Log;
  FakeStore Store{Loop};
  UnresponsiveWorkers Workers;
  UnresponsivePolicies Policies;
  WorkerPort *WorkerAdapter = &Workers;

  /// Runs the loop until the predicate holds; returns false after two seconds.
  template <typename Predicate> bool runUntil(Predicate IsMet) {
    const Instant End = Time.now() + 2s;
    while (!IsMet()) {
      if (Time.now() > End) {
        return false;
      }
      Loop.context().run_for(2ms);
      Loop.context().restart();
    }
    return true;
  }

  void runFor(Duration Length) {
    Loop.context().run_for(Length);
    Loop.context().restart();
  }
};

struct JournalFixture : Fixture {
  Journal JobJournal{Loop, Time, Store, Log};

  JournalFixture() { Store.put("lead/jobs", "me"); }

  Condition leaderCondition() const {
    return {"lead/jobs", Store.Items.at("lead/jobs").Revision};
  }

  std::optional<Journal::AppendResult> append(const std::string &Id) {
    std::optional<Journal::AppendResult> Result;
    JobJournal.append(leaderCondition(), std::vector{acceptedEvent(Id)},
                      [&](Journal::AppendResult Outcome) { Result = Outcome; });
    runUntil([&] { return Result.has_value(); });
    return Result;
  }

  std::size_t jobsAfterLoad() {
    jobs::JobTable Table;
    bool IsLoaded = false;
    JobJournal.load(Table, [&](const absl::Status &Status) {
      BOOST_TEST(Status.ok());
      IsLoaded = true;
    });
    runUntil([&] { return IsLoaded; });
    return Table.jobs().size();
  }
};

struct ElectionFixture : Fixture {
  std::shared_ptr<dispatch::Deployment> Config =
      std::make_shared<dispatch::Deployment>();
  Duration MinAppendInterval = 15ms;
  dispatch::DispatchOptions DispatchSettings;
  std::uint64_t CompactionThreshold =
      JobControllerOptions().CompactionThreshold;
  Duration CompactionPeriod = JobControllerOptions().CompactionPeriod;

  ElectionFixture() {
    Config->Version = 1;
    Config->Queues.resize(1);
    Config->Queues.front().Name = jobs::QueueName("q");
    Config->Queues.front().Pool = PoolName("p");
  }

  std::unique_ptr<JobController> startEntry(const std::string &Name,
                                            unsigned CpuMilli = 0) {
    JobControllerOptions Options;
    Options.Self = {Name, "127.0.0.1", 1, CpuMilli};
    Options.MinAppendInterval = MinAppendInterval;
    Options.Dispatch = DispatchSettings;
    Options.CompactionThreshold = CompactionThreshold;
    Options.CompactionPeriod = CompactionPeriod;
    auto NewEntry = std::make_unique<JobController>(
        Loop, Time, Log, Store, *WorkerAdapter, Policies, Options);
    NewEntry->configure(Config);
    NewEntry->start();
    return NewEntry;
  }

  std::optional<JobReply> sendRequest(JobController &Entry,
                                      JobRequest Request) {
    auto FinalReply = std::make_shared<std::optional<JobReply>>();
    Entry.request(std::move(Request),
                  [FinalReply](const JobReply &Reply) { *FinalReply = Reply; });
    runUntil([&] { return FinalReply->has_value(); });
    return *FinalReply;
  }

  static SubmitJob submitJob(const std::string &Id) {
    SubmitJob Request{jobs::JobId(Id), jobs::QueueName("q"), {}};
    Request.Spec.Steps.emplace_back();
    return Request;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(LoadReadsAllPages, JournalFixture) {
  for (int Number = 0; Number < 8; ++Number) {
    BOOST_TEST(
        (append(fmt::format("j{}", Number)) == Journal::AppendResult::Written));
  }
  BOOST_TEST(jobsAfterLoad() == 8);
  BOOST_TEST(JobJournal.nextNumber() == 9);
}

BOOST_FIXTURE_TEST_CASE(ForeignKeysInTheJournalAreSkipped, JournalFixture) {
  append("a");
  Store.put("journal/notes", "[]");
  Store.put("journal/99999999999999999999", "[]");
  BOOST_TEST(jobsAfterLoad() == 1);
  BOOST_TEST(JobJournal.nextNumber() == 2);
}

BOOST_FIXTURE_TEST_CASE(AppendRetriesAfterALostReply, JournalFixture) {
  Store.RepliesToLose = 2;
  BOOST_TEST((append("a") == Journal::AppendResult::Written));
  BOOST_TEST((append("b") == Journal::AppendResult::Written));
  BOOST_TEST(jobsAfterLoad() == 2);
}

BOOST_FIXTURE_TEST_CASE(ADelayedWriteHasNoEffect, JournalFixture) {
  Store.WritesToDelay = 1;
  BOOST_TEST((append("a") == Journal::AppendResult::Written));
  BOOST_TEST((append("b") == Journal::AppendResult::Written));
  BOOST_TEST(jobsAfterLoad() == 2);
}

BOOST_FIXTURE_TEST_CASE(AnAppendFailsAfterALeaderChange, JournalFixture) {
  const Condition OldCondition = leaderCondition();
  Store.put("lead/jobs", "another");
  std::optional<Journal::AppendResult> Result;
  JobJournal.append(OldCondition, std::vector{acceptedEvent("a")},
                    [&](Journal::AppendResult Outcome) { Result = Outcome; });
  BOOST_TEST(runUntil([&] { return Result.has_value(); }));
  BOOST_TEST((*Result == Journal::AppendResult::LeadershipLost));
  BOOST_TEST(jobsAfterLoad() == 0);
}

BOOST_FIXTURE_TEST_CASE(TruncationRemovesOldRecords, JournalFixture) {
  for (int Number = 0; Number < 5; ++Number) {
    append(fmt::format("j{}", Number));
  }
  JobJournal.truncateBefore(4);
  append("last");
  BOOST_TEST(JobJournal.oldestNumber() == 4);
  BOOST_TEST(!Store.Items.contains("journal/000000000003"));
  BOOST_TEST(Store.Items.contains("journal/000000000004"));
}

BOOST_FIXTURE_TEST_CASE(AcceptedJobsSurviveALeaderChange, ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  BOOST_TEST(
      (sendRequest(*FirstEntry, submitJob("a"))->Outcome == JobReply::Done));
  auto SecondEntry = startEntry("two");
  FirstEntry->retire();
  BOOST_TEST(runUntil([&] { return SecondEntry->isLeading(); }));
  BOOST_TEST((sendRequest(*SecondEntry, QueryJob{jobs::JobId("a")})->Outcome ==
              JobReply::Done));
  BOOST_TEST(
      (sendRequest(*SecondEntry, submitJob("a"))->Outcome == JobReply::Done));
  BOOST_TEST(SecondEntry->jobTable().jobs().size() == 1);
  BOOST_TEST((sendRequest(*SecondEntry, QueryJob{jobs::JobId("b")})->Outcome ==
              JobReply::NoSuchJob));
  BOOST_TEST((sendRequest(*FirstEntry, submitJob("c"))->Outcome ==
              JobReply::NotLeader));
}

BOOST_FIXTURE_TEST_CASE(ALeaderWithAnOverwrittenKeyAcceptsNoJobs,
                        ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  Store.put("lead/jobs", encodeEntry({"two", "127.0.0.1", 2}));
  const std::optional<JobReply> Reply =
      sendRequest(*FirstEntry, submitJob("a"));
  BOOST_TEST((Reply->Outcome == JobReply::Unknown ||
              Reply->Outcome == JobReply::NotLeader));
  BOOST_TEST(runUntil([&] { return !FirstEntry->isLeading(); }));
  for (const auto &[Key, Item] : Store.Items) {
    BOOST_TEST(!Key.starts_with("journal/"));
  }
}

BOOST_FIXTURE_TEST_CASE(ALeaderStepsDownWhenItsLeaseExpires, ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  Store.expire(Store.Items.at("lead/jobs").Lease);
  BOOST_TEST(runUntil([&] { return !FirstEntry->isLeading(); }));
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
}

BOOST_FIXTURE_TEST_CASE(ANewTermDoesNotUseTheWorkersOfAnEarlierTerm,
                        ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  FirstEntry->updateWorkers({{"left", registeredWorker("left")}});
  BOOST_TEST(FirstEntry->dispatcher().workers().size() == 1);
  Store.expire(Store.Items.at("lead/jobs").Lease);
  BOOST_TEST(runUntil([&] { return !FirstEntry->isLeading(); }));
  // The worker leaves while no entry leads.
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  BOOST_TEST(FirstEntry->dispatcher().workers().empty());
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatCannotReadTheJournalLetsAnotherLead,
                        ElectionFixture) {
  Store.JournalListsToFail = 2; // As over a link that is too slow.
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isElected(); }));
  auto SecondEntry = startEntry("two");
  BOOST_TEST(runUntil([&] { return SecondEntry->isLeading(); }));
  BOOST_TEST(!FirstEntry->isElected());
  BOOST_TEST(!FirstEntry->leaderView().CanLead);
}

BOOST_FIXTURE_TEST_CASE(ALeaseThatExpiredBeforeItsReplyIsNotUsed,
                        ElectionFixture) {
  Store.GrantReplyDelay = 950ms; // As after a pause of the process.
  auto FirstEntry = startEntry("one");
  bool HasLed = false;
  FirstEntry->OnLeadershipChanged = [&](bool Leading) {
    HasLed = HasLed || Leading;
  };
  runFor(1400ms);
  BOOST_TEST(!HasLed);
  Store.GrantReplyDelay = 1ms;
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
}

BOOST_FIXTURE_TEST_CASE(StoreContactCountsFromTheSendingOfTheClaim,
                        ElectionFixture) {
  ReportingWorkers RunningWorkers(Loop);
  WorkerAdapter = &RunningWorkers;
  const jobs::TaskRef Task = RunningWorkers.RunningTask;
  Store.put("journal/000000000001",
            jobs::encodeEvents({acceptedEvent(Task.Job.Text),
                                jobs::TaskPlaced{Task, 1, {"w", 5}}}));
  DispatchSettings.StoreOutageRenewal = 400ms;
  Store.CommitReplyDelay = 500ms; // As after a pause of the process.
  Store.RenewalsToIgnore = 1000;
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  FirstEntry->updateWorkers({{"w", registeredWorker("w")}});
  BOOST_TEST(runUntil([&] { return RunningWorkers.Renewals.size() >= 3; }));
  // The next leader assumes that this one renewed for no more than
  // StoreOutageRenewal after it last reached the store.
  for (const dispatch::RenewOrder &Renewal : RunningWorkers.Renewals) {
    BOOST_TEST(!Renewal.LeaseUntil.has_value());
  }
}

BOOST_FIXTURE_TEST_CASE(JobsAreRefusedAtOnceWhileTheStoreIsSilent,
                        ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  Store.LosesWrites = true;
  std::optional<JobReply> EarlierReply;
  FirstEntry->request(submitJob("a"),
                      [&](const JobReply &Reply) { EarlierReply = Reply; });
  runFor(20ms);
  std::optional<JobReply> WaitingReply;
  FirstEntry->request(submitJob("c"),
                      [&](const JobReply &Reply) { WaitingReply = Reply; });
  runFor(600ms);
  BOOST_TEST(!EarlierReply.has_value());
  // Only the request in flight is in doubt.
  BOOST_REQUIRE(WaitingReply.has_value());
  BOOST_TEST((WaitingReply->Outcome == JobReply::Refused));
  std::optional<JobReply> LaterReply;
  FirstEntry->request(submitJob("b"),
                      [&](const JobReply &Reply) { LaterReply = Reply; });
  BOOST_REQUIRE(LaterReply.has_value());
  BOOST_TEST((LaterReply->Outcome == JobReply::Refused));
  BOOST_TEST((LaterReply->RetryAfter >= 1s));
  // The request in flight is stored after the outage.
  Store.LosesWrites = false;
  BOOST_TEST(runUntil([&] { return EarlierReply.has_value(); }));
  BOOST_TEST((EarlierReply->Outcome == JobReply::Done));
  runFor(50ms);
  BOOST_TEST(FirstEntry->jobTable().find(jobs::JobId("b")) == nullptr);
  BOOST_TEST(FirstEntry->jobTable().find(jobs::JobId("c")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(JobsThatTheStoreTurnsDownAreRefused, ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  Store.IsUnavailable = true;
  std::optional<JobReply> EarlierReply;
  FirstEntry->request(submitJob("a"),
                      [&](const JobReply &Reply) { EarlierReply = Reply; });
  runFor(200ms);
  BOOST_TEST(!EarlierReply.has_value()); // The outage may be short.
  BOOST_TEST(runUntil([&] { return EarlierReply.has_value(); }));
  BOOST_TEST((EarlierReply->Outcome == JobReply::Refused));
  BOOST_TEST((EarlierReply->RetryAfter >= 1s));
  std::optional<JobReply> LaterReply;
  FirstEntry->request(submitJob("b"),
                      [&](const JobReply &Reply) { LaterReply = Reply; });
  runFor(80ms);
  BOOST_REQUIRE(LaterReply.has_value());
  BOOST_TEST((LaterReply->Outcome == JobReply::Refused));
  Store.IsUnavailable = false;
  BOOST_TEST(
      (sendRequest(*FirstEntry, submitJob("b"))->Outcome == JobReply::Done));
  runFor(100ms);
  BOOST_TEST(FirstEntry->jobTable().find(jobs::JobId("a")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(ALateAttemptOfARefusedRequestIsRefused,
                        ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  SubmitJob Request = submitJob("a");
  Request.RequestId = "request-1";
  Store.IsUnavailable = true;
  BOOST_TEST((sendRequest(*FirstEntry, Request)->Outcome == JobReply::Refused));
  Store.IsUnavailable = false;
  // The caller has been told that the job hasn't run.
  BOOST_TEST((sendRequest(*FirstEntry, Request)->Outcome == JobReply::Refused));
  BOOST_TEST(FirstEntry->jobTable().find(Request.Job) == nullptr);
  Request.RequestId = "request-2"; // The caller tries again.
  BOOST_TEST((sendRequest(*FirstEntry, Request)->Outcome == JobReply::Done));
}

BOOST_FIXTURE_TEST_CASE(AnAttemptForAnotherTermHasNoEffect, ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  SubmitJob Request = submitJob("a");
  Request.LeaderToken = FirstEntry->token().Value;
  Store.expire(Store.Items.at("lead/jobs").Lease);
  BOOST_TEST(runUntil([&] { return !FirstEntry->isLeading(); }));
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  BOOST_TEST(
      (sendRequest(*FirstEntry, Request)->Outcome == JobReply::NotLeader));
  BOOST_TEST(FirstEntry->jobTable().jobs().empty());
}

BOOST_FIXTURE_TEST_CASE(ALargeBatchTakesSeveralRecords, ElectionFixture) {
  constexpr std::size_t JobCount = 300;
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  std::size_t StoredJobs = 0;
  for (std::size_t Number = 0; Number < JobCount; ++Number) {
    SubmitJob Request = submitJob(fmt::format("j{}", Number));
    Request.Spec.Text = std::string(jobs::MaxSpecTextBytes, 'x');
    FirstEntry->request(Request, [&](const JobReply &Reply) {
      StoredJobs += Reply.Outcome == JobReply::Done ? 1 : 0;
    });
  }
  BOOST_TEST(runUntil([&] { return StoredJobs == JobCount; }));
  for (const auto &[Key, Item] : Store.Items) {
    BOOST_TEST(Item.Value.size() <= MaxRecordBytes);
  }
  BOOST_TEST(FirstEntry->jobTable().jobs().size() == JobCount);
}

BOOST_FIXTURE_TEST_CASE(AnAppendWhoseReplyIsLostIsSoonRepeated,
                        JournalFixture) {
  append("a");
  Store.CommitReplyDelay = 1500ms; // The connection has gone silent.
  std::optional<Journal::AppendResult> Result;
  JobJournal.append(leaderCondition(), std::vector{acceptedEvent("b")},
                    [&](Journal::AppendResult Outcome) { Result = Outcome; });
  Store.CommitReplyDelay = 1ms;
  runFor(200ms);
  BOOST_REQUIRE(Result.has_value());
  BOOST_TEST((*Result == Journal::AppendResult::Written));
  // A store that is slow but answers is not asked again and again.
  Store.CommitReplyDelay = 30ms;
  for (int Number = 0; Number < 20; ++Number) {
    append(fmt::format("c{}", Number));
  }
  const unsigned CommitsBefore = Store.Commits;
  Store.CommitReplyDelay = 60ms;
  append("d");
  BOOST_TEST(Store.Commits == CommitsBefore + 1);
}

BOOST_FIXTURE_TEST_CASE(AnUnansweredAppendIsRepeatedOnceTheStoreAnswers,
                        ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  Store.CommitReplyDelay = 1500ms; // The connection has gone silent.
  std::optional<JobReply> FinalReply;
  FirstEntry->request(submitJob("a"),
                      [&](const JobReply &Reply) { FinalReply = Reply; });
  runFor(30ms);
  Store.CommitReplyDelay = 1ms;
  runFor(700ms);
  BOOST_REQUIRE(FinalReply.has_value());
  BOOST_TEST((FinalReply->Outcome == JobReply::Done));
  runFor(1000ms); // The first reply arrives late.
  BOOST_TEST(
      (sendRequest(*FirstEntry, submitJob("b"))->Outcome == JobReply::Done));
}

BOOST_FIXTURE_TEST_CASE(ACancellationSurvivesACompaction, ElectionFixture) {
  MinAppendInterval = 150ms;
  CompactionThreshold = 2;
  CompactionPeriod = 20ms;
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  for (const char *Id : {"a", "b", "c"}) {
    BOOST_TEST(
        (sendRequest(*FirstEntry, submitJob(Id))->Outcome == JobReply::Done));
  }
  // Old jobs are rewritten while the cancellation waits for the next record.
  BOOST_TEST((sendRequest(*FirstEntry, CancelJob{jobs::JobId("a")})->Outcome ==
              JobReply::Done));
  BOOST_TEST((sendRequest(*FirstEntry, QueryJob{jobs::JobId("a")})->State ==
              jobs::JobState::Cancelled));
}

BOOST_FIXTURE_TEST_CASE(RouterReportsFailureUntilALeaderReplies,
                        ElectionFixture) {
  Store.IsUnavailable = true;
  auto Leader = startEntry("one");
  http::Client PeerClient(Loop.context(), {});
  JobRouter Router(Loop, Time, Log, *Leader, PeerClient);
  std::optional<JobReply> FinalReply;
  const Instant Deadline = Time.now() + 50ms;
  Router.request(QueryJob{jobs::JobId("a")}, {Deadline, Deadline},
                 [&](const JobReply &Reply) { FinalReply = Reply; });
  BOOST_TEST(runUntil([&] { return FinalReply.has_value(); }));
  BOOST_TEST((FinalReply->Outcome == JobReply::NotLeader));
  BOOST_TEST(Router.hasFailedFor(0ms));
  BOOST_TEST(!Router.hasFailedFor(1s));
  Store.IsUnavailable = false;
  BOOST_TEST(runUntil([&] { return Leader->isLeading(); }));
  Router.probe();
  BOOST_TEST(runUntil([&] { return !Router.hasFailedFor(0ms); }));
}

BOOST_FIXTURE_TEST_CASE(StrongerEntriesClaimVacantLeadershipFirst,
                        ElectionFixture) {
  Store.put("lead/entries/strong", encodeEntry({"strong", "::", 1, 500}));
  auto WeakEntry = startEntry("weak", 120);
  runFor(100ms);
  BOOST_TEST(!WeakEntry->isLeading());
  auto StrongEntry = startEntry("strong", 500);
  BOOST_TEST(runUntil([&] { return StrongEntry->isLeading(); }));
  runFor(400ms);
  BOOST_TEST(!WeakEntry->isLeading());
  // After the stronger entry has retired, the weaker one leads.
  StrongEntry->retire();
  BOOST_TEST(runUntil([&] { return WeakEntry->isLeading(); }));
}

BOOST_FIXTURE_TEST_CASE(ARestartedLeaderReplacesItsOwnKey, ElectionFixture) {
  // The key of the previous process has no lease, so it never expires.
  Store.put("lead/jobs", encodeEntry({"one", "127.0.0.1", 1, 0}));
  auto OtherEntry = startEntry("two");
  runFor(500ms);
  BOOST_TEST(!OtherEntry->isLeading());
  auto RestartedEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return RestartedEntry->isLeading(); }));
  BOOST_TEST((sendRequest(*RestartedEntry, submitJob("a"))->Outcome ==
              JobReply::Done));
}

BOOST_FIXTURE_TEST_CASE(RenewalsContinueAfterLostReplies, ElectionFixture) {
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  Store.RenewalsToIgnore = 2; // As on a connection that has gone silent.
  runFor(1300ms);
  BOOST_TEST(FirstEntry->holdsLease());
}

BOOST_FIXTURE_TEST_CASE(AWeakLeaderYieldsToAStrongerEntry, ElectionFixture) {
  LeaderView StrongView{std::nullopt, 0, false};
  http::ServerOptions Options;
  Options.Ip = "127.0.0.1";
  http::Server Server(Loop.context(), Options,
                      [&](const http::Exchange &Exchange) {
                        Exchange.Respond(encodeLeaderView(StrongView));
                      });
  BOOST_REQUIRE(Server.start().ok());
  Store.put("lead/entries/strong",
            encodeEntry({"strong", "127.0.0.1", Server.port(), 500}));
  auto WeakEntry = startEntry("weak", 120);
  http::Client PeerClient(Loop.context(), {});
  LeaderFinder Finder(Loop, Time, *WeakEntry, PeerClient);
  BOOST_TEST(runUntil([&] { return WeakEntry->isLeading(); }));
  Finder.start();
  runFor(2500ms);
  // The stronger entry doesn't reach the store.
  BOOST_TEST(WeakEntry->isLeading());
  StrongView.CanLead = true;
  bool HasSteppedDown = false;
  WeakEntry->OnLeadershipChanged = [&](bool Leading) {
    HasSteppedDown = HasSteppedDown || !Leading;
  };
  runFor(2500ms);
  BOOST_TEST(HasSteppedDown);
}

// All entries listed the election keys seven times a second while the leader
// was slow.
BOOST_FIXTURE_TEST_CASE(SearchesForASlowLeaderGetFewer, ElectionFixture) {
  Store.put("lead/jobs", encodeEntry({"slow", "127.0.0.1", 1, 500}));
  auto Follower = startEntry("one");
  BOOST_TEST(runUntil([&] { return Follower->knownLeader().has_value(); }));
  http::Client PeerClient(Loop.context(), {});
  LeaderFinder Finder(Loop, Time, *Follower, PeerClient);
  const unsigned ListsBefore = Store.Lists;
  const Instant End = Time.now() + 2s;
  while (Time.now() < End) {
    Finder.findLeader();
    runFor(5ms);
  }
  BOOST_TEST(Store.Lists - ListsBefore >= 3U);
  BOOST_TEST(Store.Lists - ListsBefore <= 6U);
}

// A new leader yielded while the store was slow, and nothing was placed until
// the next election had ended.
BOOST_FIXTURE_TEST_CASE(ALeaderDoesNotYieldWhileTheStoreIsSlow,
                        ElectionFixture) {
  Store.CommitReplyDelay = 200ms;
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isElected(); }));
  FirstEntry->yieldLeadership();
  BOOST_TEST(FirstEntry->isElected());
  Store.CommitReplyDelay = 1ms;
  runFor(600ms); // Renewals are answered quickly.
  FirstEntry->yieldLeadership();
  BOOST_TEST(!FirstEntry->isElected());
}

BOOST_FIXTURE_TEST_CASE(ALeaderWithoutTheStoreStepsDownForANewerView,
                        ElectionFixture) {
  const EntryRecord NextLeader{"two", "127.0.0.1", 2};
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  const std::uint64_t Token = FirstEntry->token().Value;
  Store.IsUnavailable = true;
  FirstEntry->mergeLeaderView({NextLeader, Token - 1, false});
  BOOST_TEST(FirstEntry->isLeading());
  FirstEntry->mergeLeaderView({NextLeader, Token + 1, false});
  BOOST_TEST(!FirstEntry->isLeading());
  BOOST_TEST((FirstEntry->knownLeader() == NextLeader));
}

// A leader that had been paused repeated a start after its lease had run out; a
// restarted worker, which knew no later token, carried it out.
BOOST_FIXTURE_TEST_CASE(NoStartIsOrderedAfterTheLease, ElectionFixture) {
  for (const bool IsLeaseLost : {false, true}) {
    WorkersWithOpenStarts OpenWorkers(Loop);
    WorkerAdapter = &OpenWorkers;
    auto Leader = startEntry("one");
    BOOST_TEST(runUntil([&] { return Leader->isLeading(); }));
    Leader->updateWorkers({{"w", registeredWorker("w")}});
    sendRequest(*Leader, submitJob(IsLeaseLost ? "b" : "a"));
    BOOST_REQUIRE(runUntil([&] { return OpenWorkers.Starts.size() == 1; }));
    Store.IsUnavailable = IsLeaseLost;
    runFor(1200ms);
    OpenWorkers.Starts.front()({dispatch::OrderOutcome::Unknown});
    runFor(100ms);
    BOOST_TEST(OpenWorkers.Starts.size() == (IsLeaseLost ? 1U : 2U));
    Store.IsUnavailable = false;
    Leader->retire();
  }
}

BOOST_FIXTURE_TEST_CASE(APossiblyExecutedRequestIsRetriedUntilItsDeadline,
                        ElectionFixture) {
  auto Leader = startEntry("one");
  BOOST_TEST(runUntil([&] { return Leader->isLeading(); }));
  http::Client PeerClient(Loop.context(), {});
  JobRouter Router(Loop, Time, Log, *Leader, PeerClient);
  Store.LosesWrites = true;
  std::optional<JobReply> FinalReply;
  Router.request(submitJob("a"), {Time.now() + 50ms, Time.now() + 2s},
                 [&](const JobReply &Reply) { FinalReply = Reply; });
  runFor(30ms);
  Leader->yieldLeadership(); // The append of the job's record is in flight.
  runFor(200ms);
  BOOST_TEST(!FinalReply.has_value());
  Store.LosesWrites = false;
  BOOST_TEST(runUntil([&] { return FinalReply.has_value(); }));
  BOOST_TEST((FinalReply->Outcome == JobReply::Done));
}

BOOST_FIXTURE_TEST_CASE(CompactionBoundsTheJournalOfClosedJobs,
                        ElectionFixture) {
  MinAppendInterval = 0ms;
  constexpr int Jobs = 200;
  auto FirstEntry = startEntry("one");
  BOOST_TEST(runUntil([&] { return FirstEntry->isLeading(); }));
  for (int Number = 0; Number < Jobs; ++Number) {
    const std::string Id = fmt::format("j{}", Number);
    BOOST_REQUIRE(
        (sendRequest(*FirstEntry, submitJob(Id))->Outcome == JobReply::Done));
    BOOST_REQUIRE(
        (sendRequest(*FirstEntry, CancelJob{jobs::JobId(Id)})->Outcome ==
         JobReply::Done));
  }
  const auto RecordCount = [&] {
    return std::count_if(
        Store.Items.begin(), Store.Items.end(),
        [](const auto &Item) { return Item.first.starts_with("journal/"); });
  };
  // Each append removes only some of the old records.
  int LaterJobs = 0;
  for (int Round = 0; Round < 150; ++Round) {
    BOOST_REQUIRE(sendRequest(*FirstEntry,
                              submitJob(fmt::format("later{}", ++LaterJobs))));
    runFor(20ms);
  }
  BOOST_TEST(RecordCount() < 300);
  auto SecondEntry = startEntry("two");
  FirstEntry->retire();
  BOOST_TEST(runUntil([&] { return SecondEntry->isLeading(); }));
  for (int Number = 0; Number < Jobs; ++Number) {
    const auto Reply = sendRequest(
        *SecondEntry, QueryJob{jobs::JobId(fmt::format("j{}", Number))});
    BOOST_TEST((Reply->State == jobs::JobState::Cancelled));
  }
}

BOOST_FIXTURE_TEST_CASE(PolicyQueriesAreDistributedOverEntries, Fixture) {
  /// Replies to each query after a delay.
  class DelayedPolicies final : public PolicyPort {
  public:
    DelayedPolicies(EventLoop &CallbackLoop, std::string Name)
        : Loop(CallbackLoop), Ticket(std::move(Name)) {}
    void ask(const dispatch::PermitQuery &, ReplyCallback Callback) override {
      Loop.after(50ms, [this, Callback] {
        Callback(dispatch::PermitReply{{{"w", Ticket}}, 3s});
      });
    }

  private:
    EventLoop &Loop;
    std::string Ticket;
  };
  DelayedPolicies LocalPolicies(Loop, "here");
  DelayedPolicies RemotePolicies(Loop, "there");
  http::Client PeerClient(Loop.context(), {});
  PolicyRelay LeaderRelay(Time, LocalPolicies, PeerClient);
  PolicyRelay RemoteRelay(Time, RemotePolicies, PeerClient);
  http::ServerOptions Options;
  Options.Ip = "127.0.0.1";
  http::Server Server(
      Loop.context(), Options,
      [&](const http::Exchange &Exchange) { RemoteRelay.serve(Exchange); });
  BOOST_REQUIRE(Server.start().ok());
  BOOST_TEST(LeaderRelay.slots() == 1);
  // The third entry's port is closed.
  LeaderRelay.setOtherEntries(
      {{"two", "127.0.0.1", Server.port(), 0}, {"three", "127.0.0.1", 1, 0}});
  BOOST_TEST(LeaderRelay.slots() == 3);
  const dispatch::PermitQuery Query{
      {jobs::JobId("j"), 0, 1}, {{"w", 7}, {"v", 8}}, 100ms};
  std::multiset<std::string> Tickets;
  for (int Number = 0; Number < 3; ++Number) {
    LeaderRelay.ask(
        Query, [&](const absl::StatusOr<dispatch::PermitReply> &Reply) {
          Tickets.insert(Reply.ok() ? Reply->Allowed.front().Ticket : "none");
        });
  }
  BOOST_TEST(runUntil([&] { return Tickets.size() == 3; }));
  BOOST_TEST((Tickets == std::multiset<std::string>{"here", "there", "none"}));
  // The failed entry's slot is in backoff.
  BOOST_TEST(LeaderRelay.slots() == 2);
  BOOST_TEST((*decodeQuery(encodeQuery(Query)) == Query));
  BOOST_TEST(!decodeQuery("{}").ok());
}

namespace {

/// Keeps the fields of each line.
struct LineCollector final : LogSink {
  void write(LogLevel, std::string_view Reason,
             boost::json::object Fields) override {
    Reasons.emplace_back(Reason);
    Lines.push_back(std::move(Fields));
  }
  std::vector<std::string> Reasons;
  std::vector<boost::json::object> Lines;
};

} // namespace

// Nothing told a leader without processor time from one with slow workers.
BOOST_AUTO_TEST_CASE(ALeaderReportsItsLoadOnceASecond) {
  ManualClock Time;
  LineCollector Log;
  Duration Used = 70ms;
  LeaderLoad Load(Time, Log, [&Used] { return Used; });
  Load.begin();
  Time.advance(900ms);
  BOOST_TEST(!Load.isReportDue());
  Load.noteTimer(Time.now() - 35ms);
  Load.noteTimer(Time.now() - 5ms);
  Load.noteOrder(dispatch::RenewOrder());
  Load.noteOrder(dispatch::StartOrder());
  Load.noteOrder(dispatch::StartOrder());
  Load.noteUnanswered();
  Used += 240ms;
  Time.advance(100ms);
  BOOST_TEST(Load.isReportDue());
  Load.report({}, {.OverdueRenewals = 3, .LongestOverdue = 250ms});
  BOOST_TEST(!Load.isReportDue());
  BOOST_REQUIRE((Log.Reasons == std::vector<std::string>{"leader-load"}));
  const auto Field = [&](const char *Name) {
    return Log.Lines.front().at(Name).to_number<int>();
  };
  BOOST_TEST(Field("over_ms") == 1000);
  BOOST_TEST(Field("cpu_ms") == 240);
  BOOST_TEST(Field("timer_late_ms") == 35);
  BOOST_TEST(Field("renewals") == 1);
  BOOST_TEST(Field("starts") == 2);
  BOOST_TEST(Field("unanswered") == 1);
  BOOST_TEST(Field("renewals_overdue") == 3);
  BOOST_TEST(Field("renewal_late_ms") == 250);
  Time.advance(1s);
  Load.report({}, {});
  BOOST_TEST(Log.Lines.back().at("renewals").to_number<int>() == 0);
}

BOOST_AUTO_TEST_CASE(EncodedJobRequestsRoundTrip) {
  SubmitJob Submit{jobs::JobId("0123456789abcdef"), jobs::QueueName("q"), {}};
  Submit.Spec.Text = "text";
  Submit.Spec.Steps.resize(2);
  Submit.Spec.Steps[1].PrerequisiteSteps = {0};
  Submit.Spec.Steps[1].LongRunning = true;
  for (const JobRequest &Request :
       {JobRequest(Submit), JobRequest(CancelJob{Submit.Job}),
        JobRequest(QueryJob{Submit.Job}),
        JobRequest(QueryQueue{Submit.Queue})}) {
    const auto Decoded = decodeRequest(encodeRequest(Request));
    BOOST_REQUIRE(Decoded.ok());
    BOOST_TEST((*Decoded == Request));
  }
  const JobReply Reply{JobReply::Refused, jobs::JobState::Failed, 7, 2s};
  BOOST_TEST((decodeReply(encodeReply(Reply)) == Reply));
  for (const char *InvalidReply :
       {"nonsense", "[99,0,0,0]", "[0,99,0,0]", "[-1,0,0,0]", "[0]"}) {
    BOOST_TEST((decodeReply(http::jsonResponse(200, InvalidReply)).Outcome ==
                JobReply::Unknown));
  }
}

BOOST_AUTO_TEST_CASE(EncodedEventsRoundTrip) {
  using namespace balsamlatch::jobs;
  const TaskRef Task{JobId("j"), 1, 2, 3};
  JobSnapshot Snapshot;
  Snapshot.Accepted = std::get<JobAccepted>(acceptedEvent("j"));
  Snapshot.Accepted.Spec.RunSchedule.Repeats = 2;
  Snapshot.Occurrences[1] = {{{TaskPhase::Placed, 4, 1, 3, {"w", 5}, "c"}}};
  const std::vector<JobEvent> Events = {
      acceptedEvent("j"),
      TaskPlaced{Task, 4, {"w", 5}},
      TaskEnded{Task, 4, RunOutcome::Failed, "c"},
      CheckpointSaved{Task, 4, "d"},
      JobClosed{JobId("j"), JobState::Failed, WallTime(7s)},
      JobRemoved{JobId("j")},
      Snapshot};
  const auto Decoded = decodeEvents(encodeEvents(Events));
  BOOST_REQUIRE(Decoded.ok());
  BOOST_TEST((*Decoded == Events));
  Snapshot.Accepted.Spec.RunSchedule.Repeats = 0;
  BOOST_TEST(!decodeEvents(encodeEvents({Snapshot})).ok());
  BOOST_TEST(!decodeEvents("[[\"a\"]]").ok());
  // Enumerators that don't exist, and a step that depends on itself.
  for (
      const char *InvalidEvents :
      {R"([["z","j",9,0]])", R"([["e","j",0,0,0,1,99,""]])",
       R"([["a","j","q","p",0,["",[[1,0,0,0,0,[0],"","",0,0,0,"",0]],0,0,0]]])",
       R"([["a","j","q","p",0,["",[[1,0,0,0,0,[4294967295],"","",0,0,0,"",0]],)"
       R"(0,0,0]]])"}) {
    BOOST_TEST(!decodeEvents(InvalidEvents).ok(), InvalidEvents);
  }
  BOOST_TEST(!decodeEvents("{").ok());
}
