/// \file
/// Tests of time, units, findings, rings and the log.

#define BOOST_TEST_MODULE Base
#include <boost/test/unit_test.hpp>

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Base/Ring.h"
#include "balsamlatch/Base/Units.h"

#include <boost/json.hpp>
#include <cstdio>
#include <string>
#include <vector>

using namespace balsamlatch;
using namespace std::chrono_literals;

namespace {

std::vector<boost::json::object> linesOf(std::FILE *File) {
  std::rewind(File);
  std::vector<boost::json::object> Lines;
  char Buffer[4096];
  while (std::fgets(Buffer, sizeof(Buffer), File) != nullptr) {
    Lines.push_back(boost::json::parse(Buffer).as_object());
  }
  return Lines;
}

} // namespace

BOOST_AUTO_TEST_CASE(DurationsRoundTrip) {
  for (const char *Text : {"1us", "250ms", "2s", "90min", "8w", "3d"}) {
    const absl::StatusOr<Duration> Value = parseDuration(Text);
    BOOST_REQUIRE(Value.ok());
    BOOST_TEST(formatDuration(*Value) == Text);
  }
}

BOOST_AUTO_TEST_CASE(BadDurationsAreRefused) {
  for (const char *Text :
       {"", "s", "2", "2 s", "2m", "-1s", "99999999999999999w"}) {
    BOOST_TEST(!parseDuration(Text).ok(), Text);
  }
}

BOOST_AUTO_TEST_CASE(FindingsAreOrderedByPlaceAndShowACaret) {
  Findings All;
  All.add({{"a.rules", 2, 3}, Severity::Error, "second", "", ""});
  All.add({{"a.rules", 1, 6},
           Severity::Error,
           "unknown pool",
           "pool counting",
           "job x y"});
  BOOST_TEST(All.hasErrors());
  BOOST_TEST(All.render() == "a.rules:1:6: error: unknown pool\n"
                             "  job x y\n"
                             "       ^\n"
                             "  remedy: pool counting\n"
                             "a.rules:2:3: error: second\n");
}

BOOST_AUTO_TEST_CASE(AFullRingRefusesAndCounts) {
  Ring<int> Numbers(2);
  BOOST_TEST(Numbers.tryPush(1));
  BOOST_TEST(Numbers.tryPush(2));
  BOOST_TEST(!Numbers.tryPush(3));
  BOOST_TEST(Numbers.refusals() == 1u);
  const std::vector<int> Taken = Numbers.popAll(0us);
  BOOST_TEST(Taken == std::vector<int>({1, 2}),
             boost::test_tools::per_element());
  Numbers.close();
  BOOST_TEST(!Numbers.tryPush(4));
}

BOOST_AUTO_TEST_CASE(LogSamplesByReasonAndSaysHowManyItLeftOut) {
  std::FILE *File = std::tmpfile();
  BOOST_REQUIRE(File != nullptr);
  ManualClock Time;
  {
    Log Out(Time, File, {LogLevel::Info, 2, 64});
    for (int I = 0; I < 5; ++I) {
      Out.write(LogLevel::Info, "placed", {{"n", I}});
    }
    Out.write(LogLevel::Debug, "placed", {});
    Time.advance(1s);
    Out.write(LogLevel::Info, "placed", {{"n", 5}});
  }
  const std::vector<boost::json::object> Lines = linesOf(File);
  std::fclose(File);
  BOOST_REQUIRE(Lines.size() == 3u);
  BOOST_TEST(Lines[1].at("n").to_number<int>() == 1);
  BOOST_TEST(!Lines[1].contains("left_out"));
  BOOST_TEST(Lines[2].at("left_out").to_number<int>() == 3);
}
