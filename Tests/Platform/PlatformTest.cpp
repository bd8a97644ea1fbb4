/// \file
/// Each promise of the platform's interfaces, under each fault of the
/// stand-ins.

#define BOOST_TEST_MODULE Platform
#include <boost/test/unit_test.hpp>

#include "Loop.h"
#include "balsamlatch/Platform/HttpHostPlatform.h"
#include "balsamlatch/Platform/HttpStore.h"
#include "balsamlatch/Platform/HttpWorkerClient.h"
#include "balsamlatch/StandIn/StandInPlatform.h"

#include <boost/json/parse.hpp>
#include <map>

using namespace balsamlatch;
using namespace balsamlatch::test;
using namespace std::chrono_literals;

namespace {

standin::Options smallFleet() {
  standin::Options Options;
  Options.Hosts = standin::evenFleet({PoolName("counting"), PoolName("spare")},
                                     2, {DataCentreName("dc1")});
  Options.SlotsPerWorker = 2;
  Options.ListLag = 0ms;
  Options.RebootTime = 20ms;
  Options.UsageLag = 0ms;
  return Options;
}

class Bench {
public:
  Bench()
      : Platform(On.Context, Time, smallFleet()), Client(On.Context, {}),
        Started(On.run([this] { return Platform.start(); })),
        At{"127.0.0.1", Platform.port()}, Store(Client, At), Hosts(Client, At),
        Workers(Client) {
    BOOST_REQUIRE(Started.ok());
  }

  ~Bench() {
    On.run([this] { Platform.stop(); });
    On.join();
  }

  StoreReply submit(const StoreRequest &Request) {
    return On.await<StoreReply>(
        [&](auto Done) { Store.submit(Request, Done); });
  }

  absl::Status order(HostOrderKind Kind, const char *Operation) {
    const HostOrder Order{Kind, HostName("w1"), Operation, PoolName("spare")};
    return On.await<absl::Status>([&](auto Done) { Hosts.order(Order, Done); });
  }

  HostListing list(std::uint64_t Known = 0) {
    return *On.await<absl::StatusOr<HostListing>>(
        [&](auto Done) { Hosts.list(Known, Done); });
  }

  Address first() {
    return On.run([this] { return Platform.hosts().front().At; });
  }

  TaskResult run(const std::string &Task, const std::string &Body,
                 Duration Timeout = Ample, Duration Lease = Ample) {
    return On.await<TaskResult>([&](auto Done) {
      Workers.run(first(), {Task, JobName("tally"), Lease, Body}, Timeout,
                  Done);
    });
  }

  absl::StatusOr<WorkerReport> report() {
    return On.await<absl::StatusOr<WorkerReport>>(
        [&](auto Done) { Workers.report(first(), Done); });
  }

  std::string control(const std::string &Path, const std::string &Body = "") {
    const http::Outcome Got = callAndWait(
        On, Client, At.Port, {"POST", "/control/" + Path, {}, Body, ""});
    BOOST_REQUIRE(Got.Status.ok());
    BOOST_REQUIRE(Got.Answer.Status == 200U);
    return Got.Answer.Body;
  }

  void faults(const std::string &Body) { control("faults", Body); }

  /// Starts a task that runs until it is cancelled.
  void occupy(const std::string &Task) {
    Workers.run(first(), {Task, JobName("tally"), Ample, R"({"run_ms":50000})"},
                Ample, [](const TaskResult &) {});
    while (control("history").find("\"" + Task + "\"") == std::string::npos) {
    }
  }

  Loop On;
  SystemClock Time;
  standin::StandInPlatform Platform;
  http::Client Client;
  const absl::Status Started;
  const Address At;
  HttpStore Store;
  HttpHostPlatform Hosts;
  HttpWorkerClient Workers;
};

} // namespace

BOOST_AUTO_TEST_CASE(SwapTakesOnlyTheExpectedVersion) {
  Bench On;
  BOOST_TEST(!On.submit(StoreRead{"k"}).Entry.present());
  BOOST_TEST(On.submit(StoreSwap{"k", 0, "a"}).Status.ok());
  const StoreReply Second = On.submit(StoreSwap{"k", 0, "b"});
  BOOST_TEST(absl::IsAborted(Second.Status));
  BOOST_TEST((Second.Entry == StoreEntry{1, "a"}));
  BOOST_TEST((On.submit(StoreSwap{"k", 1, "c"}).Entry == StoreEntry{2, "c"}));
}

