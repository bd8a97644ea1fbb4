/// \file
/// Driver: runs a cluster under load and faults, and checks its history.

#include "Checker.h"
#include "Cluster.h"
#include "FaultPlan.h"
#include "Injector.h"
#include "Load.h"
#include "balsamlatch/Base/Units.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <thread>

using namespace balsamlatch;
using namespace balsamlatch::histories;

namespace {

enum ExitCode { ExitHolds = 0, ExitBroken = 1, ExitUsage = 2 };

constexpr std::chrono::milliseconds SettlePause(50);
constexpr std::chrono::seconds SettleLimit(30);

struct RunOptions {
  ClusterOptions Machines;
  LoadOptions Callers;
  std::vector<Fault> Plan;
};

cxxopts::Options commandLine() {
  cxxopts::Options Line("balsamlatch-history",
                        "Checks the history of a run under faults.");
  Line.add_options()("daemon", "Path of balsamlatchd",
                     cxxopts::value<std::string>())(
      "standin", "Path of balsamlatch-standin", cxxopts::value<std::string>())(
      "folder", "Folder for settings and logs", cxxopts::value<std::string>())(
      "seed", "Seed of load and faults",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rate", "Arrivals a second",
      cxxopts::value<unsigned>()->default_value("150"))(
      "length", "Length of the load",
      cxxopts::value<std::string>()->default_value("3s"))(
      "faults", "Faults by name, comma-separated; else two by the seed",
      cxxopts::value<std::string>())("help", "Print this help");
  return Line;
}

RunOptions optionsOf(const cxxopts::ParseResult &Parsed) {
  RunOptions Options;
  const auto Seed = Parsed["seed"].as<std::uint64_t>();
  Options.Machines.Daemon = Parsed["daemon"].as<std::string>();
  Options.Machines.StandIn = Parsed["standin"].as<std::string>();
  Options.Machines.Folder = Parsed["folder"].as<std::string>();
  Options.Machines.Seed = Seed;
  Options.Callers.Seed = Seed;
  Options.Callers.Rate = Parsed["rate"].as<unsigned>();
  Options.Callers.Length =
      parseDuration(Parsed["length"].as<std::string>()).value();
  Options.Plan = Parsed.count("faults") > 0
                     ? namedFaults(Parsed["faults"].as<std::string>(), Seed,
                                   Options.Callers.Length)
                           .value()
                     : pairOfFaults(Seed, Options.Callers.Length);
  std::filesystem::remove_all(Options.Machines.Folder);
  std::filesystem::create_directories(Options.Machines.Folder);
  return Options;
}

/// Waits until no task runs, so that every run has its end.
void settle(const Cluster &Machines) {
  const auto Limit = std::chrono::steady_clock::now() + SettleLimit;
  while (Machines.runningTasks() > 0 &&
         std::chrono::steady_clock::now() < Limit) {
    std::this_thread::sleep_for(SettlePause);
  }
}

struct Result {
  History Run;
  std::vector<std::string> Problems;
};

Result runCluster(const RunOptions &Options) {
  const SystemClock Time;
  Cluster Machines(Options.Machines);
  Machines.awaitReady();
  std::deque<Route> Routes;
  for (const Entry &One : Machines.entries()) {
    Route &New = Routes.emplace_back();
    New.Entry = One.Name;
    New.At = One.Callers;
  }
  Injector Faults(Machines, Routes, Time);
  boost::asio::io_context Context(1);
  Load Callers(Context, Time, Routes, Options.Callers);
  const Instant Start = Time.now();
  Callers.start();
  std::thread Caller([&Context] { Context.run(); });
  Faults.run(Options.Plan, Start);
  Caller.join();
  settle(Machines);
  Result Done;
  Done.Problems = Faults.problems();
  Done.Run.Calls = Callers.calls();
  Done.Run.Kills = Faults.kills();
  if (const absl::Status Read =
          addGroundTruth(Machines.groundTruth(), Done.Run);
      !Read.ok()) {
    Done.Problems.emplace_back(Read.message());
  }
  return Done;
}

std::uint64_t countOf(const History &Run, CallEnd End) {
  return static_cast<std::uint64_t>(
      std::count_if(Run.Calls.begin(), Run.Calls.end(),
                    [End](const Call &One) { return One.End == End; }));
}

int report(const RunOptions &Options, const Result &Done) {
  const std::vector<Violation> Found = check(Done.Run);
  for (const Violation &One : Found) {
    fmt::print(stderr, "{}: {}\n", promiseName(One.Broken), One.Text);
  }
  for (const std::string &Problem : Done.Problems) {
    fmt::print(stderr, "problem: {}\n", Problem);
  }
  boost::json::array Faults;
  for (const Fault &One : Options.Plan) {
    Faults.emplace_back(std::string(faultName(One.Kind)));
  }
  const History &Run = Done.Run;
  fmt::print("{}\n", boost::json::serialize(boost::json::object{
                         {"seed", Options.Callers.Seed},
                         {"faults", std::move(Faults)},
                         {"calls", Run.Calls.size()},
                         {"answered", countOf(Run, CallEnd::Answered)},
                         {"not_run", countOf(Run, CallEnd::NotRun)},
                         {"unknown", countOf(Run, CallEnd::Unknown)},
                         {"broken", countOf(Run, CallEnd::Broken)},
                         {"unsent", countOf(Run, CallEnd::Unsent)},
                         {"runs", Run.Runs.size()},
                         {"violations", Found.size() + Done.Problems.size()}}));
  // A run that answered nothing proves nothing.
  const bool Holds = Found.empty() && Done.Problems.empty() &&
                     countOf(Run, CallEnd::Answered) > 0;
  return Holds ? ExitHolds : ExitBroken;
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Line = commandLine();
  try {
    const cxxopts::ParseResult Parsed = Line.parse(Argc, Argv);
    if (Parsed.count("help") > 0) {
      fmt::print("{}", Line.help());
      return ExitHolds;
    }
    const RunOptions Options = optionsOf(Parsed);
    return report(Options, runCluster(Options));
  } catch (const std::exception &Error) {
    fmt::print(stderr, "balsamlatch-history: {}\n", Error.what());
    return ExitUsage;
  }
}
