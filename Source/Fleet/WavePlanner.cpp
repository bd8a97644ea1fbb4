/// \file
/// The life of a maintenance wave.

#include "WavePlanner.h"

#include "Operations.h"
#include "balsamlatch/Fleet/Plan.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::fleet {

namespace {

bool inWave(const HostRecord &Record) {
  return Record.CurrentOperation.Kind == OperationKind::Maintain &&
         Record.State != HostState::Failed;
}

std::uint32_t countDue(const Ledger &CurrentLedger, const RuleSet &Rules,
                       WallTime Wall) {
  return static_cast<std::uint32_t>(std::count_if(
      CurrentLedger.Hosts.begin(), CurrentLedger.Hosts.end(), [&](auto &Item) {
        return Item.second.accepting() &&
               Item.second.CurrentOperation.Kind != OperationKind::Maintain &&
               maintenanceDue(Item.second, Rules, Wall);
      }));
}

bool exceedsLossLimit(const WaveRecord &Wave, std::uint32_t StopPercent) {
  constexpr std::uint64_t Percent = 100;
  const std::uint32_t Base =
      std::max(Wave.StartedHosts, std::min(Wave.DueHosts, MinStopBaseHosts));
  return Wave.LostHosts * Percent > std::uint64_t(Base) * StopPercent;
}

/// Stops the wave and cancels its operations that haven't reached the reboot.
void stopWave(Draft &NextLedger, const MaintenanceRule &Rule) {
  WaveRecord &Wave = NextLedger.editLedger().Wave;
  Wave.StopReason =
      fmt::format("{} of {} hosts did not come back, more than {} percent",
                  Wave.LostHosts, Wave.StartedHosts, Rule.StopPercent);
  NextLedger.addLogLine({}, "wave-stopped", Rule.Origin.Line,
                        {{"lost", Wave.LostHosts},
                         {"started", Wave.StartedHosts},
                         {"stop_percent", Rule.StopPercent}});
  for (const auto &[Host, Record] : Ledger(NextLedger.value()).Hosts) {
    const bool IsBeforeReboot = Record.State == HostState::Leaving ||
                                Record.State == HostState::Drained;
    if (inWave(Record) && IsBeforeReboot &&
        !Record.CurrentOperation.Cancelled) {
      NextLedger.edit(Host).CurrentOperation.Cancelled = true;
      NextLedger.addLogLine(
          Host, "operation-cancelled", Rule.Origin.Line,
          {{"by", "wave-stopped"}, {"operation", Record.CurrentOperation.Id}});
    }
  }
}

/// Starts or ends a wave. Returns whether one is in progress.
bool updateWave(Draft &NextLedger, const RuleSet &Rules, WallTime Wall) {
  const Ledger &CurrentLedger = NextLedger.value();
  const std::uint32_t DueCount = countDue(CurrentLedger, Rules, Wall);
  if (CurrentLedger.Wave.DueHosts == 0) {
    if (DueCount == 0) {
      return false;
    }
    NextLedger.editLedger().Wave.DueHosts = DueCount;
    NextLedger.addLogLine({}, "wave-begun", Rules.Maintenance.Origin.Line,
                          {{"hosts", DueCount}});
    return true;
  }
  const bool HostsInProgress =
      std::any_of(CurrentLedger.Hosts.begin(), CurrentLedger.Hosts.end(),
                  [](const auto &Item) { return inWave(Item.second); });
  if (DueCount == 0 && !HostsInProgress &&
      CurrentLedger.Wave.StopReason.empty()) {
    const WaveRecord EndedWave = CurrentLedger.Wave;
    NextLedger.editLedger().Wave = WaveRecord();
    NextLedger.addLogLine(
        {}, "wave-ended", 0,
        {{"started", EndedWave.StartedHosts}, {"lost", EndedWave.LostHosts}});
    return false;
  }
  return true;
}

} // namespace

void planWave(Draft &NextLedger, const RuleSet &Rules,
              const RequiredHostCounts &RequiredHosts, WallTime Wall,
              const std::string &IdPrefix) {
  const MaintenanceRule &Rule = Rules.Maintenance;
  if (Rule.Period <= Duration::zero() || !updateWave(NextLedger, Rules, Wall)) {
    return;
  }
  const WaveRecord &Wave = NextLedger.value().Wave;
  if (Wave.StopReason.empty() && exceedsLossLimit(Wave, Rule.StopPercent)) {
    stopWave(NextLedger, Rule);
  }
  if (!maintenanceBlocked(NextLedger.value(), Rules, Wall).empty()) {
    return;
  }
  const FleetPlan Plan =
      makePlan(NextLedger.value(), Rules, RequiredHosts, Wall);
  if (Plan.Rounds.empty()) {
    return;
  }
  for (const HostName &Host : Plan.Rounds.front()) {
    Operation Op;
    Op.Kind = OperationKind::Maintain;
    Op.Id =
        fmt::format("{}-w{}-{}", IdPrefix, NextLedger.baseVersion(), Host.Text);
    Op.Cause = fmt::format("rule line {}", Rule.Origin.Line);
    Op.Since = Wall;
    if (beginOperation(NextLedger, Rules, RequiredHosts, Host, Op).ok()) {
      ++NextLedger.editLedger().Wave.StartedHosts;
    }
  }
}

} // namespace balsamlatch::fleet
