/// \file
/// Puts the parts of the daemon together and takes them down in order.
///
/// Which thread may wait for which: fleet, control and store client wait for
/// decisions, decisions wait for the network thread, and the network thread
/// waits for none. So no two wait for each other.

#include "balsamlatch/Daemon/Daemon.h"

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Daemon/Board.h"
#include "balsamlatch/Daemon/CallerFront.h"
#include "balsamlatch/Daemon/ClaimLink.h"
#include "balsamlatch/Daemon/DecisionMemory.h"
#include "balsamlatch/Daemon/DecisionThread.h"
#include "balsamlatch/Daemon/FleetThread.h"
#include "balsamlatch/Daemon/OperatorFront.h"
#include "balsamlatch/Daemon/PeerLink.h"
#include "balsamlatch/Daemon/StoreLink.h"
#include "balsamlatch/Platform/HttpHostPlatform.h"
#include "balsamlatch/Platform/HttpStore.h"
#include "balsamlatch/Platform/HttpWorkerClient.h"
#include "balsamlatch/Rules/Chain.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t BatchesToNetwork = 4096;
constexpr std::size_t MessagesToControl = 8192;
constexpr Duration ReadyPeriod = std::chrono::milliseconds(100);
/// How often a stopping daemon looks whether its requests have ended.
constexpr Duration StopPoll = std::chrono::milliseconds(10);
/// Time for the last messages to peers to leave.
constexpr Duration LeaveWait = std::chrono::milliseconds(200);

/// Differs at each start, and rises.
std::uint64_t incarnationAt(WallTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

/// The settings' check has made sure that there are two owners with keys.
AdoptionOptions adoptionOptions(const Settings &Values) {
  const auto KeyOf = [](const std::string &Digits) {
    return parseHex<PublicKey>(Digits).value_or(PublicKey());
  };
  AdoptionOptions Options;
  Options.Trusted = ownerKeys(KeyOf(Values.GenesisOwners.begin()->second),
                              KeyOf(Values.GenesisOwners.rbegin()->second));
  return Options;
}

/// A worker has 64 connections for all entries: kept ones go soon.
http::ClientOptions workerClientOptions() {
  http::ClientOptions Options;
  Options.MaxConnectionsPerAddress = 10;
  Options.IdleTimeout = std::chrono::seconds(5);
  return Options;
}

placement::EngineOptions engineOptions(const Settings &Values,
                                       std::uint64_t Incarnation) {
  placement::EngineOptions Options;
  Options.Self = Values.Entry;
  Options.DataCentre = Values.DataCentre;
  Options.Seed = Incarnation;
  Options.MaxQueuedPerPool = Values.Bounds.QueuedPerPool;
  return Options;
}

fleet::ControllerOptions controllerOptions(const Settings &Values,
                                           std::uint64_t Incarnation) {
  fleet::ControllerOptions Options;
  Options.Self = Values.Entry;
  Options.Region = Values.Region;
  Options.Seed = Incarnation;
  return Options;
}

PeerLink::Options peerOptions(const DaemonOptions &Options,
                              std::uint64_t Incarnation) {
  PeerLink::Options Wanted;
  Wanted.Entry = Options.Values.Entry;
  Wanted.DataCentre = Options.Values.DataCentre;
  Wanted.Incarnation = Incarnation;
  Wanted.At = Options.Values.Peers;
  Wanted.Secret = Options.PeerSecret;
  Wanted.Known = Options.Values.KnownPeers;
  Wanted.RulesKey = std::string(HeadKey);
  Wanted.LedgerKey = fleet::ledgerKey(Options.Values.Region);
  return Wanted;
}

} // namespace

class Daemon::Impl {
public:
  Impl(DaemonOptions Options, const Clock &Time, LogSink &Log);
  ~Impl() { stopThreads(); }

  absl::Status start();
  void requestStop();
  bool wait();

