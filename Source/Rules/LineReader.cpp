/// \file
/// Implements the tokenizer of rule lines and the cursor over their words.

#include "LineReader.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Rules/Grammar.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace balsamlatch {

namespace {

constexpr std::size_t MaxNameBytes = 63;
constexpr std::size_t PublicKeyDigits = 64;
constexpr std::uint32_t MilliPerCore = 1000;
constexpr std::uint32_t MiBPerGiB = 1024;
constexpr std::uint32_t MaxPercent = 100;
constexpr Duration Day = std::chrono::hours(24);

bool isBlank(char C) { return C == ' ' || C == '\t' || C == '\r'; }

bool isNameByte(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
}

bool isHexDigit(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && isBlank(Text.front())) {
    Text.remove_prefix(1);
  }
  while (!Text.empty() && isBlank(Text.back())) {
    Text.remove_suffix(1);
  }
  return Text;
}

} // namespace

RuleLine tokenizeRuleLine(std::string_view Line, unsigned Number) {
  RuleLine Tokens;
  Tokens.Source = Line;
  Tokens.Number = Number;
  const std::size_t CommentStart = Line.find('#');
  Tokens.HasComment = CommentStart != std::string_view::npos;
  if (Tokens.HasComment) {
    Tokens.Comment = trim(Line.substr(CommentStart + 1));
  }
  const std::string_view RuleText = Line.substr(0, CommentStart);
  std::size_t Index = 0;
  while (Index < RuleText.size()) {
    if (isBlank(RuleText[Index])) {
      ++Index;
      continue;
    }
    const std::size_t Start = Index;
    while (Index < RuleText.size() && !isBlank(RuleText[Index])) {
      ++Index;
    }
    Tokens.Words.push_back({RuleText.substr(Start, Index - Start),
                            static_cast<unsigned>(Start + 1)});
  }
  return Tokens;
}

LineReader::LineReader(const std::string &FileName, const RuleLine &LineTokens,
                       Findings &FindingList)
    : File(FileName), Line(LineTokens), Problems(FindingList) {}

std::string_view LineReader::peekWord() const {
  if (Failed || NextIndex >= Line.Words.size()) {
    return {};
  }
  return Line.Words[NextIndex].Text;
}

std::string_view LineReader::takeWord() {
  if (Failed) {
    return {};
  }
  if (NextIndex >= Line.Words.size()) {
    if (!Line.Words.empty()) {
      const RuleWord &Last = Line.Words.back();
      LastColumn = Last.Column + static_cast<unsigned>(Last.Text.size());
    }
    return {};
  }
  LastColumn = Line.Words[NextIndex].Column;
  return Line.Words[NextIndex++].Text;
}

void LineReader::report(unsigned Column, std::string Message,
                        std::string Remedy) {
  Problems.add({{File, Line.Number, Column},
                Severity::Error,
                std::move(Message),
                std::move(Remedy),
                std::string(Line.Source)});
}

void LineReader::reportFailure(std::string Message) {
  if (Failed) {
    return;
  }
  Failed = true;
  const RuleForm *Form =
      Line.Words.empty() ? nullptr : ruleForm(Line.Words.front().Text);
  report(LastColumn, std::move(Message),
         Form != nullptr ? fmt::format("write {}", Form->Synopsis) : "");
}

void LineReader::expectWord(std::string_view Word) {
  const std::string_view Text = takeWord();
  if (Text != Word) {
    reportFailure(Text.empty()
                      ? fmt::format("'{}' is missing", Word)
                      : fmt::format("'{}' where '{}' is due", Text, Word));
  }
}

bool LineReader::consumeWord(std::string_view Word) {
  if (peekWord() != Word) {
    return false;
  }
  takeWord();
  return true;
}

std::size_t
LineReader::expectChoice(std::initializer_list<std::string_view> Words) {
  const std::string_view Text = takeWord();
  const auto *const Match = std::find(Words.begin(), Words.end(), Text);
  if (Match == Words.end()) {
    reportFailure(fmt::format("'{}' where '{}' is due", Text,
                              fmt::join(Words, "' or '")));
    return 0;
  }
  return static_cast<std::size_t>(Match - Words.begin());
}

std::string LineReader::readName(std::string_view Description) {
  const std::string_view Text = takeWord();
  if (Text.empty()) {
    reportFailure(fmt::format("the name of the {} is missing", Description));
    return {};
  }
  if (Text.size() > MaxNameBytes ||
      !std::all_of(Text.begin(), Text.end(), isNameByte)) {
    reportFailure(fmt::format(
        "'{}' is not a valid name of a {}: use up to {} letters, digits, "
        "'-', '_' or '.'",
        Text, Description, MaxNameBytes));
    return {};
  }
  return std::string(Text);
}

