/// \file
/// The tool's commands. A command is a file pair that fills a Command; adding
/// one adds a line to Commands.cpp.

#ifndef BALSAMLATCH_TOOL_COMMAND_H
#define BALSAMLATCH_TOOL_COMMAND_H

#include "StoreCaller.h"

#include <absl/status/statusor.h>
#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// Exit codes of every command.
enum class ExitCode : int {
  Done = 0,
  /// The input has errors, or what was asked for is refused.
  Refused = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The store gave no answer, or the outcome of a write isn't known.
  Unavailable = 3,
};

/// What a command may touch besides the files that it is given.
struct ToolIo {
  std::ostream &Out;
  std::ostream &Err;
  /// Opens the store at `IP:PORT`.
  std::function<absl::StatusOr<std::unique_ptr<StoreCaller>>(
      const std::string &)>
      OpenStore;
  /// Seconds since 1970 UTC.
  std::function<std::uint64_t()> Now;
};

/// One command of the tool.
struct Command {
  std::string_view Name;
  std::string_view Summary;
  /// Words after the name, such as `FILE`; empty without.
  std::string_view Arguments;
  /// Adds the command's options; positional arguments go to "arguments".
  void (*AddOptions)(cxxopts::Options &Options);
  ExitCode (*Run)(const cxxopts::ParseResult &Options, const ToolIo &Io);
};

/// All commands, in the order of the help listing.
const std::vector<Command> &allCommands();

/// The words after the command's name.
std::vector<std::string>
positionalArguments(const cxxopts::ParseResult &Options);

/// Finds the command named by the first word, parses the others and runs it.
ExitCode runTool(int Count, const char *const *Words, const ToolIo &Io);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_COMMAND_H
