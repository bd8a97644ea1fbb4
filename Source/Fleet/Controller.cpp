/// \file
/// The fleet controller's event loop: maintains the controller lease and the
/// latest ledger, runs the planners on a draft of the next ledger, and writes
/// the draft with a compare-and-swap.

#include "balsamlatch/Fleet/Controller.h"

#include "HostReconciler.h"
#include "HostRegistration.h"
#include "LeaseHolder.h"
#include "LedgerWriter.h"
#include "MovePlanner.h"
#include "OperatorOrders.h"
#include "Recovery.h"
#include "WavePlanner.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace balsamlatch::fleet {

namespace {

/// The ledger is read from the store if no version was received for this long.
constexpr Duration LedgerRefreshPeriod = std::chrono::seconds(5);
/// Report period of hosts with an operation or a failure, and the shortest
/// report period of all other hosts.
constexpr Duration ActiveReportPeriod = std::chrono::seconds(1);
constexpr Duration IdleReportPeriod = std::chrono::seconds(5);
/// Lengthens the period of idle hosts with their number, so that a large fleet
/// causes a bounded rate of reports.
constexpr Duration IdleReportPeriodPerHost = std::chrono::milliseconds(80);

/// Number of entries that request the lease at each renewal period.
constexpr std::ptrdiff_t MaxLeaseCandidates = 3;

std::string makeControllerId(const ControllerOptions &Options) {
  std::mt19937_64 Random(Options.Seed);
  return fmt::format("{}-{:x}", Options.Self.Text, Random());
}

} // namespace

std::string ledgerKey(std::string_view Region) {
  return fmt::format("fleet/{}/ledger", Region);
}

class Controller::Impl {
public:
  explicit Impl(const ControllerOptions &Options)
      : OwnEntry(Options.Self), ControllerId(makeControllerId(Options)),
        LedgerStoreKey(ledgerKey(Options.Region)),
        Lease(fmt::format("fleet/{}/controller", Options.Region), ControllerId),
        Writer(LedgerStoreKey, ControllerId), OperatorQueue(ControllerId) {}

  std::vector<FleetAction> handle(const FleetEvent &Event, Instant MonotonicNow,
                                  WallTime WallClockNow) {
    Now = MonotonicNow;
    Wall = std::chrono::floor<std::chrono::seconds>(WallClockNow);
    Actions.clear();
    std::visit([this](const auto &Alternative) { on(Alternative); }, Event);
    return std::move(Actions);
  }

  const Ledger &ledger() const { return CurrentLedger; }
  std::uint64_t version() const { return CurrentVersion; }
  const HostBlockers &blockers() const { return Blockers; }
  const RequiredHostCounts &requiredHosts() const { return RequiredHosts; }
  bool leads() const { return Lease.holds(Now); }

private:
  void on(const LedgerReceived &Event) {
    receiveLedger(Event.Version, Event.Text);
  }
  void on(const StoreReplied &Event);
  void on(const HostOrderReplyReceived &Event) {
    HostOrders.recordReply(Event, Now);
  }
  void on(const HostListingReceived &Event) { Observations.record(Event); }
  void on(const WorkerReportReceived &Event) {
    Observations.record(Event, Now);
  }
  void on(const EntryVersionsReported &Event);
  void on(const RulesReceived &Event) { Rules = Event.Rules; }
  void on(const DemandReported &Event) {
    Demand.take(Event, Now);
    RequiredHosts = Demand.warmedUp(Now)
                        ? Demand.requiredHosts(Observations.slotsPerHost())
                        : RequiredHostCounts();
  }
  void on(const OwnerOrderReceived &Event) {
    OperatorQueue.enqueue(Event, Now);
    planChanges();
  }
  void on(const FleetTick &);

  Ticket newTicket() { return Ticket(++LastTicket); }
  void submit(StoreRequest Request, Ticket StoreTicket) {
    Actions.emplace_back(SendStoreRequest{StoreTicket, std::move(Request)});
  }

  void receiveLedger(std::uint64_t Version, std::string_view Text);
  void updateLedger(std::uint64_t Version, Ledger NewLedger);
  void handleSwapReply(const StoreReply &Reply);
  void handleReadReply(const StoreReply &Reply);
  void completeDraft(bool IsWritten);
  void requestRead();
  void planChanges();
  void draftChanges(Draft &NextLedger);
  void submitDraft(Draft NextLedger);
  void requestReports();
  void updateBlocker(const HostName &Host, const Blocker &NewBlocker);

  const EntryName OwnEntry;
  const std::string ControllerId;
  const std::string LedgerStoreKey;
  // Whether this entry requests the lease at each renewal period.
  bool IsLeaseCandidate = true;
  LeaseHolder Lease;
  LedgerWriter Writer;
  OperatorOrders OperatorQueue;
  OrderTracker HostOrders;
  FleetObservations Observations;
  RuleSetPtr Rules;
  DemandTracker Demand;
  RequiredHostCounts RequiredHosts;
  MovePlanner PoolMovePlanner;

