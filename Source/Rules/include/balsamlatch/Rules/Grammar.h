/// \file
/// The grammar of the rules language as a table. Help texts and the remedies of
/// findings are generated from it.

#ifndef BALSAMLATCH_RULES_GRAMMAR_H
#define BALSAMLATCH_RULES_GRAMMAR_H

#include <array>
#include <string_view>

namespace balsamlatch {

/// One kind of rule, identified by the first word of its line.
struct RuleForm {
  std::string_view Word;
  /// The words of the line in their order; capitals stand for values, square
  /// brackets for what may be left out, a bar for a choice.
  std::string_view Synopsis;
  std::string_view Summary;
  /// A whole line that the parser accepts.
  std::string_view Example;
};

/// All kinds of rules, in the order in which a file usually has them.
inline constexpr std::array<RuleForm, 7> RuleForms = {{
    {"owner", "owner NAME key HEX # WHO-ASKED",
     "One of the two co-owners, with the public key that signs changes.",
     "owner anna key "
     "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a "
     "# Anna, treasury"},
    {"pool",
     "pool NAME N hosts away N%|N hosts worker N cores N GiB "
     "[N accelerators] [spare] # WHO-ASKED",
     "A pool of hosts, how many of them may be away at once, and what one "
     "worker offers.",
     "pool counting 10 hosts away 10% worker 64 cores 256 GiB "
     "# Beat, counting room"},
    {"job",
     "job NAME in POOL prompt|patient within TIME size N cores N GiB "
     "[N accelerators] runs TIME idempotent|once [spills] # WHO-ASKED",
     "A job that a pool carries, its deadline, its declared size and whether "
     "it may run twice.",
     "job count-coins in counting prompt within 2s size 1 core 512 MiB runs "
     "200ms idempotent spills # Beat, drivers"},
    {"quota", "quota TEAM N slots in POOL # WHO-ASKED",
     "The slots of a pool that a team may hold while another team waits.",
     "quota drivers 20 slots in counting # Beat"},
    {"away", "away rack|data-centre N%|N hosts # WHO-ASKED",
     "How many hosts of one rack or data centre may be away at once, planned.",
     "away rack 1 host # Anna"},
    {"maintain",
     "maintain every TIME [from TIME to TIME]... stop N% # WHO-ASKED",
     "How often each host is maintained, at which hours of the day in UTC, "
     "and the share of failures that stops a wave.",
     "maintain every 8w from 22h to 4h stop 25% # Anna"},
    {"weigh", "weigh moves N buffer N # WHO-ASKED",
     "How much one move of a host weighs against one idle host hour.",
     "weigh moves 10 buffer 1 # Brunnengeld"},
}};

/// The form whose first word is \p Word, or null.
constexpr const RuleForm *ruleForm(std::string_view Word) {
  for (const RuleForm &Form : RuleForms) {
    if (Form.Word == Word) {
      return &Form;
    }
  }
  return nullptr;
}

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_GRAMMAR_H
