/// \file
/// Tests of the platform adapter's JSON codec and settings parser with valid
/// and invalid input.

#define BOOST_TEST_MODULE PlatformAdapter
#include "Codec.h"
#include "Settings.h"
#include "WorkerRegistrations.h"

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace balsamlatch;
using namespace balsamlatch::platform;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(JobIsDecoded) {
  const auto Job = decodeJob(
      R"({"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":64,"gpus":1,)"
      R"("estimated_ms":900,"checkpointing":true,"requirements":"a",)"
      R"("affinity":"r1","anti_affinity":1},{"count":1,"after":[0],)"
      R"("persistent":true,"may_miss":2,"target_ms":40,"fills":true,)"
      R"("image":"i","gang":true,"same_rack":true,"speculative":true}],)"
      R"("repeat_count":3,"first_run_ms":1000,"interval_ms":500})");
  BOOST_REQUIRE(Job.ok());
  const jobs::StepSpec &FirstStep = Job->Steps[0];
  BOOST_TEST(FirstStep.Count == 2);
  BOOST_TEST((FirstStep.RequestedResources == jobs::Resources{500, 64, 1}));
  BOOST_TEST((FirstStep.EstimatedRunTime == 900ms));
  BOOST_TEST(FirstStep.Checkpoints);
  BOOST_TEST(FirstStep.RequiredLabel == "a");
  BOOST_TEST(FirstStep.PreferredRack == "r1");
  BOOST_TEST(FirstStep.MaxPerWorker == 1);
  const jobs::StepSpec &SecondStep = Job->Steps[1];
  BOOST_TEST((SecondStep.PrerequisiteSteps == std::vector<unsigned>{0}));
  BOOST_TEST((SecondStep.LongRunning && SecondStep.BestEffort &&
              SecondStep.Gang && SecondStep.SameRack &&
              SecondStep.Speculative));
  BOOST_TEST(SecondStep.MaxUnavailable == 2);
  BOOST_TEST((SecondStep.TailObjective == 40ms));
  BOOST_TEST(Job->RunSchedule.Repeats == 3);
  BOOST_TEST((Job->RunSchedule.First == WallTime(1s)));
}

BOOST_AUTO_TEST_CASE(InvalidJobsAreRejectedWithAMessage) {
  for (
      const char *InvalidJob :
      {"", "{", "[]", "7", R"({"spec":"s"})", R"({"spec":"s","steps":[]})",
       R"({"spec":1,"steps":[{"count":1}]})",
       R"({"spec":"s","steps":[{"count":0}]})",
       R"({"spec":"s","steps":[{"count":-1}]})",
       R"({"spec":"s","steps":[{"count":99999999}]})",
       R"({"spec":"s","steps":[{"count":1,"after":[0]}]})",
       R"({"spec":"s","steps":[{"count":1,"after":[5]}]})",
       R"({"spec":"s","steps":[{"count":1,"cpu":-5}]})",
       R"({"spec":"s","steps":[{"count":1,"cpu":"much"}]})",
       R"({"spec":"s","steps":[{"count":1,"estimated_ms":1e300}]})",
       R"({"spec":"s","steps":{"count":1}})",
       // Their sums and products would overflow, or planning them would not
       // end.
       R"({"spec":"s","steps":[{"count":1,"cpu":9223372036854775807}]})",
       R"({"spec":"s","steps":[{"count":1,"estimated_ms":1e14}]})",
       R"({"spec":"s","steps":[{"count":1}],"repeat_count":4294967295})",
       R"({"spec":"s","steps":[{"count":1}],"repeat_count":9,"first_run_ms":1e14})",
       R"({"spec":"s","steps":[{"count":1}],"repeat_count":9,"interval_ms":9e14})"}) {
    const auto Job = decodeJob(InvalidJob);
    BOOST_TEST(!Job.ok(), InvalidJob);
    BOOST_TEST(!Job.status().message().empty());
  }
}

