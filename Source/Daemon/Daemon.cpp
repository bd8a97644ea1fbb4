/// \file
/// Connects the components of the daemon and implements startup and graceful
/// shutdown.
///
/// A thread that pushes to a full queue blocks until there is room. The fleet,
/// control and store threads may block on the decision thread, the decision
/// thread may block on the network thread, and the network thread never blocks.
/// The order is acyclic, so the threads can't deadlock.

#include "balsamlatch/Daemon/Daemon.h"

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Daemon/CallerServer.h"
#include "balsamlatch/Daemon/ClaimService.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionHistory.h"
#include "balsamlatch/Daemon/DecisionThread.h"
#include "balsamlatch/Daemon/FleetThread.h"
#include "balsamlatch/Daemon/OperatorServer.h"
#include "balsamlatch/Daemon/PeerService.h"
#include "balsamlatch/Daemon/PlatformClients.h"
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

constexpr std::size_t NetworkMailboxCapacity = 4096;
constexpr std::size_t PeerMailboxCapacity = 8192;
constexpr Duration ReadinessPeriod = std::chrono::milliseconds(100);
/// Interval at which a stopping daemon checks for open requests.
constexpr Duration DrainPollPeriod = std::chrono::milliseconds(10);
/// Time to send the last messages to peers.
constexpr Duration LeaveDelay = std::chrono::milliseconds(200);

/// Returns a number that grows with each start of the process.
std::uint64_t incarnationAt(WallTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

/// Requires settings that passed validation: exactly two owners with valid
/// keys.
AdoptionOptions adoptionOptions(const Settings &Config) {
  const auto ParseKey = [](const std::string &HexDigits) {
    return parseHex<PublicKey>(HexDigits).value_or(PublicKey());
  };
  AdoptionOptions Options;
  Options.Trusted =
      sortedOwnerKeys(ParseKey(Config.GenesisOwners.begin()->second),
                      ParseKey(Config.GenesisOwners.rbegin()->second));
  return Options;
}

/// A worker accepts 64 connections from all entries together, so idle
/// connections are closed early.
http::ClientOptions workerClientOptions() {
  http::ClientOptions Options;
  Options.MaxConnectionsPerAddress = 10;
  Options.IdleTimeout = std::chrono::seconds(5);
  return Options;
}

placement::EngineOptions engineOptions(const Settings &Config,
                                       std::uint64_t Incarnation) {
  placement::EngineOptions Options;
  Options.Self = Config.Entry;
  Options.DataCentre = Config.DataCentre;
  Options.Seed = Incarnation;
  Options.MaxQueuedPerPool = Config.ResourceLimits.QueuedPerPool;
  return Options;
}

fleet::ControllerOptions controllerOptions(const Settings &Config,
                                           std::uint64_t Incarnation) {
  fleet::ControllerOptions Options;
  Options.Self = Config.Entry;
  Options.Region = Config.Region;
  Options.Seed = Incarnation;
  return Options;
}

PeerService::Options peerOptions(const DaemonOptions &Options,
                                 std::uint64_t Incarnation) {
  PeerService::Options Result;
  Result.Entry = Options.Config.Entry;
  Result.DataCentre = Options.Config.DataCentre;
  Result.Incarnation = Incarnation;
  Result.ListenAddress = Options.Config.PeerAddress;
  Result.Secret = Options.PeerSecret;
  Result.SeedPeers = Options.Config.SeedPeers;
  Result.RulesKey = std::string(HeadKey);
  Result.LedgerKey = fleet::ledgerKey(Options.Config.Region);
  return Result;
}

} // namespace

class Daemon::Impl {
public:
  Impl(DaemonOptions Options, const Clock &Time, LogSink &LogOutput);
  ~Impl() { stopThreads(); }

  absl::Status start();
  void requestStop();
  bool wait();

  const CallerServer &callerServer() const { return CallerEndpoint; }
  const PeerService &peerService() const { return PeerEndpoint; }
  const OperatorServer &operatorServer() const { return OperatorEndpoint; }
  bool isReady() const { return Status.IsReady; }

private:
  DecisionCallbacks decisionCallbacks();
  FleetCallbacks fleetCallbacks();
  PeerCallbacks peerCallbacks();
  RingStatuses ringStatuses() const;
  void connect();
  void updateReadiness();
  void publishDocument(DocumentPtr Document);
  void requestWorkerReport(const HostName &Host, const Address &WorkerAddress);
  void handleReceivedDocument(membership::Document Document);
  void handleHostListing(HostListing Listing);
  bool drain();
  void stopThreads();

