/// \file
/// Tests of the stored progress of maintenance waves, against a store and a
/// platform in memory.

#define BOOST_TEST_MODULE HostController
#include "FakeStore.h"
#include "UnresponsivePorts.h"

#include "balsamlatch/Control/HostController.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::control;
using namespace balsamlatch::control::test;
using namespace std::chrono_literals;

namespace {

/// A platform whose replies to maintenance orders are set by the test.
class FakeHosts final : public HostPort {
public:
  explicit FakeHosts(EventLoop &CallbackLoop) : Loop(CallbackLoop) {}

  void list(ListCallback Callback) override {
    Loop.after(1ms,
               [this, Callback = std::move(Callback)] { Callback(Hosts); });
  }
  void move(const LeaderIdentity &, const HostName &, const PoolName &,
            ReplyCallback) override {}
  void maintain(const LeaderIdentity &, const HostName &Host, std::uint64_t,
                ReplyCallback Callback) override {
    Ordered.push_back(Host.Text);
    if (Outcome == HostOutcome::Unknown) {
      Hosts.front().Status = CrashStatus;
    }
    Loop.after(1ms, [Callback = std::move(Callback), Reply = Outcome] {
      Callback(Reply);
    });
  }

  std::vector<dispatch::HostRecord> Hosts;
  std::vector<std::string> Ordered;
  HostOutcome Outcome = HostOutcome::Done;
  // The status of the first host after an order that was lost.
  dispatch::HostStatus CrashStatus = dispatch::HostStatus::Down;

private:
  EventLoop &Loop;
};

/// An entry that leads, with one wave of all hosts.
struct WaveFixture {
  explicit WaveFixture(unsigned HostCount = 1) : Platform(Loop) {
    for (unsigned Index = 0; Index < HostCount; ++Index) {
      dispatch::HostRecord &Host = Platform.Hosts.emplace_back();
      Host.Name = HostName(fmt::format("h{}", Index));
      Host.Pool = PoolName("p");
      Wave.Hosts.push_back(Host.Name);
    }
    Wave.Number = 1;
    Wave.TimeLimit = 30s;
    Wave.MaxAway = HostCount;
  }

  void start() {
    JobControllerOptions Options;
    Options.Self = {"me", "127.0.0.1", 1, 0};
    Jobs = std::make_unique<JobController>(Loop, Time, Log, Store, Workers,
                                           Policies, Options);
    Controller = std::make_unique<HostController>(
        Loop, Time, Log, Store, Platform, *Jobs,
        dispatch::HostSchedulerOptions(),
        HostController::WaveReportFormat{
            [](std::uint64_t Number) { return fmt::format("wave/{}", Number); },
            [](bool IsCompleted) { return IsCompleted ? "done" : "open"; }});
    Jobs->OnLeadershipChanged = [this](bool IsLeading) {
      if (IsLeading) {
        Controller->begin();
      } else {
        Controller->end();
      }
    };
    auto Config = std::make_shared<dispatch::Deployment>();
    Config->Version = 1;
    Config->Pools.push_back({PoolName("p")});
    Jobs->configure(Config);
    Controller->configure(Config);
    Controller->setWaves({Wave});
    Jobs->start();
  }

  std::string stored(const std::string &Key) const {
    const auto ItemIt = Store.Items.find(Key);
    return ItemIt == Store.Items.end() ? "" : ItemIt->second.Value;
  }

  boost::json::object progress() const {
    const std::string Text = stored("fleet/wave/1");
    return Text.empty() ? boost::json::object()
                        : boost::json::parse(Text).as_object();
  }

  template <typename Predicate> bool runUntil(Predicate IsMet) {
    const Instant End = Time.now() + 6s;
    while (!IsMet()) {
      if (Time.now() > End) {
        return false;
      }
      Loop.context().run_for(2ms);
      Loop.context().restart();
    }
    return true;
  }

  EventLoop Loop;
  SystemClock Time;
  NullLog Log;
  FakeStore Store{Loop};
  UnresponsiveWorkers Workers;
  UnresponsivePolicies Policies;
  FakeHosts Platform;
  dispatch::WaveRequest Wave;
  std::unique_ptr<JobController> Jobs;
  std::unique_ptr<HostController> Controller;
};

const boost::json::array NoHosts;
const boost::json::array FirstHost{"h0"};

} // namespace

BOOST_AUTO_TEST_CASE(AHostWhoseOrderWasLostIsNotStoredAsDone) {
  WaveFixture Entry;
  Entry.Platform.Outcome = HostOutcome::Unknown;
  Entry.start();
  BOOST_REQUIRE(
      Entry.runUntil([&] { return Entry.progress().contains("unconfirmed"); }));
  BOOST_TEST((Entry.progress().at("done") == NoHosts));
  BOOST_TEST((Entry.progress().at("unconfirmed") == FirstHost));
  BOOST_TEST(Entry.stored("wave/1") == "open");
  Entry.Platform.Outcome = HostOutcome::Done;
  Entry.Platform.Hosts.front().Status = dispatch::HostStatus::Up;
  BOOST_REQUIRE(
      Entry.runUntil([&] { return Entry.stored("wave/1") == "done"; }));
  BOOST_REQUIRE(
      Entry.runUntil([&] { return Entry.progress().at("done") == FirstHost; }));
  BOOST_TEST(!Entry.progress().contains("unconfirmed"));
}

BOOST_AUTO_TEST_CASE(ProgressOfAnEarlierVersionIsRead) {
  WaveFixture Entry(2);
  Entry.Store.put("fleet/wave/1", R"({"since_us":1,"done":["h0"]})");
  Entry.start();
  BOOST_REQUIRE(
      Entry.runUntil([&] { return Entry.stored("wave/1") == "done"; }));
  BOOST_TEST((Entry.Platform.Ordered == std::vector<std::string>{"h1"}));
}

BOOST_AUTO_TEST_CASE(ALaterLeaderKnowsTheUnconfirmedHosts) {
  WaveFixture Entry(2);
  Entry.Wave.MaxAway = 1;
  Entry.Platform.Hosts[1].Status = dispatch::HostStatus::Down;
  Entry.Store.put("fleet/wave/1",
                  R"({"since_us":1,"done":[],"unconfirmed":["h1"]})");
  Entry.start();
  Entry.runUntil([&] { return !Entry.Platform.Ordered.empty(); });
  BOOST_TEST(Entry.stored("wave/1") == "open");
  BOOST_TEST(Entry.Platform.Ordered.empty());
}
