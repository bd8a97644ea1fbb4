/// \file
/// The checker is shown a history that holds, and one that breaks each promise.

#define BOOST_TEST_MODULE HistoryChecker
#include <boost/test/unit_test.hpp>

#include "Checker.h"

using namespace balsamlatch;
using namespace balsamlatch::histories;
using namespace std::chrono_literals;

namespace {

Instant at(int Milliseconds) {
  return Instant(std::chrono::milliseconds(Milliseconds));
}

Call call(const std::string &Work, CallEnd End, int Sent = 0, int Ended = 100) {
  const bool Answered = End == CallEnd::Answered;
  return {Work,    false, "e1", at(Sent), at(Ended), End, Answered ? Work : "",
          Answered};
}

TaskRun run(const std::string &Work, const std::string &How, int Start = 10) {
  return {Work, Work + "/1", "w1", at(Start), How};
}

/// A keyed repeat, a refusal, a kill and a host that leaves and returns.
History holding() {
  History Run;
  Run.Calls = {
      call("a", CallEnd::Answered),           call("b", CallEnd::Unknown),
      call("b", CallEnd::NotRun, 200, 300),   call("c", CallEnd::NotRun),
      call("c", CallEnd::Answered, 200, 400), call("d", CallEnd::Broken)};
  Run.Runs = {run("a", "done"), run("b", "died"), run("c", "done", 250),
              run("e", "done", 9000)};
  Run.Calls.push_back(call("e", CallEnd::Answered, 8999, 9001));
  Run.Leavings = {{"w1", at(1000), at(8000)}};
  Run.Refusals = {{"f/1", "w1", at(3999)}};
  Run.Kills = {{"e1", at(50), at(60)}};
  return Run;
}

bool breaksOnly(const History &Run, Promise Which) {
  const std::vector<Violation> Found = check(Run);
  return Found.size() == 1 && Found.front().Broken == Which;
}

} // namespace

BOOST_AUTO_TEST_CASE(AHoldingHistoryPasses) {
  const std::vector<Violation> Found = check(holding());
  BOOST_TEST(Found.empty(), (Found.empty() ? "" : Found.front().Text));
}

BOOST_AUTO_TEST_CASE(WorkThatRanTwiceIsFound) {
  History Run = holding();
  Run.Runs.push_back(run("a", "failed", 20));
  BOOST_TEST(breaksOnly(Run, Promise::AtMostOnce));
  Run.Calls[0].Idempotent = true;
  BOOST_TEST(check(Run).empty());
}

BOOST_AUTO_TEST_CASE(ANotRunThatRanIsFound) {
  History Run = holding();
  Run.Calls.push_back(call("g", CallEnd::NotRun));
  Run.Runs.push_back(run("g", "done"));
  BOOST_TEST(breaksOnly(Run, Promise::NotRunNeverRan));
}

BOOST_AUTO_TEST_CASE(ARunBeforeTheOnlyCallThatMayHaveCausedItIsFound) {
  History Run = holding();
  Run.Runs[2].Start = at(150);
  BOOST_TEST(breaksOnly(Run, Promise::NotRunNeverRan));
}

BOOST_AUTO_TEST_CASE(ARunThatNobodyAskedForIsFound) {
  History Run = holding();
  Run.Runs.push_back(run("h", "done"));
  BOOST_TEST(breaksOnly(Run, Promise::NotRunNeverRan));
}

BOOST_AUTO_TEST_CASE(CrossedAndCutAnswersAreFound) {
  History Crossed = holding();
  Crossed.Calls[0].AnswerWork = "c";
  BOOST_TEST(breaksOnly(Crossed, Promise::OwnWholeAnswer));
  History Cut = holding();
  Cut.Calls[0].Whole = false;
  BOOST_TEST(breaksOnly(Cut, Promise::OwnWholeAnswer));
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutADoneRunIsFound) {
  History Run = holding();
  Run.Runs[0].How = "failed";
  BOOST_TEST(breaksOnly(Run, Promise::AnswerFromRun));
}

BOOST_AUTO_TEST_CASE(WorkForALeavingHostIsFound) {
  History Started = holding();
  Started.Runs[3].Start = at(7000);
  Started.Calls.back().Sent = at(6000);
  BOOST_TEST(breaksOnly(Started, Promise::NoWorkForLeaving));
  History Offered = holding();
  Offered.Refusals[0].At = at(4001);
  BOOST_TEST(breaksOnly(Offered, Promise::NoWorkForLeaving));
}

BOOST_AUTO_TEST_CASE(CallsWithoutAnEndAreFound) {
  History Open = holding();
  Open.Calls.push_back(call("i", CallEnd::Open));
  BOOST_TEST(breaksOnly(Open, Promise::EveryCallEnds));
  History Broken = holding();
  Broken.Kills[0].Entry = "e2";
  BOOST_TEST(breaksOnly(Broken, Promise::EveryCallEnds));
  Broken.Kills = {{"e1", at(101), at(110)}};
  BOOST_TEST(breaksOnly(Broken, Promise::EveryCallEnds));
}

BOOST_AUTO_TEST_CASE(GroundTruthIsRead) {
  History Run;
  const char *Lines =
      R"({"event":"task_start","at_us":5,"host":"w1","task":"r/1","id":"a"}
{"event":"task_refused","at_us":6,"host":"w1","task":"r/2","how":"full"}
{"event":"task_refused","at_us":6,"host":"w1","task":"r/3","how":"draining"}
{"event":"order","at_us":7,"host":"w1","kind":0,"ok":true}
{"event":"task_end","at_us":8,"host":"w1","task":"r/1","how":"done"}
{"event":"order","at_us":9,"host":"w1","kind":1,"ok":true})";
  BOOST_TEST(addGroundTruth(Lines, Run).ok());
  BOOST_TEST((Run.Runs ==
              std::vector<TaskRun>{{"a", "r/1", "w1", Instant(5us), "done"}}));
  BOOST_TEST((Run.Leavings ==
              std::vector<Leaving>{{"w1", Instant(7us), Instant(9us)}}));
  BOOST_TEST(Run.Refusals.size() == 1U);
  BOOST_TEST(!addGroundTruth("{}", Run).ok());
  BOOST_TEST(!addGroundTruth("{\"event\":", Run).ok());
}
