/// \file
/// What callers get: outcomes, status codes and their own answers.

#include "Harness.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace balsamlatch;
using namespace balsamlatch::daemon::test;

namespace {

std::string outcome(const http::Response &Answer) {
  return std::string(Answer.header("balsamlatch-outcome"));
}

std::string reason(const http::Response &Answer) {
  return std::string(Answer.header("balsamlatch-reason"));
}

/// Reads the member "echo" of a worker's answer.
std::string echo(const http::Response &Answer) {
  return std::string(boost::json::parse(Answer.Body).at("echo").as_string());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Serving)

BOOST_AUTO_TEST_CASE(EachCallerGetsItsOwnWholeAnswer) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  std::vector<std::future<http::Response>> Calls;
  Calls.reserve(40);
  std::set<std::string> Names;
  for (int I = 0; I < 40; ++I) {
    Calls.push_back(One.askLater(
        "quote", fmt::format(R"({{"run_ms":{},"echo":"e{}"}})", I % 7, I)));
  }
  for (int I = 0; I < 40; ++I) {
    const http::Response Answer = Calls[I].get();
    BOOST_TEST(Answer.Status == 200U);
    BOOST_TEST(outcome(Answer) == "answered");
    BOOST_TEST(echo(Answer) == fmt::format("e{}", I));
    Names.insert(std::string(Answer.header("balsamlatch-request")));
  }
  BOOST_TEST(Names.size() == 40U);
}

BOOST_AUTO_TEST_CASE(BadCallsAreRefusedAsNotRun) {
  const Site Place;
  daemon::DaemonOptions Options = Place.options("one");
  Options.Config.ResourceLimits.BodyBytes = 1000;
  Entry One(Options, Place.clock());
  One.waitReady();
  const auto Check = [](const http::Response &Answer, unsigned Status) {
    BOOST_TEST(Answer.Status == Status);
    BOOST_TEST(outcome(Answer) == "not-run");
  };
  Check(One.ask("quote", R"({"a":)"), 400);
  Check(One.ask("quote", "{}", {{"balsamlatch-deadline-ms", "soon"}}), 400);
  Check(One.ask("quote", "{}", {{"idempotency-key", "two words"}}), 400);
  Check(One.ask("quote", "{}", {{"balsamlatch-team", "a team"}}), 400);
  Check(One.ask("no-such-job", "{}"), 404);
  BOOST_TEST(One.ask("quote", std::string(2000, ' ')).Status == 413U);
  BOOST_TEST(Place.history("task_start", "").empty());
}

BOOST_AUTO_TEST_CASE(ARepeatDuringTheRunGetsTheWholeAnswerOfTheOneRun) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  const std::string Body = R"({"run_ms":5000,"echo":"truck 7","id":"joined"})";
  const http::Fields Headers = {{"idempotency-key", "dispatch-7"},
                                {"balsamlatch-deadline-ms", "240000"}};
  auto First = One.askLater("dispatch-truck", Body, Headers);
  waitUntil([&] { return !Place.history("task_start", "joined").empty(); });
  auto Repeat = One.askLater("dispatch-truck", Body, Headers);
  for (const http::Response &Answer : {First.get(), Repeat.get()}) {
    BOOST_TEST(Answer.Status == 200U);
    BOOST_TEST(outcome(Answer) == "answered");
    BOOST_TEST(echo(Answer) == "truck 7");
  }
  BOOST_TEST(Place.history("task_start", "joined").size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFullEntryRefusesWithAHintWhenToComeBack) {
  const Site Place;
  daemon::DaemonOptions Options = Place.options("one");
  Options.Config.ResourceLimits.OpenRequests = 1;
  Entry One(Options, Place.clock());
  One.waitReady();
  auto Long = One.askLater("dispatch-truck", R"({"run_ms":200000,"id":"long"})",
                           {{"balsamlatch-deadline-ms", "240000"}});
  waitUntil([&] { return !Place.history("task_start", "long").empty(); });
  const http::Response Refused = One.ask("quote", R"({"id":"refused"})");
  BOOST_TEST(Refused.Status == 503U);
  BOOST_TEST(outcome(Refused) == "not-run");
  BOOST_TEST(reason(Refused) == "queue-full");
  BOOST_TEST(!Refused.header("retry-after").empty());
  BOOST_TEST(Place.history("task_start", "refused").empty());
  Place.faults(R"({"worker":{"mode":"die"}})");
  BOOST_TEST(Long.get().Status >= 400U);
}

BOOST_AUTO_TEST_CASE(ADeadlineThatPassesIsToldAsSuch) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  Place.faults(R"({"worker":{"mode":"hang"}})");
  const http::Response Late = One.ask("dispatch-truck", R"({"id":"late"})",
                                      {{"balsamlatch-deadline-ms", "600"}});
  BOOST_TEST(Late.Status == 504U);
  BOOST_TEST(outcome(Late) == "unknown");
}

BOOST_AUTO_TEST_CASE(AnAnswerOfAnotherTaskIsNeverHandedOn) {
  for (const char *Mode : {"cross", "cut", "garble"}) {
    const Site Place;
    Entry One(Place.options("one"), Place.clock());
    One.waitReady();
    Place.faults(fmt::format(R"({{"worker":{{"mode":"{}"}}}})", Mode));
    const http::Response Answer =
        One.ask("dispatch-truck", R"({"id":"x","echo":"mine"})");
    BOOST_TEST(Answer.Status >= 500U);
    BOOST_TEST(outcome(Answer) == "unknown");
    BOOST_TEST(Place.history("task_start", "x").size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(AKeyRunsOnceThroughTwoEntries) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  Entry Two(Place.options("two"), Place.clock());
  One.waitReady();
  Two.waitReady();
  const http::Fields Key = {{"idempotency-key", "truck-1"}};
  auto First =
      One.askLater("dispatch-truck", R"({"id":"truck","run_ms":50})", Key);
  auto Second =
      Two.askLater("dispatch-truck", R"({"id":"truck","run_ms":50})", Key);
  const http::Response A = First.get();
  const http::Response B = Second.get();
  BOOST_TEST(Place.history("task_start", "truck").size() == 1U);
  const http::Response &Loser = A.Status == 200 ? B : A;
  BOOST_TEST((A.Status == 200) != (B.Status == 200));
  // The work under the key may run, by the other request.
  BOOST_TEST(Loser.Status == 409U);
  BOOST_TEST(outcome(Loser) == "unknown");
  BOOST_TEST(reason(Loser) == "claim-taken");
  const http::Response Again =
      One.ask("dispatch-truck", R"({"id":"truck","run_ms":50})", Key);
  BOOST_TEST(Again.Status != 0U);
  BOOST_TEST(Place.history("task_start", "truck").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
