/// \file
/// Graceful stop, restart, and what a daemon does while the store is away.

#include "Harness.h"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace balsamlatch;
using namespace balsamlatch::daemon::test;

BOOST_AUTO_TEST_SUITE(Stopping)

BOOST_AUTO_TEST_CASE(RequestsInFlightEndBeforeTheStop) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  std::vector<std::future<http::Response>> Calls;
  Calls.reserve(20);
  for (int I = 0; I < 20; ++I) {
    Calls.push_back(
        One.askLater("hold-stock", R"({"run_ms":300,"id":"held"})"));
  }
  waitUntil([&] { return Place.history("task_start", "held").size() == 20; });
  One->requestStop();
  BOOST_TEST(One->wait());
  for (auto &Call : Calls) {
    BOOST_TEST(Call.get().Status == 200U);
  }
  BOOST_TEST(!One->isReady());
}

BOOST_AUTO_TEST_CASE(ARestartedEntryServesAgain) {
  const Site Place;
  std::set<std::string> Names;
  for (int Life = 0; Life < 2; ++Life) {
    Entry One(Place.options("one"), Place.clock());
    One.waitReady();
    const http::Response Answer = One.ask("quote", "{}");
    BOOST_TEST(Answer.Status == 200U);
    Names.insert(std::string(Answer.header("balsamlatch-request")));
    One->requestStop();
    BOOST_TEST(One->wait());
  }
  BOOST_TEST(Names.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AnEntryWithoutStoreWaitsAndThenServes) {
  const Site Place;
  Place.faults(R"({"store":{"down":true}})");
  Entry One(Place.options("one"), Place.clock());
  waitUntil([&] {
    return One.page("/metrics").Body.find("balsamlatch_store_faults_total 0") ==
           std::string::npos;
  });
  BOOST_TEST(One.page("/readyz").Status == 503U);
  BOOST_TEST(One.page("/healthz").Status == 200U);
  const http::Response Early = One.ask("quote", R"({"id":"early"})");
  BOOST_TEST(Early.Status >= 400U);
  BOOST_TEST(Early.header("balsamlatch-outcome") == "not-run");
  BOOST_TEST(Place.history("task_start", "early").empty());
  Place.faults(R"({"store":{"down":false}})");
  One.waitReady();
  BOOST_TEST(One.ask("quote", "{}").Status == 200U);
}

BOOST_AUTO_TEST_CASE(WithoutStoreOnlyKeyedWorkIsRefused) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  Place.faults(R"({"store":{"down":true}})");
  BOOST_TEST(One.ask("quote", "{}").Status == 200U);
  const http::Response Keyed =
      One.ask("dispatch-truck", R"({"id":"keyed"})",
              {{"idempotency-key", "k"}, {"balsamlatch-deadline-ms", "800"}});
  BOOST_TEST(Keyed.Status >= 500U);
  BOOST_TEST(Keyed.header("balsamlatch-outcome") == "not-run");
  BOOST_TEST(Place.history("task_start", "keyed").empty());
}

BOOST_AUTO_TEST_CASE(ALostStoreAnswerIsSettled) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  Place.faults(R"({"store":{"lose_answers":1}})");
  const http::Response Keyed = One.ask("dispatch-truck", R"({"id":"settled"})",
                                       {{"idempotency-key", "settle"}});
  BOOST_TEST(Keyed.Status == 200U);
  BOOST_TEST(Place.history("task_start", "settled").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