  const DaemonOptions Options;
  LogSink &Sink;
  const std::uint64_t Incarnation;
  DaemonStatus Status;
  DecisionHistory History;

  EventLoop NetworkLoop;
  EventLoop StoreLoop;
  EventLoop ControlLoop;

  http::Client StoreHttpClient;
  http::Client WorkerHttpClient;
  HttpStore Backend;
  HttpHostPlatform Platform;
  HttpWorkerClient Workers;
  LimitedStore PlatformStore;

  Mailbox<NetworkBatch> NetworkMailbox;
  Mailbox<placement::SendSlotMessage> PeerMailbox;
  CallerServer CallerEndpoint;
  DecisionThread Decisions;
  ClaimService Claims;
  FleetThread Fleet;
  PeerService PeerEndpoint;
  OperatorServer OperatorEndpoint;
  HostListPoller HostPoller;

  std::mutex StopMutex;
  std::condition_variable StopCondition;
  bool IsStopRequested = false;
};

Daemon::Impl::Impl(DaemonOptions InitialOptions, const Clock &Time,
                   LogSink &LogOutput)
    : Options(std::move(InitialOptions)), Sink(LogOutput),
      Incarnation(incarnationAt(Time.wallNow())),
      History(Options.Config.ResourceLimits.HistoryDecisions),
      StoreHttpClient(StoreLoop.context(), http::ClientOptions()),
      WorkerHttpClient(NetworkLoop.context(), workerClientOptions()),
      Backend(StoreHttpClient, Options.Config.StoreAddress),
      Platform(StoreHttpClient, Options.Config.HostListAddress),
      Workers(WorkerHttpClient), PlatformStore(StoreLoop, Backend, Status),
      NetworkMailbox(NetworkLoop, NetworkMailboxCapacity,
                     [this](NetworkBatch Batch) {
                       CallerEndpoint.executeActions(std::move(Batch));
                     }),
      PeerMailbox(ControlLoop, PeerMailboxCapacity,
                  [this](placement::SendSlotMessage Message) {
                    PeerEndpoint.send(std::move(Message));
                  }),
      CallerEndpoint(NetworkLoop,
                     {Options.Config.Entry, Incarnation,
                      Options.Config.CallerAddress, Options.Config.Tls,
                      Options.Config.ResourceLimits},
                     Workers, Time, Status, Sink),
      Decisions(engineOptions(Options.Config, Incarnation), Time, Sink, History,
                Status, decisionCallbacks()),
      Claims(StoreLoop, placement::ClaimOptions(), PlatformStore, Time, Status,
             [this](placement::ClaimSettled Settled) {
               Decisions.push({std::move(Settled), nullptr});
             }),
      Fleet(controllerOptions(Options.Config, Incarnation),
            adoptionOptions(Options.Config), Time, Sink, History, Status,
            fleetCallbacks()),
      PeerEndpoint(ControlLoop, peerOptions(Options, Incarnation), Time, Status,
                   Sink, peerCallbacks()),
      OperatorEndpoint(ControlLoop, Options.Config.OperatorAddress,
                       {Options.Config.Entry, Options.Config.Region,
                        Options.Config.DataCentre, Options.Embedded},
                       Time, History, Status, Sink),
      HostPoller(StoreLoop, Platform, [this](HostListing Listing) {
        handleHostListing(std::move(Listing));
      }) {
  connect();
}

void Daemon::Impl::connect() {
  CallerEndpoint.connect(
      [this](DecisionInput Input) {
        return Decisions.tryPush(std::move(Input));
      },
      [this](DocumentPtr Document) { publishDocument(std::move(Document)); });
  OperatorEndpoint.connect(
      [this](fleet::OwnerOrderReceived Request) {
        return Fleet.tryPush(fleet::FleetEvent(std::move(Request)));
      },
      [this] { return ringStatuses(); });
}

DecisionCallbacks Daemon::Impl::decisionCallbacks() {
  DecisionCallbacks Callbacks;
  Callbacks.PostToNetwork = [this](NetworkBatch Batch) {
    NetworkMailbox.post(std::move(Batch));
  };
  Callbacks.RequestClaim = [this](placement::ClaimKey Key) {
    return Claims.tryPost(std::move(Key));
  };
  Callbacks.ClaimEnded = [this](RequestId Id, placement::Outcome Result) {
    Claims.tryPost(ClaimEnd{std::move(Id), Result});
  };
  Callbacks.SendToPeer = [this](placement::SendSlotMessage Message) {
    PeerMailbox.tryPost(std::move(Message));
  };
  return Callbacks;
}