BOOST_AUTO_TEST_CASE(AWriteWhoseAnswerIsLostTookEffect) {
  Bench On;
  On.faults(R"({"store":{"lose_answers":1}})");
  BOOST_TEST(
      absl::IsDeadlineExceeded(On.submit(StoreSwap{"k", 0, "a"}).Status));
  BOOST_TEST((On.submit(StoreRead{"k"}).Entry == StoreEntry{1, "a"}));
}

BOOST_AUTO_TEST_CASE(AStoreThatIsDownDidNotAct) {
  Bench On;
  On.faults(R"({"store":{"down":true}})");
  BOOST_TEST(absl::IsUnavailable(On.submit(StoreSwap{"k", 0, "a"}).Status));
  On.faults(R"({"store":{}})");
  BOOST_TEST(!On.submit(StoreRead{"k"}).Entry.present());
}

BOOST_AUTO_TEST_CASE(ASlowStoreMayStillAct) {
  Bench On;
  HttpStore Hasty(On.Client, On.At, {20ms});
  On.faults(R"({"store":{"delay_ms":200}})");
  const StoreReply Late = On.On.await<StoreReply>([&](auto Done) {
    Hasty.submit(StoreSwap{"k", 0, "a"}, Done);
  });
  BOOST_TEST(absl::IsDeadlineExceeded(Late.Status));
  const StoreWatch Until{"k", 0, Ample};
  BOOST_TEST((On.submit(Until).Entry == StoreEntry{1, "a"}));
}

BOOST_AUTO_TEST_CASE(AWatchEndsWithTheWriteOrTheWait) {
  Bench On;
  BOOST_TEST(!On.submit(StoreWatch{"k", 0, 1ms}).Entry.present());
  std::promise<StoreReply> Seen;
  On.Store.submit(StoreWatch{"k", 0, Ample},
                  [&Seen](const StoreReply &Reply) { Seen.set_value(Reply); });
  BOOST_TEST(On.submit(StoreSwap{"k", 0, "a"}).Status.ok());
  BOOST_TEST((Seen.get_future().get().Entry == StoreEntry{1, "a"}));
  const auto Counts = boost::json::parse(On.control("counts"));
  BOOST_TEST(Counts.at("/store/watch").to_number<int>() == 2);
  BOOST_TEST(Counts.at("waiting_watches").to_number<int>() == 0);
}

BOOST_AUTO_TEST_CASE(ALeaseTokenRisesWithEachHolder) {
  Bench On;
  const StoreReply First = On.submit(LeaseAcquire{"l", "a", Ample});
  BOOST_TEST(First.Status.ok());
  BOOST_TEST(On.submit(LeaseAcquire{"l", "a", Ample}).Entry.Version ==
             First.Entry.Version);
  const StoreReply Refused = On.submit(LeaseAcquire{"l", "b", Ample});
  BOOST_TEST(absl::IsAborted(Refused.Status));
  BOOST_TEST(Refused.Entry.Value == "a");
  BOOST_TEST(absl::IsAborted(On.submit(LeaseRelease{"l", "b"}).Status));
  BOOST_TEST(On.submit(LeaseRelease{"l", "a"}).Status.ok());
  BOOST_TEST(On.submit(LeaseAcquire{"l", "b", 1us}).Entry.Version >
             First.Entry.Version);
  BOOST_TEST(On.submit(LeaseAcquire{"l", "c", Ample}).Status.ok());
}

BOOST_AUTO_TEST_CASE(OrdersAreIdempotentByOperation) {
  Bench On;
  using Kind = HostOrderKind;
  BOOST_TEST(absl::IsFailedPrecondition(On.order(Kind::Assign, "o1")));
  BOOST_TEST(On.order(Kind::Drain, "o2").ok());
  BOOST_TEST(On.order(Kind::Assign, "o1").ok());
  BOOST_TEST((On.list().Hosts.front().Presence == HostPresence::Leaving));
  BOOST_TEST(On.list().Hosts.front().Pool.Text == "spare");
  BOOST_TEST(On.order(Kind::Return, "o3").ok());
  BOOST_TEST(On.order(Kind::Drain, "o2").ok());
  BOOST_TEST((On.list().Hosts.front().Presence == HostPresence::Live));
  On.faults(R"({"orders":{"lose_answers":1}})");
  BOOST_TEST(absl::IsDeadlineExceeded(On.order(Kind::Drain, "o4")));
  BOOST_TEST(On.report()->Draining);
  On.faults(R"({"orders":{"down":true}})");
  BOOST_TEST(absl::IsUnavailable(On.order(Kind::Return, "o5")));
  BOOST_TEST(On.report()->Draining);
}

