/// \file
/// Implements the command `help`.

#include "HelpCommand.h"

#include "balsamlatch/Rules/Grammar.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

void addOptions(cxxopts::Options &Options) {
  Options.add_options()("json", "Print JSON.");
}

boost::json::object ruleFormJson(const RuleForm &Form) {
  return {{"rule", Form.Word},
          {"synopsis", Form.Synopsis},
          {"summary", Form.Summary},
          {"example", Form.Example}};
}

void printRuleForm(const RuleForm &Form, std::ostream &Out) {
  Out << fmt::format("{}\n\n  {}\n\nFor example:\n\n  {}\n", Form.Summary,
                     Form.Synopsis, Form.Example);
}

void printListing(std::ostream &Out) {
  Out << "Commands:\n";
  for (const Command &Entry : allCommands()) {
    Out << fmt::format("  {:<10}{}\n", Entry.Name, Entry.Summary);
  }
  Out << "\nRules (balsamlatch help RULE shows the form of one):\n";
  for (const RuleForm &Form : RuleForms) {
    Out << fmt::format("  {:<10}{}\n", Form.Word, Form.Summary);
  }
}

boost::json::object listingJson() {
  boost::json::array Commands;
  for (const Command &Entry : allCommands()) {
    Commands.push_back(boost::json::object{{"command", Entry.Name},
                                           {"summary", Entry.Summary}});
  }
  boost::json::array Rules;
  for (const RuleForm &Form : RuleForms) {
    Rules.push_back(ruleFormJson(Form));
  }
  return {{"commands", std::move(Commands)}, {"rules", std::move(Rules)}};
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const std::vector<std::string> Arguments = positionalArguments(Options);
  const bool PrintJson = Options.count("json") != 0;
  if (Arguments.empty()) {
    if (PrintJson) {
      Io.Out << boost::json::serialize(listingJson()) << '\n';
    } else {
      printListing(Io.Out);
    }
    return ExitCode::Done;
  }
  const RuleForm *Form = ruleForm(Arguments.front());
  if (Form == nullptr) {
    Io.Err << fmt::format("balsamlatch help: no rule is named '{}'\n",
                          Arguments.front());
    return ExitCode::Usage;
  }
  if (PrintJson) {
    Io.Out << boost::json::serialize(ruleFormJson(*Form)) << '\n';
  } else {
    printRuleForm(*Form, Io.Out);
  }
  return ExitCode::Done;
}

} // namespace

Command helpCommand() {
  return {"help", "Lists commands and rules, or shows a rule's form.", "[RULE]",
          addOptions, run};
}

} // namespace balsamlatch
