/// \file
/// The interface of a command of the `balsamlatch` tool. Each command is
/// defined by a function that returns a Command; allCommands() lists these
/// functions.

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

/// Exit codes of the tool.
enum class ExitCode : int {
  Done = 0,
  /// The input has errors, or the request was refused.
  Refused = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The store or an entry sent no reply, or the outcome of a write is unknown.
  Unavailable = 3,
};

/// Output streams, store and clock of a command; tests substitute them.
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
  /// Synopsis of the positional arguments, such as `FILE`; empty if there are
  /// none.
  std::string_view Arguments;
  /// Adds the command's options; positional arguments go to "arguments".
  void (*AddOptions)(cxxopts::Options &Options);
  ExitCode (*Run)(const cxxopts::ParseResult &Options, const ToolIo &Io);
};

/// All commands, in the order of the help listing.
const std::vector<Command> &allCommands();

/// The positional arguments of the command.
std::vector<std::string>
positionalArguments(const cxxopts::ParseResult &Options);

/// Runs the command named by the first argument with the rest of the command
/// line. \p ArgumentValues starts with the program's name, as in main().
ExitCode runTool(int ArgumentCount, const char *const *ArgumentValues,
                 const ToolIo &Io);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_COMMAND_H
