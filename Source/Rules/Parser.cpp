/// \file
/// Parser and formatter of the rules text, which is processed line by line.

#include "balsamlatch/Rules/Parser.h"

#include "Check.h"
#include "LineReader.h"
#include "Utf8.h"
#include "balsamlatch/Rules/Grammar.h"

#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Parses the lines of one text into a rule set.
class Parser {
public:
  Parser(std::string_view FileName, std::string_view RulesText)
      : File(FileName), Text(RulesText) {}

  ParsedRules parse();

private:
  using RuleParser = void (Parser::*)(LineReader &, const RuleOrigin &);

  void parseLine(const RuleLine &Line);
  void parseOwner(LineReader &Reader, const RuleOrigin &Origin);
  void parsePool(LineReader &Reader, const RuleOrigin &Origin);
  void parseJob(LineReader &Reader, const RuleOrigin &Origin);
  void parseQuota(LineReader &Reader, const RuleOrigin &Origin);
  void parseAway(LineReader &Reader, const RuleOrigin &Origin);
  void parseMaintain(LineReader &Reader, const RuleOrigin &Origin);
  void parseWeigh(LineReader &Reader, const RuleOrigin &Origin);
  /// The function that parses rules with this first word, or null.
  static RuleParser findRuleParser(std::string_view Word);
  /// Reports a rule that repeats the one at \p FirstOrigin.
  void reportDuplicate(LineReader &Reader, unsigned Column,
                       std::string_view Description,
                       const RuleOrigin &FirstOrigin);

  const std::string File;
  const std::string_view Text;
  RuleSet Rules;
  Findings Problems;
};

/// Removes the first line from the text and returns it without its line end.
std::string_view takeLine(std::string_view &Remaining) {
  const std::size_t End = Remaining.find('\n');
  const std::string_view Line = Remaining.substr(0, End);
  Remaining.remove_prefix(End == std::string_view::npos ? Remaining.size()
                                                        : End + 1);
  return Line;
}

bool isControl(char C) {
  return (static_cast<unsigned char>(C) < ' ' && C != '\t' && C != '\r') ||
         C == '\x7f';
}

ParsedRules Parser::parse() {
  if (Text.size() > MaxStoredRulesBytes) {
    Finding SizeFinding;
    SizeFinding.Place = {File, 1, 1};
    SizeFinding.Level =
        Text.size() > MaxRulesBytes ? Severity::Error : Severity::Warning;
    SizeFinding.Message =
        fmt::format("the text has {} bytes, the store takes {}", Text.size(),
                    MaxStoredRulesBytes);
    SizeFinding.Remedy = "leave rules out or shorten comments";
    Problems.add(std::move(SizeFinding));
  }
  if (Text.size() > MaxRulesBytes) {
    return {std::move(Rules), std::move(Problems)};
  }
  std::string_view Remaining = Text;
  std::vector<std::string_view> Lines;
  while (!Remaining.empty()) {
    Lines.push_back(takeLine(Remaining));
    parseLine(
        tokenizeRuleLine(Lines.back(), static_cast<unsigned>(Lines.size())));
  }
  checkRules({File, Lines}, Rules, Problems);
  return {std::move(Rules), std::move(Problems)};
}

Parser::RuleParser Parser::findRuleParser(std::string_view Word) {
  struct Entry {
    std::string_view Word;
    RuleParser ParseRule;
  };
  static constexpr std::array<Entry, RuleForms.size()> RuleParsers = {{
      {"owner", &Parser::parseOwner},
      {"pool", &Parser::parsePool},
      {"job", &Parser::parseJob},
      {"quota", &Parser::parseQuota},
      {"away", &Parser::parseAway},
      {"maintain", &Parser::parseMaintain},
      {"weigh", &Parser::parseWeigh},
  }};
  for (const Entry &E : RuleParsers) {
    if (E.Word == Word) {
      return E.ParseRule;
    }
  }
  return nullptr;
}

