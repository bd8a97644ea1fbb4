/// \file
/// The command `help`.

#include "HelpCommand.h"

#include "balsamlatch/Rules/Grammar.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

void addOptions(cxxopts::Options &Options) {
  Options.add_options()("json", "Print JSON.");
}

boost::json::object formJson(const RuleForm &Form) {
  return {{"rule", Form.Word},
          {"synopsis", Form.Synopsis},
          {"summary", Form.Summary},
          {"example", Form.Example}};
}

void printForm(const RuleForm &Form, std::ostream &Out) {
  Out << fmt::format("{}\n\n  {}\n\nFor example:\n\n  {}\n", Form.Summary,
                     Form.Synopsis, Form.Example);
}

void printListing(std::ostream &Out) {
  Out << "Commands:\n";
  for (const Command &C : allCommands()) {
    Out << fmt::format("  {:<10}{}\n", C.Name, C.Summary);
  }
  Out << "\nRules (balsamlatch help RULE shows the form of one):\n";
  for (const RuleForm &Form : RuleForms) {
    Out << fmt::format("  {:<10}{}\n", Form.Word, Form.Summary);
  }
}

boost::json::object listingJson() {
  boost::json::array Commands;
  for (const Command &C : allCommands()) {
    Commands.push_back(
        boost::json::object{{"command", C.Name}, {"summary", C.Summary}});
  }
  boost::json::array Rules;
  for (const RuleForm &Form : RuleForms) {
    Rules.push_back(formJson(Form));
  }
  return {{"commands", std::move(Commands)}, {"rules", std::move(Rules)}};
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const std::vector<std::string> Words = positionalArguments(Options);
  const bool Json = Options.count("json") != 0;
  if (Words.empty()) {
    if (Json) {
      Io.Out << boost::json::serialize(listingJson()) << '\n';
    } else {
      printListing(Io.Out);
    }
    return ExitCode::Done;
  }
  const RuleForm *Form = ruleForm(Words.front());
  if (Form == nullptr) {
    Io.Err << fmt::format("balsamlatch help: no rule is named '{}'\n",
                          Words.front());
    return ExitCode::Usage;
  }
  if (Json) {
    Io.Out << boost::json::serialize(formJson(*Form)) << '\n';
  } else {
    printForm(*Form, Io.Out);
  }
  return ExitCode::Done;
}

} // namespace

Command helpCommand() {
  return {"help", "Lists commands and rules, or shows a rule's form.", "[RULE]",
          addOptions, run};
}

} // namespace balsamlatch
