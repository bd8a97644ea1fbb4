/// \file
/// The journal and the holder against a store that loses answers, carries
/// writes out late, takes keys away and goes away.

#define BOOST_TEST_MODULE Control
#include "FakeStore.h"

#include "balsamlatch/Control/Holder.h"
#include "balsamlatch/Control/JobRouter.h"
#include "balsamlatch/Control/JobWire.h"
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

/// Workers that never answer: no job of these tests needs one.
class NoWorkers final : public WorkerPort {
public:
  void hold(const dispatch::HoldOrder &, HoldDone) override {}
  void start(const dispatch::StartOrder &, Done) override {}
  void stop(const dispatch::StopOrder &, Done) override {}
  void pace(const dispatch::PaceOrder &, Done) override {}
};

class NoPolicies final : public PolicyPort {
public:
  void ask(const dispatch::PermitQuery &, Done) override {}
};

jobs::JobEvent accepted(const std::string &Id) {
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
  NoWorkers Workers;
  NoPolicies Policies;

  /// Runs the loop until the condition holds; false after two seconds.
  template <typename Condition> bool runUntil(Condition Holds) {
    const Instant End = Time.now() + 2s;
    while (!Holds()) {
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
  Journal Records{Loop, Time, Store, Log};

  JournalFixture() { Store.put("lead/jobs", "me"); }

  Condition holder() const {
    return {"lead/jobs", Store.Items.at("lead/jobs").Revision};
  }

  std::optional<Journal::Result> append(const std::string &Id) {
    std::optional<Journal::Result> Came;
    Records.append(holder(), {accepted(Id)},
                   [&](Journal::Result Outcome) { Came = Outcome; });
    runUntil([&] { return Came.has_value(); });
    return Came;
  }

  std::size_t jobsAfterLoad() {
    jobs::JobBook Book;
    bool Done = false;
    Records.load(Book, [&](const absl::Status &Loaded) {
      BOOST_TEST(Loaded.ok());
      Done = true;
    });
    runUntil([&] { return Done; });
    return Book.jobs().size();
  }
};

struct HolderFixture : Fixture {
  std::shared_ptr<dispatch::Deployment> Config =
      std::make_shared<dispatch::Deployment>();
  Duration RecordGap = 15ms;

  HolderFixture() {
    Config->Version = 1;
    Config->Queues.resize(1);
    Config->Queues.front().Name = jobs::QueueName("q");
    Config->Queues.front().Pool = PoolName("p");
  }

  std::unique_ptr<Holder> holder(const std::string &Name,
                                 unsigned CpuMilli = 0) {
    HolderOptions Options;
    Options.Self = {Name, "127.0.0.1", 1, CpuMilli};
    Options.RecordGap = RecordGap;
    auto New = std::make_unique<Holder>(Loop, Time, Log, Store, Workers,
                                        Policies, Options);
    New->configure(Config);
    New->start();
    return New;
  }

  std::optional<JobReply> ask(Holder &Whom, JobRequest What) {
    auto Came = std::make_shared<std::optional<JobReply>>();
    Whom.request(std::move(What),
                 [Came](const JobReply &Reply) { *Came = Reply; });
    runUntil([&] { return Came->has_value(); });
    return *Came;
  }

  static SubmitJob job(const std::string &Id) {
    SubmitJob What{jobs::JobId(Id), jobs::QueueName("q"), {}};
    What.Spec.Steps.emplace_back();
    return What;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RecordsAreReadBackOverPages, JournalFixture) {
  for (int Number = 0; Number < 8; ++Number) {
    BOOST_TEST(
        (append(fmt::format("j{}", Number)) == Journal::Result::Written));
  }
  BOOST_TEST(jobsAfterLoad() == 8);
  BOOST_TEST(Records.next() == 9);
}

BOOST_FIXTURE_TEST_CASE(ALostAnswerIsSettledByTryingAgain, JournalFixture) {
  Store.LoseAnswers = 2;
  BOOST_TEST((append("a") == Journal::Result::Written));
  BOOST_TEST((append("b") == Journal::Result::Written));
  BOOST_TEST(jobsAfterLoad() == 2);
}

BOOST_FIXTURE_TEST_CASE(AWriteCarriedOutLateDoesNothing, JournalFixture) {
  Store.DelayWrites = 1;
  BOOST_TEST((append("a") == Journal::Result::Written));
  BOOST_TEST((append("b") == Journal::Result::Written));
  BOOST_TEST(jobsAfterLoad() == 2);
}

BOOST_FIXTURE_TEST_CASE(ADeposedHolderWritesNothing, JournalFixture) {
  const Condition Old = holder();
  Store.put("lead/jobs", "another");
  std::optional<Journal::Result> Came;
  Records.append(Old, {accepted("a")},
                 [&](Journal::Result Outcome) { Came = Outcome; });
  BOOST_TEST(runUntil([&] { return Came.has_value(); }));
  BOOST_TEST((*Came == Journal::Result::Deposed));
  BOOST_TEST(jobsAfterLoad() == 0);
}

BOOST_FIXTURE_TEST_CASE(OldRecordsAreRemoved, JournalFixture) {
  for (int Number = 0; Number < 5; ++Number) {
    append(fmt::format("j{}", Number));
  }
  Records.dropBefore(4);
  append("last");
  BOOST_TEST(Records.oldest() == 4);
  BOOST_TEST(!Store.Items.contains("journal/000000000003"));
  BOOST_TEST(Store.Items.contains("journal/000000000004"));
}

BOOST_FIXTURE_TEST_CASE(AnAcceptedJobOutlivesItsHolder, HolderFixture) {
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  BOOST_TEST((ask(*First, job("a"))->Outcome == JobReply::Done));
  auto Second = holder("two");
  First->retire();
  BOOST_TEST(runUntil([&] { return Second->leading(); }));
  BOOST_TEST(
      (ask(*Second, AskJob{jobs::JobId("a")})->Outcome == JobReply::Done));
  BOOST_TEST((ask(*Second, job("a"))->Outcome == JobReply::Done));
  BOOST_TEST(Second->book().jobs().size() == 1);
  BOOST_TEST(
      (ask(*Second, AskJob{jobs::JobId("b")})->Outcome == JobReply::NoSuchJob));
  BOOST_TEST((ask(*First, job("c"))->Outcome == JobReply::NotHolder));
}

BOOST_FIXTURE_TEST_CASE(AHolderWhoseKeyIsTakenAwayAcceptsNothing,
                        HolderFixture) {
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  Store.put("lead/jobs", encodeEntry({"two", "127.0.0.1", 2}));
  const std::optional<JobReply> Reply = ask(*First, job("a"));
  BOOST_TEST((Reply->Outcome == JobReply::Unknown ||
              Reply->Outcome == JobReply::NotHolder));
  BOOST_TEST(runUntil([&] { return !First->leading(); }));
  for (const auto &[Key, Item] : Store.Items) {
    BOOST_TEST(!Key.starts_with("journal/"));
  }
}

BOOST_FIXTURE_TEST_CASE(AStepsDownWhenItsLeaseIsGone, HolderFixture) {
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  Store.expire(Store.Items.at("lead/jobs").Lease);
  BOOST_TEST(runUntil([&] { return !First->leading(); }));
  BOOST_TEST(runUntil([&] { return First->leading(); }));
}

BOOST_FIXTURE_TEST_CASE(JobsAreRefusedAtOnceWhileTheStoreIsAway,
                        HolderFixture) {
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  Store.Away = true;
  std::optional<JobReply> Early;
  First->request(job("a"), [&](const JobReply &Reply) { Early = Reply; });
  runFor(600ms);
  BOOST_TEST(!Early.has_value());
  std::optional<JobReply> Later;
  First->request(job("b"), [&](const JobReply &Reply) { Later = Reply; });
  BOOST_REQUIRE(Later.has_value());
  BOOST_TEST((Later->Outcome == JobReply::Refused));
  BOOST_TEST((Later->RetryAfter >= 1s));
  // The one that was on its way is stored once the store is back.
  Store.Away = false;
  BOOST_TEST(runUntil([&] { return Early.has_value(); }));
  BOOST_TEST((Early->Outcome == JobReply::Done));
  BOOST_TEST(First->book().find(jobs::JobId("b")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(AnEntryWithoutAHolderSaysSoUntilItHasOne,
                        HolderFixture) {
  Store.Away = true;
  auto Only = holder("one");
  http::Client Peers(Loop.context(), {});
  JobRouter Router(Loop, Time, Log, *Only, Peers);
  std::optional<JobReply> Came;
  const Instant End = Time.now() + 50ms;
  Router.request(AskJob{jobs::JobId("a")}, {End, End},
                 [&](const JobReply &Reply) { Came = Reply; });
  BOOST_TEST(runUntil([&] { return Came.has_value(); }));
  BOOST_TEST((Came->Outcome == JobReply::NotHolder));
  BOOST_TEST(Router.failingFor(0ms));
  BOOST_TEST(!Router.failingFor(1s));
  Store.Away = false;
  BOOST_TEST(runUntil([&] { return Only->leading(); }));
  Router.probe();
  BOOST_TEST(runUntil([&] { return !Router.failingFor(0ms); }));
}

BOOST_FIXTURE_TEST_CASE(AFreeLeadIsLeftToStrongerEntries, HolderFixture) {
  Store.put("lead/entries/strong", encodeEntry({"strong", "::", 1, 500}));
  auto Weak = holder("weak", 120);
  runFor(100ms);
  BOOST_TEST(!Weak->leading());
  auto Strong = holder("strong", 500);
  BOOST_TEST(runUntil([&] { return Strong->leading(); }));
  runFor(400ms);
  BOOST_TEST(!Weak->leading());
  // Without the strong one, the weak one leads.
  Strong->retire();
  BOOST_TEST(runUntil([&] { return Weak->leading(); }));
}

BOOST_FIXTURE_TEST_CASE(AHolderThatIsStartedAgainLeadsAtOnce, HolderFixture) {
  // Its lease from before has not run out, and never does here.
  Store.put("lead/jobs", encodeEntry({"one", "127.0.0.1", 1, 0}));
  auto Other = holder("two");
  runFor(500ms);
  BOOST_TEST(!Other->leading());
  auto Again = holder("one");
  BOOST_TEST(runUntil([&] { return Again->leading(); }));
  BOOST_TEST((ask(*Again, job("a"))->Outcome == JobReply::Done));
}

BOOST_FIXTURE_TEST_CASE(ALeaseIsRenewedThoughAnswersAreLost, HolderFixture) {
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  Store.SilentRenewals = 2; // without an answer, as on a channel gone silent
  runFor(1300ms);
  BOOST_TEST(First->certain());
}

BOOST_FIXTURE_TEST_CASE(AWeakHolderOffersTheLead, HolderFixture) {
  LeadView Strong{std::nullopt, 0, false};
  http::ServerOptions At;
  At.Ip = "127.0.0.1";
  http::Server Server(Loop.context(), At, [&](const http::Exchange &Call) {
    Call.Respond(encodeLeadView(Strong));
  });
  BOOST_REQUIRE(Server.start().ok());
  Store.put("lead/entries/strong",
            encodeEntry({"strong", "127.0.0.1", Server.port(), 500}));
  auto Weak = holder("weak", 120);
  http::Client Peers(Loop.context(), {});
  LeadFinder Finder(Loop, Time, *Weak, Peers);
  BOOST_TEST(runUntil([&] { return Weak->leading(); }));
  Finder.start();
  runFor(2500ms);
  BOOST_TEST(Weak->leading()); // the strong one is cut off from the store
  Strong.CanLead = true;
  bool Offered = false;
  Weak->OnTerm = [&](bool Leading) { Offered = Offered || !Leading; };
  runFor(2500ms);
  BOOST_TEST(Offered);
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatTheStoreDoesNotAnswerLearnsOfTheHolder,
                        HolderFixture) {
  const EntryRecord Next{"two", "127.0.0.1", 2};
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  const std::uint64_t Token = First->token().Value;
  Store.Away = true;
  First->learn({Next, Token - 1, false});
  BOOST_TEST(First->leading());
  First->learn({Next, Token + 1, false});
  BOOST_TEST(!First->leading());
  BOOST_TEST((First->known() == Next));
}

BOOST_FIXTURE_TEST_CASE(ARequestThatMayBeDoneIsTriedUntilItsDeadline,
                        HolderFixture) {
  auto Only = holder("one");
  BOOST_TEST(runUntil([&] { return Only->leading(); }));
  http::Client Peers(Loop.context(), {});
  JobRouter Router(Loop, Time, Log, *Only, Peers);
  Store.Away = true;
  std::optional<JobReply> Came;
  Router.request(job("a"), {Time.now() + 50ms, Time.now() + 2s},
                 [&](const JobReply &Reply) { Came = Reply; });
  runFor(30ms);
  Only->yield(); // its record is on the way
  runFor(200ms);
  BOOST_TEST(!Came.has_value());
  Store.Away = false;
  Store.expire(Store.Items.at("lead/jobs").Lease);
  BOOST_TEST(runUntil([&] { return Came.has_value(); }));
  BOOST_TEST((Came->Outcome == JobReply::Done));
}

BOOST_FIXTURE_TEST_CASE(TheJournalOfEndedJobsStaysShort, HolderFixture) {
  RecordGap = 0ms;
  constexpr int Jobs = 200;
  auto First = holder("one");
  BOOST_TEST(runUntil([&] { return First->leading(); }));
  for (int Number = 0; Number < Jobs; ++Number) {
    const std::string Id = fmt::format("j{}", Number);
    BOOST_REQUIRE((ask(*First, job(Id))->Outcome == JobReply::Done));
    BOOST_REQUIRE(
        (ask(*First, CancelJob{jobs::JobId(Id)})->Outcome == JobReply::Done));
  }
  const auto Records = [&] {
    return std::count_if(
        Store.Items.begin(), Store.Items.end(),
        [](const auto &Item) { return Item.first.starts_with("journal/"); });
  };
  // Old records go with later ones, some at a time.
  int Later = 0;
  for (int Round = 0; Round < 150; ++Round) {
    BOOST_REQUIRE(ask(*First, job(fmt::format("later{}", ++Later))));
    runFor(20ms);
  }
  BOOST_TEST(Records() < 300);
  auto Second = holder("two");
  First->retire();
  BOOST_TEST(runUntil([&] { return Second->leading(); }));
  for (int Number = 0; Number < Jobs; ++Number) {
    const auto Reply =
        ask(*Second, AskJob{jobs::JobId(fmt::format("j{}", Number))});
    BOOST_TEST((Reply->State == jobs::JobState::Cancelled));
  }
}

BOOST_FIXTURE_TEST_CASE(QuestionsToThePolicyAreSpreadOverEntries, Fixture) {
  /// Answers each question after a while.
  class Slow final : public PolicyPort {
  public:
    Slow(EventLoop &Runner, std::string Name)
        : Loop(Runner), Ticket(std::move(Name)) {}
    void ask(const dispatch::PermitQuery &, Done Answered) override {
      Loop.after(50ms, [this, Answered] {
        Answered(dispatch::PermitReply{{{"w", Ticket}}, 3s});
      });
    }

  private:
    EventLoop &Loop;
    std::string Ticket;
  };
  Slow Here(Loop, "here");
  Slow There(Loop, "there");
  http::Client Peers(Loop.context(), {});
  PolicyRelay Own(Time, Here, Peers);
  PolicyRelay Helper(Time, There, Peers);
  http::ServerOptions At;
  At.Ip = "127.0.0.1";
  http::Server Server(Loop.context(), At,
                      [&](const http::Exchange &Call) { Helper.serve(Call); });
  BOOST_REQUIRE(Server.start().ok());
  BOOST_TEST(Own.slots() == 1);
  // Nobody listens at the port of the third.
  Own.setOthers(
      {{"two", "127.0.0.1", Server.port(), 0}, {"three", "127.0.0.1", 1, 0}});
  BOOST_TEST(Own.slots() == 3);
  const dispatch::PermitQuery Query{
      {jobs::JobId("j"), 0, 1}, {{"w", 7}, {"v", 8}}, 100ms};
  std::multiset<std::string> Came;
  for (int Number = 0; Number < 3; ++Number) {
    Own.ask(Query, [&](const absl::StatusOr<dispatch::PermitReply> &Reply) {
      Came.insert(Reply.ok() ? Reply->Allowed.front().Ticket : "none");
    });
  }
  BOOST_TEST(runUntil([&] { return Came.size() == 3; }));
  BOOST_TEST((Came == std::multiset<std::string>{"here", "there", "none"}));
  BOOST_TEST(Own.slots() == 2); // the one that failed rests
  BOOST_TEST((*decodeQuery(encodeQuery(Query)) == Query));
  BOOST_TEST(!decodeQuery("{}").ok());
}

BOOST_AUTO_TEST_CASE(RequestsBetweenEntriesRoundTrip) {
  SubmitJob Submit{jobs::JobId("0123456789abcdef"), jobs::QueueName("q"), {}};
  Submit.Spec.Text = "text";
  Submit.Spec.Steps.resize(2);
  Submit.Spec.Steps[1].After = {0};
  Submit.Spec.Steps[1].Lasting = true;
  for (const JobRequest &What :
       {JobRequest(Submit), JobRequest(CancelJob{Submit.Job}),
        JobRequest(AskJob{Submit.Job}), JobRequest(AskQueue{Submit.Queue})}) {
    const auto Read = decodeRequest(encodeRequest(What));
    BOOST_REQUIRE(Read.ok());
    BOOST_TEST((*Read == What));
  }
  const JobReply Reply{JobReply::Refused, jobs::JobState::Failed, 7, 2s};
  BOOST_TEST((decodeReply(encodeReply(Reply)) == Reply));
  BOOST_TEST((decodeReply(http::jsonResponse(200, "nonsense")).Outcome ==
              JobReply::Unknown));
}

BOOST_AUTO_TEST_CASE(EventsRoundTrip) {
  using namespace balsamlatch::jobs;
  const TaskRef Task{JobId("j"), 1, 2, 3};
  JobSnapshot Snapshot;
  Snapshot.Accepted = std::get<JobAccepted>(accepted("j"));
  Snapshot.Occurrences[1] = {{{TaskPhase::Placed, 4, 1, 3, {"w", 5}, "c"}}};
  const std::vector<JobEvent> Events = {
      accepted("j"),
      TaskPlaced{Task, 4, {"w", 5}},
      TaskEnded{Task, 4, RunEnd::Failed, "c"},
      CheckpointSaved{Task, 4, "d"},
      JobClosed{JobId("j"), JobState::Failed, WallTime(7s)},
      JobForgotten{JobId("j")},
      Snapshot};
  const auto Read = decodeEvents(encodeEvents(Events));
  BOOST_REQUIRE(Read.ok());
  BOOST_TEST((*Read == Events));
  BOOST_TEST(!decodeEvents("[[\"a\"]]").ok());
  BOOST_TEST(!decodeEvents("{").ok());
}
