/// \file
/// Arguments, files and output of `balsamlatch replay`.

#include "balsamlatch/Replay/ReplayCommand.h"

#include "balsamlatch/Replay/Generator.h"
#include "balsamlatch/Replay/Replay.h"
#include "balsamlatch/Rules/Parser.h"

#include <cxxopts.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>

namespace balsamlatch::replay {

namespace {

constexpr int ExitBroken = 1;
constexpr int ExitUnusable = 2;

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In) {
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

cxxopts::Options describe() {
  cxxopts::Options Options("balsamlatch replay",
                           "Feeds a recorded trace through the placement "
                           "engine.");
  Options.positional_help("TRACE");
  Options.add_options()("trace", "trace file", cxxopts::value<std::string>())(
      "rules", "rules file", cxxopts::value<std::string>())(
      "policy", "slot-grants, two-random-choices or round-robin",
      cxxopts::value<std::string>()->default_value("slot-grants"))(
      "seed", "seed of the engines",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "json", "print one JSON object")(
      "time", "also print the processor time of a decision")(
      "generate", "print a trace for the rules instead; its length in seconds",
      cxxopts::value<unsigned>())(
      "fault-pairs", "pairs of faults in a generated trace",
      cxxopts::value<unsigned>()->default_value("0"));
  Options.parse_positional({"trace"});
  return Options;
}

std::optional<placement::Policy> policyOf(const std::string &Name) {
  const std::map<std::string, placement::Policy> Known{
      {"slot-grants", placement::Policy::SlotGrants},
      {"two-random-choices", placement::Policy::TwoRandomChoices},
      {"round-robin", placement::Policy::RoundRobin}};
  const auto Found = Known.find(Name);
  return Found == Known.end() ? std::nullopt : std::optional(Found->second);
}

int unusable(std::ostream &Errors, const std::string &What) {
  Errors << "balsamlatch replay: " << What << "\n";
  return ExitUnusable;
}

int replayFile(const cxxopts::ParseResult &Given, const RuleSetPtr &Rules,
               std::ostream &Out, std::ostream &Errors) {
  if (Given.count("trace") == 0) {
    return unusable(Errors, "name the trace file");
  }
  const std::string Path = Given["trace"].as<std::string>();
  const std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    return unusable(Errors, "can't read " + Path);
  }
  const Trace Read = parseTrace(Path, *Text);
  if (Read.Problems.hasErrors()) {
    Errors << Read.Problems.render();
    return ExitUnusable;
  }
  const std::optional<placement::Policy> Choice =
      policyOf(Given["policy"].as<std::string>());
  if (!Choice) {
    return unusable(Errors, "--policy is slot-grants, two-random-choices or "
                            "round-robin");
  }
  const ReplayOptions Options{*Choice, Given["seed"].as<std::uint64_t>(),
                              Given.count("time") > 0};
  const Report Result = replay(Read.Lines, Rules, Options);
  Out << (Given.count("json") > 0 ? printReportJson(Result)
                                  : printReport(Result));
  return Result.Breaches.empty() ? 0 : ExitBroken;
}

int run(const cxxopts::ParseResult &Given, std::ostream &Out,
        std::ostream &Errors) {
  if (Given.count("rules") == 0) {
    return unusable(Errors, "name the rules file with --rules");
  }
  const std::string Path = Given["rules"].as<std::string>();
  const std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    return unusable(Errors, "can't read " + Path);
  }
  const ParsedRules Parsed = parseRules(Path, *Text);
  if (Parsed.Problems.hasErrors()) {
    Errors << Parsed.Problems.render();
    return ExitUnusable;
  }
  const auto Rules = std::make_shared<const RuleSet>(Parsed.Rules);
  if (Given.count("generate") > 0) {
    LoadShape Shape;
    Shape.Seed = Given["seed"].as<std::uint64_t>();
    Shape.Length = std::chrono::seconds(Given["generate"].as<unsigned>());
    Shape.FaultPairs = Given["fault-pairs"].as<unsigned>();
    Out << printTrace(generate(*Rules, Shape));
    return 0;
  }
  return replayFile(Given, Rules, Out, Errors);
}

} // namespace

int runReplay(const std::vector<std::string> &Arguments, std::ostream &Out,
              std::ostream &Errors) {
  std::vector<const char *> Argv{"replay"};
  for (const std::string &Argument : Arguments) {
    Argv.push_back(Argument.c_str());
  }
  try {
    return run(describe().parse(static_cast<int>(Argv.size()), Argv.data()),
               Out, Errors);
  } catch (const cxxopts::exceptions::exception &Bad) {
    return unusable(Errors, Bad.what());
  }
}

} // namespace balsamlatch::replay