// Keys below the registration prefix can hold values of other writers.
BOOST_AUTO_TEST_CASE(InvalidRegistrationsAreRejected) {
  const std::string ValidRegistration =
      R"({"service":"p","address":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":1,"mem_mb":2,"gpus":0},"labels":["a"],"born":5})";
  const auto Worker = decodeWorker("i-1", ValidRegistration);
  BOOST_REQUIRE(Worker.ok());
  BOOST_TEST(Worker->Address.Port == 80);
  BOOST_TEST(Worker->Instance.Incarnation == 5);
  for (
      const char *InvalidRegistration :
      {"", "\xff\xfe", "null", "{}",
       R"({"service":"p","address":"10.0.0.1","state":"ready","capacity":{},"born":5})",
       R"({"service":"p","address":"10.0.0.1:80","state":"odd","capacity":{},"born":5})",
       R"({"service":7,"address":"10.0.0.1:80","state":"ready","capacity":{},"born":5})",
       R"({"service":"p","address":"10.0.0.1:80","state":"ready","born":5})",
       R"({"service":"p","address":"10.0.0.1:80","state":"ready","capacity":{}})"}) {
    BOOST_TEST(!decodeWorker("i-1", InvalidRegistration).ok(),
               InvalidRegistration);
  }
}

// All registrations were decoded whenever one of them had changed.
BOOST_AUTO_TEST_CASE(OnlyChangedRegistrationsCount) {
  const auto MakeItem = [](std::uint64_t Revision, std::string_view State) {
    return control::StoredItem{
        "servers/w",
        std::string(R"({"service":"p","address":"10.0.0.1:80","state":")")
            .append(State)
            .append(R"(","capacity":{"cpu":1},"born":5})"),
        Revision};
  };
  NullLog Log;
  WorkerRegistrations Registrations(Log, "servers/");
  BOOST_TEST(Registrations.update({})); // The first listing counts.
  BOOST_TEST(!Registrations.update({}));
  control::PrefixMirror::Items Items{{"servers/w", MakeItem(1, "ready")}};
  BOOST_TEST(Registrations.update(Items));
  BOOST_TEST(Registrations.records().at("w").Address.Port == 80);
  Items["servers/w"] = MakeItem(1, "draining"); // Not read, as not newer.
  BOOST_TEST(!Registrations.update(Items));
  Items["servers/w"] = MakeItem(2, "ready");
  BOOST_TEST(!Registrations.update(Items));
  Items["servers/w"] = MakeItem(3, "draining");
  BOOST_TEST(Registrations.update(Items));
  BOOST_TEST(Registrations.records().at("w").Draining);
  Items["servers/w"] = MakeItem(4, "unknown");
  BOOST_TEST(Registrations.update(Items));
  BOOST_TEST(Registrations.records().empty());
  Items["servers/w"] = MakeItem(5, "ready");
  BOOST_TEST(Registrations.update(Items));
  BOOST_TEST(Registrations.update({}));
  BOOST_TEST(Registrations.records().empty());
  Registrations.clear();
  BOOST_TEST(Registrations.update({}));
  BOOST_TEST(Registrations.takeChanges().empty());
}

// A worker whose change was missed got no work, or orders after it had left.
BOOST_AUTO_TEST_CASE(ChangesAddUpToTheRegistrations) {
  std::mt19937_64 Random(7);
  NullLog Log;
  ManualClock Time;
  jobs::JobTable Table;
  dispatch::Dispatcher Dispatcher(Time, dispatch::DispatchOptions(), Log);
  Dispatcher.begin(dispatch::FencingToken(1), Table);
  WorkerRegistrations Registrations(Log, "servers/");
  control::PrefixMirror::Items Items;
  std::map<std::string, dispatch::WorkerRecord> Replayed;
  for (std::uint64_t Revision = 1; Revision < 500; ++Revision) {
    std::vector<std::string> ChangedKeys;
    for (std::uint64_t Change = Random() % 4; Change > 0; --Change) {
      const std::string Key = fmt::format("servers/w{}", Random() % 6);
      ChangedKeys.push_back(Key);
      if (Random() % 3 == 0) {
        Items.erase(Key);
        continue;
      }
      Items[Key] = {Key,
                    fmt::format(R"({{"service":"p","address":"10.0.0.1:80",)"
                                R"("state":"{}","born":{}}})",
                                Random() % 5 == 0 ? "odd" : "ready",
                                Random() % 3),
                    Revision};
    }
    if (Random() % 20 == 0) {
      Registrations.update(Items);
    } else {
      Registrations.update(Items, ChangedKeys);
    }
    const std::vector<dispatch::WorkerChange> Changes =
        Registrations.takeChanges();
    for (const dispatch::WorkerChange &Change : Changes) {
      if (Change.Record) {
        Replayed.insert_or_assign(Change.WorkerId, *Change.Record);
      } else {
        Replayed.erase(Change.WorkerId);
      }
    }
    Dispatcher.updateWorkers(Changes);
    WorkerRegistrations FromListing(Log, "servers/");
    FromListing.update(Items);
    BOOST_REQUIRE((Registrations.records() == FromListing.records()));
    BOOST_REQUIRE((Replayed == FromListing.records()));
    for (const auto &[Id, Worker] : Dispatcher.workers()) {
      BOOST_REQUIRE(Worker.IsRegistered == Replayed.contains(Id));
    }
  }
}

