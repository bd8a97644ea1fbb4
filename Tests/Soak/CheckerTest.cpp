/// \file
/// Each rule of the checker on a written history: it fails where it must and
/// nowhere else.

#define BOOST_TEST_MODULE SoakChecker
#include "Checker.h"
#include "WorkerLines.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace balsamlatch::soak;

namespace {

const std::string Job = "00000000000000aa";
const std::string Task = Job + ".0.0.0";

RunRecord makeRun(std::uint64_t Number, const std::string &Worker, Stamp Start,
                  Stamp End, const std::string &How) {
  return {Task, Number, Worker, 0, Start, End, How, std::nullopt, false};
}

RunRecord noted(RunRecord One, Stamp At, bool LapsedBefore = false) {
  One.Noted = At;
  One.LapsedBeforeNoted = LapsedBefore;
  return One;
}

JobRecord makeJob(const std::string &State) {
  JobRecord One;
  One.Id = Job;
  One.Tasks = {Task};
  One.Accepted = true;
  One.State = State;
  One.FinalAt = 1000;
  return One;
}

std::vector<Rule> rulesOf(const SoakRecord &Record) {
  std::vector<Rule> Broken;
  for (const Violation &One : check(Record)) {
    Broken.push_back(One.Broken);
  }
  return Broken;
}

void checkRules(const SoakRecord &Record, const std::vector<Rule> &Expected) {
  BOOST_TEST((rulesOf(Record) == Expected));
}

} // namespace

// A check that sees a violation where none is would be switched off.
BOOST_AUTO_TEST_CASE(AnOrdinaryHistoryHolds) {
  checkRules({{makeRun(1, "a", 10, 20, "killed"),
               noted(makeRun(2, "b", 20, 30, "done"), 40)},
              {makeJob("completed")}},
             {});
}

// Two runs at once, in whichever order the records come.
BOOST_AUTO_TEST_CASE(TwoRunsAtOnceAreFound) {
  const RunRecord First = makeRun(1, "a", 10, 30, "stopped");
  const RunRecord Second = makeRun(2, "b", 29, 40, "stopped");
  checkRules({{First, Second}}, {Rule::TwiceAtOnce});
  checkRules({{Second, First}}, {Rule::TwiceAtOnce});
}

// Two runs at once on one worker, and one that never ends.
BOOST_AUTO_TEST_CASE(TwoRunsOnOneWorkerAreFound) {
  checkRules(
      {{makeRun(1, "a", 10, Never, ""), makeRun(2, "a", 50, 60, "stopped")}},
      {Rule::TwiceAtOnce});
}

// A start after an end that is known; not if that end was never noted, or the
// worker's lease lapsed before it was.
BOOST_AUTO_TEST_CASE(AStartAfterAKnownEndIsFound) {
  const RunRecord Done = makeRun(1, "a", 10, 20, "done");
  const RunRecord Later = makeRun(2, "b", 30, 40, "done");
  checkRules({{noted(Done, 25), Later}}, {Rule::StartAfterDone});
  checkRules({{noted(Done, 35), Later}}, {Rule::StartAfterDone});
  checkRules({{noted(Done, 25, true), Later}}, {});
  checkRules({{Done, Later}}, {});
}

// Only an end "done" settles a task.
BOOST_AUTO_TEST_CASE(AStartAfterAnotherEndIsAllowed) {
  checkRules({{noted(makeRun(1, "a", 10, 20, "failed"), 25),
               makeRun(2, "b", 30, 40, "done")}},
             {});
}

// An order that was overtaken by a later one of the same task.
BOOST_AUTO_TEST_CASE(ALowerRunAfterAHigherOneIsFound) {
  checkRules({{makeRun(2, "a", 10, 20, "stopped"),
               makeRun(1, "b", 30, 40, "stopped")}},
             {Rule::LowerAfterHigher});
}

// A job is shown as completed only once each task has ended done.
BOOST_AUTO_TEST_CASE(ACompletedJobWithoutItsTasksIsFound) {
  checkRules({{makeRun(1, "a", 10, 20, "killed")}, {makeJob("completed")}},
             {Rule::CompletedNotDone});
  checkRules({{makeRun(1, "a", 10, 1001, "done")}, {makeJob("completed")}},
             {Rule::CompletedNotDone});
}

// Kills and lapses are no cause for a job to fail.
BOOST_AUTO_TEST_CASE(AFailedJobNeedsFailedRuns) {
  SoakRecord Record;
  Record.Jobs = {makeJob("failed")};
  Record.MaxAttempts = 2;
  Record.Runs = {makeRun(1, "a", 10, 20, "failed"),
                 makeRun(2, "a", 30, 40, "killed")};
  checkRules(Record, {Rule::FailedWithoutCause});
  Record.Runs.push_back(makeRun(3, "a", 50, 60, "failed"));
  checkRules(Record, {});
}

// A job that was accepted ends, unless it is endless or was cancelled.
BOOST_AUTO_TEST_CASE(AJobThatNeverEndsIsFound) {
  JobRecord One = makeJob("running");
  checkRules({{}, {One}}, {Rule::NeverEnded});
  One.CancelSent = true;
  checkRules({{}, {One}}, {});
  One.CancelSent = false;
  One.Accepted = false;
  checkRules({{}, {One}}, {});
}

// An entry that crashes is a violation of its own.
BOOST_AUTO_TEST_CASE(AnEntryThatEndsIsFound) {
  SoakRecord Record;
  Record.EntryEnds = {"entry-1 ended by itself: -11"};
  checkRules(Record, {Rule::EntryEnded});
}

// Runs of a killed process end with it, and half a line is no error.
BOOST_AUTO_TEST_CASE(LinesOfAKilledProcessAreRead) {
  std::istringstream Lines(
      R"({"t":5,"event":"up","worker":"a"}
{"t":10,"event":"start","worker":"a","task":"x","run":1}
{"t":11,"event":"start","worker":"a","task":"y","run":2}
{"t":15,"event":"end","worker":"a","task":"y","run":2,"how":"done","number":1}
{"t":16,"event":"noted","worker":"a","task":"y","run":2,"lapsed_since":true}
{"t":17,"event":"sta)");
  std::vector<RunRecord> Runs;
  BOOST_TEST(readWorkerLines(Lines, 4, 18, Runs) == 0U);
  const std::vector<RunRecord> Expected = {
      {"x", 1, "a", 4, 10, 18, "killed", std::nullopt, false},
      {"y", 2, "a", 4, 11, 15, "done", 16, true}};
  BOOST_TEST((Runs == Expected));
}

// A record with a gap must not be judged.
BOOST_AUTO_TEST_CASE(UnreadableLinesAreCounted) {
  std::istringstream Lines("not json\n{\"t\":1,\"event\":\"up\"}\n");
  std::vector<RunRecord> Runs;
  BOOST_TEST(readWorkerLines(Lines, 0, Never, Runs) == 1U);
}
