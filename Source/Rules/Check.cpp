/// \file
/// Findings across rules.

#include "Check.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace balsamlatch {

namespace {

constexpr std::size_t OwnersNeeded = 2;

/// Collects findings with the line that they are about.
class Checker {
public:
  Checker(const RulesSource &Text, const RuleSet &All, Findings &Found)
      : Source(Text), Rules(All), Problems(Found) {}

  void owners();
  void jobs();
  void quotas();

private:
  /// Reports at the first place of \p Word in the rule's line.
  void report(const RuleOrigin &Origin, std::string_view Word,
              std::string Message, std::string Remedy);

  const RulesSource &Source;
  const RuleSet &Rules;
  Findings &Problems;
};

void Checker::report(const RuleOrigin &Origin, std::string_view Word,
                     std::string Message, std::string Remedy) {
  const std::string_view Line = Source.Lines[Origin.Line - 1];
  const std::size_t Found = Line.find(Word);
  const std::size_t Column = Found == std::string_view::npos ? 0 : Found;
  Finding F;
  F.Place = {Source.File, Origin.Line, static_cast<unsigned>(Column + 1)};
  F.Message = std::move(Message);
  F.Remedy = std::move(Remedy);
  F.SourceLine = std::string(Line);
  Problems.add(std::move(F));
}

void Checker::owners() {
  if (Rules.Owners.size() < OwnersNeeded) {
    const auto Last = static_cast<unsigned>(Source.Lines.size());
    Finding Missing;
    Missing.Place = {Source.File, std::max(1U, Last), 1};
    Missing.Message = fmt::format("{} of two co-owners", Rules.Owners.size());
    Missing.Remedy =
        "add lines owner NAME key HEX # WHO-ASKED until there are two";
    Problems.add(std::move(Missing));
  }
  for (std::size_t I = 0; I < Rules.Owners.size(); ++I) {
    const OwnerRule &Owner = Rules.Owners[I];
    if (I >= OwnersNeeded) {
      report(Owner.Origin, "owner", "a third co-owner",
             "keep exactly two owner lines");
    }
    for (std::size_t J = 0; J < std::min(I, OwnersNeeded); ++J) {
      if (Rules.Owners[J].Owner == Owner.Owner) {
        report(Owner.Origin, Owner.Owner.Text,
               fmt::format("co-owner {} is given twice", Owner.Owner.Text),
               "name two different co-owners");
      }
      if (Rules.Owners[J].PublicKey == Owner.PublicKey) {
        report(Owner.Origin, Owner.PublicKey,
               "both co-owners have the same key",
               "give each co-owner a key of their own, made by keygen");
      }
    }
  }
}

void Checker::jobs() {
  for (const auto &[Name, Job] : Rules.Jobs) {
    if (Rules.pool(Job.Pool) == nullptr) {
      report(Job.Origin, Job.Pool.Text,
             fmt::format("no pool is named '{}'", Job.Pool.Text),
             "name a pool that has a pool line");
    }
  }
}

void Checker::quotas() {
  std::map<std::pair<TeamName, PoolName>, RuleOrigin> Seen;
  for (const QuotaRule &Quota : Rules.Quotas) {
    if (Rules.pool(Quota.Pool) == nullptr) {
      report(Quota.Origin, Quota.Pool.Text,
             fmt::format("no pool is named '{}'", Quota.Pool.Text),
             "name a pool that has a pool line");
    }
    const auto [Place, Added] =
        Seen.try_emplace({Quota.Team, Quota.Pool}, Quota.Origin);
    if (!Added) {
      report(Quota.Origin, Quota.Team.Text,
             fmt::format("the quota of {} in {} is given twice, first in line "
                         "{}",
                         Quota.Team.Text, Quota.Pool.Text, Place->second.Line),
             "keep one of the two lines");
    }
  }
}

} // namespace

void checkRules(const RulesSource &Source, const RuleSet &Rules,
                Findings &Problems) {
  Checker Check(Source, Rules, Problems);
  Check.owners();
  Check.jobs();
  Check.quotas();
}

} // namespace balsamlatch
