/// \file
/// Figures of the fleet controller: time and store writes of a wave, time of
/// planning, size of the ledger, processor time of a tick, moves and packing.

#include "Bench.h"
#include "World.h"
#include "balsamlatch/Fleet/Plan.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace balsamlatch::fleet::test;
using namespace std::chrono_literals;

namespace {

double cpuSeconds() {
  std::timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

std::size_t awayIn(const Ledger &Value) {
  return static_cast<std::size_t>(
      std::count_if(Value.Hosts.begin(), Value.Hosts.end(),
                    [](const auto &Item) { return Item.second.away(); }));
}

void runWave(Duration Reboot, std::uint64_t Seed) {
  SimulationOptions Options;
  Options.RebootTime = Reboot;
  Options.MaintainedAgo = 1000h;
  Options.Seed = Seed;
  World Around(Options, simulationRules(Options, 1000h));
  const Instant Begin = Around.now();
  double AwaySeconds = 0;
  Instant LastAway = Begin;
  Around.runUntil(
      [&] {
        const std::size_t Away = awayIn(Around.ledger());
        AwaySeconds += static_cast<double>(Away);
        LastAway = Away > 0 ? Around.now() : LastAway;
        return Around.logged("wave-ended");
      },
      24h);
  const double Wave = std::chrono::duration<double>(LastAway - Begin).count();
  const double MeanAway = AwaySeconds / Options.Hosts;
  const double Bound = Options.Hosts / 5.0 * MeanAway;
  const double Ideal =
      Options.Hosts / 5.0 * std::chrono::duration<double>(Reboot).count();
  fmt::print("wave seed {} reboot {:.0f} s: {:.0f} s, mean away {:.1f} s, "
             "{:.2f} of 50/5 x away, {:.2f} of 50/5 x reboot, {:.2f} store "
             "writes a host, refused reboots {}, late tasks {}, violations "
             "{}\n",
             Seed, std::chrono::duration<double>(Reboot).count(), Wave,
             MeanAway, Wave / Bound, Wave / Ideal,
             static_cast<double>(Around.counts().Swaps) / Options.Hosts,
             Around.counts().RebootsRefused, Around.counts().MisplacedTasks,
             Around.audit().size());
}

Ledger largeLedger(unsigned Hosts, unsigned Pools, unsigned Centres) {
  Ledger Value;
  for (unsigned I = 0; I < Hosts; ++I) {
    HostRecord Record;
    Record.Pool = PoolName(fmt::format("p{}", I % Pools));
    Record.Rack = RackName(fmt::format("rack-{:03}", I / 4));
    Record.DataCentre =
        DataCentreName(fmt::format("centre-{}", I / 4 % Centres));
    Record.StateVersion = 1;
    Value.Hosts.emplace(HostName(fmt::format("worker-{:04}", I)), Record);
  }
  return Value;
}

void runPlanning(unsigned Hosts, unsigned Pools) {
  SimulationOptions Options;
  Options.Hosts = Hosts;
  Options.Pools = Pools;
  const RuleSet Rules = simulationRules(Options, 1000h);
  const Ledger Value = largeLedger(Hosts, Pools, Hosts > 500 ? 9 : 3);
  const WallTime Wall(2000h);
  constexpr int Repeats = 20;
  double First = 0;
  double All = 0;
  std::size_t Rounds = 0;
  for (int I = 0; I < Repeats; ++I) {
    const double Begin = cpuSeconds();
    (void)makePlan(Value, Rules, {}, Wall);
    const double Middle = cpuSeconds();
    Rounds = makePlan(Value, Rules, {}, Wall, 100).Rounds.size();
    First += Middle - Begin;
    All += cpuSeconds() - Middle;
  }
  fmt::print("planning {} hosts, {} pools: next round {:.2f} ms, all {} rounds "
             "{:.2f} ms\n",
             Hosts, Pools, First / Repeats * 1e3, Rounds, All / Repeats * 1e3);
}

/// A controller that leads, and the processor time of its events.
void runTick(unsigned Hosts, unsigned Pools) {
  SimulationOptions Options;
  Options.Hosts = Hosts;
  Options.Pools = Pools;
  const Ledger Value = largeLedger(Hosts, Pools, 9);
  const std::string Text = encodeLedger(Value);
  Controller Leader({EntryName("e"), "r", 1});
  Instant Now(1h);
  const WallTime Wall(1h);
  Leader.handle(RulesReceived{std::make_shared<RuleSet>(
                    simulationRules(Options, 100000h))},
                Now, Wall);
  double Ticks = 0;
  double Reports = 0;
  std::uint64_t Asked = 0;
  constexpr int Steps = 2400;
  for (int I = 0; I < Steps; ++I) {
    Now += FleetTickPeriod;
    Leader.handle(LedgerReceived{2, Text}, Now, Wall);
    const double Begin = cpuSeconds();
    const std::vector<FleetAction> Actions =
        Leader.handle(FleetTick(), Now, Wall);
    Ticks += cpuSeconds() - Begin;
    for (const FleetAction &Action : Actions) {
      if (const auto *Submit = std::get_if<SendStoreRequest>(&Action)) {
        if (const auto *Lease = std::get_if<LeaseAcquire>(&Submit->Request)) {
          Leader.handle(
              StoreReplied{Submit->Of, {absl::OkStatus(), {1, Lease->Holder}}},
              Now, Wall);
        }
      } else if (const auto *Ask = std::get_if<RequestWorkerReport>(&Action)) {
        ++Asked;
        const double Before = cpuSeconds();
        Leader.handle(WorkerReportReceived{Ask->Host,
                                           absl::OkStatus(),
                                           {false, 0, 8, 1, {}}},
                      Now, Wall);
        Reports += cpuSeconds() - Before;
      }
    }
  }
  const double Seconds = Steps * 0.25;
  fmt::print("{} hosts, {} pools: ledger {} bytes, tick {:.1f} us, {:.3f} "
             "percent of a core in all, {:.1f} reports a second\n",
             Hosts, Pools, Text.size(), Ticks / Steps * 1e6,
             (Ticks + Reports) / Seconds * 100,
             static_cast<double>(Asked) / Seconds);
}

} // namespace

int main(int Count, char **) {
  if (Count > 1) {
    bench::runMoves();
    return 0;
  }
  for (const std::uint64_t Seed : {1, 2, 3}) {
    runWave(60s, Seed);
    runWave(300s, Seed);
  }
  runPlanning(50, 5);
  runPlanning(1500, 88);
  runTick(50, 5);
  runTick(500, 30);
  runTick(1500, 88);
  bench::runMoves();
  bench::runPacking();
  return 0;
}