std::uint32_t LineReader::readNumber(std::string_view Description) {
  const std::string_view Text = takeWord();
  const absl::StatusOr<std::uint64_t> Value = parseNumber(Text);
  if (!Value.ok() || *Value > MaxCount) {
    reportFailure(fmt::format("'{}' where {}, a whole number up to {}, is due",
                              Text, Description, MaxCount));
    return 0;
  }
  return static_cast<std::uint32_t>(*Value);
}

std::uint32_t LineReader::readCount(std::string_view Singular,
                                    std::string_view Plural) {
  const std::uint32_t Value =
      readNumber(fmt::format("the number of {}", Plural));
  if (Value == 0) {
    reportFailure(fmt::format("the number of {} is zero", Plural));
  }
  expectChoice({Plural, Singular});
  return Value;
}

std::uint32_t LineReader::readPercent() {
  const std::string_view Text = takeWord();
  absl::StatusOr<std::uint64_t> Value = absl::InvalidArgumentError("");
  if (!Text.empty() && Text.back() == '%') {
    Value = parseNumber(Text.substr(0, Text.size() - 1));
  }
  if (!Value.ok() || *Value > MaxPercent) {
    reportFailure(
        fmt::format("'{}' where a share from 0% to 100% is due", Text));
    return 0;
  }
  return static_cast<std::uint32_t>(*Value);
}

AwayBudget LineReader::readAwayBudget() {
  if (peekWord().ends_with('%')) {
    return {AwayBudget::Kind::Percent, readPercent()};
  }
  const std::uint32_t Hosts = readNumber("a share such as 10% or a number");
  expectChoice({"hosts", "host"});
  return {AwayBudget::Kind::Hosts, Hosts};
}

std::uint32_t LineReader::readMilliCores() {
  const std::string_view Text = takeWord();
  const std::size_t DotPosition = Text.find('.');
  const absl::StatusOr<std::uint64_t> WholeCores =
      parseNumber(Text.substr(0, DotPosition));
  std::uint64_t Milli = 0;
  bool IsValid = WholeCores.ok() && *WholeCores <= MaxCount;
  if (IsValid && DotPosition != std::string_view::npos) {
    std::string Digits(Text.substr(DotPosition + 1));
    IsValid = !Digits.empty() && Digits.size() <= 3;
    Digits.resize(3, '0');
    const absl::StatusOr<std::uint64_t> Fraction = parseNumber(Digits);
    IsValid = IsValid && Fraction.ok();
    Milli = IsValid ? *Fraction : 0;
  }
  Milli += IsValid ? *WholeCores * MilliPerCore : 0;
  if (!IsValid || Milli == 0) {
    reportFailure(fmt::format(
        "'{}' where a number of cores such as 2 or 0.5 is due", Text));
    return 0;
  }
  expectChoice({"cores", "core"});
  return static_cast<std::uint32_t>(Milli);
}

std::uint32_t LineReader::readMemory() {
  const std::uint32_t Amount = readNumber("an amount of memory");
  const bool IsGiB = expectChoice({"GiB", "MiB"}) == 0;
  return IsGiB ? Amount * MiBPerGiB : Amount;
}

TaskSize LineReader::readTaskSize() {
  TaskSize Size;
  Size.MilliCores = readMilliCores();
  Size.MemoryMiB = readMemory();
  // A digit here can only start a number of accelerators: no word that may
  // follow a size starts with one.
  if (!peekWord().empty() && peekWord().front() >= '0' &&
      peekWord().front() <= '9') {
    Size.Accelerators = readCount("accelerator", "accelerators");
  }
  return Size;
}

Duration LineReader::readDuration() {
  const std::string_view Text = takeWord();
  const absl::StatusOr<Duration> Value = parseDuration(Text);
  if (!Value.ok()) {
    reportFailure(std::string(Value.status().message()));
    return {};
  }
  if (*Value == Duration::zero()) {
    reportFailure(fmt::format("the duration '{}' is zero", Text));
  }
  return *Value;
}

Duration LineReader::readTimeOfDay() {
  const std::string_view Text = takeWord();
  const absl::StatusOr<Duration> Value = parseDuration(Text);
  if (!Value.ok() || *Value > Day) {
    reportFailure(
        fmt::format("'{}' where a time of the day such as 22h is due", Text));
    return {};
  }
  return *Value;
}

std::string LineReader::readPublicKey() {
  const std::string_view Text = takeWord();
  if (Text.size() != PublicKeyDigits ||
      !std::all_of(Text.begin(), Text.end(), isHexDigit)) {
    reportFailure(
        fmt::format("'{}' where a public key of {} digits 0-9 and a-f is due",
                    Text, PublicKeyDigits));
    return {};
  }
  return std::string(Text);
}

void LineReader::expectEnd() {
  const std::string_view Text = takeWord();
  if (!Text.empty()) {
    reportFailure(fmt::format("'{}' where the line should end", Text));
  }
}

} // namespace balsamlatch
