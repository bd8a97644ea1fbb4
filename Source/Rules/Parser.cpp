/// \file
/// Parsing of the rules text, line by line.

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

  ParsedRules run();

private:
  using ReadRule = void (Parser::*)(LineReader &, const RuleOrigin &);

  void line(const RuleLine &Line);
  void owner(LineReader &Reader, const RuleOrigin &Origin);
  void pool(LineReader &Reader, const RuleOrigin &Origin);
  void job(LineReader &Reader, const RuleOrigin &Origin);
  void quota(LineReader &Reader, const RuleOrigin &Origin);
  void away(LineReader &Reader, const RuleOrigin &Origin);
  void maintain(LineReader &Reader, const RuleOrigin &Origin);
  void weigh(LineReader &Reader, const RuleOrigin &Origin);
  static ReadRule readerOf(std::string_view Word);
  void duplicate(LineReader &Reader, unsigned Column, std::string_view What,
                 const RuleOrigin &Other);

  const std::string File;
  const std::string_view Text;
  RuleSet Rules;
  Findings Problems;
};

std::string_view nextLine(std::string_view &Rest) {
  const std::size_t End = Rest.find('\n');
  const std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
  return Line;
}

bool isControl(char C) {
  return (static_cast<unsigned char>(C) < ' ' && C != '\t' && C != '\r') ||
         C == '\x7f';
}

ParsedRules Parser::run() {
  if (Text.size() > StoredRulesBytes) {
    Finding TooLong;
    TooLong.Place = {File, 1, 1};
    TooLong.Level =
        Text.size() > MaxRulesBytes ? Severity::Error : Severity::Warning;
    TooLong.Message = fmt::format("the text has {} bytes, the store takes {}",
                                  Text.size(), StoredRulesBytes);
    TooLong.Remedy = "leave rules out or shorten comments";
    Problems.add(std::move(TooLong));
  }
  if (Text.size() > MaxRulesBytes) {
    return {std::move(Rules), std::move(Problems)};
  }
  std::string_view Rest = Text;
  std::vector<std::string_view> Lines;
  while (!Rest.empty()) {
    Lines.push_back(nextLine(Rest));
    line(splitRuleLine(Lines.back(), static_cast<unsigned>(Lines.size())));
  }
  checkRules({File, Lines}, Rules, Problems);
  return {std::move(Rules), std::move(Problems)};
}

Parser::ReadRule Parser::readerOf(std::string_view Word) {
  struct Entry {
    std::string_view Word;
    ReadRule Read;
  };
  static constexpr std::array<Entry, RuleForms.size()> Readers = {{
      {"owner", &Parser::owner},
      {"pool", &Parser::pool},
      {"job", &Parser::job},
      {"quota", &Parser::quota},
      {"away", &Parser::away},
      {"maintain", &Parser::maintain},
      {"weigh", &Parser::weigh},
  }};
  for (const Entry &E : Readers) {
    if (E.Word == Word) {
      return E.Read;
    }
  }
  return nullptr;
}

