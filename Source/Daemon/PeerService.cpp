/// \file
/// Sends and receives authenticated message batches, and runs the membership
/// and document exchange protocols.

#include "balsamlatch/Daemon/PeerService.h"

#include "balsamlatch/Rules/Chain.h"

#include <absl/status/statusor.h>
#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

constexpr std::string_view BatchPath = "/v1/peers/batch";
constexpr std::string_view SealHeader = "balsamlatch-seal";
constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr Duration StatusPeriod = std::chrono::milliseconds(500);
constexpr Duration RequestTimeout = std::chrono::milliseconds(1000);
/// Capacity of the outbox of one peer. When it is full, the oldest message is
/// dropped, since the sender of any message repeats or supersedes it.
constexpr std::size_t MaxQueuedMessages = 1024;
/// Fits a document of one megabyte after JSON escaping.
constexpr std::size_t MaxBatchBytes = 4'000'000;

http::ServerOptions serverOptions(const Address &ListenAddress) {
  http::ServerOptions Options;
  Options.Ip = ListenAddress.Ip;
  Options.Port = ListenAddress.Port;
  Options.MaxBodyBytes = MaxBatchBytes;
  Options.MaxConnections = 1024;
  return Options;
}

http::ClientOptions clientOptions() {
  http::ClientOptions Options;
  Options.MaxConnectionsPerAddress = 2;
  Options.MaxQueuedPerAddress = 8;
  return Options;
}

} // namespace

PeerService::PeerService(EventLoop &Loop, Options InitialConfig,
                         const Clock &Time, DaemonStatus &SharedStatus,
                         LogSink &LogOutput, PeerCallbacks InitialCallbacks)
    : ControlLoop(Loop), Config(std::move(InitialConfig)), TimeSource(Time),
      Status(SharedStatus), Sink(LogOutput),
      Callbacks(std::move(InitialCallbacks)),
      Listener(Loop.context(), serverOptions(Config.ListenAddress),
               [this](http::Exchange Call) { handleRequest(std::move(Call)); }),
      HttpClient(Loop.context(), clientOptions()),
      Sealer(Config.Entry, Config.Incarnation, Config.Secret),
      Checker(Config.Entry, Config.Secret) {}

absl::Status PeerService::start() {
  if (absl::Status BindStatus = Listener.start(); !BindStatus.ok()) {
    return BindStatus;
  }
  const membership::Member Self{
      Config.Entry,
      Address{Config.ListenAddress.Ip, Listener.port()},
      Config.DataCentre,
      Config.Incarnation,
      membership::MemberState::Alive,
  };
  membership::FailureDetectorOptions FailureDetectorOptions;
  FailureDetectorOptions.Self = Self;
  FailureDetectorOptions.Seed = Config.Incarnation;
  Group.emplace(FailureDetectorOptions);
  membership::ReplicatorOptions ReplicatorOptions;
  ReplicatorOptions.Self = Self;
  ReplicatorOptions.Keys = {Config.RulesKey, Config.LedgerKey};
  Exchange.emplace(ReplicatorOptions);
  ControlLoop.post([this] {
    std::vector<membership::Member> Seeds;
    for (const SeedPeer &Peer : Config.SeedPeers) {
      Seeds.push_back({Peer.Entry, Peer.PeerAddress, {}, 0, {}});
    }
    execute(Group->seed(Seeds, TimeSource.now()));
    handleViewChange();
  });
  ControlLoop.every(TickPeriod, [this] { tick(); });
  return absl::OkStatus();
}

void PeerService::addListedEntries(const HostListing &Listing) {
  std::vector<membership::Member> Seeds;
  for (const ListedHost &Host : Listing.Hosts) {
    if (Host.Role == HostRole::Entry && Host.Host.Text != Config.Entry.Text) {
      Seeds.push_back(
          {EntryName(Host.Host.Text), Host.At, Host.DataCentre, 0, {}});
    }
  }
  execute(Group->seed(Seeds, TimeSource.now()));
}

void PeerService::handleWatchReply(const membership::DocumentKey &Key,
                                   const StoreReply &Reply) {
  execute(Exchange->watched(Key, Reply, TimeSource.now()));
}

void PeerService::documentActivated(const membership::Document &Document) {
  execute(Exchange->adopted(Document, TimeSource.now()));
  if (Document.Key != Config.LedgerKey) {
    return;
  }
  for (const membership::Member &Member : Group->live()) {
    if (Member.Entry != Config.Entry) {
      enqueue(Member.Entry, Member.At,
              membership::Message(
                  membership::LedgerConfirmation{Document.Version}));
    }
  }
  publishPeers();
}

void PeerService::send(placement::SendSlotMessage Message) {
  const auto It = Addresses.find(Message.To);
  if (It != Addresses.end()) {
    enqueue(Message.To, It->second, std::move(Message.Message));
  }
}

void PeerService::leave() { execute(Group->leave(TimeSource.now())); }

