/// \file
/// Maintenance of hosts under load, checks of owners' orders, and membership.

#include "Harness.h"

#include "balsamlatch/Wire/OwnerOrder.h"

#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <thread>

using namespace balsamlatch;
using namespace balsamlatch::daemon::test;

namespace {

boost::json::object host(const Entry &Target, std::string_view Name) {
  const boost::json::value Status = Target.status();
  for (const boost::json::value &Host :
       Status.at("ledger").at("hosts").as_array()) {
    if (Host.at("host").as_string() == Name) {
      return Host.as_object();
    }
  }
  return {};
}

/// Sends requests from several threads until stopped.
class BackgroundLoad {
public:
  explicit BackgroundLoad(const Entry &Target) {
    constexpr int Callers = 8;
    for (int I = 0; I < Callers; ++I) {
      Threads.emplace_back([this, &Target] {
        while (!IsStopped) {
          const http::Response Response =
              Target.post("cut-plan", R"({"run_ms":20,"echo":"plan"})");
          ++(Response.Status == 200 ? Succeeded : Failed);
        }
      });
    }
  }

  void stop() {
    IsStopped = true;
    for (std::thread &Thread : Threads) {
      Thread.join();
    }
  }

  std::atomic<unsigned> Succeeded = 0;
  std::atomic<unsigned> Failed = 0;

private:
  std::atomic<bool> IsStopped = false;
  std::vector<std::thread> Threads;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Fleet)

BOOST_AUTO_TEST_CASE(MaintenanceUnderLoadLosesNoRequest) {
  standin::Options Options = daemon::embeddedPlatformOptions();
  Options.RebootTime = std::chrono::milliseconds(200);
  const TestPlatform Platform(Options);
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  Entry EntryTwo(Platform.entryOptions("two"), Platform.clock());
  EntryOne.waitUntilReady();
  EntryTwo.waitUntilReady();
  BackgroundLoad Calls(EntryOne);
  const http::Response OrderResponse =
      EntryTwo.sendOrder("drain", "w2", Platform.owners().First);
  BOOST_TEST(OrderResponse.Status == 200U, OrderResponse.Body);
  waitUntil([&] { return !Platform.history("booted", "").empty(); });
  waitUntil([&] {
    const std::string State(host(EntryOne, "w2").at("state").as_string());
    return State == "on-probation" || State == "in-service";
  });
  Calls.stop();
  BOOST_TEST(Calls.Failed == 0U);
  BOOST_TEST(Calls.Succeeded > 0U);
  const std::string Explanation =
      EntryOne.get("/v1/explain/w2").Body + EntryTwo.get("/v1/explain/w2").Body;
  for (const char *Step : {"host-leaving", "host-drained", "host-rebooting"}) {
    BOOST_TEST(Explanation.find(Step) != std::string::npos, Step);
  }
}

BOOST_AUTO_TEST_CASE(ADrainBeyondTheBudgetIsRejected) {
  standin::Options Options = daemon::embeddedPlatformOptions();
  // The first host stays in maintenance.
  Options.RebootTime = std::chrono::hours(1);
  const TestPlatform Platform(Options);
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  EntryOne.waitUntilReady();
  BOOST_TEST(
      EntryOne.sendOrder("drain", "w2", Platform.owners().First).Status ==
      200U);
  waitUntil([&] {
    return host(EntryOne, "w2").at("state").as_string() == "in-maintenance";
  });
  const http::Response SecondResponse =
      EntryOne.sendOrder("drain", "w7", Platform.owners().Second);
  BOOST_TEST(SecondResponse.Status == 409U, SecondResponse.Body);
  BOOST_TEST(host(EntryOne, "w7").at("state").as_string() == "in-service");
}

BOOST_AUTO_TEST_CASE(OrdersAreChecked) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  Entry EntryTwo(Platform.entryOptions("two"), Platform.clock());
  EntryOne.waitUntilReady();
  EntryTwo.waitUntilReady();
  const PrivateKey &Owner = Platform.owners().First;
  BOOST_TEST(EntryOne.postOrder("{", {}).Status == 400U);
  BOOST_TEST(EntryOne.sendOrder("melt", "w1", Owner).Status == 400U);
  BOOST_TEST(EntryOne.sendOrder("drain", "", Owner).Status == 400U);
  BOOST_TEST(EntryOne.sendOrder("move", "w1", Owner).Status == 400U);
  BOOST_TEST(EntryOne.sendOrder("drain", "no-host", Owner).Status >= 400U);

  const absl::StatusOr<PrivateKey> UnknownKey = PrivateKey::generate();
  BOOST_REQUIRE(UnknownKey.ok());
  BOOST_TEST(EntryOne.sendOrder("halt", "", *UnknownKey).Status == 401U);

  wire::OwnerOrder Order;
  Order.Verb = "halt";
  Order.Entry = EntryName("one");
  Order.SentAt = Platform.clock().wallNow();
  Order.Nonce = "n";
  const std::string Body = wire::encodeOrder(Order);
  const http::Fields Headers = {
      {wire::OwnerKeyHeader, toHex(Owner.publicKey())},
      {wire::OwnerSignatureHeader, toHex(wire::signOrder(Body, Owner))}};
  BOOST_TEST(EntryOne.postOrder(Body, {}).Status == 401U);
  BOOST_TEST(EntryOne.postOrder(Body + " ", Headers).Status == 401U);
  BOOST_TEST(EntryTwo.postOrder(Body, Headers).Status == 401U);
  BOOST_TEST(EntryOne.postOrder(Body, Headers).Status == 200U);
  BOOST_TEST(EntryOne.postOrder(Body, Headers).Status == 409U);
}

BOOST_AUTO_TEST_CASE(EntriesKnowEachOther) {
  const TestPlatform Platform;
  Entry EntryOne(Platform.entryOptions("one"), Platform.clock());
  daemon::DaemonOptions Options = Platform.entryOptions("two");
  Options.Config.SeedPeers = {
      {EntryName("one"), Address{"127.0.0.1", EntryOne->peersPort()}}};
  Entry EntryTwo(Options, Platform.clock());
  const auto HasEntries = [](const Entry &Target, std::size_t Count) {
    return Target.status().at("entries").as_array().size() == Count;
  };
  waitUntil([&] { return HasEntries(EntryOne, 2) && HasEntries(EntryTwo, 2); });
  EntryTwo->requestStop();
  BOOST_TEST(EntryTwo->wait());
  waitUntil([&] { return HasEntries(EntryOne, 1); });
}

BOOST_AUTO_TEST_SUITE_END()
