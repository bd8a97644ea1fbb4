/// \file
/// Faults in pairs under many seeds: racing controllers, outages, losses. What
/// must hold always holds in each version, and once the faults are over the
/// wave ends.

#define BOOST_TEST_MODULE FleetFaults
#include <boost/test/unit_test.hpp>

#include "World.h"

#include <algorithm>
#include <array>
#include <cstdlib>

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace balsamlatch::fleet::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seeds = 500;
constexpr Duration Period = 100h;
constexpr Duration FaultLength = 5min;

/// One run: its world and the source of its choices.
struct Run {
  World Around;
  std::mt19937_64 Random;

  unsigned below(unsigned Count) {
    return std::uniform_int_distribution<unsigned>(0, Count - 1)(Random);
  }
  Duration between(Duration From, Duration To) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        From.count(), To.count())(Random));
  }
  HostName host() {
    const std::vector<HostName> All = Around.hostNames();
    return All[below(static_cast<unsigned>(All.size()))];
  }
  /// A host in the middle of an operation, if there is one.
  HostName busyHost() {
    for (const auto &[Host, Record] : Around.ledger().Hosts) {
      if (Record.away()) {
        return Host;
      }
    }
    return host();
  }
  HostRecord homeOf(const HostName &Host) const {
    return Around.ledger().Hosts.at(Host);
  }
};

void askSomething(Run &Test) {
  static std::uint64_t Question = 0;
  constexpr std::array Verbs = {OperatorVerb::Drain, OperatorVerb::Return,
                                OperatorVerb::Move, OperatorVerb::Halt,
                                OperatorVerb::Resume};
  OperatorAsked Asked;
  Asked.Question = ++Question;
  Asked.Verb = Verbs[Test.below(Verbs.size())];
  Asked.Host = Test.below(2) == 0 ? Test.busyHost() : Test.host();
  Asked.Pool = PoolName(Test.below(2) == 0 ? "p0" : "p1");
  Asked.By = OwnerName("anna");
  Test.Around.ask(Test.below(2), Asked);
}

struct Fault {
  const char *Name;
  void (*Happen)(Run &);
};

const std::array Faults = {
    Fault{"store down",
          [](Run &T) { T.Around.storeDown(T.between(20s, 90s)); }},
    Fault{"store slow",
          [](Run &T) { T.Around.storeSlow(T.between(1s, 7s), 90s); }},
    Fault{"answers lost", [](Run &T) { T.Around.loseAnswers(60, 90s); }},
    Fault{"controller paused",
          [](Run &T) {
            T.Around.pauseController(T.below(2), T.between(2s, 60s));
          }},
    Fault{"all controllers paused",
          [](Run &T) {
            T.Around.pauseController(0, T.between(7s, 30s));
            T.Around.pauseController(1, T.between(7s, 30s));
          }},
    Fault{"controller restarted",
          [](Run &T) { T.Around.restartController(T.below(2)); }},
    Fault{"host of the wave crashes",
          [](Run &T) { T.Around.crash(T.busyHost(), T.between(5s, 4min)); }},
    Fault{"host never back in time",
          [](Run &T) { T.Around.slowReboot(T.host(), 17min); }},
    Fault{"rack down",
          [](Run &T) {
            T.Around.crashRack(T.homeOf(T.host()).Rack, T.between(10s, 3min));
          }},
    Fault{"data centre down",
          [](Run &T) {
            T.Around.crashCentre(T.homeOf(T.host()).DataCentre,
                                 T.between(10s, 3min));
          }},
    Fault{
        "entry deaf",
        [](Run &T) { T.Around.deafenEntry(T.below(3), T.between(10s, 2min)); }},
    Fault{"entry cut off",
          [](Run &T) { T.Around.cutEntry(T.below(3), T.between(10s, 2min)); }},
    Fault{
        "worker mute",
        [](Run &T) { T.Around.muteWorker(T.busyHost(), T.between(5s, 2min)); }},
    Fault{"owners' orders", askSomething},
};

