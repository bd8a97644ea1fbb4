/// \file
/// Tests of the rules language: parsing, checking and formatting.

#include <boost/test/unit_test.hpp>

#include "balsamlatch/Rules/Grammar.h"
#include "balsamlatch/Rules/Parser.h"

#include <fstream>
#include <random>
#include <sstream>

using namespace balsamlatch;
using namespace std::chrono_literals;

namespace {

std::string exampleText(const std::string &Name) {
  std::ifstream File(std::string(BALSAMLATCH_EXAMPLES) + "/" + Name);
  std::ostringstream Text;
  Text << File.rdbuf();
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
      // A single line lacks the rules it refers to, but must match its form.
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

BOOST_AUTO_TEST_CASE(FindingsAcrossRules) {
  const std::string ValidText = exampleText("brunnengeld.rules");
  struct Case {
    const char *Pattern;
    const char *Replacement;
    const char *Message;
  };
  for (const Case &C : std::initializer_list<Case>{
           {"count-coins in counting", "count-coins in counted",
            ":16:20: error: no pool is named 'counted'"},
           {"within 2s size 1 core 512", "within 2s size 65 cores 512",
            "is larger than any worker of pool counting"},
           {"runs 200ms", "runs 3s", "longer than its deadline of 2s"},
           {"drivers 40 slots", "drivers 41 slots",
            "come to 81 slots, its 10 hosts have 80"},
           {"256 GiB spare #", "256 GiB #", "no spare pool to spill to"},
           {"routes 10 hosts away 2 hosts", "routes 10 hosts away 10 hosts",
            "all 10 hosts of pool routes may be away at once"},
           {"counting 10 hosts away 10%", "counting 9 hosts away 10%",
            "no host of pool counting may be away"},
           {"every 8w from 22h to 4h", "every 1d from 22h to 23h",
            "the windows of one period give 1h"},
           {"owner beat key a87", "owner anna key a87",
            "co-owner anna is given twice"},
           {"owner beat key", "# owner beat key", "1 of two co-owners"},
           {"job tally-crew", "job count-coins", "given twice"},
           {" # Beat, drivers\npool", "\npool", "nobody is named"}}) {
    std::string Text = ValidText;
    Text.replace(Text.find(C.Pattern), std::string(C.Pattern).size(),
                 C.Replacement);
    const std::string Rendered = parseRules("x", Text).Problems.render();
    BOOST_TEST(Rendered.find(C.Message) != std::string::npos,
               C.Message << " in " << Rendered);
  }
}

BOOST_AUTO_TEST_CASE(MutatedTextsNeitherCrashNorChangeByFormatting) {
  std::mt19937 Random(7);
  const std::string Bytes("\t #%\r\n0aé\0\x80\xff", 13);
  const std::string ValidText = exampleText("nile-tread.rules");
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Text = ValidText;
    for (unsigned Edits = Random() % 4 + 1; Edits > 0; --Edits) {
      const std::size_t Position = Random() % Text.size();
      switch (Random() % 4) {
      case 0:
        Text[Position] = Bytes[Random() % Bytes.size()];
        break;
      case 1:
        Text.erase(Position, Random() % 40);
        break;
      case 2:
        Text.insert(Position,
                    Text.substr(Random() % Text.size(), Random() % 60));
        break;
      default:
        Text.insert(Position, 1, Bytes[Random() % Bytes.size()]);
      }
    }
    const ParsedRules Parsed = parseRules("x", Text);
    const std::string Formatted = formatRules(Text);
    const ParsedRules Reparsed = parseRules("x", Formatted);
    BOOST_REQUIRE(Parsed.Problems.hasErrors() == Reparsed.Problems.hasErrors());
    BOOST_REQUIRE((Parsed.Rules == Reparsed.Rules));
    BOOST_REQUIRE(formatRules(Formatted) == Formatted);
    BOOST_REQUIRE(Parsed.Problems.all().size() < 200U);
  }
}