void PeerService::handleRequest(http::Exchange Call) {
  if (Call.Message.Method != "POST" || Call.Message.path() != BatchPath) {
    Call.Respond(http::jsonResponse(404, "{}"));
    return;
  }
  const absl::StatusOr<wire::Seal> Seal =
      wire::parseSeal(Call.Message.header(SealHeader));
  const absl::Status SealStatus =
      Seal.ok() ? Checker.check(*Seal, Call.Message.Body, TimeSource.wallNow())
                : Seal.status();
  if (!SealStatus.ok()) {
    ++Status.Counters.PeerBatchesRefused;
    Sink.write(LogLevel::Warning, "peer-refused",
               {{"peer", Call.Message.Peer},
                {"fault", std::string(SealStatus.message())}});
    Call.Respond(http::jsonResponse(401, "{}"));
    return;
  }
  Status.Counters.PeerBytesReceived += Call.Message.Body.size();
  const auto Batch = wire::decodeBatch(Call.Message.Body);
  if (!Batch.ok()) {
    ++Status.Counters.PeerBatchesRefused;
    Sink.write(LogLevel::Warning, "peer-malformed",
               {{"peer", Seal->From.Text},
                {"fault", std::string(Batch.status().message())}});
    Call.Respond(http::jsonResponse(400, "{}"));
    return;
  }
  Call.Respond(http::Response{204, {}, {}});
  for (const wire::PeerMessage &Message : *Batch) {
    receive(Seal->From, Message);
  }
}

void PeerService::receive(const EntryName &From,
                          const wire::PeerMessage &Message) {
  if (const auto *Slots = std::get_if<placement::SlotMessage>(&Message)) {
    Callbacks.SlotMessageReceived(placement::SlotMessageArrived{From, *Slots});
    return;
  }
  receive(From, std::get<membership::Message>(Message));
}

void PeerService::receive(const EntryName &From,
                          const membership::Message &Message) {
  if (handleBaseDocument(From, Message)) {
    return;
  }
  const Instant Now = TimeSource.now();
  execute(Group->receive(From, Message, Exchange->inForce(), Now));
  execute(Exchange->receive(From, Message, Now));
  if (const auto *Probe = std::get_if<membership::Probe>(&Message)) {
    updatePeerVersions(From, Probe->InForce);
  } else if (const auto *Ack = std::get_if<membership::Ack>(&Message)) {
    updatePeerVersions(From, Ack->InForce);
  } else if (const auto *Confirm =
                 std::get_if<membership::LedgerConfirmation>(&Message)) {
    std::uint64_t &LedgerVersion = PeerLedgerVersions[From];
    LedgerVersion = std::max(LedgerVersion, Confirm->Version);
    publishPeers();
  }
}

bool PeerService::handleBaseDocument(const EntryName &From,
                                     const membership::Message &Message) {
  if (const auto *Pull = std::get_if<membership::DocumentPull>(&Message);
      Pull != nullptr && Pull->Key == BaseKey) {
    const auto Base = Status.RulesBase.get();
    const auto It = Addresses.find(From);
    if (Base != nullptr && It != Addresses.end()) {
      enqueue(From, It->second,
              membership::Message(membership::DocumentPush{
                  membership::Document{std::string(BaseKey), 1, *Base}}));
    }
    return true;
  }
  if (const auto *Push = std::get_if<membership::DocumentPush>(&Message);
      Push != nullptr && Push->Content.Key == BaseKey) {
    Callbacks.BaseDocumentReceived(From, Push->Content.Text);
    return true;
  }
  return false;
}

void PeerService::pullBase() {
  std::vector<const std::pair<const EntryName, Address> *> Others;
  for (const auto &Peer : Addresses) {
    if (Peer.first != Config.Entry) {
      Others.push_back(&Peer);
    }
  }
  if (!Others.empty()) {
    const auto &[Entry, Destination] = *Others[NextBasePeer++ % Others.size()];
    enqueue(
        Entry, Destination,
        membership::Message(membership::DocumentPull{std::string(BaseKey), 0}));
  }
}

void PeerService::updatePeerVersions(
    const EntryName &From, const membership::Versions &ActiveVersions) {
  execute(Exchange->heard(From, ActiveVersions, TimeSource.now()));
  if (const auto It = ActiveVersions.find(Config.LedgerKey);
      It != ActiveVersions.end()) {
    // Overwrites a higher version too: a restarted entry has no ledger at
    // first.
    PeerLedgerVersions[From] = It->second;
  }
}

void PeerService::execute(membership::FailureDetectorOutput Step) {
  for (membership::Outgoing &Message : Step.Messages) {
    enqueue(Message.To, Message.At, std::move(Message.Content));
  }
  if (Step.LiveMembersChanged) {
    handleViewChange();
  }
}

void PeerService::execute(membership::ReplicatorOutput Step) {
  for (membership::Outgoing &Message : Step.Messages) {
    enqueue(Message.To, Message.At, std::move(Message.Content));
  }
  for (membership::WatchCall &Call : Step.Watches) {
    Callbacks.SubmitWatch(std::move(Call));
  }
  for (membership::Document &Candidate : Step.Candidates) {
    Callbacks.DocumentReceived(std::move(Candidate));
  }
}

