/// \file
/// Arguments, files and output of the command `replay`.

#include "ReplayCommand.h"

#include "ToolFiles.h"

#include "balsamlatch/Replay/Generator.h"
#include "balsamlatch/Replay/Replay.h"
#include "balsamlatch/Rules/Parser.h"

#include <map>
#include <memory>
#include <optional>

namespace balsamlatch {

namespace {

void addOptions(cxxopts::Options &Options) {
  cxxopts::OptionAdder Add = Options.add_options();
  Add("rules", "Rules file.", cxxopts::value<std::string>(), "FILE");
  Add("policy", "slot-grants, two-random-choices or round-robin.",
      cxxopts::value<std::string>()->default_value("slot-grants"), "NAME");
  Add("seed", "Seed of the engines, or of the generated trace.",
      cxxopts::value<std::uint64_t>()->default_value("1"), "N");
  Add("json", "Print one JSON object.");
  Add("time", "Also print the processor time of a decision.");
  Add("generate", "Print a trace of this length for the rules instead.",
      cxxopts::value<unsigned>(), "SECONDS");
  Add("fault-pairs", "Pairs of faults in a generated trace.",
      cxxopts::value<unsigned>()->default_value("0"), "N");
}

std::optional<placement::Policy> policyOf(const std::string &Name) {
  const std::map<std::string, placement::Policy> Known{
      {"slot-grants", placement::Policy::SlotGrants},
      {"two-random-choices", placement::Policy::TwoRandomChoices},
      {"round-robin", placement::Policy::RoundRobin}};
  const auto Found = Known.find(Name);
  return Found == Known.end() ? std::nullopt : std::optional(Found->second);
}

ExitCode usage(const ToolIo &Io, const std::string &What) {
  Io.Err << "balsamlatch replay: " << What << "\n";
  return ExitCode::Usage;
}

ExitCode replayTrace(const cxxopts::ParseResult &Given, const RuleSetPtr &Rules,
                     const ToolIo &Io) {
  const std::vector<std::string> Words = positionalArguments(Given);
  const std::optional<placement::Policy> Choice =
      policyOf(Given["policy"].as<std::string>());
  if (Words.size() != 1 || !Choice) {
    return usage(Io, Choice ? "name one trace file"
                            : "--policy is slot-grants, two-random-choices or "
                              "round-robin");
  }
  const absl::StatusOr<std::string> Text = readFile(Words.front());
  if (!Text.ok()) {
    return usage(Io, "can't read " + Words.front());
  }
  const replay::Trace Read = replay::parseTrace(Words.front(), *Text);
  if (Read.Problems.hasErrors()) {
    Io.Err << Read.Problems.render();
    return ExitCode::Refused;
  }
  const replay::Report Result = replay::replay(
      Read.Lines, Rules,
      {*Choice, Given["seed"].as<std::uint64_t>(), Given.count("time") > 0});
  Io.Out << (Given.count("json") > 0 ? replay::printReportJson(Result)
                                     : replay::printReport(Result));
  return Result.Breaches.empty() ? ExitCode::Done : ExitCode::Refused;
}

ExitCode run(const cxxopts::ParseResult &Given, const ToolIo &Io) {
  if (Given.count("rules") == 0) {
    return usage(Io, "name the rules file with --rules");
  }
  const std::string Path = Given["rules"].as<std::string>();
  const absl::StatusOr<std::string> Text = readFile(Path);
  if (!Text.ok()) {
    return usage(Io, "can't read " + Path);
  }
  const ParsedRules Parsed = parseRules(Path, *Text);
  if (Parsed.Problems.hasErrors()) {
    Io.Err << Parsed.Problems.render();
    return ExitCode::Refused;
  }
  const auto Rules = std::make_shared<const RuleSet>(Parsed.Rules);
  if (Given.count("generate") == 0) {
    return replayTrace(Given, Rules, Io);
  }
  replay::LoadShape Shape;
  Shape.Seed = Given["seed"].as<std::uint64_t>();
  Shape.Length = std::chrono::seconds(Given["generate"].as<unsigned>());
  Shape.FaultPairs = Given["fault-pairs"].as<unsigned>();
  Io.Out << replay::printTrace(replay::generate(*Rules, Shape));
  return ExitCode::Done;
}

} // namespace

Command replayCommand() {
  return {"replay", "Feeds a recorded trace through the placement engine.",
          "TRACE", addOptions, run};
}

} // namespace balsamlatch
