/// \file
/// Traces: their text form, replays of generated histories with paired
/// faults, and recorded cases with stated outcomes.

#include "balsamlatch/Replay/Replay.h"
#include "balsamlatch/Replay/Generator.h"
#include "balsamlatch/Rules/Parser.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace balsamlatch;
using namespace balsamlatch::replay;
using namespace std::chrono_literals;

namespace {

std::string textOf(const std::filesystem::path &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

RuleSetPtr exampleRules(const std::string &Name) {
  const ParsedRules Parsed = parseRules(
      Name, textOf(std::filesystem::path(BALSAMLATCH_EXAMPLES) / Name));
  BOOST_REQUIRE(!Parsed.Problems.hasErrors());
  return std::make_shared<const RuleSet>(Parsed.Rules);
}

/// A small deployment, so that a history is short and faults meet often.
LoadShape faultyShape(std::uint64_t Seed) {
  LoadShape Shape;
  Shape.Seed = Seed;
  Shape.Entries = 4;
  Shape.WorkersPerPool = 3;
  Shape.Length = 12s;
  Shape.Burst = 3s;
  Shape.LongestRun = 1s;
  Shape.RepeatedPercent = 30;
  Shape.FaultPairs = 6;
  return Shape;
}

void checkHistories(const std::string &Rules, std::uint64_t From,
                    std::uint64_t To) {
  const RuleSetPtr InForce = exampleRules(Rules);
  for (std::uint64_t Seed = From; Seed < To; ++Seed) {
    const std::vector<TraceLine> Lines = generate(*InForce, faultyShape(Seed));
    const Report Result = replay::replay(Lines, InForce, {{}, Seed, false});
    for (const Breach &Broken : Result.Breaches) {
      BOOST_ERROR("seed " << Seed << ": " << promiseCode(Broken.Which) << " "
                          << Broken.Subject << " at "
                          << Broken.At.time_since_epoch().count());
    }
    BOOST_TEST(Result.Prompt.Answered > 0U);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Replays)

BOOST_AUTO_TEST_CASE(ATraceReadsBackAsItWasPrinted) {
  const RuleSetPtr Rules = exampleRules("nile-tread.rules");
  const std::vector<TraceLine> Lines = generate(*Rules, faultyShape(7));
  const Trace Read = parseTrace("x", printTrace(Lines));
  BOOST_TEST(Read.Problems.render() == "");
  BOOST_TEST((Read.Lines == Lines));
}

BOOST_AUTO_TEST_CASE(AllFaultsOfATraceAreReportedWithTheirPlace) {
  const Trace Read = parseTrace("x.trace", "{\"at_us\":1,\"kind\":\"cancel\"}\n"
                                           "nonsense\n"
                                           "{\"at_us\":-1,\"kind\":\"x\"}\n");
  BOOST_REQUIRE(Read.Problems.all().size() == 4U);
  BOOST_TEST(Read.Problems.all()[0].Place.Line == 1U);
  BOOST_TEST(Read.Problems.all()[1].Message == "not a JSON object");
}

BOOST_AUTO_TEST_CASE(TheSameSeedGivesTheSameBytes) {
  const RuleSetPtr Rules = exampleRules("brunnengeld.rules");
  const std::vector<TraceLine> Lines = generate(*Rules, faultyShape(3));
  const ReplayOptions Options{placement::Policy::SlotGrants, 5, false};
  BOOST_TEST(printReportJson(replay::replay(Lines, Rules, Options)) ==
             printReportJson(replay::replay(Lines, Rules, Options)));
}

BOOST_AUTO_TEST_CASE(NoPromiseBreaksUnderPairedFaultsOfNileTread) {
  checkHistories("nile-tread.rules", 1, 101);
}

BOOST_AUTO_TEST_CASE(NoPromiseBreaksUnderPairedFaultsOfBrunnengeld) {
  checkHistories("brunnengeld.rules", 101, 201);
}

BOOST_AUTO_TEST_CASE(RecordedTracesHaveTheirStatedOutcomes) {
  const RuleSetPtr Rules = exampleRules("brunnengeld.rules");
  unsigned Cases = 0;
  for (const auto &Folder :
       std::filesystem::directory_iterator(BALSAMLATCH_CASES)) {
    const Trace Read =
        parseTrace("trace.jsonl", textOf(Folder.path() / "trace.jsonl"));
    BOOST_TEST(Read.Problems.render() == "");
    const boost::json::value Result = boost::json::parse(
        printReportJson(replay::replay(Read.Lines, Rules, {})));
    const boost::json::value Stated =
        boost::json::parse(textOf(Folder.path() / "outcome.json"));
    for (const auto &Item : Stated.as_object()) {
      boost::json::error_code Error;
      const boost::json::value *Found = Result.find_pointer(Item.key(), Error);
      BOOST_TEST((Found != nullptr && *Found == Item.value()),
                 Folder.path().filename()
                     << " " << Item.key() << " in " << Result);
    }
    ++Cases;
  }
  BOOST_TEST(Cases == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
