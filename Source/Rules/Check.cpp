/// \file
/// Checks of consistency between rules.

#include "Check.h"

#include "LineReader.h"
#include "balsamlatch/Base/Units.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace balsamlatch {

namespace {

constexpr std::size_t RequiredOwners = 2;
constexpr std::uint32_t SlotsPerWorker = 8;
constexpr Duration Day = std::chrono::hours(24);
/// Assumed time that a host is away for maintenance: drain, reboot and return.
constexpr Duration HostMaintenance = std::chrono::minutes(30);

/// Runs the checks and collects their findings, with their place in the text.
class Checker {
public:
  Checker(const RulesSource &RulesText, const RuleSet &AllRules)
      : Source(RulesText), Rules(AllRules) {}

  void checkOwners();
  void checkJobs();
  void checkQuotas();
  void checkPools();
  void checkMaintenance();
  std::vector<Finding> takeFindings() { return std::move(Problems); }

private:
  void checkJob(const JobRule &Job);
  /// Number of hosts of the pool that may be away at once for maintenance.
  std::uint32_t maxHostsAway(const PoolRule &Pool) const;
  /// Adds a finding at the column of the word in the line of the rule,
  /// preferably after the keyword `in`.
  void report(const RuleOrigin &Origin, std::string_view Word,
              std::string Message, std::string Remedy);

