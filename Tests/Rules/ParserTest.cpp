/// \file
/// Tests of the rules language: parsing, checking and formatting.

#include <boost/test/unit_test.hpp>

#include "balsamlatch/Rules/Grammar.h"
#include "balsamlatch/Rules/Parser.h"

#include <fstream>
#include <sstream>

using namespace balsamlatch;
using namespace std::chrono_literals;

namespace {

std::string exampleText(const std::string &Name) {
  std::ifstream In(std::string(BALSAMLATCH_EXAMPLES) + "/" + Name);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(ExamplesHaveNoFindings) {
  for (const char *Name : {"brunnengeld.rules", "nile-tread.rules"}) {
    const std::string Text = exampleText(Name);
    const ParsedRules Parsed = parseRules(Name, Text);
    BOOST_TEST(Parsed.Problems.render() == "");
    BOOST_TEST(Parsed.Rules.Pools.size() == 5U);
    BOOST_TEST(formatRules(Text) == Text);
  }
}

BOOST_AUTO_TEST_CASE(EachExampleOfTheGrammarParses) {
  for (const RuleForm &Form : RuleForms) {
    const ParsedRules Parsed = parseRules("x", Form.Example);
    for (const Finding &F : Parsed.Problems.all()) {
      // A line alone lacks the others, but its own form is right.
      BOOST_TEST(F.Remedy.find("write ") == std::string::npos, Form.Word);
    }
  }
}

BOOST_AUTO_TEST_CASE(ValuesAreRead) {
  const ParsedRules Parsed = parseRules("x", exampleText("brunnengeld.rules"));
  const JobRule *Job = Parsed.Rules.job(JobName("tally-crew"));
  BOOST_REQUIRE(Job != nullptr);
  BOOST_TEST((Job->Size == TaskSize{500, 256, 0}));
  BOOST_TEST((Job->Deadline == 3s && Job->RunTime == 100ms));
  BOOST_TEST((Job->Idempotent && Job->MaySpill));
  BOOST_TEST(Job->Origin.AskedBy == "Beat, drivers");
  BOOST_TEST(Job->Origin.Line == 17U);
  BOOST_TEST(!Parsed.Rules.job(JobName("bank-deposit"))->Idempotent);
  BOOST_TEST(Parsed.Rules.pool(PoolName("spare"))->Spare);
  BOOST_TEST((Parsed.Rules.Maintenance.Windows ==
              std::vector<DailyWindow>{{22h, 4h}}));
  BOOST_TEST(Parsed.Rules.Weights.Moves == 10U);
}
