/// \file
/// Selects the hosts of the next maintenance rounds: first fit, beginning with
/// the pool that needs the most rounds.

#include "balsamlatch/Fleet/Plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace balsamlatch::fleet {

namespace {

using Candidate = const std::pair<const HostName, HostRecord> *;

bool windowOpen(const DailyWindow &Window, WallTime Wall) {
  const Duration TimeOfDay = Wall - std::chrono::floor<std::chrono::days>(Wall);
  if (Window.From <= Window.To) {
    return Window.From <= TimeOfDay && TimeOfDay < Window.To;
  }
  return TimeOfDay >= Window.From || TimeOfDay < Window.To;
}

/// Rounds that each pool needs, from its own budget alone.
std::map<PoolName, std::uint32_t>
roundsByPool(const std::vector<Candidate> &DueCandidates,
             const AwayCounts &Counts, const RuleSet &Rules) {
  std::map<PoolName, std::uint32_t> Rounds;
  for (const Candidate &Host : DueCandidates) {
    ++Rounds[Host->second.Pool];
  }
  for (auto &[Pool, RoundCount] : Rounds) {
    const PoolRule *Rule = Rules.pool(Pool);
    const std::uint32_t Allowed =
        Rule == nullptr ? 0 : Rule->Away.allowed(Counts.pool(Pool).Members);
    RoundCount =
        (RoundCount + std::max(Allowed, 1u) - 1) / std::max(Allowed, 1u);
  }
  return Rounds;
}

/// Number of due hosts by the given attribute.
template <typename Name>
std::map<Name, std::uint32_t>
countDue(const std::vector<Candidate> &DueCandidates, Name HostRecord::*Group) {
  std::map<Name, std::uint32_t> Counts;
  for (const Candidate Host : DueCandidates) {
    ++Counts[Host->second.*Group];
  }
  return Counts;
}

/// Sorts the pool with the most remaining rounds first; within it the data
/// centre and the rack with the most remaining hosts, so that the last rounds
/// of a wave aren't concentrated in one failure domain.
void sortByUrgency(std::vector<Candidate> &DueCandidates,
                   const AwayCounts &Counts, const RuleSet &Rules) {
  const auto Rounds = roundsByPool(DueCandidates, Counts, Rules);
  const auto DueByCentre = countDue(DueCandidates, &HostRecord::DataCentre);
  const auto DueByRack = countDue(DueCandidates, &HostRecord::Rack);
  using Urgency = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
  std::vector<std::pair<Urgency, Candidate>> RankedHosts;
  RankedHosts.reserve(DueCandidates.size());
  for (const Candidate Host : DueCandidates) {
    const HostRecord &Record = Host->second;
    RankedHosts.emplace_back(Urgency(Rounds.at(Record.Pool),
                                     DueByCentre.at(Record.DataCentre),
                                     DueByRack.at(Record.Rack)),
                             Host);
  }
  // A stable sort: hosts of equal urgency keep their previous order, which is
  // by name in the first round.
  std::stable_sort(RankedHosts.begin(), RankedHosts.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  std::transform(RankedHosts.begin(), RankedHosts.end(), DueCandidates.begin(),
                 [](const auto &Item) { return Item.second; });
}

std::vector<Candidate> dueHosts(const Ledger &CurrentLedger,
                                const RuleSet &Rules, WallTime Wall) {
  std::vector<Candidate> DueCandidates;
  for (const auto &Item : CurrentLedger.Hosts) {
    if (Item.second.State == HostState::InService &&
        maintenanceDue(Item.second, Rules, Wall)) {
      DueCandidates.push_back(&Item);
    }
  }
  return DueCandidates;
}

HostRecord makeLeavingRecord(HostRecord Record) {
  Record.State = HostState::Leaving;
  return Record;
}

/// Removes from \p DueCandidates the hosts that may leave together and records
/// the blockers of the others.
std::vector<Candidate> selectRound(std::vector<Candidate> &DueCandidates,
                                   AwayCounts &Counts, const RuleSet &Rules,
                                   const RequiredHostCounts &RequiredHosts,
                                   std::vector<WaitingHost> *Waiting) {
  sortByUrgency(DueCandidates, Counts, Rules);
  std::vector<Candidate> Round;
  std::vector<Candidate> Remaining;
  for (const Candidate Host : DueCandidates) {
    std::vector<Blocker> Blockers =
        absenceBlockers(Counts, Rules, Host->second, RequiredHosts);
    if (Blockers.empty()) {
      Counts.remove(Host->second);
      Counts.add(makeLeavingRecord(Host->second));
      Round.push_back(Host);
      continue;
    }
    Remaining.push_back(Host);
    if (Waiting != nullptr) {
      Waiting->push_back({Host->first, Host->second.Pool, std::move(Blockers)});
    }
  }
  DueCandidates = std::move(Remaining);
  return Round;
}

/// Counts of the ledger as if every host except the failed ones were back.
AwayCounts countsAfterReturn(const Ledger &CurrentLedger) {
  Ledger ReturnedLedger = CurrentLedger;
  for (auto &[Host, Record] : ReturnedLedger.Hosts) {
    if (Record.State != HostState::Failed) {
      Record.State = HostState::InService;
      Record.CurrentOperation = Operation();
    }
  }
  return AwayCounts(ReturnedLedger);
}

void addRounds(FleetPlan &Plan, std::vector<Candidate> DueCandidates,
               AwayCounts &Counts, const Ledger &CurrentLedger,
               const RuleSet &Rules, const RequiredHostCounts &RequiredHosts,
               unsigned MaxRounds) {
  std::vector<WaitingHost> *Waiting = &Plan.Waiting;
  while (!DueCandidates.empty() && Plan.Rounds.size() < MaxRounds) {
    const std::vector<Candidate> Round =
        selectRound(DueCandidates, Counts, Rules, RequiredHosts, Waiting);
    // The first round may be empty: hosts that are out of service now must
    // return first.
    if (Round.empty() && !Plan.Rounds.empty()) {
      break;
    }
    std::vector<HostName> &Names = Plan.Rounds.emplace_back();
    for (const Candidate Host : Round) {
      Names.push_back(Host->first);
    }
    if (Waiting != nullptr) {
      Counts = countsAfterReturn(CurrentLedger);
      Waiting = nullptr;
      continue;
    }
    for (const Candidate Host : Round) {
      Counts.remove(makeLeavingRecord(Host->second));
      Counts.add(Host->second);
    }
  }
}

boost::json::array blockersJson(const std::vector<Blocker> &Blockers) {
  boost::json::array Items;
  for (const Blocker &Item : Blockers) {
    Items.push_back(boost::json::object{{"reason", Item.Reason},
                                        {"rule_line", Item.RuleLine},
                                        {"text", Item.Text}});
  }
  return Items;
}

template <typename Names> boost::json::array namesJson(const Names &HostNames) {
  boost::json::array Texts;
  for (const auto &Name : HostNames) {
    Texts.push_back(boost::json::string(Name.Text));
  }
  return Texts;
}

std::string blockersText(const std::vector<Blocker> &Blockers) {
  std::string Text;
  for (const Blocker &Item : Blockers) {
    Text += fmt::format("{}{}: {}", Text.empty() ? "" : "; ", Item.Reason,
                        Item.Text);
  }
  return Text;
}

} // namespace

bool maintenanceDue(const HostRecord &Record, const RuleSet &Rules,
                    WallTime Wall) {
  const Duration Period = Rules.Maintenance.Period;
  return Period > Duration::zero() &&
         Wall - Record.LastMaintained >= Period / 100 * DueSharePercent;
}

std::vector<Blocker> maintenanceBlocked(const Ledger &CurrentLedger,
                                        const RuleSet &Rules, WallTime Wall) {
  std::vector<Blocker> Blockers;
  const MaintenanceRule &Rule = Rules.Maintenance;
  if (!CurrentLedger.HaltedBy.empty()) {
    Blockers.push_back(
        {"fleet-halted", 0, "halted by " + CurrentLedger.HaltedBy});
  }
  if (!CurrentLedger.Wave.StopReason.empty()) {
    Blockers.push_back(
        {"wave-stopped", Rule.Origin.Line, CurrentLedger.Wave.StopReason});
  }
  const bool IsWindowOpen =
      Rule.Windows.empty() ||
      std::any_of(
          Rule.Windows.begin(), Rule.Windows.end(),
          [&](const DailyWindow &Window) { return windowOpen(Window, Wall); });
  if (!IsWindowOpen) {
    Blockers.push_back({"window-closed", Rule.Origin.Line,
                        "outside the declared maintenance windows"});
  }
  return Blockers;
}

FleetPlan makePlan(const Ledger &CurrentLedger, const RuleSet &Rules,
                   const RequiredHostCounts &RequiredHosts, WallTime Wall,
                   unsigned MaxRounds) {
  FleetPlan Plan;
  Plan.StartBlockers = maintenanceBlocked(CurrentLedger, Rules, Wall);
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    if (Record.away()) {
      Plan.Away.push_back(Host);
    }
  }
  AwayCounts Counts(CurrentLedger);
  addRounds(Plan, dueHosts(CurrentLedger, Rules, Wall), Counts, CurrentLedger,
            Rules, RequiredHosts, MaxRounds);
  return Plan;
}