WorldOptions optionsFor(std::uint64_t Seed) {
  WorldOptions Options;
  Options.Hosts = 24;
  Options.Pools = 3;
  Options.Controllers = 2 + Seed % 2;
  Options.RebootTime = 20s;
  Options.MaintainedAgo = Period;
  Options.Seed = Seed;
  return Options;
}

RuleSet rulesFor(const WorldOptions &Options) {
  RuleSet Rules = worldRules(Options, Period);
  for (auto &[Pool, Rule] : Rules.Pools) {
    Rule.Away = {AwayBudget::Kind::Hosts, 1};
  }
  return Rules;
}

bool settled(const World &Around, WallTime Begin) {
  const Ledger &Value = Around.ledger();
  return Value.Wave.Size == 0 &&
         std::all_of(Value.Hosts.begin(), Value.Hosts.end(), [&](auto &Item) {
           return Item.second.State == HostState::InService &&
                  Item.second.LastMaintained >= Begin;
         });
}

std::string describe(const World &Around, WallTime Begin) {
  std::string Text = "wave " + std::to_string(Around.ledger().Wave.Size) + " " +
                     Around.ledger().Wave.Stopped + " halt " +
                     Around.ledger().HaltedBy + ":";
  for (const auto &[Host, Record] : Around.ledger().Hosts) {
    if (Record.State != HostState::InService || Record.LastMaintained < Begin) {
      Text += " " + Host.Text + "=" + stateCode(Record.State) + "/" +
              operationCode(Record.InHand.Kind) +
              (Record.InHand.Cancelled ? "/cancelled" : "");
    }
  }
  return Text;
}

void runPair(std::uint64_t Seed) {
  const WorldOptions Options = optionsFor(Seed);
  Run Test{World(Options, rulesFor(Options)), std::mt19937_64(Seed)};
  World &Around = Test.Around;
  const unsigned One = Test.below(Faults.size());
  const unsigned Other =
      (One + 1 + Test.below(Faults.size() - 1)) % Faults.size();
  BOOST_TEST_CONTEXT("seed " << Seed << ": " << Faults[One].Name << ", "
                             << Faults[Other].Name) {
    const WallTime Begin =
        Around.ledger().Hosts.begin()->second.LastMaintained + 1s;
    const Instant End = Around.now() + FaultLength;
    Around.run(15s);
    while (Around.now() < End) {
      Faults[Test.below(2) == 0 ? One : Other].Happen(Test);
      Around.run(Test.between(5s, 60s));
    }
    Around.endSlowReboots();
    // The faults end; an owner lets the fleet go on whenever it stops.
    std::uint64_t Question = 1'000'000;
    const bool Ended = Around.runUntil(
        [&] {
          const Ledger &Value = Around.ledger();
          if (!Value.Wave.Stopped.empty() || !Value.HaltedBy.empty()) {
            Around.ask(
                0,
                {++Question, OperatorVerb::Resume, {}, {}, OwnerName("anna")});
          }
          return settled(Around, Begin);
        },
        60min);
    BOOST_TEST(Ended, describe(Around, Begin));
    Around.run(10s);
    BOOST_TEST(Around.strayWorkers().empty());
    for (const Violation &Broken : Around.audit()) {
      BOOST_ERROR("version " << Broken.Version << " " << Broken.Host.Text
                             << ": " << Broken.Text);
    }
    BOOST_TEST(Around.counts().RebootsOutOfTurn == 0u);
    BOOST_TEST(Around.counts().LateTasks == 0u);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(FaultsInPairsBreakNothing) {
  // One seed alone, for work on a failure.
  if (const char *Only = std::getenv("BALSAMLATCH_SEED")) {
    runPair(std::strtoull(Only, nullptr, 10));
    return;
  }
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    runPair(Seed);
  }
}
