/// \file
/// balsamlatch-soak: plays one seed and checks it. Exit code 1: a rule is
/// broken; 2: it could not be played.

#include "Callers.h"
#include "Deployment.h"
#include "Fleet.h"
#include "Lines.h"
#include "balsamlatch/Base/Units.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace balsamlatch;
using namespace balsamlatch::soak;

namespace {

enum ExitCode { ExitHolds = 0, ExitBroken = 1, ExitUsage = 2 };

constexpr milliseconds ReadyPause(50);
constexpr unsigned MaxReadyPolls = 400;
constexpr milliseconds ElectionTime(1500);
constexpr milliseconds OpenPause(200);
/// Generous: jobs of 12 s that wait for the leases of cut workers.
constexpr std::chrono::seconds MaxCalm(75);
constexpr std::chrono::seconds CancelAfterCalm(7);
constexpr unsigned MaxLinesPerViolation = 60;

struct Arguments {
  FleetOptions Fleet;
  milliseconds Length{30'000};
  bool HoldsCalls = true;
  /// Names of rules whose violations are printed but don't count.
  std::vector<std::string> SetAside;
};

cxxopts::Options commandLine() {
  cxxopts::Options Line("balsamlatch-soak",
                        "Real processes under faults, and a check of what ran");
  Line.add_options()("entry", "Path of balsamlatch-entry",
                     cxxopts::value<std::string>())(
      "template", "Its settings template", cxxopts::value<std::string>())(
      "platform", "Path of soak-platform", cxxopts::value<std::string>())(
      "worker", "Path of soak-worker", cxxopts::value<std::string>())(
      "folder", "Folder for logs; emptied", cxxopts::value<std::string>())(
      "seed", "Seed of load and disruptions",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "length", "Length of load and disruptions",
      cxxopts::value<std::string>()->default_value("30s"))(
      "no-holds", "Hold no calls on their way")(
      "set-aside", "Rules, comma-separated, that don't count for the exit code",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "help", "Print this help");
  return Line;
}

Arguments argumentsOf(const cxxopts::ParseResult &Parsed) {
  Arguments Values;
  Values.Fleet.EntryProgram = Parsed["entry"].as<std::string>();
  Values.Fleet.TemplateFile = Parsed["template"].as<std::string>();
  Values.Fleet.PlatformProgram = Parsed["platform"].as<std::string>();
  Values.Fleet.WorkerProgram = Parsed["worker"].as<std::string>();
  Values.Fleet.Folder = Parsed["folder"].as<std::string>();
  Values.Fleet.Seed = Parsed["seed"].as<std::uint64_t>();
  Values.Length = std::chrono::duration_cast<milliseconds>(
      parseDuration(Parsed["length"].as<std::string>()).value());
  Values.HoldsCalls = Parsed.count("no-holds") == 0;
  Values.SetAside = Parsed["set-aside"].as<std::vector<std::string>>();
  return Values;
}

/// The script of one soak on the driver's context.
class Soak {
public:
  Soak(boost::asio::io_context &Io, const Arguments &Values)
      : Context(Io), Settings(Values), Machines(Io, Values.Fleet),
        Clients(Io, entryIps(), FrontPort, Values.Fleet.Seed), Stops(Io) {
    Stops.add(SIGTERM);
    Stops.add(SIGINT);
    Stops.async_wait([this](auto Error, int) {
      if (!Error) {
        Interrupted = true;
        Context.stop();
      }
    });
  }

  bool interrupted() const { return Interrupted; }

  void start() {
    Machines.start();
    awaitReady(MaxReadyPolls);
  }

  SoakRecord finish() {
    SoakRecord Record;
    Machines.finish(Record);
    Record.Jobs = Clients.jobs();
    return Record;
  }

private:
  std::vector<std::string> entryIps() const {
    std::vector<std::string> Ips;
    for (unsigned I = 0; I < Settings.Fleet.Entries; ++I) {
      Ips.push_back(Machines.entryIp(I));
    }
    return Ips;
  }

  void after(milliseconds Length, std::function<void()> Action) {
    const auto Timer =
        std::make_shared<boost::asio::steady_timer>(Context, Length);
    Timer->async_wait([Timer, Action = std::move(Action)](auto Error) {
      if (!Error) {
        Action();
      }
    });
  }

  void awaitReady(unsigned Polls) {
    if (Machines.isReady()) {
      after(ElectionTime, [this] { begin(); });
      return;
    }
    if (Polls == 0) {
      throw std::runtime_error("the entries aren't ready");
    }
    after(ReadyPause, [this, Polls] { awaitReady(Polls - 1); });
  }

  void begin() {
    PlanOptions Plan{Settings.Fleet.Seed, Settings.Length};
    Plan.HoldsCalls = Settings.HoldsCalls;
    for (unsigned I = 0; I < Settings.Fleet.Workers; ++I) {
      Plan.Zones.push_back(zoneOf(I));
    }
    for (const Disruption &One : drawDisruptions(Plan)) {
      if (One.Start < Settings.Length) {
        after(One.Start, [this, One] { Machines.apply(One); });
      }
    }
    Clients.start();
    after(Settings.Length, [this] { calm(); });
  }