std::string planText(const Ledger &CurrentLedger, const RuleSet &Rules,
                     const RequiredHostCounts &RequiredHosts, WallTime Wall,
                     unsigned MaxRounds,
                     const HostBlockers &OperationBlockers) {
  const FleetPlan Plan =
      makePlan(CurrentLedger, Rules, RequiredHosts, Wall, MaxRounds);
  std::string Text;
  for (const Blocker &StartBlocker : Plan.StartBlockers) {
    Text += fmt::format("nothing starts now: {}: {}\n", StartBlocker.Reason,
                        StartBlocker.Text);
  }
  for (const HostName &Host : Plan.Away) {
    const HostRecord &Record = CurrentLedger.Hosts.at(Host);
    Text += fmt::format("away      {:<20} {:<16} {:<15} {} {}", Host.Text,
                        Record.Pool.Text, stateCode(Record.State),
                        operationCode(Record.CurrentOperation.Kind),
                        Record.CurrentOperation.Cause);
    const auto WaitBlocker = OperationBlockers.find(Host);
    Text += WaitBlocker == OperationBlockers.end()
                ? std::string("\n")
                : fmt::format("; {}\n", blockersText({WaitBlocker->second}));
  }
  unsigned RoundNumber = 0;
  for (const std::vector<HostName> &Round : Plan.Rounds) {
    ++RoundNumber;
    for (const HostName &Host : Round) {
      Text += fmt::format("round {:<3} {:<20} {}\n", RoundNumber, Host.Text,
                          CurrentLedger.Hosts.at(Host).Pool.Text);
    }
  }
  for (const WaitingHost &Host : Plan.Waiting) {
    Text += fmt::format("waits     {:<20} {:<16} {}\n", Host.Host.Text,
                        Host.Pool.Text, blockersText(Host.Blockers));
  }
  return Text.empty() ? "no host is due\n" : Text;
}