BOOST_AUTO_TEST_CASE(LongestMatchingPrefixSelectsTheQueue) {
  const auto Config = decodeConfig(
      R"({"version":7,"routes":[)"
      R"({"name":"a","host":"h","prefix":"/x/","service":"p","timeout_ms":3000},)"
      R"({"name":"b","host":"h","prefix":"/x/y/","service":"p","max_attempts":4,)"
      R"("stretch":1.6,"priority":1},)"
      R"({"name":"c","host":"other","prefix":"/x/y/z/","service":"p"}],)"
      R"("services":[{"name":"p","standby":true,"rejects_overload":false}],)"
      R"("limits":{"max_body_bytes":10}})");
  BOOST_REQUIRE(Config.ok());
  BOOST_TEST(Config->Version == 7);
  BOOST_TEST(Config->match("h", "/x/y/z/1")->Name.Text == "b");
  BOOST_TEST(Config->match("h", "/x/1")->Name.Text == "a");
  BOOST_TEST(Config->match("h", "/y/1") == nullptr);
  BOOST_TEST(Config->find(jobs::QueueName("b"))->Terms.MaxAttempts == 4);
  BOOST_TEST(Config->Pools.front().Standby);
  BOOST_TEST(!Config->Pools.front().EnforcesCapacity);
  BOOST_TEST(!decodeConfig("{\"routes\":[]}").ok());
}

BOOST_AUTO_TEST_CASE(PlacementPolicyAndPermitsAreDecoded) {
  const auto Config = decodeConfig(
      R"({"version":1,"routes":[{"name":"a","host":"h","prefix":"/x/",)"
      R"("service":"p","advice":{"decision_ms":40,"per_worker_ms":2.5,)"
      R"("validity_ms":3000}},{"name":"b","host":"h","prefix":"/y/",)"
      R"("service":"p"}],"services":[]})");
  BOOST_REQUIRE(Config.ok());
  BOOST_REQUIRE(Config->Queues[0].Terms.Policy.has_value());
  BOOST_TEST((Config->Queues[0].Terms.Policy->TimePerWorker == Duration(2500)));
  BOOST_TEST(!Config->Queues[1].Terms.Policy.has_value());
  const auto Permits = decodePermits(
      R"({"good":[["i-7f3a91c2","c81e-7a21d94b"]],"validity_ms":3000})");
  BOOST_REQUIRE(Permits.ok());
  BOOST_TEST((Permits->Allowed.front() ==
              dispatch::Permit{"i-7f3a91c2", "c81e-7a21d94b"}));
  BOOST_TEST(!decodePermits("{\"good\":[[1]]}").ok());
  BOOST_TEST(stepName({jobs::JobId("5c0e7a21d94b36f8"), 0, 1}) ==
             "5c0e7a21d94b36f8.0.1");
}

