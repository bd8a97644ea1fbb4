/// \file
/// Graceful shutdown, restart, and operation while the store is unavailable.

#include "Harness.h"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace balsamlatch;
using namespace balsamlatch::daemon::test;

BOOST_AUTO_TEST_SUITE(Stopping)

BOOST_AUTO_TEST_CASE(RequestsInFlightEndBeforeTheStop) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  std::vector<std::future<http::Response>> Calls;
  Calls.reserve(20);
  for (int I = 0; I < 20; ++I) {
    Calls.push_back(
        EntryOne.postAsync("hold-stock", R"({"run_ms":300,"id":"held"})"));
  }
  waitUntil(
      [&] { return Platform.history("task_start", "held").size() == 20; });
  EntryOne->requestStop();
  BOOST_TEST(EntryOne->wait());
  for (auto &Call : Calls) {
    BOOST_TEST(Call.get().Status == 200U);
  }
  BOOST_TEST(!EntryOne->isReady());
}

BOOST_AUTO_TEST_CASE(ARestartedEntryServesAgain) {
  const TestPlatform Platform;
  std::set<std::string> Names;
  for (int Start = 0; Start < 2; ++Start) {
    Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
    EntryOne.waitUntilReady();
    const http::Response Answer = EntryOne.post("quote", "{}");
    BOOST_TEST(Answer.Status == 200U);
    Names.insert(std::string(Answer.header("balsamlatch-request")));
    EntryOne->requestStop();
    BOOST_TEST(EntryOne->wait());
  }
  BOOST_TEST(Names.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AnEntryWaitsForTheStoreAndThenServes) {
  const TestPlatform Platform;
  Platform.injectFaults(R"({"store":{"down":true}})");
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  waitUntil([&] {
    return EntryOne.get("/metrics")
               .Body.find("balsamlatch_store_faults_total 0") ==
           std::string::npos;
  });
  BOOST_TEST(EntryOne.get("/readyz").Status == 503U);
  BOOST_TEST(EntryOne.get("/healthz").Status == 200U);
  const http::Response EarlyResponse =
      EntryOne.post("quote", R"({"id":"early"})");
  BOOST_TEST(EarlyResponse.Status >= 400U);
  BOOST_TEST(EarlyResponse.header("balsamlatch-outcome") == "not-run");
  BOOST_TEST(Platform.history("task_start", "early").empty());
  Platform.injectFaults(R"({"store":{"down":false}})");
  EntryOne.waitUntilReady();
  BOOST_TEST(EntryOne.post("quote", "{}").Status == 200U);
}

BOOST_AUTO_TEST_CASE(WithoutTheStoreOnlyKeyedRequestsAreRejected) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  Platform.injectFaults(R"({"store":{"down":true}})");
  BOOST_TEST(EntryOne.post("quote", "{}").Status == 200U);
  const http::Response Keyed = EntryOne.post(
      "dispatch-truck", R"({"id":"keyed"})",
      {{"idempotency-key", "k"}, {"balsamlatch-deadline-ms", "800"}});
  BOOST_TEST(Keyed.Status >= 500U);
  BOOST_TEST(Keyed.header("balsamlatch-outcome") == "not-run");
  BOOST_TEST(Platform.history("task_start", "keyed").empty());
}

BOOST_AUTO_TEST_CASE(ALostStoreReplyIsRecovered) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  Platform.injectFaults(R"({"store":{"lose_answers":1}})");
  const http::Response Keyed = EntryOne.post(
      "dispatch-truck", R"({"id":"settled"})", {{"idempotency-key", "settle"}});
  BOOST_TEST(Keyed.Status == 200U);
  BOOST_TEST(Platform.history("task_start", "settled").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
