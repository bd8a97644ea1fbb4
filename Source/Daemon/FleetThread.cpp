/// \file
/// Passes events to the controller and the rules adoption, and derives the list
/// of workers that the engine may use.

#include "balsamlatch/Daemon/FleetThread.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t InboxCapacity = 8192;
/// Assumed number of slots of a worker that has not reported yet.
constexpr std::uint32_t DefaultSlots = 8;
/// Number of workers asked for a report at each tick. It is fixed so that the
/// cost for an entry doesn't grow with the number of workers.
constexpr std::size_t ReportRequestsPerTick = 2;

} // namespace

std::vector<placement::WorkerView>
usableWorkers(const fleet::Ledger &Ledger, const HostListing &Listing,
              const std::map<HostName, std::uint32_t> &SlotsByHost) {
  std::vector<placement::WorkerView> Workers;
  for (const ListedHost &Host : Listing.Hosts) {
    const auto RecordIt = Ledger.Hosts.find(Host.Host);
    if (Host.Role != HostRole::Worker || RecordIt == Ledger.Hosts.end()) {
      continue;
    }
    const fleet::HostRecord &Record = RecordIt->second;
    const auto SlotsIt = SlotsByHost.find(Host.Host);
    placement::WorkerView View;
    View.Host = Host.Host;
    View.At = Host.At;
    View.Pool = Record.Pool;
    View.Rack = Record.Rack;
    View.DataCentre = Record.DataCentre;
    View.Accepting = Record.accepting() && Host.Presence == HostPresence::Live;
    View.Slots = SlotsIt == SlotsByHost.end() ? DefaultSlots : SlotsIt->second;
    Workers.push_back(std::move(View));
  }
  std::sort(Workers.begin(), Workers.end());
  return Workers;
}

FleetThread::FleetThread(const fleet::ControllerOptions &Options,
                         AdoptionOptions RulesOptions, const Clock &Time,
                         LogSink &LogOutput, DecisionHistory &SharedHistory,
                         DaemonStatus &SharedStatus,
                         FleetCallbacks InitialCallbacks)
    : Controller(Options), RulesAdoption(std::move(RulesOptions)),
      LedgerKey(fleet::ledgerKey(Options.Region)), TimeSource(Time),
      Sink(LogOutput), History(SharedHistory), Status(SharedStatus),
      Callbacks(std::move(InitialCallbacks)), Inbox(InboxCapacity) {}

FleetThread::~FleetThread() { stop(); }

void FleetThread::start() {
  Thread = std::thread([this] { run(); });
}

void FleetThread::stop() {
  Inbox.close();
  if (Thread.joinable()) {
    Thread.join();
  }
}

void FleetThread::run() {
  Instant NextTick = TimeSource.now();
  execute(RulesAdoption.start(NextTick));
  while (!Inbox.closed()) {
    const Duration Timeout =
        std::max(Duration::zero(), NextTick - TimeSource.now());
    for (const FleetInput &Input : Inbox.popAll(Timeout)) {
      handle(Input);
    }
    if (const Instant Now = TimeSource.now(); Now >= NextTick) {
      handle(fleet::FleetEvent(fleet::FleetTick{}));
      execute(RulesAdoption.handle(AdoptionTick{}, Now));
      requestWorkerReports();
      NextTick = Now + fleet::FleetTickPeriod;
    }
    updateWorkers();
    publishStatus();
  }
}

void FleetThread::handle(const FleetInput &Input) {
  if (const auto *Event = std::get_if<fleet::FleetEvent>(&Input)) {
    handle(*Event);
  } else {
    execute(
        RulesAdoption.handle(std::get<AdoptionEvent>(Input), TimeSource.now()));
  }
}

void FleetThread::execute(std::vector<AdoptionAction> Actions) {
  std::optional<placement::Event> Event;
  DocumentPtr HeadDocument;
  for (AdoptionAction &Action : Actions) {
    if (auto *StoreCall = std::get_if<CallStore>(&Action)) {
      Callbacks.SubmitRulesRequest(std::move(StoreCall->Request));
    } else if (std::holds_alternative<RequestBase>(Action)) {
      Callbacks.PullBaseDocument();
    } else if (auto *RulesAction = std::get_if<RulesInForce>(&Action)) {
      Event = placement::RulesChanged{RulesAction->Rules};
      activateRules(std::move(RulesAction->Rules));
    } else if (auto *HeadAction = std::get_if<HeadInForce>(&Action)) {
      HeadDocument = std::make_shared<const membership::Document>(
          membership::Document{std::string(HeadKey), HeadAction->StoreVersion,
                               std::move(HeadAction->Text)});
    } else if (auto *Report = std::get_if<AdoptionReport>(&Action)) {
      logAdoptionReport(std::move(*Report));
    }
  }
  if (Event || HeadDocument != nullptr) {
    Callbacks.PushToEngine(
        DecisionInput{std::move(Event), std::move(HeadDocument)});
  }
}