void Parser::parseLine(const RuleLine &Line) {
  LineReader Reader(File, Line, Problems);
  for (std::size_t I = 0; I < Line.Source.size(); ++I) {
    if (isControl(Line.Source[I])) {
      Reader.report(static_cast<unsigned>(I + 1), "a control character",
                    "remove it");
      return;
    }
  }
  const std::size_t InvalidByte = firstInvalidUtf8(Line.Source);
  if (InvalidByte != std::string_view::npos) {
    Reader.report(static_cast<unsigned>(InvalidByte + 1),
                  "text that isn't UTF-8", "save the file as UTF-8");
    return;
  }
  if (Line.Words.empty()) {
    return;
  }
  const std::string_view Word = Line.Words.front().Text;
  const RuleParser ParseRule = findRuleParser(Word);
  if (ParseRule == nullptr) {
    Reader.report(Line.Words.front().Column,
                  fmt::format("no rule is named '{}'", Word),
                  "start the line with owner, pool, job, quota, away, maintain "
                  "or weigh");
    return;
  }
  if (Line.Comment.empty()) {
    const RuleWord &Last = Line.Words.back();
    Reader.report(Last.Column + static_cast<unsigned>(Last.Text.size()),
                  "nobody is named who asked for the rule",
                  "end the line with # and the name of who asked for it");
  }
  Reader.expectWord(Word);
  (this->*ParseRule)(Reader, {Line.Number, std::string(Line.Comment)});
}

void Parser::reportDuplicate(LineReader &Reader, unsigned Column,
                             std::string_view Description,
                             const RuleOrigin &FirstOrigin) {
  Reader.report(Column,
                fmt::format("{} is given twice, first in line {}", Description,
                            FirstOrigin.Line),
                "keep one of the two lines");
}

void Parser::parseOwner(LineReader &Reader, const RuleOrigin &Origin) {
  OwnerRule Owner;
  Owner.Owner = OwnerName(Reader.readName("co-owner"));
  Reader.expectWord("key");
  Owner.PublicKey = Reader.readPublicKey();
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  Owner.Origin = Origin;
  Rules.Owners.push_back(std::move(Owner));
}

void Parser::parsePool(LineReader &Reader, const RuleOrigin &Origin) {
  PoolRule Pool;
  Pool.Pool = PoolName(Reader.readName("pool"));
  const unsigned NameColumn = Reader.lastColumn();
  Pool.Hosts = Reader.readCount("host", "hosts");
  Reader.expectWord("away");
  Pool.Away = Reader.readAwayBudget();
  Reader.expectWord("worker");
  Pool.WorkerSize = Reader.readTaskSize();
  Pool.Spare = Reader.consumeWord("spare");
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  Pool.Origin = Origin;
  const auto [Existing, Inserted] = Rules.Pools.try_emplace(Pool.Pool, Pool);
  if (!Inserted) {
    reportDuplicate(Reader, NameColumn, fmt::format("pool {}", Pool.Pool.Text),
                    Existing->second.Origin);
  }
}

void Parser::parseJob(LineReader &Reader, const RuleOrigin &Origin) {
  JobRule Job;
  Job.Job = JobName(Reader.readName("job"));
  const unsigned NameColumn = Reader.lastColumn();
  Reader.expectWord("in");
  Job.Pool = PoolName(Reader.readName("pool"));
  Job.Class = Reader.expectChoice({"prompt", "patient"}) == 0
                  ? JobClass::Prompt
                  : JobClass::Patient;
  Reader.expectWord("within");
  Job.Deadline = Reader.readDuration();
  Reader.expectWord("size");
  Job.Size = Reader.readTaskSize();
  Reader.expectWord("runs");
  Job.RunTime = Reader.readDuration();
  Job.Idempotent = Reader.expectChoice({"idempotent", "once"}) == 0;
  Job.MaySpill = Reader.consumeWord("spills");
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  Job.Origin = Origin;
  const auto [Existing, Inserted] = Rules.Jobs.try_emplace(Job.Job, Job);
  if (!Inserted) {
    reportDuplicate(Reader, NameColumn, fmt::format("job {}", Job.Job.Text),
                    Existing->second.Origin);
  }
}