BOOST_AUTO_TEST_CASE(ARebootWaitsForTasksAndRaisesTheBootCount) {
  Bench On;
  On.occupy("r/1");
  BOOST_TEST(absl::IsFailedPrecondition(On.order(HostOrderKind::Reboot, "o1")));
  BOOST_TEST(On.On
                 .await<absl::Status>([&](auto Done) {
                   On.Workers.cancel(On.first(), "r/1", Done);
                 })
                 .ok());
  BOOST_TEST(On.order(HostOrderKind::Reboot, "o1").ok());
  absl::StatusOr<WorkerReport> Report = On.report();
  while (!Report.ok()) {
    Report = On.report();
  }
  BOOST_TEST(On.order(HostOrderKind::Reboot, "o1").ok());
  BOOST_TEST(On.report()->BootCount == 2U);
}

BOOST_AUTO_TEST_CASE(TheListLags) {
  Bench On;
  On.faults(R"({"list":{"lag_ms":3600000}})");
  const HostListing Before = On.list();
  BOOST_TEST(On.order(HostOrderKind::Drain, "o1").ok());
  BOOST_TEST((On.list() == Before));
  On.faults(R"({"list":{"lag_ms":0}})");
  BOOST_TEST(On.list().Generation > Before.Generation);
  BOOST_TEST(On.list().Hosts.size() == 4U);
}

BOOST_AUTO_TEST_CASE(AKnownListIsNotSentAgain) {
  Bench On;
  const HostListing First = On.list();
  const HostListing Again = On.list(First.Generation);
  BOOST_TEST(Again.Generation == First.Generation);
  BOOST_TEST(Again.Hosts.empty());
  BOOST_TEST(On.order(HostOrderKind::Drain, "o1").ok());
  const HostListing Newer = On.list(First.Generation);
  BOOST_TEST(Newer.Generation > First.Generation);
  BOOST_TEST(Newer.Hosts.size() == First.Hosts.size());
}

BOOST_AUTO_TEST_CASE(AHealthyWorkerAnswersAndEchoes) {
  Bench On;
  const TaskResult Got = On.run("r/1", R"({"run_ms":1,"echo":[7]})");
  BOOST_TEST((Got.End == TaskEnd::Answered));
  BOOST_TEST(boost::json::parse(Got.Body).at("echo").at(0) == 7);
  BOOST_TEST((On.run("r/2", R"({"fail":true})").End == TaskEnd::Failed));
  BOOST_TEST(
      (On.run("r/3", R"({"run_ms":5000})", Ample, 1ms).End == TaskEnd::Failed));
}

BOOST_AUTO_TEST_CASE(EachWorkerFaultHasItsEnd) {
  const std::map<std::string, TaskEnd> Ends{
      {"refuse", TaskEnd::Refused}, {"hang", TaskEnd::Lost},
      {"die", TaskEnd::NotSent},    {"fail", TaskEnd::Failed},
      {"cut", TaskEnd::Lost},       {"cross", TaskEnd::Lost},
      {"garble", TaskEnd::Lost},    {"healthy", TaskEnd::Answered}};
  Bench On;
  for (const auto &[Mode, End] : Ends) {
    On.faults(R"({"worker":{"mode":")" + Mode + R"("}})");
    const Duration Timeout = Mode == "hang" ? Duration(30ms) : Ample;
    const TaskResult Got = On.run("r-" + Mode + "/1", "{}", Timeout, 1s);
    BOOST_TEST((Got.End == End), Mode << ": " << Got.Body);
  }
  const std::string History = On.control("history");
  BOOST_TEST(History.find(R"("r-refuse/1","how":"refused")") !=
             std::string::npos);
  BOOST_TEST(History.find("r-die/1") == std::string::npos);
  BOOST_TEST(History.find("r-cut/1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(FullDrainingAndCancelledTasksAreRefused) {
  Bench On;
  On.occupy("r/1");
  On.occupy("r/2");
  BOOST_TEST((On.run("r/3", "{}").Body == "full"));
  BOOST_TEST(On.report()->Running.size() == 2U);
  for (const char *Task : {"r/1", "r/2", "r/4"}) {
    BOOST_TEST(On.On
                   .await<absl::Status>([&](auto Done) {
                     On.Workers.cancel(On.first(), Task, Done);
                   })
                   .ok());
  }
  BOOST_TEST(On.report()->SlotsInUse == 0U);
  BOOST_TEST((On.run("r/4", "{}").Body == "cancelled"));
  BOOST_TEST(On.order(HostOrderKind::Drain, "o1").ok());
  const TaskResult Got = On.run("r/5", "{}");
  BOOST_TEST((Got == TaskResult{TaskEnd::Refused, "draining"}));
}
