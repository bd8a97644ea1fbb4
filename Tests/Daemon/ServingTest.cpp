/// \file
/// Responses to callers: outcomes, status codes and answers.

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

/// Returns the member "echo" of a worker's answer.
std::string echo(const http::Response &Answer) {
  return std::string(boost::json::parse(Answer.Body).at("echo").as_string());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Serving)

BOOST_AUTO_TEST_CASE(EachCallerGetsItsOwnWholeAnswer) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  std::vector<std::future<http::Response>> Calls;
  Calls.reserve(40);
  std::set<std::string> Names;
  for (int I = 0; I < 40; ++I) {
    Calls.push_back(EntryOne.postAsync(
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

BOOST_AUTO_TEST_CASE(InvalidRequestsAreRejectedAsNotRun) {
  const TestPlatform Platform;
  daemon::DaemonOptions Options = Platform.entryOptions("one");
  Options.Config.ResourceLimits.BodyBytes = 1000;
  Entry EntryOne(Options, Platform.clock());
  EntryOne.waitUntilReady();
  const auto Check = [](const http::Response &Answer, unsigned Status) {
    BOOST_TEST(Answer.Status == Status);
    BOOST_TEST(outcome(Answer) == "not-run");
  };
  Check(EntryOne.post("quote", R"({"a":)"), 400);
  Check(EntryOne.post("quote", "{}", {{"balsamlatch-deadline-ms", "soon"}}),
        400);
  Check(EntryOne.post("quote", "{}", {{"idempotency-key", "two words"}}), 400);
  Check(EntryOne.post("quote", "{}", {{"balsamlatch-team", "a team"}}), 400);
  Check(EntryOne.post("no-such-job", "{}"), 404);
  BOOST_TEST(EntryOne.post("quote", std::string(2000, ' ')).Status == 413U);
  BOOST_TEST(Platform.history("task_start", "").empty());
}

BOOST_AUTO_TEST_CASE(ARepeatedRequestSharesTheAnswerOfTheRunningOne) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  const std::string Body = R"({"run_ms":5000,"echo":"truck 7","id":"joined"})";
  const http::Fields Headers = {{"idempotency-key", "dispatch-7"},
                                {"balsamlatch-deadline-ms", "240000"}};
  auto First = EntryOne.postAsync("dispatch-truck", Body, Headers);
  waitUntil([&] { return !Platform.history("task_start", "joined").empty(); });
  auto Repeat = EntryOne.postAsync("dispatch-truck", Body, Headers);
  for (const http::Response &Answer : {First.get(), Repeat.get()}) {
    BOOST_TEST(Answer.Status == 200U);
    BOOST_TEST(outcome(Answer) == "answered");
    BOOST_TEST(echo(Answer) == "truck 7");
  }
  BOOST_TEST(Platform.history("task_start", "joined").size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFullEntryRejectsWithRetryAfter) {
  const TestPlatform Platform;
  daemon::DaemonOptions Options = Platform.entryOptions("one");
  Options.Config.ResourceLimits.OpenRequests = 1;
  Entry EntryOne(Options, Platform.clock());
  EntryOne.waitUntilReady();
  auto LongRequest =
      EntryOne.postAsync("dispatch-truck", R"({"run_ms":200000,"id":"long"})",
                         {{"balsamlatch-deadline-ms", "240000"}});
  waitUntil([&] { return !Platform.history("task_start", "long").empty(); });
  const http::Response Rejection =
      EntryOne.post("quote", R"({"id":"refused"})");
  BOOST_TEST(Rejection.Status == 503U);
  BOOST_TEST(outcome(Rejection) == "not-run");
  BOOST_TEST(reason(Rejection) == "queue-full");
  BOOST_TEST(!Rejection.header("retry-after").empty());
  BOOST_TEST(Platform.history("task_start", "refused").empty());
  Platform.injectFaults(R"({"worker":{"mode":"die"}})");
  BOOST_TEST(LongRequest.get().Status >= 400U);
}

BOOST_AUTO_TEST_CASE(AnExpiredDeadlineIsReported) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  Platform.injectFaults(R"({"worker":{"mode":"hang"}})");
  const http::Response Response =
      EntryOne.post("dispatch-truck", R"({"id":"late"})",
                    {{"balsamlatch-deadline-ms", "600"}});
  BOOST_TEST(Response.Status == 504U);
  BOOST_TEST(outcome(Response) == "unknown");
}

BOOST_AUTO_TEST_CASE(AnInvalidWorkerAnswerIsNeverForwarded) {
  for (const char *Mode : {"cross", "cut", "garble"}) {
    const TestPlatform Platform;
    Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
    EntryOne.waitUntilReady();
    Platform.injectFaults(fmt::format(R"({{"worker":{{"mode":"{}"}}}})", Mode));
    const http::Response Answer =
        EntryOne.post("dispatch-truck", R"({"id":"x","echo":"mine"})");
    BOOST_TEST(Answer.Status >= 500U);
    BOOST_TEST(outcome(Answer) == "unknown");
    BOOST_TEST(Platform.history("task_start", "x").size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(AKeyRunsOnceThroughTwoEntries) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  Entry EntryTwo(Platform.entryOptions("two"), Platform.clock());
  EntryOne.waitUntilReady();
  EntryTwo.waitUntilReady();
  const http::Fields Key = {{"idempotency-key", "truck-1"}};
  auto First = EntryOne.postAsync("dispatch-truck",
                                  R"({"id":"truck","run_ms":50})", Key);
  auto Second = EntryTwo.postAsync("dispatch-truck",
                                   R"({"id":"truck","run_ms":50})", Key);
  const http::Response A = First.get();
  const http::Response B = Second.get();
  BOOST_TEST(Platform.history("task_start", "truck").size() == 1U);
  const http::Response &Loser = A.Status == 200 ? B : A;
  BOOST_TEST((A.Status == 200) != (B.Status == 200));
  // The outcome is unknown since the other request may run the keyed work.
  BOOST_TEST(Loser.Status == 409U);
  BOOST_TEST(outcome(Loser) == "unknown");
  BOOST_TEST(reason(Loser) == "claim-taken");
  const http::Response RepeatResponse =
      EntryOne.post("dispatch-truck", R"({"id":"truck","run_ms":50})", Key);
  BOOST_TEST(RepeatResponse.Status != 0U);
  BOOST_TEST(Platform.history("task_start", "truck").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