void Parser::parseQuota(LineReader &Reader, const RuleOrigin &Origin) {
  QuotaRule Quota;
  Quota.Team = TeamName(Reader.readName("team"));
  Quota.Slots = Reader.readCount("slot", "slots");
  Reader.expectWord("in");
  Quota.Pool = PoolName(Reader.readName("pool"));
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  Quota.Origin = Origin;
  Rules.Quotas.push_back(std::move(Quota));
}

void Parser::parseAway(LineReader &Reader, const RuleOrigin &Origin) {
  DomainRule Domain;
  Domain.Kind = Reader.expectChoice({"rack", "data-centre"}) == 0
                    ? DomainKind::Rack
                    : DomainKind::DataCentre;
  const unsigned KindColumn = Reader.lastColumn();
  Domain.Away = Reader.readAwayBudget();
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  for (const DomainRule &Other : Rules.Domains) {
    if (Other.Kind == Domain.Kind) {
      reportDuplicate(Reader, KindColumn, "the budget of this kind of domain",
                      Other.Origin);
      return;
    }
  }
  Domain.Origin = Origin;
  Rules.Domains.push_back(Domain);
}

void Parser::parseMaintain(LineReader &Reader, const RuleOrigin &Origin) {
  MaintenanceRule Maintenance;
  Reader.expectWord("every");
  Maintenance.Period = Reader.readDuration();
  while (Reader.consumeWord("from")) {
    DailyWindow Window;
    Window.From = Reader.readTimeOfDay();
    Reader.expectWord("to");
    Window.To = Reader.readTimeOfDay();
    Maintenance.Windows.push_back(Window);
  }
  Reader.expectWord("stop");
  Maintenance.StopPercent = Reader.readPercent();
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  if (Rules.Maintenance.Origin.Line != 0) {
    reportDuplicate(Reader, 1, "maintenance", Rules.Maintenance.Origin);
    return;
  }
  Maintenance.Origin = Origin;
  Rules.Maintenance = std::move(Maintenance);
}

void Parser::parseWeigh(LineReader &Reader, const RuleOrigin &Origin) {
  WeightRule Weights;
  Reader.expectWord("moves");
  Weights.Moves = Reader.readNumber("the weight of a move");
  Reader.expectWord("buffer");
  Weights.Buffer = Reader.readNumber("the weight of an idle host hour");
  Reader.expectEnd();
  if (Reader.hasFailed()) {
    return;
  }
  if (Rules.Weights.Origin.Line != 0) {
    reportDuplicate(Reader, 1, "the weights", Rules.Weights.Origin);
    return;
  }
  Weights.Origin = Origin;
  Rules.Weights = Weights;
}

} // namespace

ParsedRules parseRules(std::string_view File, std::string_view Text) {
  return Parser(File, Text).parse();
}

std::string formatRules(std::string_view Text) {
  std::string Result;
  std::string_view Remaining = Text;
  while (!Remaining.empty()) {
    const RuleLine Line = tokenizeRuleLine(takeLine(Remaining), 0);
    std::string Formatted;
    for (const RuleWord &Word : Line.Words) {
      Formatted += Formatted.empty() ? "" : " ";
      Formatted += Word.Text;
    }
    if (Line.HasComment) {
      Formatted += Formatted.empty() ? "#" : " #";
      Formatted += Line.Comment.empty() ? "" : " ";
      Formatted += Line.Comment;
    }
    Result += Formatted + "\n";
  }
  while (Result == "\n" || Result.ends_with("\n\n")) {
    Result.pop_back();
  }
  return Result;
}

} // namespace balsamlatch
