/// \file
/// Picks the hosts of the next rounds: first fit, with the pool that needs the
/// most rounds first.

#include "balsamlatch/Fleet/Plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace balsamlatch::fleet {

namespace {

using Candidate = const std::pair<const HostName, HostRecord> *;

bool windowOpen(const DailyWindow &Window, WallTime Wall) {
  const Duration Time = Wall - std::chrono::floor<std::chrono::days>(Wall);
  if (Window.From <= Window.To) {
    return Window.From <= Time && Time < Window.To;
  }
  return Time >= Window.From || Time < Window.To;
}

/// Rounds that a pool takes by its budget alone.
std::map<PoolName, std::uint32_t>
roundsByPool(const std::vector<Candidate> &Due, const AwayCounts &Counts,
             const RuleSet &Rules) {
  std::map<PoolName, std::uint32_t> Rounds;
  for (const Candidate &Host : Due) {
    ++Rounds[Host->second.Pool];
  }
  for (auto &[Pool, Number] : Rounds) {
    const PoolRule *Rule = Rules.pool(Pool);
    const std::uint32_t Allowed =
        Rule == nullptr ? 0 : Rule->Away.allowed(Counts.pool(Pool).Members);
    Number = (Number + std::max(Allowed, 1u) - 1) / std::max(Allowed, 1u);
  }
  return Rounds;
}

/// Hosts that are due in each group.
template <typename Name>
std::map<Name, std::uint32_t> countDue(const std::vector<Candidate> &Due,
                                       Name HostRecord::*Group) {
  std::map<Name, std::uint32_t> Numbers;
  for (const Candidate Host : Due) {
    ++Numbers[Host->second.*Group];
  }
  return Numbers;
}

/// The pool with the most rounds left first; within it the data centre and the
/// rack with the most hosts left, so that the end of a wave isn't crowded into
/// one failure domain.
void sortByUrgency(std::vector<Candidate> &Due, const AwayCounts &Counts,
                   const RuleSet &Rules) {
  const auto Rounds = roundsByPool(Due, Counts, Rules);
  const auto InCentre = countDue(Due, &HostRecord::DataCentre);
  const auto InRack = countDue(Due, &HostRecord::Rack);
  using Urgency = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
  std::vector<std::pair<Urgency, Candidate>> Keyed;
  Keyed.reserve(Due.size());
  for (const Candidate Host : Due) {
    const HostRecord &Record = Host->second;
    Keyed.emplace_back(Urgency(Rounds.at(Record.Pool),
                               InCentre.at(Record.DataCentre),
                               InRack.at(Record.Rack)),
                       Host);
  }
  // Due is in the order of the names, which decides between equals.
  std::stable_sort(Keyed.begin(), Keyed.end(),
                   [](const auto &One, const auto &Other) {
                     return One.first > Other.first;
                   });
  std::transform(Keyed.begin(), Keyed.end(), Due.begin(),
                 [](const auto &Item) { return Item.second; });
}

std::vector<Candidate> dueHosts(const Ledger &Value, const RuleSet &Rules,
                                WallTime Wall) {
  std::vector<Candidate> Due;
  for (const auto &Item : Value.Hosts) {
    if (Item.second.State == HostState::InService &&
        maintenanceDue(Item.second, Rules, Wall)) {
      Due.push_back(&Item);
    }
  }
  return Due;
}

HostRecord asLeaving(HostRecord Record) {
  Record.State = HostState::Leaving;
  return Record;
}

/// Takes from \p Due what may leave together; gives reasons for the rest.
std::vector<Candidate> takeRound(std::vector<Candidate> &Due,
                                 AwayCounts &Counts, const RuleSet &Rules,
                                 const HostsNeeded &Needed,
                                 std::vector<WaitingHost> *Waiting) {
  sortByUrgency(Due, Counts, Rules);
  std::vector<Candidate> Round;
  std::vector<Candidate> Rest;
  for (const Candidate Host : Due) {
    std::vector<Hindrance> Why = mayGoAway(Counts, Rules, Host->second, Needed);
    if (Why.empty()) {
      Counts.remove(Host->second);
      Counts.add(asLeaving(Host->second));
      Round.push_back(Host);
      continue;
    }
    Rest.push_back(Host);
    if (Waiting != nullptr) {
      Waiting->push_back({Host->first, Host->second.Pool, std::move(Why)});
    }
  }
  Due = std::move(Rest);
  return Round;
}

/// The ledger as if everything that is away had come back.
AwayCounts allBack(const Ledger &Value) {
  Ledger Back = Value;
  for (auto &[Host, Record] : Back.Hosts) {
    if (Record.State != HostState::Failed) {
      Record.State = HostState::InService;
      Record.InHand = Operation();
    }
  }
  return AwayCounts(Back);
}

void addRounds(FleetPlan &Plan, std::vector<Candidate> Due, AwayCounts &Counts,
               const Ledger &Value, const RuleSet &Rules,
               const HostsNeeded &Needed, unsigned MaxRounds) {
  std::vector<WaitingHost> *Waiting = &Plan.Waiting;
  while (!Due.empty() && Plan.Rounds.size() < MaxRounds) {
    const std::vector<Candidate> Round =
        takeRound(Due, Counts, Rules, Needed, Waiting);
    // The first round may be empty: what is away now must come back first.
    if (Round.empty() && !Plan.Rounds.empty()) {
      break;
    }
    std::vector<HostName> &Names = Plan.Rounds.emplace_back();
    for (const Candidate Host : Round) {
      Names.push_back(Host->first);
    }
    if (Waiting != nullptr) {
      Counts = allBack(Value);
      Waiting = nullptr;
      continue;
    }
    for (const Candidate Host : Round) {
      Counts.remove(asLeaving(Host->second));
      Counts.add(Host->second);
    }
  }
}

boost::json::array reasonsJson(const std::vector<Hindrance> &Why) {
  boost::json::array All;
  for (const Hindrance &One : Why) {
    All.push_back(boost::json::object{{"reason", One.Reason},
                                      {"rule_line", One.RuleLine},
                                      {"text", One.Text}});
  }
  return All;
}

template <typename Names> boost::json::array namesJson(const Names &All) {
  boost::json::array Texts;
  for (const auto &Name : All) {
    Texts.push_back(boost::json::string(Name.Text));
  }
  return Texts;
}

std::string reasonsText(const std::vector<Hindrance> &Why) {
  std::string Text;
  for (const Hindrance &One : Why) {
    Text +=
        fmt::format("{}{}: {}", Text.empty() ? "" : "; ", One.Reason, One.Text);
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

std::vector<Hindrance> maintenanceBlocked(const Ledger &Value,
                                          const RuleSet &Rules, WallTime Wall) {
  std::vector<Hindrance> Why;
  const MaintenanceRule &Rule = Rules.Maintenance;
  if (!Value.HaltedBy.empty()) {
    Why.push_back({"fleet-halted", 0, "halted by " + Value.HaltedBy});
  }
  if (!Value.Wave.Stopped.empty()) {
    Why.push_back({"wave-stopped", Rule.Origin.Line, Value.Wave.Stopped});
  }
  const bool Open = Rule.Windows.empty() ||
                    std::any_of(Rule.Windows.begin(), Rule.Windows.end(),
                                [&](const DailyWindow &Window) {
                                  return windowOpen(Window, Wall);
                                });
  if (!Open) {
    Why.push_back({"window-closed", Rule.Origin.Line,
                   "outside the declared maintenance windows"});
  }
  return Why;
}

FleetPlan makePlan(const Ledger &Value, const RuleSet &Rules,
                   const HostsNeeded &Needed, WallTime Wall,
                   unsigned MaxRounds) {
  FleetPlan Plan;
  Plan.Blocked = maintenanceBlocked(Value, Rules, Wall);
  for (const auto &[Host, Record] : Value.Hosts) {
    if (Record.away()) {
      Plan.Away.push_back(Host);
    }
  }
  AwayCounts Counts(Value);
  addRounds(Plan, dueHosts(Value, Rules, Wall), Counts, Value, Rules, Needed,
            MaxRounds);
  return Plan;
}

std::string planText(const Ledger &Value, const RuleSet &Rules,
                     const HostsNeeded &Needed, WallTime Wall,
                     unsigned MaxRounds, const HostWaits &Waits) {
  const FleetPlan Plan = makePlan(Value, Rules, Needed, Wall, MaxRounds);
  std::string Text;
  for (const Hindrance &Why : Plan.Blocked) {
    Text += fmt::format("nothing starts now: {}: {}\n", Why.Reason, Why.Text);
  }
  for (const HostName &Host : Plan.Away) {
    const HostRecord &Record = Value.Hosts.at(Host);
    Text += fmt::format("away      {:<20} {:<16} {:<15} {} {}", Host.Text,
                        Record.Pool.Text, stateCode(Record.State),
                        operationCode(Record.InHand.Kind), Record.InHand.Cause);
    const auto Wait = Waits.find(Host);
    Text += Wait == Waits.end()
                ? std::string("\n")
                : fmt::format("; {}\n", reasonsText({Wait->second}));
  }
  unsigned Number = 0;
  for (const std::vector<HostName> &Round : Plan.Rounds) {
    ++Number;
    for (const HostName &Host : Round) {
      Text += fmt::format("round {:<3} {:<20} {}\n", Number, Host.Text,
                          Value.Hosts.at(Host).Pool.Text);
    }
  }
  for (const WaitingHost &Host : Plan.Waiting) {
    Text += fmt::format("waits     {:<20} {:<16} {}\n", Host.Host.Text,
                        Host.Pool.Text, reasonsText(Host.Why));
  }
  return Text.empty() ? "no host is due\n" : Text;
}

boost::json::object planJson(const Ledger &Value, const RuleSet &Rules,
                             const HostsNeeded &Needed, WallTime Wall,
                             unsigned MaxRounds, const HostWaits &Waits) {
  const FleetPlan Plan = makePlan(Value, Rules, Needed, Wall, MaxRounds);
  boost::json::array Rounds;
  for (const std::vector<HostName> &Round : Plan.Rounds) {
    Rounds.push_back(namesJson(Round));
  }
  boost::json::array Waiting;
  for (const WaitingHost &Host : Plan.Waiting) {
    Waiting.push_back(boost::json::object{{"host", Host.Host.Text},
                                          {"pool", Host.Pool.Text},
                                          {"why", reasonsJson(Host.Why)}});
  }
  boost::json::array Away;
  for (const HostName &Host : Plan.Away) {
    const HostRecord &Record = Value.Hosts.at(Host);
    const auto Wait = Waits.find(Host);
    Away.push_back(boost::json::object{
        {"host", Host.Text},
        {"pool", Record.Pool.Text},
        {"state", stateCode(Record.State)},
        {"operation", operationCode(Record.InHand.Kind)},
        {"cause", Record.InHand.Cause},
        {"why", Wait == Waits.end() ? boost::json::array()
                                    : reasonsJson({Wait->second})}});
  }
  return {{"blocked", reasonsJson(Plan.Blocked)},
          {"away", std::move(Away)},
          {"rounds", std::move(Rounds)},
          {"waiting", std::move(Waiting)}};
}

} // namespace balsamlatch::fleet
