/// \file
/// Implements the commands `check` and `fmt`.

#include "RulesFileCommands.h"
#include "StatusText.h"

#include "ToolFiles.h"

#include "balsamlatch/Rules/Parser.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// The path of the one rules file that the command line names; a usage error
/// otherwise.
absl::StatusOr<std::string> rulesFilePath(const cxxopts::ParseResult &Options) {
  const std::vector<std::string> Arguments = positionalArguments(Options);
  if (Arguments.size() != 1) {
    return usageError("name one rules file");
  }
  return Arguments.front();
}

ExitCode reportError(const ToolIo &Io, std::string_view Name,
                     const absl::Status &Status) {
  Io.Err << fmt::format("balsamlatch {}: {}\n", Name, messageOf(Status));
  return isUsageError(Status) ? ExitCode::Usage : ExitCode::Refused;
}

void addCheckOptions(cxxopts::Options &Options) {
  Options.add_options()("json", "Print JSON.");
}

ExitCode runCheck(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::string> Path = rulesFilePath(Options);
  const absl::StatusOr<std::string> Text =
      Path.ok() ? readFile(*Path) : Path.status();
  if (!Text.ok()) {
    return reportError(Io, "check", Text.status());
  }
  const ParsedRules RulesFile = parseRules(*Path, *Text);
  const bool HasErrors = RulesFile.Problems.hasErrors();
  if (Options.count("json") != 0) {
    Io.Out << boost::json::serialize(boost::json::object{
                  {"good", !HasErrors},
                  {"findings", findingsJson(RulesFile.Problems)}})
           << '\n';
  } else {
    Io.Err << RulesFile.Problems.render();
  }
  return HasErrors ? ExitCode::Refused : ExitCode::Done;
}

void addFormatOptions(cxxopts::Options &Options) {
  Options.add_options()("check",
                        "Only tell by the exit code whether the file is in "
                        "its usual form.")("write", "Change the file.");
}

ExitCode runFormat(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::string> Path = rulesFilePath(Options);
  const absl::StatusOr<std::string> Text =
      Path.ok() ? readFile(*Path) : Path.status();
  if (!Text.ok()) {
    return reportError(Io, "fmt", Text.status());
  }
  const std::string FormattedText = formatRules(*Text);
  if (Options.count("check") != 0) {
    return FormattedText == *Text ? ExitCode::Done : ExitCode::Refused;
  }
  if (Options.count("write") == 0) {
    Io.Out << FormattedText;
    return ExitCode::Done;
  }
  const absl::Status WriteStatus = FormattedText == *Text
                                       ? absl::OkStatus()
                                       : writeFile(*Path, FormattedText);
  return WriteStatus.ok() ? ExitCode::Done
                          : reportError(Io, "fmt", WriteStatus);
}

} // namespace

Command checkCommand() {
  return {"check", "Checks a rules file and shows all findings.", "FILE",
          addCheckOptions, runCheck};
}

Command formatCommand() {
  return {"fmt", "Prints a rules file in its usual form.", "FILE",
          addFormatOptions, runFormat};
}

} // namespace balsamlatch
