/// \file
/// The controller: takes events, keeps the lease and the ledger's view, and
/// lets the planners draft the next ledger.

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

/// How long the ledger's view may go without news before it is read.
constexpr Duration RefreshAfter = std::chrono::seconds(5);
/// How often the hosts of an operation are asked for a report, and the most
/// often that all others are.
constexpr Duration BusyAskPeriod = std::chrono::seconds(1);
constexpr Duration IdleAskPeriod = std::chrono::seconds(5);
/// Keeps the rate of reports bounded in a large fleet.
constexpr Duration IdleAskPeriodPerHost = std::chrono::milliseconds(80);

/// Entries that try for the lease at each of its periods.
constexpr std::ptrdiff_t LeaseCandidates = 3;

std::string incarnation(const ControllerOptions &Options) {
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
      : Entry(Options.Self), Self(incarnation(Options)),
        Key(ledgerKey(Options.Region)),
        Lease(fmt::format("fleet/{}/controller", Options.Region), Self),
        Writer(Key, Self), Operator(Self) {}

  std::vector<FleetAction> handle(const FleetEvent &Happened, Instant Time,
                                  WallTime WallNow) {
    Now = Time;
    Wall = std::chrono::floor<std::chrono::seconds>(WallNow);
    Out.clear();
    std::visit([this](const auto &Event) { on(Event); }, Happened);
    return std::move(Out);
  }

  const Ledger &ledger() const { return Known; }
  std::uint64_t version() const { return KnownVersion; }
  const HostWaits &waits() const { return Waits; }
  const HostsNeeded &needed() const { return Needed; }
  bool leads() const { return Lease.holds(Now); }

private:
  void on(const LedgerSeen &Seen) { adopt(Seen.Version, Seen.Text); }
  void on(const StoreReplied &Replied);
  void on(const OrderReplied &Replied) { Orders.replied(Replied, Now); }
  void on(const ListingSeen &Seen) { Observed.take(Seen); }
  void on(const WorkerSeen &Seen) { Observed.take(Seen, Now); }
  void on(const EntriesSeen &Seen);
  void on(const RulesSeen &Seen) { Rules = Seen.Rules; }
  void on(const DemandSeen &Seen) {
    Demand.take(Seen, Now);
    Needed = Demand.warm(Now) ? Demand.hostsNeeded(Observed.slotsPerHost())
                              : HostsNeeded();
  }
  void on(const OperatorAsked &Asked) {
    Operator.take(Asked, Now);
    decide();
  }
  void on(const FleetTick &);

  Ticket newTicket() { return Ticket(++LastTicket); }
  void submit(StoreRequest Request, Ticket Of) {
    Out.emplace_back(SubmitToStore{Of, std::move(Request)});
  }

  void adopt(std::uint64_t Version, std::string_view Text);
  void learn(std::uint64_t Version, Ledger Value);
  void swapEnded(const StoreReply &Reply);
  void readEnded(const StoreReply &Reply);
  void settleDraft(bool Written);
  void read();
  void decide();
  void plan(Draft &Next);
  void write(Draft Next);
  void askWorkers();
  void logWait(const HostName &Host, const Hindrance &Why);

  const EntryName Entry;
  const std::string Self;
  const std::string Key;
  // Whether this entry stands for the lease at each period.
  bool Candidate = true;
  LeaseHolder Lease;
  LedgerWriter Writer;
  OperatorOrders Operator;
  OrderBook Orders;
  Facts Observed;
  RuleSetPtr Rules;
  DemandTracker Demand;
  HostsNeeded Needed;
  MovePlanner Moves;

  Ledger Known;
  // Invariant: never falls; 0 with Heard set: the store has no ledger.
  std::uint64_t KnownVersion = 0;
  bool Heard = false;
  Instant HeardAt{};

  std::uint64_t LastTicket = 0;
  Ticket LeaseTicket;
  Ticket WriterTicket;
  // Invariant: the draft of the write in flight or not settled yet.
  std::optional<Draft> Pending;
  // Invariant: only hosts that wait.
  HostWaits Waits;

  // Valid during one call of handle.
  Instant Now{};
  WallTime Wall{};
  std::vector<FleetAction> Out;
};