  const CallerFront &callers() const { return Callers; }
  const PeerLink &peers() const { return Peers; }
  const OperatorFront &operators() const { return Operators; }
  bool ready() const { return Shown.Ready; }

private:
  DecisionOutlets decisionOutlets();
  FleetOutlets fleetOutlets();
  PeerOutlets peerOutlets();
  RingStandings ringStandings() const;
  void connect();
  void updateReady();
  void inForce(DocumentPtr Document);
  void askWorker(const HostName &Host, const Address &At);
  void candidate(membership::Document Document);
  void listed(HostListing Listing);
  bool drain();
  void stopThreads();

  const DaemonOptions Options;
  LogSink &Sink;
  const std::uint64_t Incarnation;
  Board Shown;
  DecisionMemory Memory;

  EventLoop Network;
  EventLoop StoreLoop;
  EventLoop Control;

  http::Client StoreCaller;
  http::Client WorkerCaller;
  HttpStore Backend;
  HttpHostPlatform Platform;
  HttpWorkerClient Workers;
  CountedStore Counted;

  Mailbox<NetworkBatch> ToNetwork;
  Mailbox<placement::SendSlotMessage> ToPeers;
  CallerFront Callers;
  DecisionThread Decisions;
  ClaimLink Claims;
  FleetThread Fleet;
  PeerLink Peers;
  OperatorFront Operators;
  ListingPoll Listings;

  std::mutex StopLock;
  std::condition_variable StopAsked;
  bool Stop = false;
};

Daemon::Impl::Impl(DaemonOptions Wanted, const Clock &Time, LogSink &Log)
    : Options(std::move(Wanted)), Sink(Log),
      Incarnation(incarnationAt(Time.wallNow())),
      Memory(Options.Values.Bounds.ExplainedDecisions),
      StoreCaller(StoreLoop.context(), http::ClientOptions()),
      WorkerCaller(Network.context(), workerClientOptions()),
      Backend(StoreCaller, Options.Values.Store),
      Platform(StoreCaller, Options.Values.HostList), Workers(WorkerCaller),
      Counted(StoreLoop, Backend, Shown),
      ToNetwork(
          Network, BatchesToNetwork,
          [this](NetworkBatch Batch) { Callers.apply(std::move(Batch)); }),
      ToPeers(Control, MessagesToControl,
              [this](placement::SendSlotMessage Message) {
                Peers.send(std::move(Message));
              }),
      Callers(Network,
              {Options.Values.Entry, Incarnation, Options.Values.Callers,
               Options.Values.Tls, Options.Values.Bounds},
              Workers, Time, Shown, Sink),
      Decisions(engineOptions(Options.Values, Incarnation), Time, Sink, Memory,
                Shown, decisionOutlets()),
      Claims(StoreLoop, placement::ClaimOptions(), Counted, Time, Shown,
             [this](placement::ClaimSettled Settled) {
               Decisions.push({std::move(Settled), nullptr});
             }),
      Fleet(controllerOptions(Options.Values, Incarnation),
            adoptionOptions(Options.Values), Time, Sink, Memory, Shown,
            fleetOutlets()),
      Peers(Control, peerOptions(Options, Incarnation), Time, Shown, Sink,
            peerOutlets()),
      Operators(Control, Options.Values.Operators,
                {Options.Values.Entry, Options.Values.Region,
                 Options.Values.DataCentre, Options.Embedded},
                Time, Memory, Shown, Sink),
      Listings(StoreLoop, Platform,
               [this](HostListing Seen) { listed(std::move(Seen)); }) {
  connect();
}

void Daemon::Impl::connect() {
  Callers.connect(
      [this](DecisionInput Input) {
        return Decisions.tryPush(std::move(Input));
      },
      [this](DocumentPtr Document) { inForce(std::move(Document)); });
  Operators.connect(
      [this](fleet::OperatorAsked Asked) {
        return Fleet.tryPush(fleet::FleetEvent(std::move(Asked)));
      },
      [this] { return ringStandings(); });
}

DecisionOutlets Daemon::Impl::decisionOutlets() {
  DecisionOutlets Outlets;
  Outlets.Network = [this](NetworkBatch Batch) {
    ToNetwork.post(std::move(Batch));
  };
  Outlets.Claim = [this](placement::ClaimKey Key) {
    return Claims.tryPost(std::move(Key));
  };
  Outlets.ClaimEnded = [this](RequestId Id, placement::Outcome End) {
    Claims.tryPost(ClaimEnd{std::move(Id), End});
  };
  Outlets.Peer = [this](placement::SendSlotMessage Message) {
    ToPeers.tryPost(std::move(Message));
  };
  return Outlets;
}