// In similar systems, one odd entry among those of the workers ended the
// processes that read it, or kept them from following the list. Here a worker
// could have a capacity whose sums overflow.
BOOST_AUTO_TEST_CASE(AnOddRegistrationNamesNoWorker) {
  const std::string GoodEntry =
      R"({"service":"p","address":"10.0.0.1:80","state":"ready",)"
      R"("capacity":{"cpu":4000,"mem_mb":4000},"labels":["a"],"born":5})";
  const auto Replaced = [&](std::string_view Part, std::string_view By) {
    std::string Text = GoodEntry;
    return Text.replace(Text.find(Part), Part.size(), By);
  };
  const std::string Deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  std::vector<std::string> OddEntries = {"",
                                         std::string("\0\xff", 2),
                                         "7",
                                         "[]",
                                         "{}",
                                         Deep,
                                         Deep,
                                         Replaced(R"("p")", Deep),
                                         Replaced(R"(["a"])", Deep),
                                         "{",
                                         Replaced(R"("ready")", "\xff")};
  for (const char *Port : {"0", "65536", "-1", "99999999999999999999", "8e1"}) {
    OddEntries.push_back(Replaced(":80", std::string(":") + Port));
  }
  for (const char *Amount :
       {"-1", "9223372036854775807", "99999999999999999999", "1e300", "1e999",
        "0.5", "\"4000\"", "{}"}) {
    OddEntries.push_back(
        Replaced("{\"cpu\":4000", "{\"cpu\":" + std::string(Amount)));
  }
  for (const char *Born : {"1e300", "99999999999999999999", "0.5", "\"5\""}) {
    OddEntries.push_back(Replaced("5}", std::string(Born) + "}"));
  }
  NullLog Log;
  WorkerRegistrations Registrations(Log, "servers/");
  std::uint64_t Revision = 0;
  for (const std::string &OddEntry : OddEntries) {
    BOOST_TEST(!decodeWorker("w", OddEntry).ok(), OddEntry.substr(0, 200));
    ++Revision;
    Registrations.update(
        {{"servers/a", {"servers/a", GoodEntry, Revision, 0}},
         {"servers/m", {"servers/m", OddEntry, Revision, 0}},
         {"servers/z", {"servers/z", GoodEntry, Revision, 0}}});
    BOOST_TEST(Registrations.records().size() == 2);
  }
}

BOOST_AUTO_TEST_CASE(RenewReportIsDecoded) {
  const auto Report = decodeRenewReport(
      R"({"clock_ms":9,"born":4,"running_tasks":[)"
      R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41,7],["odd",1,"",0]],)"
      R"("ended_tasks":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
      R"([59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed","d"]]})");
  BOOST_REQUIRE(Report.ok());
  BOOST_TEST(Report->Running.size() == 1);
  BOOST_TEST(Report->Running[0].Task.Index == 17);
  BOOST_TEST(Report->Running[0].Gauge == 7);
  BOOST_TEST((Report->Ended[0].Outcome == jobs::RunOutcome::Done));
  BOOST_TEST((Report->Ended[1].Outcome == jobs::RunOutcome::Lost));
  BOOST_TEST(!decodeRenewReport("{\"running_tasks\":[[1]]}").ok());
}

// A response without a usable clock must not look like one of a new process.
BOOST_AUTO_TEST_CASE(WorkerClockIsDecoded) {
  BOOST_TEST((decodeWorkerClock(R"({"clock_ms":482113,"reason":"old"})") ==
              dispatch::WorkerClock(482113)));
  for (const char *Body :
       {"", "{", "[]", "{}", R"({"clock_ms":null})", R"({"clock_ms":"9"})",
        R"({"clock_ms":1.5})", R"({"clock_ms":18446744073709551615})"}) {
    BOOST_TEST(!decodeWorkerClock(Body).has_value(), Body);
  }
}

// Runs whose ends a worker didn't list yet were taken for lost.
BOOST_AUTO_TEST_CASE(AFullListOfEndsMayNotBeComplete) {
  const auto ReportWithEnds = [](unsigned Count) {
    std::string Rows;
    for (unsigned Number = 1; Number <= Count; ++Number) {
      Rows += (Rows.empty() ? "[" : ",[") + std::to_string(Number) +
              R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    }
    return decodeRenewReport(R"({"clock_ms":9,"ended_tasks":[)" + Rows + "]}");
  };
  for (const unsigned Count : {0U, 499U}) {
    const auto Report = ReportWithEnds(Count);
    BOOST_REQUIRE(Report.ok());
    BOOST_TEST(Report->Ended.size() == Count);
    BOOST_TEST(!Report->MayHaveMoreEnds);
  }
  const auto FullReport = ReportWithEnds(500);
  BOOST_REQUIRE(FullReport.ok());
  BOOST_TEST(FullReport->MayHaveMoreEnds);
}

