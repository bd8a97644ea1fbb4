/// \file
/// Parses, checks and formats the rules text.

#ifndef BALSAMLATCH_RULES_PARSER_H
#define BALSAMLATCH_RULES_PARSER_H

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <string>
#include <string_view>

namespace balsamlatch {

/// The rules of a parsed text, and all findings.
struct ParsedRules {
  /// The rules that could be parsed. Use them only if there are no errors.
  RuleSet Rules;
  Findings Problems;
};

/// Parses and checks a whole rules text. \p File names it in the findings.
/// Continues after errors, so that all findings are collected.
ParsedRules parseRules(std::string_view File, std::string_view Text);

/// Formats the text: single blanks between words, one before the comment, no
/// blank lines at the end. Line numbers and the text of comments are preserved.
/// Accepts text with errors.
std::string formatRules(std::string_view Text);

/// Largest rules text, in bytes, that fits into the store with its signatures.
inline constexpr std::size_t MaxStoredRulesBytes = 800'000;

/// Largest rules text that is parsed, in bytes.
inline constexpr std::size_t MaxRulesBytes = 4'000'000;

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_PARSER_H
