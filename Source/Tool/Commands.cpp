/// \file
/// The list of commands, and the choice among them.

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

constexpr const char *ArgumentsOption = "arguments";

const Command *findCommand(std::string_view Name) {
  const std::vector<Command> &All = allCommands();
  const auto Found = std::find_if(
      All.begin(), All.end(), [&](const Command &C) { return C.Name == Name; });
  return Found == All.end() ? nullptr : &*Found;
}

cxxopts::Options optionsOf(const Command &Chosen) {
  cxxopts::Options Options(fmt::format("balsamlatch {}", Chosen.Name),
                           std::string(Chosen.Summary));
  Chosen.AddOptions(Options);
  Options.add_options()("h,help", "Print this help.");
  Options.add_options("positional")(ArgumentsOption, "",
                                    cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({ArgumentsOption});
  Options.positional_help(std::string(Chosen.Arguments));
  return Options;
}

} // namespace

const std::vector<Command> &allCommands() {
  static const std::vector<Command> All = {
      checkCommand(),    formatCommand(),  keygenCommand(), initCommand(),
      proposeCommand(),  diffCommand(),    signCommand(),   rejectCommand(),
      withdrawCommand(), logCommand(),     showCommand(),   rollbackCommand(),
      statusCommand(),   explainCommand(), planCommand(),   drainCommand(),
      returnCommand(),   moveCommand(),    haltCommand(),   resumeCommand(),
      replayCommand(),   helpCommand(),
  };
  return All;
}

std::vector<std::string>
positionalArguments(const cxxopts::ParseResult &Options) {
  return Options.count(ArgumentsOption) != 0
             ? Options[ArgumentsOption].as<std::vector<std::string>>()
             : std::vector<std::string>();
}

ExitCode runTool(int Count, const char *const *Words, const ToolIo &Io) {
  const std::string_view Name = Count > 1 ? Words[1] : "";
  const Command *Chosen = findCommand(Name == "--help" ? "help" : Name);
  if (Chosen == nullptr) {
    Io.Err << fmt::format("balsamlatch: no command is named '{}'; "
                          "balsamlatch help lists them\n",
                          Name);
    return ExitCode::Usage;
  }
  cxxopts::Options Options = optionsOf(*Chosen);
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Count - 1, Words + 1);
    if (Parsed.count("help") != 0) {
      Io.Out << Options.help({""});
      return ExitCode::Done;
    }
    return Chosen->Run(Parsed, Io);
  } catch (const cxxopts::exceptions::exception &Fault) {
    Io.Err << fmt::format("balsamlatch {}: {}\n", Name, Fault.what());
    return ExitCode::Usage;
  }
}

} // namespace balsamlatch