BOOST_AUTO_TEST_CASE(TaskNamesRoundTrip) {
  const dispatch::TaskRef Task{dispatch::JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  BOOST_TEST((*parseTaskName(taskName(Task)) == Task));
  for (const char *InvalidName : {"", "a", "a.1", "a.1.2", "a.1.2.3.4",
                                  "a.x.2.3", "a.1.2.-3", "a.1.2.99999999999"}) {
    BOOST_TEST(!parseTaskName(InvalidName).ok(), InvalidName);
  }
}

BOOST_AUTO_TEST_CASE(HostListAndWaveAreDecoded) {
  std::string NextPageToken;
  const auto Hosts = decodeHosts(
      R"({"machines":[{"machine":"m","pool":"p","state":"upkeep","zone":"z",)"
      R"("labels":[],"capacity":{"cpu":1},"id":null}],"next_token":"t"})",
      NextPageToken);
  BOOST_REQUIRE(Hosts.ok());
  BOOST_TEST(NextPageToken == "t");
  BOOST_TEST((Hosts->front().Status == dispatch::HostStatus::Maintenance));
  const auto Wave =
      decodeWave(R"({"wave":1,"machines":["m"],"duration_s":2.5,"maximum":3})");
  BOOST_REQUIRE(Wave.ok());
  BOOST_TEST((Wave->TimeLimit == 2500ms));
  BOOST_TEST(Wave->MaxAway == 3);
}

BOOST_AUTO_TEST_CASE(SettingsParserReportsAllErrors) {
  const std::string ValidText =
      "[entry]\nname = e\ncallers = 10.0.0.1:1\n"
      "readiness = 10.0.0.1:2\ninternal = 10.0.0.1:3\n"
      "grace = 6\n[store]\naddress = 10.0.0.2:4\n"
      "[hosts]\naddress = 10.0.0.3:5\nmove-time = 1.5\n";
  const ParsedSettings ValidSettings = parseSettings("file", ValidText);
  BOOST_TEST(!ValidSettings.Problems.hasErrors());
  BOOST_TEST((ValidSettings.Values.MoveTime == 1500ms));
  BOOST_TEST(ValidSettings.Values.StoreAddress.Port == 4);
  const ParsedSettings InvalidSettings = parseSettings(
      "file", "[entry]\nname = e\ncallers = nowhere\ngrace = long\nodd = 1\n");
  BOOST_TEST(InvalidSettings.Problems.all().size() >= 6);
}

BOOST_AUTO_TEST_CASE(EmptySettingsKeepTheirDefaults) {
  // The platform renders empty values for limits that a deployment does not
  // use.
  const ParsedSettings ParseResult = parseSettings(
      "file", "[entry]\nname = e\ncallers = 10.0.0.1:1\n"
              "readiness = 10.0.0.1:2\ninternal = 10.0.0.1:3\n"
              "grace = \ncpu-share = 0.25\n[store]\naddress = 10.0.0.2:4\n"
              "[hosts]\naddress = 10.0.0.2:5\norder-gap = \nmove-time =\n"
              "[advice]\naddress =\n");
  BOOST_TEST(!ParseResult.Problems.hasErrors());
  BOOST_TEST(
      (ParseResult.Values.StopGracePeriod == Settings().StopGracePeriod));
  BOOST_TEST((ParseResult.Values.MinHostOrderInterval ==
              Settings().MinHostOrderInterval));
  BOOST_TEST(ParseResult.Values.PolicyAddress.Ip.empty());
  BOOST_TEST(ParseResult.Values.CpuMilli == 250U);
  // The store's address is required.
  BOOST_TEST(
      parseSettings("file", "[store]\naddress =\n").Problems.hasErrors());
}