  Ledger CurrentLedger;
  // Invariant: never decreases. 0 with LedgerObserved set means that the store
  // has no ledger.
  std::uint64_t CurrentVersion = 0;
  bool LedgerObserved = false;
  Instant LedgerObservedAt{};

  std::uint64_t LastTicket = 0;
  Ticket LeaseTicket;
  Ticket WriterTicket;
  // Set while the draft's write is in flight or its outcome is unknown.
  std::optional<Draft> PendingDraft;
  // Only hosts whose operation is blocked; the empty name stands for recovery.
  HostBlockers Blockers;

  // Set for the duration of one handle() call.
  Instant Now{};
  WallTime Wall{};
  std::vector<FleetAction> Actions;
};

void Controller::Impl::on(const StoreReplied &Event) {
  if (Event.Of == LeaseTicket) {
    LeaseTicket = Ticket();
    Lease.handleReply(Event.Reply);
    return;
  }
  if (Event.Of != WriterTicket) {
    return;
  }
  WriterTicket = Ticket();
  if (Writer.swapInFlight()) {
    handleSwapReply(Event.Reply);
  } else {
    handleReadReply(Event.Reply);
  }
  planChanges();
}

/// The first MaxLeaseCandidates live entries by name request the lease. An
/// entry that isn't in the list yet requests it too.
void Controller::Impl::on(const EntryVersionsReported &Event) {
  Observations.record(Event, Now);
  const auto EarlierEntries =
      std::count_if(Event.Live.begin(), Event.Live.end(),
                    [this](const EntryVersionsReported::View &View) {
                      return View.Entry < OwnEntry;
                    });
  const bool IsListed =
      std::any_of(Event.Live.begin(), Event.Live.end(),
                  [this](const EntryVersionsReported::View &View) {
                    return View.Entry == OwnEntry;
                  });
  IsLeaseCandidate = !IsListed || EarlierEntries < MaxLeaseCandidates;
}

void Controller::Impl::on(const FleetTick &) {
  if (const std::optional<LeaseAcquire> Request =
          Lease.nextRequest(Now, IsLeaseCandidate)) {
    LeaseTicket = newTicket();
    submit(*Request, LeaseTicket);
  }
  if (Writer.expire(Now)) {
    WriterTicket = Ticket();
  }
  OperatorQueue.expire(Now, Actions);
  if (leads()) {
    requestReports();
  } else {
    Blockers.clear();
  }
  planChanges();
}

void Controller::Impl::receiveLedger(std::uint64_t Version,
                                     std::string_view Text) {
  LedgerObservedAt = Now;
  LedgerObserved = true;
  if (Version <= CurrentVersion) {
    return;
  }
  absl::StatusOr<Ledger> NewLedger = decodeLedger(Text);
  if (!NewLedger.ok()) {
    Actions.emplace_back(LogFleetDecision{
        {},
        "ledger-unreadable",
        0,
        {{"version", Version}, {"why", NewLedger.status().ToString()}}});
    return;
  }
  updateLedger(Version, std::move(*NewLedger));
}

void Controller::Impl::updateLedger(std::uint64_t Version, Ledger NewLedger) {
  if (Version <= CurrentVersion) {
    return;
  }
  CurrentLedger = std::move(NewLedger);
  CurrentVersion = Version;
  Observations.trackStates(CurrentLedger, Now);
  std::set<HostName> ActiveHosts;
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    if (!Record.CurrentOperation.Id.empty()) {
      ActiveHosts.insert(Host);
    }
  }
  HostOrders.retainHosts(ActiveHosts);
  std::erase_if(Blockers, [&](const auto &Item) {
    return !Item.first.empty() && !CurrentLedger.Hosts.contains(Item.first);
  });
}

void Controller::Impl::handleSwapReply(const StoreReply &Reply) {
  Ledger SentLedger = PendingDraft ? PendingDraft->value() : Ledger();
  SentLedger.WriterToken = Writer.token();
  switch (Writer.handleSwapReply(Reply, Now)) {
  case LedgerWriter::Outcome::Written:
    LedgerObservedAt = Now;
    updateLedger(Reply.Entry.Version, std::move(SentLedger));
    completeDraft(true);
    break;
  case LedgerWriter::Outcome::Conflict:
    receiveLedger(Reply.Entry.Version, Reply.Entry.Value);
    completeDraft(false);
    break;
  case LedgerWriter::Outcome::NotWritten:
    completeDraft(false);
    break;
  case LedgerWriter::Outcome::Unknown:
    break;
  }
}

void Controller::Impl::handleReadReply(const StoreReply &Reply) {
  const LedgerWriter::Outcome ReadOutcome = Writer.handleReadReply(Reply, Now);
  if (Reply.Status.ok()) {
    receiveLedger(Reply.Entry.Version, Reply.Entry.Value);
  }
  if (ReadOutcome != LedgerWriter::Outcome::Unknown && PendingDraft) {
    completeDraft(ReadOutcome == LedgerWriter::Outcome::Written);
  }
}

