/// \file
/// Feeds the controller and the adoption of rules, and derives the engine's
/// view of the workers.

#include "balsamlatch/Daemon/FleetThread.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t InboxCapacity = 8192;
/// Slots of a worker that has not reported yet.
constexpr std::uint32_t DefaultSlots = 8;
/// Workers asked for a report at each tick, so that the cost for an entry
/// doesn't grow with the number of workers.
constexpr std::size_t AsksPerTick = 2;

} // namespace

std::vector<placement::WorkerView>
usableWorkers(const fleet::Ledger &Ledger, const HostListing &Listing,
              const std::map<HostName, std::uint32_t> &Slots) {
  std::vector<placement::WorkerView> Workers;
  for (const ListedHost &Listed : Listing.Hosts) {
    const auto Known = Ledger.Hosts.find(Listed.Host);
    if (Listed.Role != HostRole::Worker || Known == Ledger.Hosts.end()) {
      continue;
    }
    const fleet::HostRecord &Record = Known->second;
    const auto Reported = Slots.find(Listed.Host);
    placement::WorkerView View;
    View.Host = Listed.Host;
    View.At = Listed.At;
    View.Pool = Record.Pool;
    View.Rack = Record.Rack;
    View.DataCentre = Record.DataCentre;
    View.Accepting =
        Record.accepting() && Listed.Presence == HostPresence::Live;
    View.Slots = Reported == Slots.end() ? DefaultSlots : Reported->second;
    Workers.push_back(std::move(View));
  }
  std::sort(Workers.begin(), Workers.end());
  return Workers;
}

FleetThread::FleetThread(const fleet::ControllerOptions &Options,
                         AdoptionOptions RulesOptions, const Clock &Time,
                         LogSink &Log, DecisionMemory &Decisions,
                         Board &Standing, FleetOutlets Out)
    : Controller(Options), Rules(std::move(RulesOptions)),
      LedgerKey(fleet::ledgerKey(Options.Region)), TimeSource(Time), Sink(Log),
      Memory(Decisions), Shown(Standing), Outlets(std::move(Out)),
      Inbox(InboxCapacity) {}

FleetThread::~FleetThread() { stop(); }

void FleetThread::start() {
  Runner = std::thread([this] { run(); });
}

void FleetThread::stop() {
  Inbox.close();
  if (Runner.joinable()) {
    Runner.join();
  }
}

void FleetThread::run() {
  Instant NextTick = TimeSource.now();
  carryOut(Rules.start(NextTick));
  while (!Inbox.closed()) {
    const Duration Wait =
        std::max(Duration::zero(), NextTick - TimeSource.now());
    for (const FleetInput &Happened : Inbox.popAll(Wait)) {
      handle(Happened);
    }
    if (const Instant Now = TimeSource.now(); Now >= NextTick) {
      handle(fleet::FleetEvent(fleet::FleetTick{}));
      carryOut(Rules.handle(AdoptionTick{}, Now));
      askNextWorkers();
      NextTick = Now + fleet::FleetTickPeriod;
    }
    updateWorkers();
    publish();
  }
}

void FleetThread::handle(const FleetInput &Happened) {
  if (const auto *Event = std::get_if<fleet::FleetEvent>(&Happened)) {
    handle(*Event);
  } else {
    carryOut(Rules.handle(std::get<AdoptionEvent>(Happened), TimeSource.now()));
  }
}

void FleetThread::carryOut(std::vector<AdoptionAction> Actions) {
  std::optional<placement::Event> Changed;
  DocumentPtr Head;
  for (AdoptionAction &Wanted : Actions) {
    if (auto *Call = std::get_if<CallStore>(&Wanted)) {
      Outlets.RulesStore(std::move(Call->Request));
    } else if (std::holds_alternative<PullBase>(Wanted)) {
      Outlets.PullBase();
    } else if (auto *Accepted = std::get_if<RulesInForce>(&Wanted)) {
      Changed = placement::RulesChanged{Accepted->Rules};
      takeRules(std::move(Accepted->Rules));
    } else if (auto *Seen = std::get_if<HeadInForce>(&Wanted)) {
      Head = std::make_shared<const membership::Document>(membership::Document{
          std::string(HeadKey), Seen->StoreVersion, std::move(Seen->Text)});
    } else if (auto *Line = std::get_if<AdoptionReport>(&Wanted)) {
      report(std::move(*Line));
    }
  }
  if (Changed || Head != nullptr) {
    Outlets.Engine(DecisionInput{std::move(Changed), std::move(Head)});
  }
}