void PeerService::enqueue(const EntryName &To, const Address &Destination,
                          wire::PeerMessage Message) {
  Outbox &PeerOutbox = Outboxes[To];
  PeerOutbox.Destination = Destination;
  if (PeerOutbox.Messages.size() >= MaxQueuedMessages) {
    PeerOutbox.Messages.erase(PeerOutbox.Messages.begin());
  }
  PeerOutbox.Messages.push_back(std::move(Message));
  if (!PeerOutbox.IsSending) {
    PeerOutbox.IsSending = true;
    // Collects all messages of this event loop iteration into one batch.
    ControlLoop.post([this, To] { sendNextBatch(To); });
  }
}

void PeerService::sendNextBatch(const EntryName &To) {
  Outbox &PeerOutbox = Outboxes[To];
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min(PeerOutbox.Messages.size(), wire::MaxBatchMessages));
  if (Count == 0) {
    PeerOutbox.IsSending = false;
    return;
  }
  const std::vector<wire::PeerMessage> Batch(
      PeerOutbox.Messages.begin(), PeerOutbox.Messages.begin() + Count);
  PeerOutbox.Messages.erase(PeerOutbox.Messages.begin(),
                            PeerOutbox.Messages.begin() + Count);
  http::Request Message;
  Message.Method = "POST";
  Message.Target = std::string(BatchPath);
  Message.Body = wire::encodeBatch(Batch);
  Message.Headers["content-type"] = "application/json";
  Message.Headers[std::string(SealHeader)] =
      wire::formatSeal(Sealer.seal(To, Message.Body, TimeSource.wallNow()));
  Status.Counters.PeerBytesSent += Message.Body.size();
  HttpClient.call(PeerOutbox.Destination.Ip, PeerOutbox.Destination.Port,
                  std::move(Message), RequestTimeout,
                  [this, To](const http::Outcome &) { sendNextBatch(To); });
}

void PeerService::handleViewChange() {
  const std::vector<membership::Member> Members = Group->live();
  std::vector<EntryName> LiveEntries;
  Addresses.clear();
  for (const membership::Member &Member : Members) {
    LiveEntries.push_back(Member.Entry);
    Addresses.emplace(Member.Entry, Member.At);
  }
  boost::json::array LiveNames;
  for (const EntryName &Entry : LiveEntries) {
    LiveNames.emplace_back(Entry.Text);
  }
  Sink.write(LogLevel::Info, "entries-changed",
             {{"live", std::move(LiveNames)}});
  std::erase_if(Outboxes, [this](const auto &PeerOutbox) {
    return !PeerOutbox.second.IsSending &&
           !Addresses.contains(PeerOutbox.first);
  });
  std::erase_if(PeerLedgerVersions, [this](const auto &PeerVersion) {
    return !Addresses.contains(PeerVersion.first);
  });
  execute(Exchange->view(Members, TimeSource.now()));
  Callbacks.LiveEntriesChanged(std::move(LiveEntries));
  publishPeers();
}

void PeerService::tick() {
  const Instant Now = TimeSource.now();
  execute(Group->tick(Exchange->inForce(), Now));
  execute(Exchange->tick(Now));
  if (Now >= NextStatusTime) {
    NextStatusTime = Now + StatusPeriod;
    publishPeers();
  }
}

void PeerService::publishPeers() {
  const membership::Versions OwnVersions = Exchange->inForce();
  const auto VersionOf = [](const membership::Versions &Versions,
                            const std::string &Key) -> std::uint64_t {
    const auto It = Versions.find(Key);
    return It == Versions.end() ? 0 : It->second;
  };
  fleet::EntryVersionsReported EntryVersions;
  std::vector<PeerStatus> PeerStatuses;
  for (const membership::Member &Member : Group->live()) {
    const bool IsSelf = Member.Entry == Config.Entry;
    std::uint64_t Ledger = VersionOf(OwnVersions, Config.LedgerKey);
    std::uint64_t Rules = VersionOf(OwnVersions, Config.RulesKey);
    if (!IsSelf) {
      const auto It = PeerLedgerVersions.find(Member.Entry);
      Ledger = It == PeerLedgerVersions.end() ? 0 : It->second;
      const membership::Group::Report *PeerReport = Group->report(Member.Entry);
      Rules = PeerReport == nullptr
                  ? 0
                  : VersionOf(PeerReport->InForce, Config.RulesKey);
    }
    EntryVersions.Live.push_back({Member.Entry, Ledger});
    PeerStatuses.push_back({Member.Entry,
                            membership::memberStateName(Member.State),
                            RulesVersion(Rules), Ledger});
  }
  Status.Peers.set(std::move(PeerStatuses));
  Callbacks.EntryVersionsReported(std::move(EntryVersions));
}

} // namespace balsamlatch::daemon