void Parser::line(const RuleLine &Line) {
  LineReader Reader(File, Line, Problems);
  for (std::size_t I = 0; I < Line.Whole.size(); ++I) {
    if (isControl(Line.Whole[I])) {
      Reader.report(static_cast<unsigned>(I + 1), "a control character",
                    "remove it");
      return;
    }
  }
  const std::size_t BadByte = firstInvalidUtf8(Line.Whole);
  if (BadByte != std::string_view::npos) {
    Reader.report(static_cast<unsigned>(BadByte + 1), "text that isn't UTF-8",
                  "save the file as UTF-8");
    return;
  }
  if (Line.Words.empty()) {
    return;
  }
  const std::string_view Word = Line.Words.front().Text;
  const ReadRule Read = readerOf(Word);
  if (Read == nullptr) {
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
  Reader.word(Word);
  (this->*Read)(Reader, {Line.Number, std::string(Line.Comment)});
}

void Parser::duplicate(LineReader &Reader, unsigned Column,
                       std::string_view What, const RuleOrigin &Other) {
  Reader.report(
      Column,
      fmt::format("{} is given twice, first in line {}", What, Other.Line),
      "keep one of the two lines");
}

void Parser::owner(LineReader &Reader, const RuleOrigin &Origin) {
  OwnerRule Owner;
  Owner.Owner = OwnerName(Reader.name("co-owner"));
  Reader.word("key");
  Owner.PublicKey = Reader.publicKey();
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  Owner.Origin = Origin;
  Rules.Owners.push_back(std::move(Owner));
}

void Parser::pool(LineReader &Reader, const RuleOrigin &Origin) {
  PoolRule Pool;
  Pool.Pool = PoolName(Reader.name("pool"));
  const unsigned NameColumn = Reader.column();
  Pool.Hosts = Reader.count("host", "hosts");
  Reader.word("away");
  Pool.Away = Reader.budget();
  Reader.word("worker");
  Pool.WorkerSize = Reader.size();
  Pool.Spare = Reader.optionalWord("spare");
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  Pool.Origin = Origin;
  const auto [Place, Added] = Rules.Pools.try_emplace(Pool.Pool, Pool);
  if (!Added) {
    duplicate(Reader, NameColumn, fmt::format("pool {}", Pool.Pool.Text),
              Place->second.Origin);
  }
}

void Parser::job(LineReader &Reader, const RuleOrigin &Origin) {
  JobRule Job;
  Job.Job = JobName(Reader.name("job"));
  const unsigned NameColumn = Reader.column();
  Reader.word("in");
  Job.Pool = PoolName(Reader.name("pool"));
  Job.Class = Reader.choice({"prompt", "patient"}) == 0 ? JobClass::Prompt
                                                        : JobClass::Patient;
  Reader.word("within");
  Job.Deadline = Reader.duration();
  Reader.word("size");
  Job.Size = Reader.size();
  Reader.word("runs");
  Job.RunTime = Reader.duration();
  Job.Idempotent = Reader.choice({"idempotent", "once"}) == 0;
  Job.MaySpill = Reader.optionalWord("spills");
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  Job.Origin = Origin;
  const auto [Place, Added] = Rules.Jobs.try_emplace(Job.Job, Job);
  if (!Added) {
    duplicate(Reader, NameColumn, fmt::format("job {}", Job.Job.Text),
              Place->second.Origin);
  }
}

void Parser::quota(LineReader &Reader, const RuleOrigin &Origin) {
  QuotaRule Quota;
  Quota.Team = TeamName(Reader.name("team"));
  Quota.Slots = Reader.count("slot", "slots");
  Reader.word("in");
  Quota.Pool = PoolName(Reader.name("pool"));
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  Quota.Origin = Origin;
  Rules.Quotas.push_back(std::move(Quota));
}

void Parser::away(LineReader &Reader, const RuleOrigin &Origin) {
  DomainRule Domain;
  Domain.Kind = Reader.choice({"rack", "data-centre"}) == 0
                    ? DomainKind::Rack
                    : DomainKind::DataCentre;
  const unsigned KindColumn = Reader.column();
  Domain.Away = Reader.budget();
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  for (const DomainRule &Other : Rules.Domains) {
    if (Other.Kind == Domain.Kind) {
      duplicate(Reader, KindColumn, "the budget of this kind of domain",
                Other.Origin);
      return;
    }
  }
  Domain.Origin = Origin;
  Rules.Domains.push_back(Domain);
}

void Parser::maintain(LineReader &Reader, const RuleOrigin &Origin) {
  MaintenanceRule Maintenance;
  Reader.word("every");
  Maintenance.Period = Reader.duration();
  while (Reader.optionalWord("from")) {
    DailyWindow Window;
    Window.From = Reader.timeOfDay();
    Reader.word("to");
    Window.To = Reader.timeOfDay();
    Maintenance.Windows.push_back(Window);
  }
  Reader.word("stop");
  Maintenance.StopPercent = Reader.percent();
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  if (Rules.Maintenance.Origin.Line != 0) {
    duplicate(Reader, 1, "maintenance", Rules.Maintenance.Origin);
    return;
  }
  Maintenance.Origin = Origin;
  Rules.Maintenance = std::move(Maintenance);
}

void Parser::weigh(LineReader &Reader, const RuleOrigin &Origin) {
  WeightRule Weights;
  Reader.word("moves");
  Weights.Moves = Reader.number("the weight of a move");
  Reader.word("buffer");
  Weights.Buffer = Reader.number("the weight of an idle host hour");
  Reader.end();
  if (Reader.failed()) {
    return;
  }
  if (Rules.Weights.Origin.Line != 0) {
    duplicate(Reader, 1, "the weights", Rules.Weights.Origin);
    return;
  }
  Weights.Origin = Origin;
  Rules.Weights = Weights;
}

} // namespace

ParsedRules parseRules(std::string_view File, std::string_view Text) {
  return Parser(File, Text).run();
}

std::string formatRules(std::string_view Text) {
  std::string Out;
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    const RuleLine Line = splitRuleLine(nextLine(Rest), 0);
    std::string Tidy;
    for (const RuleWord &Word : Line.Words) {
      Tidy += Tidy.empty() ? "" : " ";
      Tidy += Word.Text;
    }
    if (Line.HasComment) {
      Tidy += Tidy.empty() ? "#" : " #";
      Tidy += Line.Comment.empty() ? "" : " ";
      Tidy += Line.Comment;
    }
    Out += Tidy + "\n";
  }
  while (Out == "\n" || Out.ends_with("\n\n")) {
    Out.pop_back();
  }
  return Out;
}

} // namespace balsamlatch
