/// \file
/// The cursor over the words of a rule's line.

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

RuleLine splitRuleLine(std::string_view Line, unsigned Number) {
  RuleLine Split;
  Split.Whole = Line;
  Split.Number = Number;
  const std::size_t Hash = Line.find('#');
  Split.HasComment = Hash != std::string_view::npos;
  if (Split.HasComment) {
    Split.Comment = trim(Line.substr(Hash + 1));
  }
  const std::string_view Code = Line.substr(0, Hash);
  std::size_t At = 0;
  while (At < Code.size()) {
    if (isBlank(Code[At])) {
      ++At;
      continue;
    }
    const std::size_t Start = At;
    while (At < Code.size() && !isBlank(Code[At])) {
      ++At;
    }
    Split.Words.push_back(
        {Code.substr(Start, At - Start), static_cast<unsigned>(Start + 1)});
  }
  return Split;
}

LineReader::LineReader(const std::string &FileName, const RuleLine &RuleText,
                       Findings &All)
    : File(FileName), Line(RuleText), Problems(All) {}

std::string_view LineReader::peek() const {
  if (Failed || Next >= Line.Words.size()) {
    return {};
  }
  return Line.Words[Next].Text;
}

std::string_view LineReader::take() {
  if (Failed) {
    return {};
  }
  if (Next >= Line.Words.size()) {
    if (!Line.Words.empty()) {
      const RuleWord &Last = Line.Words.back();
      LastColumn = Last.Column + static_cast<unsigned>(Last.Text.size());
    }
    return {};
  }
  LastColumn = Line.Words[Next].Column;
  return Line.Words[Next++].Text;
}

void LineReader::report(unsigned Column, std::string Message,
                        std::string Remedy) {
  Problems.add({{File, Line.Number, Column},
                Severity::Error,
                std::move(Message),
                std::move(Remedy),
                std::string(Line.Whole)});
}

void LineReader::fail(std::string Message) {
  if (Failed) {
    return;
  }
  Failed = true;
  const RuleForm *Form =
      Line.Words.empty() ? nullptr : ruleForm(Line.Words.front().Text);
  report(LastColumn, std::move(Message),
         Form != nullptr ? fmt::format("write {}", Form->Synopsis) : "");
}

void LineReader::word(std::string_view Word) {
  const std::string_view Text = take();
  if (Text != Word) {
    fail(Text.empty() ? fmt::format("'{}' is missing", Word)
                      : fmt::format("'{}' where '{}' is due", Text, Word));
  }
}

bool LineReader::optionalWord(std::string_view Word) {
  if (peek() != Word) {
    return false;
  }
  take();
  return true;
}

std::size_t LineReader::choice(std::initializer_list<std::string_view> Words) {
  const std::string_view Text = take();
  const auto *const Found = std::find(Words.begin(), Words.end(), Text);
  if (Found == Words.end()) {
    fail(fmt::format("'{}' where '{}' is due", Text,
                     fmt::join(Words, "' or '")));
    return 0;
  }
  return static_cast<std::size_t>(Found - Words.begin());
}

std::string LineReader::name(std::string_view What) {
  const std::string_view Text = take();
  if (Text.empty()) {
    fail(fmt::format("the name of the {} is missing", What));
    return {};
  }
  if (Text.size() > MaxNameBytes ||
      !std::all_of(Text.begin(), Text.end(), isNameByte)) {
    fail(fmt::format("'{}' is no name of a {}: use up to {} letters, digits, "
                     "'-', '_' or '.'",
                     Text, What, MaxNameBytes));
    return {};
  }
  return std::string(Text);
}

std::uint32_t LineReader::number(std::string_view What) {
  const std::string_view Text = take();
  const absl::StatusOr<std::uint64_t> Value = parseNumber(Text);
  if (!Value.ok() || *Value > MaxCount) {
    fail(fmt::format("'{}' where {}, a whole number up to {}, is due", Text,
                     What, MaxCount));
    return 0;
  }
  return static_cast<std::uint32_t>(*Value);
}