void FleetThread::takeRules(RuleSetPtr Accepted) {
  InForce = Accepted->Version;
  Shown.Rules.set(Accepted);
  Shown.RulesText.set(
      std::make_shared<const std::string>(Rules.state()->text()));
  Shown.RulesBase.set(
      std::make_shared<const std::string>(Rules.baseDocument()));
  handle(fleet::FleetEvent(fleet::RulesSeen{std::move(Accepted)}));
}

void FleetThread::report(AdoptionReport Line) {
  Sink.write(Line.Level, Line.Reason,
             {{"from", Line.From},
              {"rules", Line.Version.Value},
              {"message", Line.Message}});
}

void FleetThread::handle(const fleet::FleetEvent &Happened) {
  note(Happened);
  for (fleet::FleetAction &Wanted :
       Controller.handle(Happened, TimeSource.now(), TimeSource.wallNow())) {
    dispatch(std::move(Wanted));
  }
}

void FleetThread::note(const fleet::FleetEvent &Happened) {
  if (const auto *Seen = std::get_if<fleet::ListingSeen>(&Happened)) {
    if (Seen->Listing.Generation >= Listing.Generation) {
      Listing = Seen->Listing;
    }
  } else if (const auto *Worker = std::get_if<fleet::WorkerSeen>(&Happened)) {
    if (Worker->Status.ok() && Worker->Report.SlotsTotal > 0) {
      Slots[Worker->Host] = Worker->Report.SlotsTotal;
    }
  }
}

void FleetThread::dispatch(fleet::FleetAction Wanted) {
  if (auto *Submit = std::get_if<fleet::SubmitToStore>(&Wanted)) {
    Outlets.Store(std::move(*Submit));
  } else if (auto *Order = std::get_if<fleet::GiveOrder>(&Wanted)) {
    ++Shown.Counters.HostOrders;
    Outlets.Order(std::move(*Order));
  } else if (auto *Ask = std::get_if<fleet::AskWorker>(&Wanted)) {
    for (const ListedHost &Listed : Listing.Hosts) {
      if (Listed.Host == Ask->Host) {
        Outlets.AskWorker(Listed.Host, Listed.At);
      }
    }
  } else if (auto *Answer = std::get_if<fleet::AnswerOperator>(&Wanted)) {
    Outlets.Answer(std::move(*Answer));
  } else if (auto *Line = std::get_if<fleet::LogFleetDecision>(&Wanted)) {
    record(std::move(*Line));
  }
}

void FleetThread::record(fleet::LogFleetDecision Line) {
  boost::json::object Fields = Line.Details;
  Fields["subject"] = Line.Host.Text;
  Fields["rule_line"] = Line.RuleLine;
  Fields["rules"] = InForce.Value;
  Fields["ledger"] = Controller.ledgerVersion();
  Sink.write(LogLevel::Info, Line.Reason, std::move(Fields));
  Memory.add(Decision{TimeSource.wallNow(), 0, std::move(Line.Host.Text),
                      std::move(Line.Reason), Line.RuleLine, InForce,
                      Controller.ledgerVersion(), std::move(Line.Details)});
}

void FleetThread::askNextWorkers() {
  for (std::size_t I = 0; I < std::min(AsksPerTick, ToldWorkers.size()); ++I) {
    const placement::WorkerView &Next =
        ToldWorkers[NextAsked++ % ToldWorkers.size()];
    Outlets.AskWorker(Next.Host, Next.At);
  }
}

void FleetThread::updateWorkers() {
  std::vector<placement::WorkerView> Workers =
      usableWorkers(Controller.ledger(), Listing, Slots);
  const std::uint64_t Version = Controller.ledgerVersion();
  if (Version == ToldLedgerVersion && Workers == ToldWorkers) {
    return;
  }
  DocumentPtr Seen;
  if (Version != ToldLedgerVersion) {
    Seen = std::make_shared<const membership::Document>(membership::Document{
        LedgerKey, Version, fleet::encodeLedger(Controller.ledger())});
  }
  ToldWorkers = Workers;
  ToldLedgerVersion = Version;
  Outlets.Engine(DecisionInput{placement::WorkersChanged{std::move(Workers)},
                               std::move(Seen)});
}

void FleetThread::publish() {
  FleetStanding Standing = Shown.Fleet.get();
  if (Standing.LedgerVersion != Controller.ledgerVersion()) {
    Standing.Ledger =
        std::make_shared<const fleet::Ledger>(Controller.ledger());
    Standing.LedgerVersion = Controller.ledgerVersion();
  }
  Standing.Leads = Controller.leads();
  Standing.ListingGeneration = Listing.Generation;
  Standing.ListedWorkers = ToldWorkers.size();
  Shown.Fleet.set(std::move(Standing));
}

} // namespace balsamlatch::daemon
