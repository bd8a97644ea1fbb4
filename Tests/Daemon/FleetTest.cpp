/// \file
/// Maintenance of hosts under load, and what operators are told of it.

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

boost::json::object host(const Entry &At, std::string_view Name) {
  const boost::json::value Status = At.status();
  for (const boost::json::value &Host :
       Status.at("ledger").at("hosts").as_array()) {
    if (Host.at("host").as_string() == Name) {
      return Host.as_object();
    }
  }
  return {};
}

/// Calls again and again from several threads until stopped.
class Load {
public:
  explicit Load(const Entry &At) {
    constexpr int Callers = 8;
    for (int I = 0; I < Callers; ++I) {
      Threads.emplace_back([this, &At] {
        while (!Ended) {
          const http::Response Answer =
              At.ask("cut-plan", R"({"run_ms":20,"echo":"plan"})");
          ++(Answer.Status == 200 ? Answered : Lost);
        }
      });
    }
  }

  void stop() {
    Ended = true;
    for (std::thread &One : Threads) {
      One.join();
    }
  }

  std::atomic<unsigned> Answered = 0;
  std::atomic<unsigned> Lost = 0;

private:
  std::atomic<bool> Ended = false;
  std::vector<std::thread> Threads;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Fleet)

BOOST_AUTO_TEST_CASE(MaintenanceUnderLoadLosesNoRequest) {
  standin::Options Options = daemon::embeddedPlatformOptions();
  Options.RebootTime = std::chrono::milliseconds(200);
  const Site Place(Options);
  Entry One(Place.options("one"), Place.clock());
  Entry Two(Place.options("two"), Place.clock());
  One.waitReady();
  Two.waitReady();
  Load Calls(One);
  const http::Response Asked = Two.order("drain", "w2", Place.owners().First);
  BOOST_TEST(Asked.Status == 200U, Asked.Body);
  waitUntil([&] { return !Place.history("booted", "").empty(); });
  waitUntil([&] {
    const std::string State(host(One, "w2").at("state").as_string());
    return State == "on-probation" || State == "in-service";
  });
  Calls.stop();
  BOOST_TEST(Calls.Lost == 0U);
  BOOST_TEST(Calls.Answered > 0U);
  const std::string Story =
      One.page("/v1/explain/w2").Body + Two.page("/v1/explain/w2").Body;
  for (const char *Step : {"host-leaving", "host-drained", "host-rebooting"}) {
    BOOST_TEST(Story.find(Step) != std::string::npos, Step);
  }
}

BOOST_AUTO_TEST_CASE(ADrainBeyondTheBudgetIsRefusedWithItsReason) {
  standin::Options Options = daemon::embeddedPlatformOptions();
  // The first host stays away.
  Options.RebootTime = std::chrono::hours(1);
  const Site Place(Options);
  Entry One(Place.options("one"), Place.clock());
  One.waitReady();
  BOOST_TEST(One.order("drain", "w2", Place.owners().First).Status == 200U);
  waitUntil([&] {
    return host(One, "w2").at("state").as_string() == "in-maintenance";
  });
  const http::Response Second = One.order("drain", "w7", Place.owners().Second);
  BOOST_TEST(Second.Status == 409U, Second.Body);
  BOOST_TEST(host(One, "w7").at("state").as_string() == "in-service");
}

BOOST_AUTO_TEST_CASE(OrdersAreChecked) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  Entry Two(Place.options("two"), Place.clock());
  One.waitReady();
  Two.waitReady();
  const PrivateKey &Owner = Place.owners().First;
  BOOST_TEST(One.postOrder("{", {}).Status == 400U);
  BOOST_TEST(One.order("melt", "w1", Owner).Status == 400U);
  BOOST_TEST(One.order("drain", "", Owner).Status == 400U);
  BOOST_TEST(One.order("move", "w1", Owner).Status == 400U);
  BOOST_TEST(One.order("drain", "no-host", Owner).Status >= 400U);

  const absl::StatusOr<PrivateKey> Stranger = PrivateKey::generate();
  BOOST_REQUIRE(Stranger.ok());
  BOOST_TEST(One.order("halt", "", *Stranger).Status == 401U);

  wire::OwnerOrder Order;
  Order.Verb = "halt";
  Order.Entry = EntryName("one");
  Order.SentAt = Place.clock().wallNow();
  Order.Nonce = "n";
  const std::string Body = wire::encodeOrder(Order);
  const http::Fields Headers = {
      {wire::OwnerKeyHeader, toHex(Owner.publicKey())},
      {wire::OwnerSignatureHeader, toHex(wire::signOrder(Body, Owner))}};
  BOOST_TEST(One.postOrder(Body, {}).Status == 401U);
  BOOST_TEST(One.postOrder(Body + " ", Headers).Status == 401U);
  BOOST_TEST(Two.postOrder(Body, Headers).Status == 401U);
  BOOST_TEST(One.postOrder(Body, Headers).Status == 200U);
  BOOST_TEST(One.postOrder(Body, Headers).Status == 409U);
}

BOOST_AUTO_TEST_CASE(EntriesKnowEachOther) {
  const Site Place;
  Entry One(Place.options("one"), Place.clock());
  daemon::DaemonOptions Options = Place.options("two");
  Options.Config.SeedPeers = {
      {EntryName("one"), Address{"127.0.0.1", One->peersPort()}}};
  Entry Two(Options, Place.clock());
  const auto Sees = [](const Entry &At, std::size_t Count) {
    return At.status().at("entries").as_array().size() == Count;
  };
  waitUntil([&] { return Sees(One, 2) && Sees(Two, 2); });
  Two->requestStop();
  BOOST_TEST(Two->wait());
  waitUntil([&] { return Sees(One, 1); });
}

BOOST_AUTO_TEST_SUITE_END()
