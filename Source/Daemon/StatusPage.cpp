/// \file
/// Builds the status and explain pages as JSON.

#include "balsamlatch/Daemon/StatusPage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace balsamlatch::daemon {

namespace {

std::string formatTime(WallTime Time) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Seconds)),
                     (Time - Seconds).count());
}

boost::json::object identityJson(const EntryIdentity &Identity) {
  return {{"entry", Identity.Entry.Text},
          {"region", Identity.Region},
          {"data_centre", Identity.DataCentre.Text}};
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

boost::json::array poolsJson(const EngineStatus &Engine,
                             const FleetStatus &Fleet,
                             const RuleSetPtr &Rules) {
  const std::map<PoolName, PoolCount> Counts = countHosts(Fleet);
  boost::json::array Array;
  for (const placement::PoolStatus &Pool : Engine.Pools) {
    const auto It = Counts.find(Pool.Pool);
    const PoolCount Count = It == Counts.end() ? PoolCount() : It->second;
    const PoolRule *Rule = Rules == nullptr ? nullptr : Rules->pool(Pool.Pool);
    Array.push_back({{"pool", Pool.Pool.Text},
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
  return Array;
}

boost::json::object hostJson(const HostName &Name,
                             const fleet::HostRecord &Record) {
  boost::json::object Object{{"host", Name.Text},
                             {"pool", Record.Pool.Text},
                             {"state", fleet::stateCode(Record.State)},
                             {"rack", Record.Rack.Text},
                             {"data_centre", Record.DataCentre.Text},
                             {"state_version", Record.StateVersion}};
  if (Record.CurrentOperation.Kind != fleet::OperationKind::None) {
    Object["operation"] = Record.CurrentOperation.Id;
    Object["cause"] = Record.CurrentOperation.Cause;
    Object["since"] = formatTime(Record.CurrentOperation.Since);
    if (!Record.CurrentOperation.Target.empty()) {
      Object["target"] = Record.CurrentOperation.Target.Text;
    }
  }
  if (Record.LastMaintained != WallTime{}) {
    Object["last_maintained"] = formatTime(Record.LastMaintained);
  }
  return Object;
}

boost::json::object ledgerJson(const FleetStatus &Fleet, bool WithHosts) {
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
      Hosts.push_back(hostJson(Name, Record));
    }
  }
  Object["states"] = std::move(States);
  if (WithHosts) {
    Object["hosts"] = std::move(Hosts);
  }
  return Object;
}

boost::json::array peersJson(const DaemonStatus &Status) {
  boost::json::array Array;
  for (const PeerStatus &Peer : Status.Peers.get()) {
    Array.push_back({{"entry", Peer.Entry.Text},
                     {"state", Peer.State},
                     {"rules_document", Peer.Rules.Value},
                     {"ledger", Peer.LedgerVersion}});
  }
  return Array;
}

/// Returns line \p Number of the text, counted from 1, or an empty string.
std::string_view lineAt(std::string_view Text, unsigned Number) {
  for (unsigned Line = 1; Line < Number; ++Line) {
    const std::size_t End = Text.find('\n');
    if (End == std::string_view::npos) {
      return {};
    }
    Text.remove_prefix(End + 1);
  }
  return Text.substr(0, Text.find('\n'));
}

boost::json::object
decisionJson(const Decision &Record, const RuleSetPtr &Rules,
             const std::shared_ptr<const std::string> &Text) {
  boost::json::object Object{
      {"time", formatTime(Record.Time)}, {"subject", Record.Subject},
      {"reason", Record.Reason},         {"rules", Record.Rules.Value},
      {"ledger", Record.LedgerVersion},  {"details", Record.Details}};
  if (Record.RuleLine == 0) {
    return Object;
  }
  Object["rule_line"] = Record.RuleLine;
  // Only the text of the active rules is in memory; `balsamlatch show` prints
  // earlier versions.
  if (Rules != nullptr && Text != nullptr && Rules->Version == Record.Rules) {
    Object["rule"] = lineAt(*Text, Record.RuleLine);
  }
  return Object;
}

} // namespace

std::string statusPage(const EntryIdentity &Identity,
                       const DaemonStatus &Status, bool WithHosts) {
  const EngineStatus Engine = Status.Engine.get();
  const FleetStatus Fleet = Status.Fleet.get();
  const RuleSetPtr Rules = Status.Rules.get();
  boost::json::object Page = identityJson(Identity);
  Page["embedded"] = Identity.Embedded;
  Page["ready"] = Status.IsReady.load();
  Page["stopping"] = Status.IsStopping.load();
  Page["rules"] = Rules == nullptr ? 0 : Rules->Version.Value;
  Page["ledger"] = ledgerJson(Fleet, WithHosts);
  Page["leads"] = Fleet.IsLeader;
  Page["open_requests"] = Engine.OpenRequests;
  Page["open_attempts"] = Engine.OpenAttempts;
  Page["ended"] = {{"answered", Engine.Counters.Answered},
                   {"not_run", Engine.Counters.NotRun},
                   {"unknown", Engine.Counters.Unknown}};
  Page["pools"] = poolsJson(Engine, Fleet, Rules);
  Page["entries"] = peersJson(Status);
  return boost::json::serialize(Page);
}

std::string explainPage(const EntryIdentity &Identity,
                        const DaemonStatus &Status, std::string_view Subject,
                        const std::vector<Decision> &Decisions) {
  boost::json::object Page = identityJson(Identity);
  Page["subject"] = Subject;
  const FleetStatus Fleet = Status.Fleet.get();
  if (Fleet.Ledger != nullptr) {
    const auto It = Fleet.Ledger->Hosts.find(HostName(std::string(Subject)));
    if (It != Fleet.Ledger->Hosts.end()) {
      Page["host"] = hostJson(It->first, It->second);
    }
  }
  const RuleSetPtr Rules = Status.Rules.get();
  const auto Text = Status.RulesText.get();
  boost::json::array DecisionArray;
  for (const Decision &Record : Decisions) {
    DecisionArray.push_back(decisionJson(Record, Rules, Text));
  }
  Page["decisions"] = std::move(DecisionArray);
  return boost::json::serialize(Page);
}

} // namespace balsamlatch::daemon
