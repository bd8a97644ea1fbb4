/// \file
/// The stand-in of a worker refuses, grants and forgets what it must, and a
/// plan of disruptions depends on its seed only.

#define BOOST_TEST_MODULE SoakParts
#include "Disruptions.h"
#include "WorkerModel.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace balsamlatch::soak;
namespace json = boost::json;

namespace {

struct World {
  std::vector<std::string> Events;
  WorkerModel Worker{{.Id = "a", .Cpu = 1000, .MaxHoldMs = 6000, .Born = 7},
                     [this](const std::string &Event, const json::object &) {
                       Events.push_back(Event);
                     }};

  static std::string outcomeOf(const WorkerReply &Reply) {
    return Reply.Status == 200
               ? "ok"
               : std::string(Reply.Body.at("reason").as_string());
  }
  std::string start(std::uint64_t Run, std::int64_t DeadlineMs) {
    return outcomeOf(
        Worker.handle("/v1/run-start", {{"task", "t"},
                                        {"run_id", Run},
                                        {"spec", "ms=8000 cpu=400"},
                                        {"deadline_ms", DeadlineMs},
                                        {"fencing_token", 5}}));
  }
  std::string stop(std::uint64_t Run, std::uint64_t Token) {
    return outcomeOf(Worker.handle(
        "/v1/run-stop",
        {{"task", "t"}, {"run_id", Run}, {"fencing_token", Token}}));
  }
  void acknowledge(std::uint64_t LastSeen) {
    Worker.handle("/v1/hold", {{"fencing_token", 5}, {"last_seen", LastSeen}});
  }
  std::size_t count(const std::string &Event) const {
    return static_cast<std::size_t>(
        std::count(Events.begin(), Events.end(), Event));
  }
};

constexpr std::int64_t Far = 1'000'000; // ms, beyond each lease

} // namespace

// A time by a former process's clock, far ahead, gets the longest lease.
BOOST_AUTO_TEST_CASE(ALeaseIsCutToTheLongest) {
  World W;
  BOOST_TEST(W.start(1, Far) == "ok");
  W.Worker.advance(5999);
  BOOST_TEST(W.count("lapse") == 0U);
  W.Worker.advance(6000);
  BOOST_TEST(W.count("lapse") == 1U);
}

// A repeated start does nothing, a higher run is accepted beside a lower one,
// and a run that is not higher than one that was stopped is old.
BOOST_AUTO_TEST_CASE(RunsAreAcceptedByTheirNumbers) {
  World W;
  BOOST_TEST(W.start(2, Far) == "ok");
  BOOST_TEST(W.start(2, Far) == "ok");
  BOOST_TEST(W.count("start") == 1U);
  BOOST_TEST(W.start(3, Far) == "ok");
  BOOST_TEST(W.start(4, Far) == "room");
  BOOST_TEST(W.stop(5, 5) == "ok");
  BOOST_TEST(W.start(5, Far) == "old");
  BOOST_TEST(W.start(6, 1) == "late");
}

// Lower tokens are refused, and nothing is done for them.
BOOST_AUTO_TEST_CASE(ALowerTokenIsFenced) {
  World W;
  BOOST_TEST(W.start(1, Far) == "ok");
  BOOST_TEST(W.stop(1, 4) == "fence");
  BOOST_TEST(W.count("stop") == 0U);
}

// Ends are numbered from 1 and listed until they are acknowledged.
BOOST_AUTO_TEST_CASE(EndsAreListedUntilTheyAreAcknowledged) {
  World W;
  W.start(1, Far);
  W.Worker.advance(6000);
  const json::value Expected = json::parse(R"([[1,"t",1,"lapsed",""]])");
  BOOST_TEST((W.Worker.report().at("ended_tasks") == Expected));
  W.acknowledge(0);
  BOOST_TEST(W.Worker.hasEnds());
  W.acknowledge(1);
  BOOST_TEST(!W.Worker.hasEnds());
  BOOST_TEST(W.count("noted") == 1U);
}

// Two plays of a seed have the same plan, and only held calls go without them.
BOOST_AUTO_TEST_CASE(APlanDependsOnItsSeedOnly) {
  PlanOptions Options;
  Options.Zones = {0, 1, 2, 0, 1, 2};
  std::vector<Disruption> Plan = drawDisruptions(Options);
  BOOST_TEST((Plan == drawDisruptions(Options)));
  Options.HoldsCalls = false;
  BOOST_TEST((Plan != drawDisruptions(Options)));
  std::erase_if(Plan, [](const Disruption &One) {
    return One.Kind == DisruptionKind::HoldCalls;
  });
  BOOST_TEST((Plan == drawDisruptions(Options)));
}

// Starts on their way, and young incarnations, are cut off: else no host list
// is read before a worker is heard of again, and no fault of that kind is seen.
BOOST_AUTO_TEST_CASE(SingleWorkersAreCutOff) {
  unsigned AfterRestart = 0;
  unsigned WhileHeld = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    PlanOptions Options;
    Options.Seed = Seed;
    Options.Zones = {0, 1, 2, 0, 1, 2};
    const std::vector<Disruption> Plan = drawDisruptions(Options);
    for (const Disruption &Cut : Plan) {
      if (Cut.Kind != DisruptionKind::CutWorker) {
        continue;
      }
      for (const Disruption &Other : Plan) {
        const milliseconds Since = Cut.Start - Other.Start - Other.Length;
        if (Other.Worker != Cut.Worker) {
          continue;
        }
        AfterRestart += Other.Kind == DisruptionKind::RestartWorker &&
                                Since >= milliseconds(100) &&
                                Since <= milliseconds(600)
                            ? 1
                            : 0;
        WhileHeld += Other.Kind == DisruptionKind::HoldCalls &&
                             Other.Start < Cut.Start && Since.count() < 0
                         ? 1
                         : 0;
      }
    }
  }
  BOOST_TEST(AfterRestart > 10U);
  BOOST_TEST(WhileHeld > 10U);
}
