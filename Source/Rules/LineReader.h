/// \file
/// Reads one line of the rules text word by word, and reports what it finds
/// in place of what the rule's form asks for.

#ifndef BALSAMLATCH_RULES_LINEREADER_H
#define BALSAMLATCH_RULES_LINEREADER_H

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// A word of a line. The text points into the line.
struct RuleWord {
  std::string_view Text;
  /// Column of the first byte, from 1.
  unsigned Column = 0;
};

/// A line cut into its words and its comment.
struct RuleLine {
  std::string_view Whole;
  unsigned Number = 0;
  std::vector<RuleWord> Words;
  bool HasComment = false;
  /// Without the `#` and the blanks around it.
  std::string_view Comment;
};

/// Cuts a line; never fails.
RuleLine splitRuleLine(std::string_view Line, unsigned Number);

/// A cursor over the words of a line. After the first fault it reports nothing
/// more and hands out default values, so that callers read on without tests.
class LineReader {
public:
  LineReader(const std::string &File, const RuleLine &Line, Findings &Problems);

  /// The next word must be \p Word.
  void word(std::string_view Word);
  /// Takes the next word if it is \p Word.
  bool optionalWord(std::string_view Word);
  /// The next word must be one of \p Words; returns its index.
  std::size_t choice(std::initializer_list<std::string_view> Words);
  /// A name of letters, digits, '-', '_' and '.', at most 63 bytes.
  std::string name(std::string_view What);
  /// A whole number from 1 to \p Most, followed by one of two unit words.
  std::uint32_t count(std::string_view One, std::string_view Many);
  /// A whole number from 0 to MaxCount.
  std::uint32_t number(std::string_view What);
  /// A number directly followed by a percent sign, 0% to 100%.
  std::uint32_t percent();
  /// `10%` or `3 hosts`.
  AwayBudget budget();
  /// `2 cores 1 GiB`, then an optional `1 accelerator`.
  TaskSize size();
  /// A duration greater than zero.
  Duration duration();
  /// A time of the day, as an offset from midnight.
  Duration timeOfDay();
  /// 64 hexadecimal digits, in lower case.
  std::string publicKey();
  /// No word may be left.
  void end();

  bool failed() const { return Failed; }
  /// Column of the word read last.
  unsigned column() const { return LastColumn; }
  /// Reports a fault at \p Column of this line.
  void report(unsigned Column, std::string Message, std::string Remedy);

private:
  /// The next word; empty at the end of the line or after a fault.
  std::string_view take();
  std::string_view peek() const;
  void fail(std::string Message);
  std::uint32_t memory();
  std::uint32_t milliCores();

  const std::string &File;
  const RuleLine &Line;
  Findings &Problems;
  // Invariant: at most the number of words.
  std::size_t Next = 0;
  unsigned LastColumn = 1;
  bool Failed = false;
};

/// Largest number that a rule may hold.
inline constexpr std::uint32_t MaxCount = 1'000'000;

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_LINEREADER_H