FleetCallbacks Daemon::Impl::fleetCallbacks() {
  FleetCallbacks Callbacks;
  Callbacks.SubmitControllerRequest = [this](fleet::SendStoreRequest Submit) {
    PlatformStore.submit(std::move(Submit.Request),
                         [this, Origin = Submit.Of](StoreReply Reply) {
                           Fleet.tryPush(fleet::FleetEvent(
                               fleet::StoreReplied{Origin, std::move(Reply)}));
                         });
  };
  Callbacks.SubmitRulesRequest = [this](const StoreRequest &Request) {
    PlatformStore.submit(Request, [this, Request](StoreReply Reply) {
      Fleet.tryPush(AdoptionEvent(StoreReplied{Request, std::move(Reply)}));
    });
  };
  Callbacks.PullBaseDocument = [this] {
    ControlLoop.post([this] { PeerEndpoint.pullBase(); });
  };
  Callbacks.SendHostOrder = [this](fleet::SendHostOrder Order) {
    StoreLoop.post([this, HostOrder = std::move(Order)] {
      Platform.order(HostOrder.Order, [this, Origin = HostOrder.Of](
                                          absl::Status OrderStatus) {
        Fleet.tryPush(fleet::FleetEvent(
            fleet::HostOrderReplyReceived{Origin, std::move(OrderStatus)}));
      });
    });
  };
  Callbacks.RequestWorkerReport = [this](const HostName &Host,
                                         const Address &WorkerAddress) {
    requestWorkerReport(Host, WorkerAddress);
  };
  Callbacks.ReplyToOperator = [this](fleet::AnswerOwnerOrder Answer) {
    ControlLoop.post([this, Reply = std::move(Answer)] {
      OperatorEndpoint.handleAnswer(Reply);
    });
  };
  Callbacks.PushToEngine = [this](DecisionInput Input) {
    Decisions.push(std::move(Input));
  };
  return Callbacks;
}

PeerCallbacks Daemon::Impl::peerCallbacks() {
  PeerCallbacks Callbacks;
  Callbacks.SubmitWatch = [this](membership::WatchCall Call) {
    PlatformStore.submit(
        std::move(Call.Request),
        [this, Key = std::move(Call.Key)](const StoreReply &Reply) {
          ControlLoop.post([this, Key, Reply] {
            PeerEndpoint.handleWatchReply(Key, Reply);
          });
        });
  };
  Callbacks.DocumentReceived = [this](membership::Document Document) {
    handleReceivedDocument(std::move(Document));
  };
  Callbacks.BaseDocumentReceived = [this](const EntryName &From,
                                          std::string Text) {
    Fleet.tryPush(AdoptionEvent(BaseReceived{From.Text, std::move(Text)}));
  };
  Callbacks.SlotMessageReceived =
      [this](placement::SlotMessageArrived Message) {
        Decisions.tryPush({std::move(Message), nullptr});
      };
  Callbacks.LiveEntriesChanged = [this](std::vector<EntryName> Live) {
    Decisions.push({placement::EntriesChanged{std::move(Live)}, nullptr});
  };
  Callbacks.EntryVersionsReported =
      [this](fleet::EntryVersionsReported Entries) {
        Fleet.tryPush(fleet::FleetEvent(std::move(Entries)));
      };
  return Callbacks;
}

RingStatuses Daemon::Impl::ringStatuses() const {
  return {
      {"decisions", Decisions.ringFill(), Decisions.ringRefusals()},
      {"fleet", Fleet.ringFill(), Fleet.ringRefusals()},
      {"network", NetworkMailbox.size(), NetworkMailbox.refusals()},
      {"peers", PeerMailbox.size(), PeerMailbox.refusals()},
      {"claims", Claims.ringFill(), Claims.ringRefusals()},
  };
}

void Daemon::Impl::handleReceivedDocument(membership::Document Document) {
  if (Document.Key == HeadKey) {
    Fleet.tryPush(AdoptionEvent(
        HeadReceived{"exchange", Document.Version, std::move(Document.Text)}));
  } else {
    Fleet.tryPush(fleet::FleetEvent(
        fleet::LedgerReceived{Document.Version, std::move(Document.Text)}));
  }
}

void Daemon::Impl::publishDocument(DocumentPtr Document) {
  ControlLoop.post([this, Activated = std::move(Document)] {
    PeerEndpoint.documentActivated(*Activated);
  });
}