void Controller::Impl::completeDraft(bool IsWritten) {
  if (IsWritten && PendingDraft) {
    for (LogFleetDecision &LogLine : PendingDraft->takeLogLines()) {
      LogLine.Details["ledger_version"] = CurrentVersion;
      Actions.emplace_back(std::move(LogLine));
    }
    OperatorQueue.confirmWritten(Actions);
  } else {
    OperatorQueue.resetDrafted();
  }
  PendingDraft.reset();
}

void Controller::Impl::requestRead() {
  WriterTicket = newTicket();
  submit(Writer.makeRead(Now), WriterTicket);
}

void Controller::Impl::planChanges() {
  const bool HasWork = leads() || !OperatorQueue.empty();
  if (!HasWork || !Writer.ready(Now)) {
    return;
  }
  if (Writer.outcomeUnknown() || !LedgerObserved ||
      Now - LedgerObservedAt > LedgerRefreshPeriod) {
    requestRead();
    return;
  }
  Draft NextLedger(CurrentLedger, CurrentVersion);
  if (CurrentVersion == 0) {
    if (leads() && Rules && Observations.listing() != nullptr) {
      registerInitialHosts(NextLedger, *Observations.listing(), *Rules, Wall);
    }
  } else {
    OperatorQueue.draftAll(NextLedger, Rules.get(), RequiredHosts, Wall,
                           Actions);
    if (leads() && Rules) {
      draftChanges(NextLedger);
    }
  }
  if (NextLedger.changed()) {
    submitDraft(std::move(NextLedger));
  }
}

void Controller::Impl::draftChanges(Draft &NextLedger) {
  registerHostChanges(NextLedger, Observations, *Rules, Now, Wall);
  HostReconciler Reconciler(NextLedger,
                            {ControllerId, Observations, HostOrders, Now, Wall,
                             [this] { return newTicket(); }, Actions});
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    updateBlocker(Host, Reconciler.reconcile(Host));
  }
  updateBlocker({}, recordLostHosts(NextLedger, Observations, Now));
  replaceLostHosts(NextLedger, Observations, *Rules, RequiredHosts, Now, Wall,
                   ControllerId);
  planWave(NextLedger, *Rules, RequiredHosts, Wall, ControllerId);
  PoolMovePlanner.plan(NextLedger, {*Rules, Demand, Observations.slotsPerHost(),
                                    Now, Wall, ControllerId});
}

void Controller::Impl::submitDraft(Draft NextLedger) {
  WriterTicket = newTicket();
  submit(Writer.makeSwap(NextLedger.value(), CurrentVersion, Now),
         WriterTicket);
  PendingDraft = std::move(NextLedger);
}

void Controller::Impl::requestReports() {
  const Duration IdlePeriod = std::max<Duration>(
      IdleReportPeriod, IdleReportPeriodPerHost * CurrentLedger.Hosts.size());
  for (const auto &[Host, Record] : CurrentLedger.Hosts) {
    const HostObservation &Observation = Observations.host(Host);
    const bool IsActive = !Record.CurrentOperation.Id.empty() ||
                          Observation.UnresponsiveSince ||
                          Record.State != HostState::InService;
    const Duration Period = IsActive ? ActiveReportPeriod : IdlePeriod;
    if (!Observation.RequestedAt || Now - *Observation.RequestedAt >= Period) {
      Observations.recordRequest(Host, Now);
      Actions.emplace_back(RequestWorkerReport{Host});
    }
  }
}

void Controller::Impl::updateBlocker(const HostName &Host,
                                     const Blocker &NewBlocker) {
  const auto Previous = Blockers.find(Host);
  const bool ReasonUnchanged =
      Previous == Blockers.end() ? NewBlocker.Reason.empty()
                                 : Previous->second.Reason == NewBlocker.Reason;
  if (NewBlocker.Reason.empty()) {
    if (!ReasonUnchanged) {
      Blockers.erase(Previous);
    }
    return;
  }
  Blockers[Host] = NewBlocker;
  // Logs each change of the reason instead of one line per tick.
  if (!ReasonUnchanged) {
    Actions.emplace_back(LogFleetDecision{Host,
                                          NewBlocker.Reason,
                                          NewBlocker.RuleLine,
                                          {{"why", NewBlocker.Text}}});
  }
}

Controller::Controller(const ControllerOptions &Options)
    : Self(std::make_unique<Impl>(Options)) {}
Controller::~Controller() = default;
Controller::Controller(Controller &&) noexcept = default;
Controller &Controller::operator=(Controller &&) noexcept = default;

std::vector<FleetAction> Controller::handle(const FleetEvent &Event,
                                            Instant Now, WallTime Wall) {
  return Self->handle(Event, Now, Wall);
}

const Ledger &Controller::ledger() const { return Self->ledger(); }
std::uint64_t Controller::ledgerVersion() const { return Self->version(); }
const HostBlockers &Controller::blockers() const { return Self->blockers(); }
const RequiredHostCounts &Controller::requiredHosts() const {
  return Self->requiredHosts();
}
bool Controller::leads() const { return Self->leads(); }

} // namespace balsamlatch::fleet
