/// \file
/// The rules text: parsing, checking across rules, and printing.

#ifndef BALSAMLATCH_RULES_PARSER_H
#define BALSAMLATCH_RULES_PARSER_H

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <string>
#include <string_view>

namespace balsamlatch {

/// A parsed text with everything that is wrong with it.
struct ParsedRules {
  /// Holds what could be read; to be used only without errors.
  RuleSet Rules;
  Findings Problems;
};

/// Parses and checks a whole rules text. \p File names it in the findings.
/// Never fails early: all findings are collected.
ParsedRules parseRules(std::string_view File, std::string_view Text);

/// Puts the text into its usual form: single blanks between words, one before
/// the comment, no blank lines at the end. Each line stays on its number, and
/// comments stay as they are. Works on faulty text too.
std::string formatRules(std::string_view Text);

/// Texts up to so many bytes fit the store with their signatures.
inline constexpr std::size_t StoredRulesBytes = 800'000;

/// Largest rules text that is read at all, in bytes.
inline constexpr std::size_t MaxRulesBytes = 4'000'000;

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_PARSER_H