std::uint32_t LineReader::count(std::string_view One, std::string_view Many) {
  const std::uint32_t Value = number(fmt::format("the number of {}", Many));
  if (Value == 0) {
    fail(fmt::format("the number of {} is zero", Many));
  }
  choice({Many, One});
  return Value;
}

std::uint32_t LineReader::percent() {
  const std::string_view Text = take();
  absl::StatusOr<std::uint64_t> Value = absl::InvalidArgumentError("");
  if (!Text.empty() && Text.back() == '%') {
    Value = parseNumber(Text.substr(0, Text.size() - 1));
  }
  if (!Value.ok() || *Value > MaxPercent) {
    fail(fmt::format("'{}' where a share from 0% to 100% is due", Text));
    return 0;
  }
  return static_cast<std::uint32_t>(*Value);
}

AwayBudget LineReader::budget() {
  if (peek().ends_with('%')) {
    return {AwayBudget::Kind::Percent, percent()};
  }
  const std::uint32_t Hosts = number("a share such as 10% or a number");
  choice({"hosts", "host"});
  return {AwayBudget::Kind::Hosts, Hosts};
}

std::uint32_t LineReader::milliCores() {
  const std::string_view Text = take();
  const std::size_t Dot = Text.find('.');
  const absl::StatusOr<std::uint64_t> Whole = parseNumber(Text.substr(0, Dot));
  std::uint64_t Milli = 0;
  bool Good = Whole.ok() && *Whole <= MaxCount;
  if (Good && Dot != std::string_view::npos) {
    std::string Digits(Text.substr(Dot + 1));
    Good = !Digits.empty() && Digits.size() <= 3;
    Digits.resize(3, '0');
    const absl::StatusOr<std::uint64_t> Part = parseNumber(Digits);
    Good = Good && Part.ok();
    Milli = Good ? *Part : 0;
  }
  Milli += Good ? *Whole * MilliPerCore : 0;
  if (!Good || Milli == 0) {
    fail(fmt::format("'{}' where a number of cores such as 2 or 0.5 is due",
                     Text));
    return 0;
  }
  choice({"cores", "core"});
  return static_cast<std::uint32_t>(Milli);
}

std::uint32_t LineReader::memory() {
  const std::uint32_t Amount = number("an amount of memory");
  const bool InGiB = choice({"GiB", "MiB"}) == 0;
  return InGiB ? Amount * MiBPerGiB : Amount;
}

TaskSize LineReader::size() {
  TaskSize Size;
  Size.MilliCores = milliCores();
  Size.MemoryMiB = memory();
  // What follows a size never starts with a digit.
  if (!peek().empty() && peek().front() >= '0' && peek().front() <= '9') {
    Size.Accelerators = count("accelerator", "accelerators");
  }
  return Size;
}

Duration LineReader::duration() {
  const std::string_view Text = take();
  const absl::StatusOr<Duration> Value = parseDuration(Text);
  if (!Value.ok()) {
    fail(std::string(Value.status().message()));
    return {};
  }
  if (*Value == Duration::zero()) {
    fail(fmt::format("'{}' is no time at all", Text));
  }
  return *Value;
}

Duration LineReader::timeOfDay() {
  const std::string_view Text = take();
  const absl::StatusOr<Duration> Value = parseDuration(Text);
  if (!Value.ok() || *Value > Day) {
    fail(fmt::format("'{}' where a time of the day such as 22h is due", Text));
    return {};
  }
  return *Value;
}

std::string LineReader::publicKey() {
  const std::string_view Text = take();
  if (Text.size() != PublicKeyDigits ||
      !std::all_of(Text.begin(), Text.end(), isHexDigit)) {
    fail(fmt::format("'{}' where a public key of {} digits 0-9 and a-f is due",
                     Text, PublicKeyDigits));
    return {};
  }
  return std::string(Text);
}

void LineReader::end() {
  const std::string_view Text = take();
  if (!Text.empty()) {
    fail(fmt::format("'{}' where the line should end", Text));
  }
}

} // namespace balsamlatch