  const RulesSource &Source;
  const RuleSet &Rules;
  std::vector<Finding> Problems;
};

void Checker::report(const RuleOrigin &Origin, std::string_view Word,
                     std::string Message, std::string Remedy) {
  const std::string_view Line = Source.Lines[Origin.Line - 1];
  const std::vector<RuleWord> Words = tokenizeRuleLine(Line, 0).Words;
  // The name of the pool follows `in`; the job before it may have the same
  // name.
  const auto InKeyword = std::find_if(
      Words.begin(), Words.end(), [](RuleWord W) { return W.Text == "in"; });
  const auto IsWord = [&](RuleWord W) { return W.Text == Word; };
  auto Position = std::find_if(InKeyword, Words.end(), IsWord);
  Position = Position == Words.end()
                 ? std::find_if(Words.begin(), Words.end(), IsWord)
                 : Position;
  Finding F;
  F.Place = {Source.File, Origin.Line,
             Position == Words.end() ? 1 : Position->Column};
  F.Message = std::move(Message);
  F.Remedy = std::move(Remedy);
  F.SourceLine = std::string(Line);
  Problems.push_back(std::move(F));
}

void Checker::checkOwners() {
  if (Rules.Owners.size() < RequiredOwners) {
    const auto LastLine = static_cast<unsigned>(Source.Lines.size());
    Finding CountFinding;
    CountFinding.Place = {Source.File, std::max(1U, LastLine), 1};
    CountFinding.Message =
        fmt::format("{} of two co-owners", Rules.Owners.size());
    CountFinding.Remedy =
        "add lines owner NAME key HEX # WHO-ASKED until there are two";
    Problems.push_back(std::move(CountFinding));
  }
  for (std::size_t I = 0; I < Rules.Owners.size(); ++I) {
    const OwnerRule &Owner = Rules.Owners[I];
    if (I >= RequiredOwners) {
      report(Owner.Origin, "owner", "a third co-owner",
             "keep exactly two owner lines");
    }
    for (std::size_t J = 0; J < std::min(I, RequiredOwners); ++J) {
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

void Checker::checkJob(const JobRule &Job) {
  const PoolRule *Pool = Rules.pool(Job.Pool);
  if (Pool == nullptr) {
    report(Job.Origin, Job.Pool.Text,
           fmt::format("no pool is named '{}'", Job.Pool.Text),
           "name a pool that has a pool line");
    return;
  }
  const TaskSize &WorkerCapacity = Pool->WorkerSize;
  if (Job.Size.MilliCores > WorkerCapacity.MilliCores ||
      Job.Size.MemoryMiB > WorkerCapacity.MemoryMiB ||
      Job.Size.Accelerators > WorkerCapacity.Accelerators) {
    report(Job.Origin, "size",
           fmt::format("job {} is larger than any worker of pool {}",
                       Job.Job.Text, Job.Pool.Text),
           fmt::format("make it smaller, or the worker in line {} larger",
                       Pool->Origin.Line));
  }
  if (Job.RunTime > Job.Deadline) {
    report(Job.Origin, "runs",
           fmt::format("job {} runs for {}, longer than its deadline of {}",
                       Job.Job.Text, formatDuration(Job.RunTime),
                       formatDuration(Job.Deadline)),
           "allow more time, or declare a shorter run time");
  }
  const bool HasSpare =
      std::any_of(Rules.Pools.begin(), Rules.Pools.end(),
                  [](const auto &Entry) { return Entry.second.Spare; });
  if (Job.MaySpill && !HasSpare) {
    report(Job.Origin, "spills", "there is no spare pool to spill to",
           "add a pool line that ends with spare, or leave spills out");
  }
}

void Checker::checkJobs() {
  for (const auto &[Name, Job] : Rules.Jobs) {
    checkJob(Job);
  }
}

void Checker::checkPools() {
  const PoolRule *Spare = nullptr;
  for (const auto &[Name, Pool] : Rules.Pools) {
    if (Pool.Away.Measure == AwayBudget::Kind::Hosts &&
        Pool.Away.Amount >= Pool.Hosts) {
      report(Pool.Origin, "away",
             fmt::format("all {} hosts of pool {} may be away at once",
                         Pool.Hosts, Name.Text),
             "allow fewer hosts to be away");
    }
    if (Pool.Spare && Spare != nullptr) {
      report(std::max(Pool.Origin, Spare->Origin), "spare",
             "a second spare pool", "keep one spare pool");
    }
    Spare = Pool.Spare ? &Pool : Spare;
  }
}

std::uint32_t Checker::maxHostsAway(const PoolRule &Pool) const {
  std::uint32_t Hosts = Pool.Away.allowed(Pool.Hosts);
  for (const DomainRule &Domain : Rules.Domains) {
    const bool NoneAllowed =
        Domain.Away.Amount == 0 && Domain.Kind == DomainKind::DataCentre;
    Hosts = NoneAllowed ? 0 : Hosts;
  }
  return Hosts;
}

void Checker::checkMaintenance() {
  const MaintenanceRule &Rule = Rules.Maintenance;
  if (Rule.Origin.Line == 0) {
    return;
  }
  Duration DailyWindowTime = Rule.Windows.empty() ? Day : Duration::zero();
  for (const DailyWindow &Window : Rule.Windows) {
    DailyWindowTime += Window.From < Window.To ? Window.To - Window.From
                                               : Day - Window.From + Window.To;
  }
  const Duration WindowTime =
      Rule.Period / Day * std::min(DailyWindowTime, Day);
  for (const auto &[Name, Pool] : Rules.Pools) {
    const std::uint32_t HostsAway = maxHostsAway(Pool);
    if (HostsAway == 0) {
      report(Pool.Origin, "away",
             fmt::format("no host of pool {} may be away, so none can be "
                         "maintained",
                         Name.Text),
             "allow at least one host to be away");
      continue;
    }
    const Duration MaintenanceTime =
        (Pool.Hosts + HostsAway - 1) / HostsAway * HostMaintenance;
    if (MaintenanceTime > WindowTime) {
      report(Rule.Origin, "every",
             fmt::format("pool {} has {} hosts, {} of them away at once: "
                         "maintenance takes {}, the windows of one period "
                         "give {}",
                         Name.Text, Pool.Hosts, HostsAway,
                         formatDuration(MaintenanceTime),
                         formatDuration(WindowTime)),
             "allow a longer period, wider windows or more hosts away");
    }
  }
}

void Checker::checkQuotas() {
  std::map<std::pair<TeamName, PoolName>, RuleOrigin> FirstQuotas;
  std::map<PoolName, std::uint64_t> GrantedSlots;
  for (const QuotaRule &Quota : Rules.Quotas) {
    const PoolRule *Pool = Rules.pool(Quota.Pool);
    if (Pool == nullptr) {
      report(Quota.Origin, Quota.Pool.Text,
             fmt::format("no pool is named '{}'", Quota.Pool.Text),
             "name a pool that has a pool line");
      continue;
    }
    const std::uint64_t Capacity = std::uint64_t(Pool->Hosts) * SlotsPerWorker;
    std::uint64_t &TotalSlots = GrantedSlots[Quota.Pool];
    TotalSlots += Quota.Slots;
    if (TotalSlots > Capacity) {
      report(Quota.Origin, "slots",
             fmt::format("the quotas of pool {} come to {} slots, its {} hosts "
                         "have {}",
                         Quota.Pool.Text, TotalSlots, Pool->Hosts, Capacity),
             "grant fewer slots, or give the pool more hosts");
    }
    const auto [Previous, Inserted] =
        FirstQuotas.try_emplace({Quota.Team, Quota.Pool}, Quota.Origin);
    if (!Inserted) {
      report(Quota.Origin, Quota.Team.Text,
             fmt::format("the quota of {} in {} is given twice, first in line "
                         "{}",
                         Quota.Team.Text, Quota.Pool.Text,
                         Previous->second.Line),
             "keep one of the two lines");
    }
  }
}

} // namespace

void checkRules(const RulesSource &Source, const RuleSet &Rules,
                Findings &Problems) {
  Checker Check(Source, Rules);
  Check.checkOwners();
  Check.checkJobs();
  Check.checkQuotas();
  Check.checkPools();
  Check.checkMaintenance();
  Problems.addAll(Check.takeFindings());
}

} // namespace balsamlatch