void FleetThread::activateRules(RuleSetPtr NewRules) {
  ActiveRulesVersion = NewRules->Version;
  Status.Rules.set(NewRules);
  Status.RulesText.set(
      std::make_shared<const std::string>(RulesAdoption.state()->text()));
  Status.RulesBase.set(
      std::make_shared<const std::string>(RulesAdoption.baseDocument()));
  handle(fleet::FleetEvent(fleet::RulesReceived{std::move(NewRules)}));
}

void FleetThread::logAdoptionReport(AdoptionReport Report) {
  Sink.write(Report.Level, Report.Reason,
             {{"from", Report.From},
              {"rules", Report.Version.Value},
              {"message", Report.Message}});
}

void FleetThread::handle(const fleet::FleetEvent &Event) {
  updateInventory(Event);
  for (fleet::FleetAction &Action :
       Controller.handle(Event, TimeSource.now(), TimeSource.wallNow())) {
    executeAction(std::move(Action));
  }
}

void FleetThread::updateInventory(const fleet::FleetEvent &Event) {
  if (const auto *ListingEvent =
          std::get_if<fleet::HostListingReceived>(&Event)) {
    if (ListingEvent->Listing.Generation >= Listing.Generation) {
      Listing = ListingEvent->Listing;
    }
  } else if (const auto *WorkerEvent =
                 std::get_if<fleet::WorkerReportReceived>(&Event)) {
    if (WorkerEvent->Status.ok() && WorkerEvent->Report.SlotsTotal > 0) {
      SlotsByHost[WorkerEvent->Host] = WorkerEvent->Report.SlotsTotal;
    }
  }
}

void FleetThread::executeAction(fleet::FleetAction Action) {
  if (auto *Submit = std::get_if<fleet::SendStoreRequest>(&Action)) {
    Callbacks.SubmitControllerRequest(std::move(*Submit));
  } else if (auto *Order = std::get_if<fleet::SendHostOrder>(&Action)) {
    ++Status.Counters.HostOrders;
    Callbacks.SendHostOrder(std::move(*Order));
  } else if (auto *ReportRequest =
                 std::get_if<fleet::RequestWorkerReport>(&Action)) {
    for (const ListedHost &Host : Listing.Hosts) {
      if (Host.Host == ReportRequest->Host) {
        Callbacks.RequestWorkerReport(Host.Host, Host.At);
      }
    }
  } else if (auto *Answer = std::get_if<fleet::AnswerOwnerOrder>(&Action)) {
    Callbacks.ReplyToOperator(std::move(*Answer));
  } else if (auto *LogEntry = std::get_if<fleet::LogFleetDecision>(&Action)) {
    logDecision(std::move(*LogEntry));
  }
}

void FleetThread::logDecision(fleet::LogFleetDecision LogEntry) {
  boost::json::object Fields = LogEntry.Details;
  Fields["subject"] = LogEntry.Host.Text;
  Fields["rule_line"] = LogEntry.RuleLine;
  Fields["rules"] = ActiveRulesVersion.Value;
  Fields["ledger"] = Controller.ledgerVersion();
  Sink.write(LogLevel::Info, LogEntry.Reason, std::move(Fields));
  History.add(Decision{TimeSource.wallNow(), 0, std::move(LogEntry.Host.Text),
                       std::move(LogEntry.Reason), LogEntry.RuleLine,
                       ActiveRulesVersion, Controller.ledgerVersion(),
                       std::move(LogEntry.Details)});
}

void FleetThread::requestWorkerReports() {
  for (std::size_t I = 0;
       I < std::min(ReportRequestsPerTick, EngineWorkers.size()); ++I) {
    const placement::WorkerView &Next =
        EngineWorkers[NextReportIndex++ % EngineWorkers.size()];
    Callbacks.RequestWorkerReport(Next.Host, Next.At);
  }
}

void FleetThread::updateWorkers() {
  std::vector<placement::WorkerView> Workers =
      usableWorkers(Controller.ledger(), Listing, SlotsByHost);
  const std::uint64_t Version = Controller.ledgerVersion();
  if (Version == EngineLedgerVersion && Workers == EngineWorkers) {
    return;
  }
  DocumentPtr LedgerDocument;
  if (Version != EngineLedgerVersion) {
    LedgerDocument =
        std::make_shared<const membership::Document>(membership::Document{
            LedgerKey, Version, fleet::encodeLedger(Controller.ledger())});
  }
  EngineWorkers = Workers;
  EngineLedgerVersion = Version;
  Callbacks.PushToEngine(
      DecisionInput{placement::WorkersChanged{std::move(Workers)},
                    std::move(LedgerDocument)});
}

void FleetThread::publishStatus() {
  FleetStatus NewStatus = Status.Fleet.get();
  if (NewStatus.LedgerVersion != Controller.ledgerVersion()) {
    NewStatus.Ledger =
        std::make_shared<const fleet::Ledger>(Controller.ledger());
    NewStatus.LedgerVersion = Controller.ledgerVersion();
  }
  NewStatus.IsLeader = Controller.leads();
  NewStatus.ListingGeneration = Listing.Generation;
  NewStatus.UsableWorkers = EngineWorkers.size();
  Status.Fleet.set(std::move(NewStatus));
}

} // namespace balsamlatch::daemon