FleetOutlets Daemon::Impl::fleetOutlets() {
  FleetOutlets Outlets;
  Outlets.Store = [this](fleet::SubmitToStore Submit) {
    Counted.submit(
        std::move(Submit.Request), [this, Of = Submit.Of](StoreReply Reply) {
          Fleet.tryPush(
              fleet::FleetEvent(fleet::StoreReplied{Of, std::move(Reply)}));
        });
  };
  Outlets.RulesStore = [this](const StoreRequest &Request) {
    Counted.submit(Request, [this, Request](StoreReply Reply) {
      Fleet.tryPush(AdoptionEvent(StoreReplied{Request, std::move(Reply)}));
    });
  };
  Outlets.PullBase = [this] { Control.post([this] { Peers.pullBase(); }); };
  Outlets.Order = [this](fleet::GiveOrder Order) {
    StoreLoop.post([this, Given = std::move(Order)] {
      Platform.order(Given.Order, [this, Of = Given.Of](absl::Status Done) {
        Fleet.tryPush(
            fleet::FleetEvent(fleet::OrderReplied{Of, std::move(Done)}));
      });
    });
  };
  Outlets.AskWorker = [this](const HostName &Host, const Address &At) {
    askWorker(Host, At);
  };
  Outlets.Answer = [this](fleet::AnswerOperator Answer) {
    Control.post(
        [this, Told = std::move(Answer)] { Operators.answered(Told); });
  };
  Outlets.Engine = [this](DecisionInput Input) {
    Decisions.push(std::move(Input));
  };
  return Outlets;
}

PeerOutlets Daemon::Impl::peerOutlets() {
  PeerOutlets Outlets;
  Outlets.Watch = [this](membership::WatchCall Call) {
    Counted.submit(std::move(Call.Request), [this, Key = std::move(Call.Key)](
                                                const StoreReply &Reply) {
      Control.post([this, Key, Reply] { Peers.watched(Key, Reply); });
    });
  };
  Outlets.Candidate = [this](membership::Document Document) {
    candidate(std::move(Document));
  };
  Outlets.Base = [this](const EntryName &From, std::string Text) {
    Fleet.tryPush(AdoptionEvent(BaseSeen{From.Text, std::move(Text)}));
  };
  Outlets.Slots = [this](placement::SlotMessageArrived Message) {
    Decisions.tryPush({std::move(Message), nullptr});
  };
  Outlets.Entries = [this](std::vector<EntryName> Live) {
    Decisions.push({placement::EntriesChanged{std::move(Live)}, nullptr});
  };
  Outlets.Views = [this](fleet::EntriesSeen Seen) {
    Fleet.tryPush(fleet::FleetEvent(std::move(Seen)));
  };
  return Outlets;
}

RingStandings Daemon::Impl::ringStandings() const {
  return {
      {"decisions", Decisions.ringFill(), Decisions.ringRefusals()},
      {"fleet", Fleet.ringFill(), Fleet.ringRefusals()},
      {"network", ToNetwork.size(), ToNetwork.refusals()},
      {"peers", ToPeers.size(), ToPeers.refusals()},
      {"claims", Claims.ringFill(), Claims.ringRefusals()},
  };
}

void Daemon::Impl::candidate(membership::Document Document) {
  if (Document.Key == HeadKey) {
    Fleet.tryPush(AdoptionEvent(
        HeadSeen{"exchange", Document.Version, std::move(Document.Text)}));
  } else {
    Fleet.tryPush(fleet::FleetEvent(
        fleet::LedgerSeen{Document.Version, std::move(Document.Text)}));
  }
}

void Daemon::Impl::inForce(DocumentPtr Document) {
  Control.post(
      [this, Adopted = std::move(Document)] { Peers.adopted(*Adopted); });
}

