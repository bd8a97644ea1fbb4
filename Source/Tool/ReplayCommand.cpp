/// \file
/// Implements the command line, the file access and the output of `replay`.

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
  cxxopts::OptionAdder AddOption = Options.add_options();
  AddOption("rules", "Rules file.", cxxopts::value<std::string>(), "FILE");
  AddOption("policy", "slot-grants, two-random-choices or round-robin.",
            cxxopts::value<std::string>()->default_value("slot-grants"),
            "NAME");
  AddOption("seed", "Seed of the engines, or of the generated trace.",
            cxxopts::value<std::uint64_t>()->default_value("1"), "N");
  AddOption("json", "Print one JSON object.");
  AddOption("time", "Also print the processor time of a decision.");
  AddOption("generate", "Print a trace of this length for the rules instead.",
            cxxopts::value<unsigned>(), "SECONDS");
  AddOption("fault-pairs", "Pairs of faults in a generated trace.",
            cxxopts::value<unsigned>()->default_value("0"), "N");
}

std::optional<placement::Policy> parsePolicy(const std::string &Name) {
  const std::map<std::string, placement::Policy> Policies{
      {"slot-grants", placement::Policy::SlotGrants},
      {"two-random-choices", placement::Policy::TwoRandomChoices},
      {"round-robin", placement::Policy::RoundRobin}};
  const auto Match = Policies.find(Name);
  return Match == Policies.end() ? std::nullopt : std::optional(Match->second);
}

ExitCode printUsageError(const ToolIo &Io, const std::string &Message) {
  Io.Err << "balsamlatch replay: " << Message << "\n";
  return ExitCode::Usage;
}

ExitCode replayTrace(const cxxopts::ParseResult &Options,
                     const RuleSetPtr &Rules, const ToolIo &Io) {
  const std::vector<std::string> Arguments = positionalArguments(Options);
  const std::optional<placement::Policy> SelectedPolicy =
      parsePolicy(Options["policy"].as<std::string>());
  if (Arguments.size() != 1 || !SelectedPolicy) {
    return printUsageError(
        Io, SelectedPolicy ? "name one trace file"
                           : "--policy is slot-grants, two-random-choices or "
                             "round-robin");
  }
  const absl::StatusOr<std::string> Text = readFile(Arguments.front());
  if (!Text.ok()) {
    return printUsageError(Io, "can't read " + Arguments.front());
  }
  const replay::Trace ParsedTrace =
      replay::parseTrace(Arguments.front(), *Text);
  if (ParsedTrace.Problems.hasErrors()) {
    Io.Err << ParsedTrace.Problems.render();
    return ExitCode::Refused;
  }
  const replay::Report Result =
      replay::replay(ParsedTrace.Lines, Rules,
                     {*SelectedPolicy, Options["seed"].as<std::uint64_t>(),
                      Options.count("time") > 0});
  Io.Out << (Options.count("json") > 0 ? replay::printReportJson(Result)
                                       : replay::printReport(Result));
  return Result.Breaches.empty() ? ExitCode::Done : ExitCode::Refused;
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  if (Options.count("rules") == 0) {
    return printUsageError(Io, "name the rules file with --rules");
  }
  const std::string Path = Options["rules"].as<std::string>();
  const absl::StatusOr<std::string> Text = readFile(Path);
  if (!Text.ok()) {
    return printUsageError(Io, "can't read " + Path);
  }
  const ParsedRules RulesFile = parseRules(Path, *Text);
  if (RulesFile.Problems.hasErrors()) {
    Io.Err << RulesFile.Problems.render();
    return ExitCode::Refused;
  }
  const auto Rules = std::make_shared<const RuleSet>(RulesFile.Rules);
  if (Options.count("generate") == 0) {
    return replayTrace(Options, Rules, Io);
  }
  replay::LoadShape Load;
  Load.Seed = Options["seed"].as<std::uint64_t>();
  Load.Length = std::chrono::seconds(Options["generate"].as<unsigned>());
  Load.FaultPairs = Options["fault-pairs"].as<unsigned>();
  Io.Out << replay::printTrace(replay::generate(*Rules, Load));
  return ExitCode::Done;
}

} // namespace

Command replayCommand() {
  return {"replay", "Feeds a recorded trace through the placement engine.",
          "TRACE", addOptions, run};
}

} // namespace balsamlatch
