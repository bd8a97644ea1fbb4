/// \file
/// Tokenizer for one line of the rules text, and a reader that parses its words
/// and reports a finding where they don't match the grammar.

#ifndef BALSAMLATCH_RULES_LINEREADER_H
#define BALSAMLATCH_RULES_LINEREADER_H

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// A token of a line. The text points into the line.
struct RuleWord {
  std::string_view Text;
  /// Column of the first byte, from 1.
  unsigned Column = 0;
};

/// A line split into its words and its comment.
struct RuleLine {
  std::string_view Source;
  unsigned Number = 0;
  std::vector<RuleWord> Words;
  bool HasComment = false;
  /// Without the `#` and the blanks around it.
  std::string_view Comment;
};

/// Splits a line into words; never fails.
RuleLine tokenizeRuleLine(std::string_view Line, unsigned Number);

/// A cursor over the words of a line. After the first error all reads return
/// default values and report nothing, so that callers check hasFailed() only
/// once, at the end.
class LineReader {
public:
  LineReader(const std::string &File, const RuleLine &Line, Findings &Problems);

  /// Reads the next word, which must be \p Word.
  void expectWord(std::string_view Word);
  /// Reads the next word if it is \p Word; returns whether it was.
  bool consumeWord(std::string_view Word);
  /// Reads the next word, which must be one of \p Words; returns its index.
  std::size_t expectChoice(std::initializer_list<std::string_view> Words);
  /// A name of letters, digits, '-', '_' and '.', at most 63 bytes.
  std::string readName(std::string_view Description);
  /// A whole number from 1 to MaxCount, followed by one of two unit words.
  std::uint32_t readCount(std::string_view Singular, std::string_view Plural);
  /// A whole number from 0 to MaxCount.
  std::uint32_t readNumber(std::string_view Description);
  /// A number directly followed by a percent sign, 0% to 100%.
  std::uint32_t readPercent();
  /// `10%` or `3 hosts`.
  AwayBudget readAwayBudget();
  /// `2 cores 1 GiB`, then an optional `1 accelerator`.
  TaskSize readTaskSize();
  /// A duration greater than zero.
  Duration readDuration();
  /// A time of the day, as an offset from midnight.
  Duration readTimeOfDay();
  /// 64 hexadecimal digits, in lower case.
  std::string readPublicKey();
  /// Checks that no word is left.
  void expectEnd();

  bool hasFailed() const { return Failed; }
  /// Column of the word read last.
  unsigned lastColumn() const { return LastColumn; }
  /// Adds an error at \p Column of this line.
  void report(unsigned Column, std::string Message, std::string Remedy);

private:
  /// Reads the next word; empty at the end of the line or after an error.
  std::string_view takeWord();
  /// Like takeWord(), but stays at the word.
  std::string_view peekWord() const;
  /// Adds an error at the last word, unless there was one before.
  void reportFailure(std::string Message);
  std::uint32_t readMemory();
  std::uint32_t readMilliCores();

  const std::string &File;
  const RuleLine &Line;
  Findings &Problems;
  // Index of the next word. Invariant: at most the number of words.
  std::size_t NextIndex = 0;
  unsigned LastColumn = 1;
  bool Failed = false;
};

/// Largest number that a rule may contain.
inline constexpr std::uint32_t MaxCount = 1'000'000;

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_LINEREADER_H