boost::json::object planJson(const Ledger &CurrentLedger, const RuleSet &Rules,
                             const RequiredHostCounts &RequiredHosts,
                             WallTime Wall, unsigned MaxRounds,
                             const HostBlockers &OperationBlockers) {
  const FleetPlan Plan =
      makePlan(CurrentLedger, Rules, RequiredHosts, Wall, MaxRounds);
  boost::json::array Rounds;
  for (const std::vector<HostName> &Round : Plan.Rounds) {
    Rounds.push_back(namesJson(Round));
  }
  boost::json::array Waiting;
  for (const WaitingHost &Host : Plan.Waiting) {
    Waiting.push_back(
        boost::json::object{{"host", Host.Host.Text},
                            {"pool", Host.Pool.Text},
                            {"why", blockersJson(Host.Blockers)}});
  }
  boost::json::array Away;
  for (const HostName &Host : Plan.Away) {
    const HostRecord &Record = CurrentLedger.Hosts.at(Host);
    const auto WaitBlocker = OperationBlockers.find(Host);
    Away.push_back(boost::json::object{
        {"host", Host.Text},
        {"pool", Record.Pool.Text},
        {"state", stateCode(Record.State)},
        {"operation", operationCode(Record.CurrentOperation.Kind)},
        {"cause", Record.CurrentOperation.Cause},
        {"why", WaitBlocker == OperationBlockers.end()
                    ? boost::json::array()
                    : blockersJson({WaitBlocker->second})}});
  }
  return {{"blocked", blockersJson(Plan.StartBlockers)},
          {"away", std::move(Away)},
          {"rounds", std::move(Rounds)},
          {"waiting", std::move(Waiting)}};
}

} // namespace balsamlatch::fleet