void Daemon::Impl::requestWorkerReport(const HostName &Host,
                                       const Address &WorkerAddress) {
  NetworkLoop.post([this, Host, WorkerAddress] {
    Workers.report(WorkerAddress, [this,
                                   Host](absl::StatusOr<WorkerReport> Report) {
      if (Report.ok()) {
        Decisions.tryPush({placement::WorkerReported{Host, *Report}, nullptr});
      }
      fleet::WorkerReportReceived Observation;
      Observation.Host = Host;
      Observation.Status = Report.status();
      if (Report.ok()) {
        Observation.Report = *std::move(Report);
      }
      Fleet.tryPush(fleet::FleetEvent(std::move(Observation)));
    });
  });
}

void Daemon::Impl::handleHostListing(HostListing Listing) {
  ControlLoop.post([this, Listing] { PeerEndpoint.addListedEntries(Listing); });
  Fleet.tryPush(
      fleet::FleetEvent(fleet::HostListingReceived{std::move(Listing)}));
}

absl::Status Daemon::Impl::start() {
  for (const absl::Status &BindStatus :
       {CallerEndpoint.start(), PeerEndpoint.start(),
        OperatorEndpoint.start()}) {
    if (!BindStatus.ok()) {
      return BindStatus;
    }
  }
  Claims.start();
  HostPoller.start();
  ControlLoop.every(ReadinessPeriod, [this] { updateReadiness(); });
  NetworkLoop.start();
  StoreLoop.start();
  ControlLoop.start();
  Decisions.start();
  Fleet.start();
  Sink.write(LogLevel::Info, "entry-started",
             {{"entry", Options.Config.Entry.Text},
              {"incarnation", Incarnation},
              {"embedded", Options.Embedded},
              {"callers_port", CallerEndpoint.port()},
              {"peers_port", PeerEndpoint.port()},
              {"operators_port", OperatorEndpoint.port()}});
  return absl::OkStatus();
}

void Daemon::Impl::updateReadiness() {
  Status.IsReady = !Status.IsStopping && Status.Rules.get() != nullptr &&
                   Status.Fleet.get().LedgerVersion > 0;
}

void Daemon::Impl::requestStop() {
  {
    const std::lock_guard Guard(StopMutex);
    IsStopRequested = true;
  }
  StopCondition.notify_all();
}

bool Daemon::Impl::wait() {
  {
    std::unique_lock Guard(StopMutex);
    StopCondition.wait(Guard, [this] { return IsStopRequested; });
  }
  Status.IsStopping = true;
  Status.IsReady = false;
  Sink.write(LogLevel::Info, "entry-stopping",
             {{"open_requests", CallerEndpoint.openRequests()}});
  std::this_thread::sleep_for(Options.Config.ResourceLimits.StopGracePeriod);
  const bool AllAnswered = drain();
  ControlLoop.post([this] { PeerEndpoint.leave(); });
  std::this_thread::sleep_for(LeaveDelay);
  stopThreads();
  Sink.write(LogLevel::Info, "entry-stopped",
             {{"unanswered", CallerEndpoint.openRequests()}});
  return AllAnswered;
}

/// Waits until every open request is answered and all callers have
/// disconnected. Returns false if requests are still open at the timeout.
bool Daemon::Impl::drain() {
  Decisions.push({placement::StopRequested{}, nullptr});
  CallerEndpoint.stopAccepting();
  const auto Deadline =
      std::chrono::steady_clock::now() +
      std::chrono::nanoseconds(Options.Config.ResourceLimits.DrainTimeout);
  while (CallerEndpoint.openRequests() > 0 ||
         CallerEndpoint.connections() > 0) {
    if (std::chrono::steady_clock::now() >= Deadline) {
      return CallerEndpoint.openRequests() == 0;
    }
    std::this_thread::sleep_for(DrainPollPeriod);
  }
  return true;
}

void Daemon::Impl::stopThreads() {
  Fleet.stop();
  Decisions.stop();
  StoreLoop.stop();
  ControlLoop.stop();
  NetworkLoop.stop();
}

Daemon::Daemon(DaemonOptions Options, const Clock &TimeSource, LogSink &Sink)
    : Pimpl(std::make_unique<Impl>(std::move(Options), TimeSource, Sink)) {}

Daemon::~Daemon() = default;

absl::Status Daemon::start() { return Pimpl->start(); }

std::uint16_t Daemon::callersPort() const {
  return Pimpl->callerServer().port();
}

std::uint16_t Daemon::peersPort() const { return Pimpl->peerService().port(); }

std::uint16_t Daemon::operatorsPort() const {
  return Pimpl->operatorServer().port();
}

bool Daemon::isReady() const { return Pimpl->isReady(); }

void Daemon::requestStop() { Pimpl->requestStop(); }

bool Daemon::wait() { return Pimpl->wait(); }

} // namespace balsamlatch::daemon