  void calm() {
    writeLine("calm", {});
    Clients.stop();
    Machines.calm();
    after(CancelAfterCalm, [this] { Clients.cancelLongRunning(); });
    awaitEnds(std::chrono::steady_clock::now() + MaxCalm);
  }

  void awaitEnds(std::chrono::steady_clock::time_point Limit) {
    if (Clients.open() == 0 || std::chrono::steady_clock::now() >= Limit) {
      Context.stop();
      return;
    }
    after(OpenPause, [this, Limit] { awaitEnds(Limit); });
  }

  boost::asio::io_context &Context;
  const Arguments &Settings;
  Fleet Machines;
  Callers Clients;
  boost::asio::signal_set Stops;
  bool Interrupted = false;
};

/// Prints the lines of all entries that name the job and the task.
void printLines(const Arguments &Settings, const std::string &Task) {
  const std::string Job = Task.substr(0, Task.find('.'));
  const std::string Path =
      Job.size() == Task.size() ? "" : Task.substr(Job.size() + 1);
  std::vector<std::string> Lines;
  for (unsigned I = 0; I < Settings.Fleet.Entries && !Job.empty(); ++I) {
    std::ifstream File(
        fmt::format("{}/entry-{}.log", Settings.Fleet.Folder, I + 1));
    for (std::string Line; std::getline(File, Line);) {
      if (Line.find(Job) != std::string::npos &&
          Line.find(Path) != std::string::npos) {
        Lines.push_back(Line);
      }
    }
  }
  std::sort(Lines.begin(), Lines.end()); // each begins with its time
  for (std::size_t I = 0; I < Lines.size() && I < MaxLinesPerViolation; ++I) {
    fmt::print("    {}\n", Lines[I]);
  }
}

int report(const Arguments &Settings, const SoakRecord &Record) {
  const std::vector<Violation> Found = check(Record);
  std::map<std::string, unsigned> Counts;
  bool Holds = true;
  for (const Violation &One : Found) {
    const std::string Name = ruleName(One.Broken);
    const bool Matters =
        std::find(Settings.SetAside.begin(), Settings.SetAside.end(), Name) ==
        Settings.SetAside.end();
    Holds = Holds && !Matters;
    ++Counts[Matters ? Name : Name + " (set aside)"];
    fmt::print("{}: {}: {}\n", Name, One.Task, One.Text);
    printLines(Settings, One.Task);
  }
  std::size_t Accepted = 0;
  std::map<std::string, unsigned> States;
  for (const JobRecord &Job : Record.Jobs) {
    Accepted += Job.Accepted ? 1 : 0;
    ++States[Job.Accepted ? Job.State : "not accepted"];
  }
  std::string Summary;
  for (const auto &[State, Count] : States) {
    Summary += fmt::format(" {} {},", Count, State);
  }
  std::string Broken;
  for (const auto &[Name, Count] : Counts) {
    Broken += fmt::format(" {} {}", Count, Name);
  }
  fmt::print("seed {}: {} jobs,{} {} runs, violations:{}\n",
             Settings.Fleet.Seed, Record.Jobs.size(), Summary,
             Record.Runs.size(), Broken.empty() ? " 0" : Broken);
  return Holds ? ExitHolds : ExitBroken;
}

int run(const Arguments &Settings) {
  std::filesystem::remove_all(Settings.Fleet.Folder);
  std::filesystem::create_directories(Settings.Fleet.Folder);
  // The driver's own lines go to a file, the verdict to standard output.
  const int Verdict = ::dup(STDOUT_FILENO);
  const std::string Own = Settings.Fleet.Folder + "/driver.jsonl";
  if (std::freopen(Own.c_str(), "w", stdout) == nullptr) {
    throw std::runtime_error(Own + " can't be written");
  }
  SoakRecord Record;
  bool Interrupted = false;
  {
    boost::asio::io_context Context(1);
    Soak Script(Context, Settings);
    Script.start();
    Context.run();
    Interrupted = Script.interrupted();
    Record = Script.finish();
  }
  std::fflush(stdout);
  ::dup2(Verdict, STDOUT_FILENO);
  if (Interrupted) {
    fmt::print("seed {}: stopped\n", Settings.Fleet.Seed);
    return ExitUsage;
  }
  return report(Settings, Record);
}

} // namespace

int main(int ArgumentCount, char **ArgumentTexts) {
  try {
    cxxopts::Options Line = commandLine();
    const cxxopts::ParseResult Parsed =
        Line.parse(ArgumentCount, ArgumentTexts);
    if (Parsed.count("help") > 0) {
      fmt::print("{}", Line.help());
      return ExitHolds;
    }
    return run(argumentsOf(Parsed));
  } catch (const std::exception &Error) {
    fmt::print(stderr, "balsamlatch-soak: {}\n", Error.what());
    return ExitUsage;
  }
}