void Controller::Impl::on(const StoreReplied &Replied) {
  if (Replied.Of == LeaseTicket) {
    LeaseTicket = Ticket();
    Lease.replied(Replied.Reply);
    return;
  }
  if (Replied.Of != WriterTicket) {
    return;
  }
  WriterTicket = Ticket();
  if (Writer.swapping()) {
    swapEnded(Replied.Reply);
  } else {
    readEnded(Replied.Reply);
  }
  decide();
}

/// The first few live entries by name stand for the lease; an entry that isn't
/// listed yet does too.
void Controller::Impl::on(const EntriesSeen &Seen) {
  Observed.take(Seen, Now);
  const auto Before = std::count_if(
      Seen.Live.begin(), Seen.Live.end(),
      [this](const EntriesSeen::View &View) { return View.Entry < Entry; });
  const bool Listed = std::any_of(
      Seen.Live.begin(), Seen.Live.end(),
      [this](const EntriesSeen::View &View) { return View.Entry == Entry; });
  Candidate = !Listed || Before < LeaseCandidates;
}

void Controller::Impl::on(const FleetTick &) {
  if (const std::optional<LeaseAcquire> Due = Lease.due(Now, Candidate)) {
    LeaseTicket = newTicket();
    submit(*Due, LeaseTicket);
  }
  if (Writer.expire(Now)) {
    WriterTicket = Ticket();
  }
  Operator.expire(Now, Out);
  if (leads()) {
    askWorkers();
  } else {
    Waits.clear();
  }
  decide();
}

void Controller::Impl::adopt(std::uint64_t Version, std::string_view Text) {
  HeardAt = Now;
  Heard = true;
  if (Version <= KnownVersion) {
    return;
  }
  absl::StatusOr<Ledger> Value = decodeLedger(Text);
  if (!Value.ok()) {
    Out.emplace_back(LogFleetDecision{
        {},
        "ledger-unreadable",
        0,
        {{"version", Version}, {"why", Value.status().ToString()}}});
    return;
  }
  learn(Version, std::move(*Value));
}

void Controller::Impl::learn(std::uint64_t Version, Ledger Value) {
  if (Version <= KnownVersion) {
    return;
  }
  Known = std::move(Value);
  KnownVersion = Version;
  Observed.follow(Known, Now);
  std::set<HostName> Busy;
  for (const auto &[Host, Record] : Known.Hosts) {
    if (!Record.InHand.Id.empty()) {
      Busy.insert(Host);
    }
  }
  Orders.keepOnly(Busy);
  std::erase_if(Waits, [&](const auto &Item) {
    return !Item.first.empty() && !Known.Hosts.contains(Item.first);
  });
}

void Controller::Impl::swapEnded(const StoreReply &Reply) {
  Ledger Sent = Pending ? Pending->value() : Ledger();
  Sent.WriterToken = Writer.token();
  switch (Writer.swapReplied(Reply, Now)) {
  case LedgerWriter::Outcome::Written:
    HeardAt = Now;
    learn(Reply.Entry.Version, std::move(Sent));
    settleDraft(true);
    break;
  case LedgerWriter::Outcome::Conflict:
    adopt(Reply.Entry.Version, Reply.Entry.Value);
    settleDraft(false);
    break;
  case LedgerWriter::Outcome::NotWritten:
    settleDraft(false);
    break;
  case LedgerWriter::Outcome::Unsettled:
    break;
  }
}

void Controller::Impl::readEnded(const StoreReply &Reply) {
  const LedgerWriter::Outcome End = Writer.readReplied(Reply, Now);
  if (Reply.Status.ok()) {
    adopt(Reply.Entry.Version, Reply.Entry.Value);
  }
  if (End != LedgerWriter::Outcome::Unsettled && Pending) {
    settleDraft(End == LedgerWriter::Outcome::Written);
  }
}

