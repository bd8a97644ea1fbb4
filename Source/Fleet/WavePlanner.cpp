/// \file
/// Maintenance waves.

#include "WavePlanner.h"

#include "Operations.h"
#include "balsamlatch/Fleet/Plan.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

bool inWave(const HostRecord &Record) {
  return Record.InHand.Kind == OperationKind::Maintain &&
         Record.State != HostState::Failed;
}

std::uint32_t countDue(const Ledger &Value, const RuleSet &Rules,
                       WallTime Wall) {
  return static_cast<std::uint32_t>(
      std::count_if(Value.Hosts.begin(), Value.Hosts.end(), [&](auto &Item) {
        return Item.second.accepting() &&
               Item.second.InHand.Kind != OperationKind::Maintain &&
               maintenanceDue(Item.second, Rules, Wall);
      }));
}

bool beyondShare(const WaveRecord &Wave, std::uint32_t StopPercent) {
  constexpr std::uint64_t Percent = 100;
  const std::uint32_t Base =
      std::max(Wave.Started, std::min(Wave.Size, StopBaseHosts));
  return Wave.Lost * Percent > std::uint64_t(Base) * StopPercent;
}

/// Stops the wave: what has not been rebooted yet goes back.
void stopWave(Draft &Next, const MaintenanceRule &Rule) {
  WaveRecord &Wave = Next.editWhole().Wave;
  Wave.Stopped =
      fmt::format("{} of {} hosts did not come back, more than {} percent",
                  Wave.Lost, Wave.Started, Rule.StopPercent);
  Next.note({}, "wave-stopped", Rule.Origin.Line,
            {{"lost", Wave.Lost},
             {"started", Wave.Started},
             {"stop_percent", Rule.StopPercent}});
  for (const auto &[Host, Record] : Ledger(Next.value()).Hosts) {
    const bool BeforeReboot = Record.State == HostState::Leaving ||
                              Record.State == HostState::Drained;
    if (inWave(Record) && BeforeReboot && !Record.InHand.Cancelled) {
      Next.edit(Host).InHand.Cancelled = true;
      Next.note(Host, "operation-cancelled", Rule.Origin.Line,
                {{"by", "wave-stopped"}, {"operation", Record.InHand.Id}});
    }
  }
}

/// Begins or ends a wave. Returns whether one is in hand.
bool followWave(Draft &Next, const RuleSet &Rules, WallTime Wall) {
  const Ledger &Value = Next.value();
  const std::uint32_t Due = countDue(Value, Rules, Wall);
  if (Value.Wave.Size == 0) {
    if (Due == 0) {
      return false;
    }
    Next.editWhole().Wave.Size = Due;
    Next.note({}, "wave-begun", Rules.Maintenance.Origin.Line,
              {{"hosts", Due}});
    return true;
  }
  const bool Busy =
      std::any_of(Value.Hosts.begin(), Value.Hosts.end(),
                  [](const auto &Item) { return inWave(Item.second); });
  if (Due == 0 && !Busy && Value.Wave.Stopped.empty()) {
    const WaveRecord Ended = Value.Wave;
    Next.editWhole().Wave = WaveRecord();
    Next.note({}, "wave-ended", 0,
              {{"started", Ended.Started}, {"lost", Ended.Lost}});
    return false;
  }
  return true;
}

} // namespace

void planWave(Draft &Next, const RuleSet &Rules, const HostsNeeded &Needed,
              WallTime Wall, const std::string &Prefix) {
  const MaintenanceRule &Rule = Rules.Maintenance;
  if (Rule.Period <= Duration::zero() || !followWave(Next, Rules, Wall)) {
    return;
  }
  const WaveRecord &Wave = Next.value().Wave;
  if (Wave.Stopped.empty() && beyondShare(Wave, Rule.StopPercent)) {
    stopWave(Next, Rule);
  }
  if (!maintenanceBlocked(Next.value(), Rules, Wall).empty()) {
    return;
  }
  const FleetPlan Plan = makePlan(Next.value(), Rules, Needed, Wall);
  if (Plan.Rounds.empty()) {
    return;
  }
  for (const HostName &Host : Plan.Rounds.front()) {
    Operation Hand;
    Hand.Kind = OperationKind::Maintain;
    Hand.Id = fmt::format("{}-w{}-{}", Prefix, Next.baseVersion(), Host.Text);
    Hand.Cause = fmt::format("rule line {}", Rule.Origin.Line);
    Hand.Since = Wall;
    if (beginOperation(Next, Rules, Needed, Host, Hand).ok()) {
      ++Next.editWhole().Wave.Started;
    }
  }
}

} // namespace balsamlatch::fleet
