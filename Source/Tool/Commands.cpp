/// \file
/// Lists all commands, and runs the one that the command line names.

#include "Command.h"

#include "ExplainCommand.h"
#include "FleetCommands.h"
#include "HelpCommand.h"
#include "HistoryCommands.h"
#include "KeygenCommand.h"
#include "ProposeCommands.h"
#include "ReplayCommand.h"
#include "RulesFileCommands.h"
#include "SignCommands.h"
#include "StatusCommand.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Hidden option that collects the positional arguments.
constexpr const char *ArgumentsOption = "arguments";

const Command *findCommand(std::string_view Name) {
  const std::vector<Command> &Commands = allCommands();
  const auto Match = std::find_if(
      Commands.begin(), Commands.end(),
      [&](const Command &Candidate) { return Candidate.Name == Name; });
  return Match == Commands.end() ? nullptr : &*Match;
}

cxxopts::Options makeOptions(const Command &SelectedCommand) {
  cxxopts::Options Options(fmt::format("balsamlatch {}", SelectedCommand.Name),
                           std::string(SelectedCommand.Summary));
  SelectedCommand.AddOptions(Options);
  Options.add_options()("h,help", "Print this help.");
  Options.add_options("positional")(ArgumentsOption, "",
                                    cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({ArgumentsOption});
  Options.positional_help(std::string(SelectedCommand.Arguments));
  return Options;
}

} // namespace

const std::vector<Command> &allCommands() {
  static const std::vector<Command> Commands = {
      checkCommand(),    formatCommand(),  keygenCommand(), initCommand(),
      proposeCommand(),  diffCommand(),    signCommand(),   rejectCommand(),
      withdrawCommand(), logCommand(),     showCommand(),   rollbackCommand(),
      statusCommand(),   explainCommand(), planCommand(),   drainCommand(),
      returnCommand(),   moveCommand(),    haltCommand(),   resumeCommand(),
      replayCommand(),   helpCommand(),
  };
  return Commands;
}

std::vector<std::string>
positionalArguments(const cxxopts::ParseResult &Options) {
  return Options.count(ArgumentsOption) != 0
             ? Options[ArgumentsOption].as<std::vector<std::string>>()
             : std::vector<std::string>();
}

ExitCode runTool(int ArgumentCount, const char *const *ArgumentValues,
                 const ToolIo &Io) {
  const std::string_view Name = ArgumentCount > 1 ? ArgumentValues[1] : "";
  const Command *SelectedCommand =
      findCommand(Name == "--help" ? "help" : Name);
  if (SelectedCommand == nullptr) {
    Io.Err << fmt::format("balsamlatch: no command is named '{}'; "
                          "balsamlatch help lists them\n",
                          Name);
    return ExitCode::Usage;
  }
  cxxopts::Options Options = makeOptions(*SelectedCommand);
  try {
    const cxxopts::ParseResult Parsed =
        Options.parse(ArgumentCount - 1, ArgumentValues + 1);
    if (Parsed.count("help") != 0) {
      Io.Out << Options.help({""});
      return ExitCode::Done;
    }
    return SelectedCommand->Run(Parsed, Io);
  } catch (const cxxopts::exceptions::exception &Error) {
    Io.Err << fmt::format("balsamlatch {}: {}\n", Name, Error.what());
    return ExitCode::Usage;
  }
}

} // namespace balsamlatch