void Controller::Impl::settleDraft(bool Written) {
  if (Written && Pending) {
    for (LogFleetDecision &Line : Pending->takeNotes()) {
      Line.Details["ledger_version"] = KnownVersion;
      Out.emplace_back(std::move(Line));
    }
    Operator.written(Out);
  } else {
    Operator.notWritten();
  }
  Pending.reset();
}

void Controller::Impl::read() {
  WriterTicket = newTicket();
  submit(Writer.read(Now), WriterTicket);
}

void Controller::Impl::decide() {
  const bool Wanted = leads() || !Operator.empty();
  if (!Wanted || !Writer.ready(Now)) {
    return;
  }
  if (Writer.unsettled() || !Heard || Now - HeardAt > RefreshAfter) {
    read();
    return;
  }
  Draft Next(Known, KnownVersion);
  if (KnownVersion == 0) {
    if (leads() && Rules && Observed.listing() != nullptr) {
      enrolAll(Next, *Observed.listing(), *Rules, Wall);
    }
  } else {
    Operator.apply(Next, Rules.get(), Needed, Wall, Out);
    if (leads() && Rules) {
      plan(Next);
    }
  }
  if (Next.changed()) {
    write(std::move(Next));
  }
}

void Controller::Impl::plan(Draft &Next) {
  enrolChanges(Next, Observed, *Rules, Now, Wall);
  HostSteps Steps(Next, {Self, Observed, Orders, Now, Wall,
                         [this] { return newTicket(); }, Out});
  for (const auto &[Host, Record] : Known.Hosts) {
    logWait(Host, Steps.step(Host));
  }
  logWait({}, recordLosses(Next, Observed, Now));
  replaceLost(Next, Observed, *Rules, Needed, Now, Wall, Self);
  planWave(Next, *Rules, Needed, Wall, Self);
  Moves.plan(Next, {*Rules, Demand, Observed.slotsPerHost(), Now, Wall, Self});
}

void Controller::Impl::write(Draft Next) {
  WriterTicket = newTicket();
  submit(Writer.swap(Next.value(), KnownVersion, Now), WriterTicket);
  Pending = std::move(Next);
}

void Controller::Impl::askWorkers() {
  const Duration Idle = std::max<Duration>(
      IdleAskPeriod, IdleAskPeriodPerHost * Known.Hosts.size());
  for (const auto &[Host, Record] : Known.Hosts) {
    const HostFacts &Seen = Observed.host(Host);
    const bool Busy = !Record.InHand.Id.empty() || Seen.SilentSince ||
                      Record.State != HostState::InService;
    const Duration Period = Busy ? BusyAskPeriod : Idle;
    if (!Seen.AskedAt || Now - *Seen.AskedAt >= Period) {
      Observed.ask(Host, Now);
      Out.emplace_back(AskWorker{Host});
    }
  }
}

void Controller::Impl::logWait(const HostName &Host, const Hindrance &Why) {
  const auto Last = Waits.find(Host);
  const bool Same = Last == Waits.end() ? Why.Reason.empty()
                                        : Last->second.Reason == Why.Reason;
  if (Why.Reason.empty()) {
    if (!Same) {
      Waits.erase(Last);
    }
    return;
  }
  Waits[Host] = Why;
  // A line for each change of the reason, not for each tick.
  if (!Same) {
    Out.emplace_back(
        LogFleetDecision{Host, Why.Reason, Why.RuleLine, {{"why", Why.Text}}});
  }
}

Controller::Controller(const ControllerOptions &Options)
    : Self(std::make_unique<Impl>(Options)) {}
Controller::~Controller() = default;
Controller::Controller(Controller &&) noexcept = default;
Controller &Controller::operator=(Controller &&) noexcept = default;

std::vector<FleetAction> Controller::handle(const FleetEvent &Happened,
                                            Instant Now, WallTime Wall) {
  return Self->handle(Happened, Now, Wall);
}

const Ledger &Controller::ledger() const { return Self->ledger(); }
std::uint64_t Controller::ledgerVersion() const { return Self->version(); }
const HostWaits &Controller::waits() const { return Self->waits(); }
const HostsNeeded &Controller::needed() const { return Self->needed(); }
bool Controller::leads() const { return Self->leads(); }

} // namespace balsamlatch::fleet
