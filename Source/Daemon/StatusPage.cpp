/// \file
/// Words status and explain as JSON.

#include "balsamlatch/Daemon/StatusPage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace balsamlatch::daemon {

namespace {

std::string timeText(WallTime Time) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Seconds)),
                     (Time - Seconds).count());
}

boost::json::object identity(const EntryIdentity &Self) {
  return {{"entry", Self.Entry.Text},
          {"region", Self.Region},
          {"data_centre", Self.DataCentre.Text}};
}

struct PoolCount {
  std::uint32_t Hosts = 0;
  std::uint32_t Away = 0;
};

std::map<PoolName, PoolCount> countHosts(const FleetStatus &Fleet) {
  std::map<PoolName, PoolCount> Counts;
  if (Fleet.Ledger != nullptr) {
    for (const auto &[Host, Record] : Fleet.Ledger->Hosts) {
      PoolCount &Count = Counts[Record.Pool];
      ++Count.Hosts;
      Count.Away += Record.away() ? 1 : 0;
    }
  }
  return Counts;
}

boost::json::array pools(const EngineStatus &Serving, const FleetStatus &Fleet,
                         const RuleSetPtr &Rules) {
  const std::map<PoolName, PoolCount> Counts = countHosts(Fleet);
  boost::json::array All;
  for (const placement::PoolStanding &Pool : Serving.Pools) {
    const auto Found = Counts.find(Pool.Pool);
    const PoolCount Count = Found == Counts.end() ? PoolCount() : Found->second;
    const PoolRule *Rule = Rules == nullptr ? nullptr : Rules->pool(Pool.Pool);
    All.push_back({{"pool", Pool.Pool.Text},
                   {"queued_prompt", Pool.QueuedPrompt},
                   {"queued_patient", Pool.QueuedPatient},
                   {"slots_in_use", Pool.SlotsInUse},
                   {"slots_total", Pool.SlotsTotal},
                   {"ejected", Pool.Ejected},
                   {"hosts", Count.Hosts},
                   {"away", Count.Away},
                   {"away_allowed",
                    Rule == nullptr ? 0 : Rule->Away.allowed(Count.Hosts)}});
  }
  return All;
}

boost::json::object host(const HostName &Name,
                         const fleet::HostRecord &Record) {
  boost::json::object Object{{"host", Name.Text},
                             {"pool", Record.Pool.Text},
                             {"state", fleet::stateCode(Record.State)},
                             {"rack", Record.Rack.Text},
                             {"data_centre", Record.DataCentre.Text},
                             {"state_version", Record.StateVersion}};
  if (Record.InHand.Kind != fleet::OperationKind::None) {
    Object["operation"] = Record.InHand.Id;
    Object["cause"] = Record.InHand.Cause;
    Object["since"] = timeText(Record.InHand.Since);
    if (!Record.InHand.Target.empty()) {
      Object["target"] = Record.InHand.Target.Text;
    }
  }
  if (Record.LastMaintained != WallTime{}) {
    Object["last_maintained"] = timeText(Record.LastMaintained);
  }
  return Object;
}

boost::json::object ledger(const FleetStatus &Fleet, bool WithHosts) {
  boost::json::object Object{{"version", Fleet.LedgerVersion},
                             {"listing", Fleet.ListingGeneration}};
  if (Fleet.Ledger == nullptr) {
    return Object;
  }
  Object["halted_by"] = Fleet.Ledger->HaltedBy;
  boost::json::object States;
  boost::json::array Hosts;
  for (const auto &[Name, Record] : Fleet.Ledger->Hosts) {
    boost::json::value &Count = States[fleet::stateCode(Record.State)];
    Count = Count.is_null() ? 1 : Count.to_number<std::int64_t>() + 1;
    if (WithHosts) {
      Hosts.push_back(host(Name, Record));
    }
  }
  Object["states"] = std::move(States);
  if (WithHosts) {
    Object["hosts"] = std::move(Hosts);
  }
  return Object;
}

boost::json::array peers(const DaemonStatus &Status) {
  boost::json::array All;
  for (const PeerStatus &Peer : Status.Peers.get()) {
    All.push_back({{"entry", Peer.Entry.Text},
                   {"state", Peer.State},
                   {"rules_document", Peer.Rules.Value},
                   {"ledger", Peer.LedgerVersion}});
  }
  return All;
}

/// Line \p Number of the text, counted from 1; empty if there is none.
std::string_view lineOf(std::string_view Text, unsigned Number) {
  for (unsigned Line = 1; Line < Number; ++Line) {
    const std::size_t End = Text.find('\n');
    if (End == std::string_view::npos) {
      return {};
    }
    Text.remove_prefix(End + 1);
  }
  return Text.substr(0, Text.find('\n'));
}

boost::json::object decision(const Decision &Made, const RuleSetPtr &Rules,
                             const std::shared_ptr<const std::string> &Text) {
  boost::json::object Told{
      {"time", timeText(Made.At)},    {"subject", Made.Subject},
      {"reason", Made.Reason},        {"rules", Made.Rules.Value},
      {"ledger", Made.LedgerVersion}, {"details", Made.Details}};
  if (Made.RuleLine == 0) {
    return Told;
  }
  Told["rule_line"] = Made.RuleLine;
  // The text of earlier versions isn't kept; `balsamlatch show` prints it.
  if (Rules != nullptr && Text != nullptr && Rules->Version == Made.Rules) {
    Told["rule"] = lineOf(*Text, Made.RuleLine);
  }
  return Told;
}

} // namespace

std::string statusPage(const EntryIdentity &Self, const DaemonStatus &Status,
                       bool WithHosts) {
  const EngineStatus Serving = Status.Engine.get();
  const FleetStatus Fleet = Status.Fleet.get();
  const RuleSetPtr Rules = Status.Rules.get();
  boost::json::object Page = identity(Self);
  Page["embedded"] = Self.Embedded;
  Page["ready"] = Status.IsReady.load();
  Page["stopping"] = Status.IsStopping.load();
  Page["rules"] = Rules == nullptr ? 0 : Rules->Version.Value;
  Page["ledger"] = ledger(Fleet, WithHosts);
  Page["leads"] = Fleet.IsLeader;
  Page["open_requests"] = Serving.OpenRequests;
  Page["open_attempts"] = Serving.OpenAttempts;
  Page["ended"] = {{"answered", Serving.Counters.Answered},
                   {"not_run", Serving.Counters.NotRun},
                   {"unknown", Serving.Counters.Unknown}};
  Page["pools"] = pools(Serving, Fleet, Rules);
  Page["entries"] = peers(Status);
  return boost::json::serialize(Page);
}

std::string explainPage(const EntryIdentity &Self, const DaemonStatus &Status,
                        std::string_view Subject,
                        const std::vector<Decision> &Decisions) {
  boost::json::object Page = identity(Self);
  Page["subject"] = Subject;
  const FleetStatus Fleet = Status.Fleet.get();
  if (Fleet.Ledger != nullptr) {
    const auto Known = Fleet.Ledger->Hosts.find(HostName(std::string(Subject)));
    if (Known != Fleet.Ledger->Hosts.end()) {
      Page["host"] = host(Known->first, Known->second);
    }
  }
  const RuleSetPtr Rules = Status.Rules.get();
  const auto Text = Status.RulesText.get();
  boost::json::array Told;
  for (const Decision &Made : Decisions) {
    Told.push_back(decision(Made, Rules, Text));
  }
  Page["decisions"] = std::move(Told);
  return boost::json::serialize(Page);
}

} // namespace balsamlatch::daemon