void Daemon::Impl::askWorker(const HostName &Host, const Address &At) {
  Network.post([this, Host, At] {
    Workers.report(At, [this, Host](absl::StatusOr<WorkerReport> Report) {
      if (Report.ok()) {
        Decisions.tryPush({placement::WorkerReported{Host, *Report}, nullptr});
      }
      fleet::WorkerSeen Seen;
      Seen.Host = Host;
      Seen.Status = Report.status();
      if (Report.ok()) {
        Seen.Report = *std::move(Report);
      }
      Fleet.tryPush(fleet::FleetEvent(std::move(Seen)));
    });
  });
}

void Daemon::Impl::listed(HostListing Listing) {
  Control.post([this, Listing] { Peers.listed(Listing); });
  Fleet.tryPush(fleet::FleetEvent(fleet::ListingSeen{std::move(Listing)}));
}

absl::Status Daemon::Impl::start() {
  for (const absl::Status &Bound :
       {Callers.start(), Peers.start(), Operators.start()}) {
    if (!Bound.ok()) {
      return Bound;
    }
  }
  Claims.start();
  Listings.start();
  Control.every(ReadyPeriod, [this] { updateReady(); });
  Network.start();
  StoreLoop.start();
  Control.start();
  Decisions.start();
  Fleet.start();
  Sink.write(LogLevel::Info, "entry-started",
             {{"entry", Options.Values.Entry.Text},
              {"incarnation", Incarnation},
              {"embedded", Options.Embedded},
              {"callers_port", Callers.port()},
              {"peers_port", Peers.port()},
              {"operators_port", Operators.port()}});
  return absl::OkStatus();
}

void Daemon::Impl::updateReady() {
  Shown.Ready = !Shown.Stopping && Shown.Rules.get() != nullptr &&
                Shown.Fleet.get().LedgerVersion > 0;
}

void Daemon::Impl::requestStop() {
  {
    const std::lock_guard Guard(StopLock);
    Stop = true;
  }
  StopAsked.notify_all();
}

bool Daemon::Impl::wait() {
  {
    std::unique_lock Guard(StopLock);
    StopAsked.wait(Guard, [this] { return Stop; });
  }
  Shown.Stopping = true;
  Shown.Ready = false;
  Sink.write(LogLevel::Info, "entry-stopping",
             {{"open_requests", Callers.openRequests()}});
  std::this_thread::sleep_for(Options.Values.Bounds.StopGrace);
  const bool Drained = drain();
  Control.post([this] { Peers.leave(); });
  std::this_thread::sleep_for(LeaveWait);
  stopThreads();
  Sink.write(LogLevel::Info, "entry-stopped",
             {{"unanswered", Callers.openRequests()}});
  return Drained;
}

/// Waits until every request in flight has its answer.
bool Daemon::Impl::drain() {
  Decisions.push({placement::StopRequested{}, nullptr});
  Callers.stopAccepting();
  const auto Bound = std::chrono::steady_clock::now() +
                     std::chrono::nanoseconds(Options.Values.Bounds.StopWait);
  while (Callers.openRequests() > 0 || Callers.connections() > 0) {
    if (std::chrono::steady_clock::now() >= Bound) {
      return Callers.openRequests() == 0;
    }
    std::this_thread::sleep_for(StopPoll);
  }
  return true;
}

void Daemon::Impl::stopThreads() {
  Fleet.stop();
  Decisions.stop();
  StoreLoop.stop();
  Control.stop();
  Network.stop();
}

Daemon::Daemon(DaemonOptions Options, const Clock &TimeSource, LogSink &Sink)
    : Self(std::make_unique<Impl>(std::move(Options), TimeSource, Sink)) {}

Daemon::~Daemon() = default;

absl::Status Daemon::start() { return Self->start(); }

std::uint16_t Daemon::callersPort() const { return Self->callers().port(); }

std::uint16_t Daemon::peersPort() const { return Self->peers().port(); }

std::uint16_t Daemon::operatorsPort() const { return Self->operators().port(); }

bool Daemon::ready() const { return Self->ready(); }

void Daemon::requestStop() { Self->requestStop(); }

bool Daemon::wait() { return Self->wait(); }

} // namespace balsamlatch::daemon
