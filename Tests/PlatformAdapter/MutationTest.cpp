/// \file
/// Seeded mutations of the documents that callers, workers, the operator and
/// the platform send: any bytes are rejected or read, and a job that is
/// accepted can be planned.

#define BOOST_TEST_MODULE PlatformAdapterMutation
#include "Codec.h"
#include "Settings.h"

#include "../Base/Mutation.h"

#include "balsamlatch/Dispatch/Dispatcher.h"
#include "balsamlatch/Jobs/JournalCodec.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::platform;
using balsamlatch::test::mutate;
using balsamlatch::test::mutateNumber;

namespace {

constexpr unsigned Seed = 20261204;
constexpr int MutationCount = 4000;

constexpr std::string_view ValidJob =
    R"({"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":64,"gpus":1,)"
    R"("estimated_ms":900,"checkpointing":true,"requirements":"a",)"
    R"("affinity":"r1","anti_affinity":1},{"count":3,"after":[0],"cpu":7,)"
    R"("estimated_ms":50,"may_miss":2,"target_ms":40,"gang":true}],)"
    R"("repeat_count":3,"first_run_ms":1000,"interval_ms":500})";
constexpr std::string_view ValidConfig =
    R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/x/",)"
    R"("service":"p","timeout_ms":3000,"max_attempts":4,"stretch":1.6,)"
    R"("latency_target_ms":600,"priority":1,"advice":{"decision_ms":40,)"
    R"("per_worker_ms":2.5}}],"services":[{"name":"p","standby":false,)"
    R"("rejects_overload":true}],"limits":{"max_body_bytes":10}})";
constexpr std::string_view ValidWorker =
    R"({"service":"p","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":4000,"mem_mb":4000,"gpus":2},"labels":["a"],"born":5})";
constexpr std::string_view ValidReport =
    R"({"clock_ms":9,"born":5,"running_tasks":[)"
    R"(["5c0e7a21d94b36f8.0.1.1",2,"c",41,7]],)"
    R"("ended_tasks":[[58,"5c0e7a21d94b36f8.0.0.1",1,"done",""]]})";
constexpr std::string_view ValidHosts =
    R"({"machines":[{"machine":"m","pool":"p","state":"up","zone":"z",)"
    R"("labels":[],"capacity":{"cpu":1},"id":"w"}],"next_token":"t"})";
constexpr std::string_view ValidWave =
    R"({"wave":1,"machines":["m"],"duration_s":2.5,"maximum":3})";
constexpr std::string_view ValidPermits =
    R"({"good":[["w","c81e-7a21d94b"]],"validity_ms":3000})";
constexpr std::string_view ValidSettings =
    "[entry]\nname = e\ncallers = 10.0.0.1:1\nreadiness = 10.0.0.1:2\n"
    "internal = 10.0.0.1:3\ngrace = 6\ncpu-share = 0.25\n"
    "[store]\naddress = 10.0.0.2:4\n[hosts]\naddress = 10.0.0.3:5\n";

/// Calls \p Decode with mutations of the text, half of them of its numbers.
template <typename DecoderT>
void mutateAndDecode(std::string_view ValidText, DecoderT Decode) {
  std::mt19937 Random(Seed);
  for (int Number = 0; Number < MutationCount; ++Number) {
    const std::string Text(ValidText);
    const std::string Mutated =
        Number % 2 == 0 ? mutate(Text, Random) : mutateNumber(Text, Random);
    BOOST_REQUIRE_NO_THROW(static_cast<void>(Decode(Mutated)));
  }
}

/// A dispatcher with one worker and one queue.
struct PlanningFixture {
  ManualClock Time;
  NullLog Log;
  jobs::JobTable Table;
  dispatch::Dispatcher JobDispatcher{Time, {}, Log};
  dispatch::WorkerRecord Worker = *decodeWorker("w", ValidWorker);

  PlanningFixture() {
    Time.advance(std::chrono::hours(1));
    JobDispatcher.begin(dispatch::FencingToken(1), Table);
    JobDispatcher.configure(std::make_shared<const dispatch::Deployment>(
        *decodeConfig(ValidConfig)));
    JobDispatcher.setWorkers({{"w", Worker}});
  }

  void report(const dispatch::RenewReport &Report) {
    JobDispatcher.handleRenewReply("w", Time.now(),
                                   dispatch::OrderOutcome::Done, Report);
  }

  /// Records an event as the journal does, and plans.
  void record(const jobs::JobEvent &Event) {
    Table.apply(Event, 1);
    JobDispatcher.handleRecorded({Event});
    Time.advance(std::chrono::seconds(1));
    JobDispatcher.tick(true, true);
    JobDispatcher.takeOrders();
    JobDispatcher.takeQueries();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AcceptedJobsCanBePlanned, PlanningFixture) {
  report(*decodeRenewReport(R"({"clock_ms":9,"born":5})"));
  int AcceptedJobs = 0;
  mutateAndDecode(ValidJob, [&](const std::string &Text) {
    const auto Spec = decodeJob(Text);
    if (!Spec.ok()) {
      return;
    }
    ++AcceptedJobs;
    BOOST_TEST((*jobs::decodeSpec(jobs::encodeSpec(*Spec)) == *Spec));
    const jobs::JobId Job("5c0e7a21d94b36f8");
    record(jobs::JobAccepted{Job, jobs::QueueName("q"), PoolName("p"), *Spec,
                             Time.wallNow()});
    for (const jobs::JobEvent &Event : JobDispatcher.takeEvents()) {
      Table.apply(Event, 2);
    }
    record(jobs::JobRemoved{Job});
    JobDispatcher.takeEvents();
  });
  BOOST_TEST(AcceptedJobs > 0);
}

BOOST_FIXTURE_TEST_CASE(MutatedReportsAreRejectedOrUsed, PlanningFixture) {
  const jobs::JobId Job("5c0e7a21d94b36f8");
  record(jobs::JobAccepted{Job, jobs::QueueName("q"), PoolName("p"),
                           *decodeJob(ValidJob), Time.wallNow()});
  mutateAndDecode(ValidReport, [&](const std::string &Text) {
    if (const auto Report = decodeRenewReport(Text); Report.ok()) {
      report(*Report);
      JobDispatcher.tick(false, true);
      JobDispatcher.takeOrders();
      JobDispatcher.takeEvents();
    }
  });
}

BOOST_AUTO_TEST_CASE(OtherDocumentsAreRejectedOrRead) {
  mutateAndDecode(ValidConfig, [](const std::string &Text) {
    if (const auto Config = decodeConfig(Text); Config.ok()) {
      Config->match("h", "/x/1");
    }
  });
  mutateAndDecode(ValidWorker, [](const std::string &Text) {
    return decodeWorker("w", Text);
  });
  mutateAndDecode(ValidHosts, [](const std::string &Text) {
    std::string NextPageToken;
    return decodeHosts(Text, NextPageToken);
  });
  mutateAndDecode(ValidWave,
                  [](const std::string &Text) { return decodeWave(Text); });
  mutateAndDecode(ValidPermits,
                  [](const std::string &Text) { return decodePermits(Text); });
  mutateAndDecode(ValidSettings, [](const std::string &Text) {
    return parseSettings("file", Text);
  });
}
