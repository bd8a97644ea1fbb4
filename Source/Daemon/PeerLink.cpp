/// \file
/// Sends and receives sealed batches and drives membership and exchange.

#include "balsamlatch/Daemon/PeerLink.h"

#include "balsamlatch/Rules/Chain.h"

#include <absl/status/statusor.h>
#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

constexpr std::string_view BatchPath = "/v1/peers/batch";
constexpr std::string_view SealHeader = "balsamlatch-seal";
constexpr Duration PeerTick = std::chrono::milliseconds(100);
constexpr Duration ReportPeriod = std::chrono::milliseconds(500);
constexpr Duration CallTimeout = std::chrono::milliseconds(1000);
/// Messages that wait for one peer; the oldest go first when there are more,
/// since every kind of message is repeated or voided by its sender.
constexpr std::size_t MaxWaiting = 1024;
/// A document of a megabyte, escaped in a batch.
constexpr std::size_t MaxBatchBytes = 4'000'000;

http::ServerOptions serverOptions(const Address &At) {
  http::ServerOptions Options;
  Options.Ip = At.Ip;
  Options.Port = At.Port;
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

PeerLink::PeerLink(EventLoop &Loop, Options Asked, const Clock &Time,
                   Board &Standing, LogSink &Log, PeerOutlets Out)
    : Control(Loop), Wanted(std::move(Asked)), TimeSource(Time),
      Shown(Standing), Sink(Log), Outlets(std::move(Out)),
      Listener(Loop.context(), serverOptions(Wanted.At),
               [this](http::Exchange Call) { take(std::move(Call)); }),
      Caller(Loop.context(), clientOptions()),
      Sealer(Wanted.Entry, Wanted.Incarnation, Wanted.Secret),
      Checker(Wanted.Entry, Wanted.Secret) {}

absl::Status PeerLink::start() {
  if (absl::Status Bound = Listener.start(); !Bound.ok()) {
    return Bound;
  }
  const membership::Member Self{
      Wanted.Entry,
      Address{Wanted.At.Ip, Listener.port()},
      Wanted.DataCentre,
      Wanted.Incarnation,
      membership::MemberState::Alive,
  };
  membership::GroupOptions GroupOptions;
  GroupOptions.Self = Self;
  GroupOptions.Seed = Wanted.Incarnation;
  Group.emplace(GroupOptions);
  membership::ExchangeOptions ExchangeOptions;
  ExchangeOptions.Self = Self;
  ExchangeOptions.Keys = {Wanted.RulesKey, Wanted.LedgerKey};
  Exchange.emplace(ExchangeOptions);
  Control.post([this] {
    std::vector<membership::Member> Known;
    for (const KnownPeer &Peer : Wanted.Known) {
      Known.push_back({Peer.Entry, Peer.At, {}, 0, {}});
    }
    carryOut(Group->seed(Known, TimeSource.now()));
    viewChanged();
  });
  Control.every(PeerTick, [this] { tick(); });
  return absl::OkStatus();
}

void PeerLink::listed(const HostListing &Listing) {
  std::vector<membership::Member> Known;
  for (const ListedHost &Host : Listing.Hosts) {
    if (Host.Role == HostRole::Entry && Host.Host.Text != Wanted.Entry.Text) {
      Known.push_back(
          {EntryName(Host.Host.Text), Host.At, Host.DataCentre, 0, {}});
    }
  }
  carryOut(Group->seed(Known, TimeSource.now()));
}

void PeerLink::watched(const membership::DocumentKey &Key,
                       const StoreReply &Reply) {
  carryOut(Exchange->watched(Key, Reply, TimeSource.now()));
}

void PeerLink::adopted(const membership::Document &InForce) {
  carryOut(Exchange->adopted(InForce, TimeSource.now()));
  if (InForce.Key != Wanted.LedgerKey) {
    return;
  }
  for (const membership::Member &Live : Group->live()) {
    if (Live.Entry != Wanted.Entry) {
      queue(Live.Entry, Live.At,
            membership::Message(membership::LedgerConfirm{InForce.Version}));
    }
  }
  report();
}

void PeerLink::send(placement::SendSlotMessage Message) {
  const auto Known = Addresses.find(Message.To);
  if (Known != Addresses.end()) {
    queue(Message.To, Known->second, std::move(Message.Message));
  }
}

void PeerLink::leave() { carryOut(Group->leave(TimeSource.now())); }

void PeerLink::take(http::Exchange Call) {
  if (Call.Message.Method != "POST" || Call.Message.path() != BatchPath) {
    Call.Respond(http::jsonResponse(404, "{}"));
    return;
  }
  const absl::StatusOr<wire::Seal> Seal =
      wire::parseSeal(Call.Message.header(SealHeader));
  const absl::Status Checked =
      Seal.ok() ? Checker.check(*Seal, Call.Message.Body, TimeSource.wallNow())
                : Seal.status();
  if (!Checked.ok()) {
    ++Shown.Counters.PeerBatchesRefused;
    Sink.write(LogLevel::Warning, "peer-refused",
               {{"peer", Call.Message.Peer},
                {"fault", std::string(Checked.message())}});
    Call.Respond(http::jsonResponse(401, "{}"));
    return;
  }
  Shown.Counters.PeerBytesReceived += Call.Message.Body.size();
  const auto Batch = wire::decodeBatch(Call.Message.Body);
  if (!Batch.ok()) {
    ++Shown.Counters.PeerBatchesRefused;
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

void PeerLink::receive(const EntryName &From,
                       const wire::PeerMessage &Message) {
  if (const auto *Slots = std::get_if<placement::SlotMessage>(&Message)) {
    Outlets.Slots(placement::SlotMessageArrived{From, *Slots});
    return;
  }
  receive(From, std::get<membership::Message>(Message));
}

void PeerLink::receive(const EntryName &From,
                       const membership::Message &Message) {
  if (receiveBase(From, Message)) {
    return;
  }
  const Instant Now = TimeSource.now();
  carryOut(Group->receive(From, Message, Exchange->inForce(), Now));
  carryOut(Exchange->receive(From, Message, Now));
  if (const auto *Probe = std::get_if<membership::Probe>(&Message)) {
    noteVersions(From, Probe->InForce);
  } else if (const auto *Ack = std::get_if<membership::Ack>(&Message)) {
    noteVersions(From, Ack->InForce);
  } else if (const auto *Confirm =
                 std::get_if<membership::LedgerConfirm>(&Message)) {
    std::uint64_t &Known = LedgerVersions[From];
    Known = std::max(Known, Confirm->Version);
    report();
  }
}

bool PeerLink::receiveBase(const EntryName &From,
                           const membership::Message &Message) {
  if (const auto *Pull = std::get_if<membership::DocumentPull>(&Message);
      Pull != nullptr && Pull->Key == BaseKey) {
    const auto Base = Shown.RulesBase.get();
    const auto Known = Addresses.find(From);
    if (Base != nullptr && Known != Addresses.end()) {
      queue(From, Known->second,
            membership::Message(membership::DocumentPush{
                membership::Document{std::string(BaseKey), 1, *Base}}));
    }
    return true;
  }
  if (const auto *Push = std::get_if<membership::DocumentPush>(&Message);
      Push != nullptr && Push->Content.Key == BaseKey) {
    Outlets.Base(From, Push->Content.Text);
    return true;
  }
  return false;
}

void PeerLink::pullBase() {
  std::vector<const std::pair<const EntryName, Address> *> Others;
  for (const auto &Known : Addresses) {
    if (Known.first != Wanted.Entry) {
      Others.push_back(&Known);
    }
  }
  if (!Others.empty()) {
    const auto &[Entry, At] = *Others[NextBaseAsked++ % Others.size()];
    queue(
        Entry, At,
        membership::Message(membership::DocumentPull{std::string(BaseKey), 0}));
  }
}

void PeerLink::noteVersions(const EntryName &From,
                            const membership::Versions &InForce) {
  carryOut(Exchange->heard(From, InForce, TimeSource.now()));
  if (const auto Ledger = InForce.find(Wanted.LedgerKey);
      Ledger != InForce.end()) {
    // Not the highest ever: a restarted entry starts without a ledger.
    LedgerVersions[From] = Ledger->second;
  }
}

void PeerLink::carryOut(membership::GroupStep Step) {
  for (membership::Outgoing &Message : Step.Messages) {
    queue(Message.To, Message.At, std::move(Message.Content));
  }
  if (Step.ViewChanged) {
    viewChanged();
  }
}

void PeerLink::carryOut(membership::ExchangeStep Step) {
  for (membership::Outgoing &Message : Step.Messages) {
    queue(Message.To, Message.At, std::move(Message.Content));
  }
  for (membership::WatchCall &Call : Step.Watches) {
    Outlets.Watch(std::move(Call));
  }
  for (membership::Document &Candidate : Step.Candidates) {
    Outlets.Candidate(std::move(Candidate));
  }
}

void PeerLink::queue(const EntryName &To, const Address &At,
                     wire::PeerMessage Message) {
  Outbox &Box = Outboxes[To];
  Box.At = At;
  if (Box.Waiting.size() >= MaxWaiting) {
    Box.Waiting.erase(Box.Waiting.begin());
  }
  Box.Waiting.push_back(std::move(Message));
  if (!Box.Sending) {
    Box.Sending = true;
    // Messages of the same turn of the loop go together.
    Control.post([this, To] { flush(To); });
  }
}

void PeerLink::flush(const EntryName &To) {
  Outbox &Box = Outboxes[To];
  const auto Count = static_cast<std::ptrdiff_t>(
      std::min(Box.Waiting.size(), wire::MaxBatchMessages));
  if (Count == 0) {
    Box.Sending = false;
    return;
  }
  const std::vector<wire::PeerMessage> Batch(Box.Waiting.begin(),
                                             Box.Waiting.begin() + Count);
  Box.Waiting.erase(Box.Waiting.begin(), Box.Waiting.begin() + Count);
  http::Request Message;
  Message.Method = "POST";
  Message.Target = std::string(BatchPath);
  Message.Body = wire::encodeBatch(Batch);
  Message.Headers["content-type"] = "application/json";
  Message.Headers[std::string(SealHeader)] =
      wire::formatSeal(Sealer.seal(To, Message.Body, TimeSource.wallNow()));
  Shown.Counters.PeerBytesSent += Message.Body.size();
  Caller.call(Box.At.Ip, Box.At.Port, std::move(Message), CallTimeout,
              [this, To](const http::Outcome &) { flush(To); });
}

void PeerLink::viewChanged() {
  const std::vector<membership::Member> Live = Group->live();
  std::vector<EntryName> Names;
  Addresses.clear();
  for (const membership::Member &Entry : Live) {
    Names.push_back(Entry.Entry);
    Addresses.emplace(Entry.Entry, Entry.At);
  }
  boost::json::array Listed;
  for (const EntryName &Name : Names) {
    Listed.emplace_back(Name.Text);
  }
  Sink.write(LogLevel::Info, "entries-changed", {{"live", std::move(Listed)}});
  std::erase_if(Outboxes, [this](const auto &Box) {
    return !Box.second.Sending && !Addresses.contains(Box.first);
  });
  std::erase_if(LedgerVersions, [this](const auto &Known) {
    return !Addresses.contains(Known.first);
  });
  carryOut(Exchange->view(Live, TimeSource.now()));
  Outlets.Entries(std::move(Names));
  report();
}

void PeerLink::tick() {
  const Instant Now = TimeSource.now();
  carryOut(Group->tick(Exchange->inForce(), Now));
  carryOut(Exchange->tick(Now));
  if (Now >= NextReportAt) {
    NextReportAt = Now + ReportPeriod;
    report();
  }
}

void PeerLink::report() {
  const membership::Versions Mine = Exchange->inForce();
  const auto VersionIn = [](const membership::Versions &All,
                            const std::string &Key) -> std::uint64_t {
    const auto Found = All.find(Key);
    return Found == All.end() ? 0 : Found->second;
  };
  fleet::EntriesSeen Seen;
  std::vector<PeerStanding> Standings;
  for (const membership::Member &Live : Group->live()) {
    const bool IsSelf = Live.Entry == Wanted.Entry;
    std::uint64_t Ledger = VersionIn(Mine, Wanted.LedgerKey);
    std::uint64_t Rules = VersionIn(Mine, Wanted.RulesKey);
    if (!IsSelf) {
      const auto Known = LedgerVersions.find(Live.Entry);
      Ledger = Known == LedgerVersions.end() ? 0 : Known->second;
      const membership::Group::Report *Told = Group->report(Live.Entry);
      Rules = Told == nullptr ? 0 : VersionIn(Told->InForce, Wanted.RulesKey);
    }
    Seen.Live.push_back({Live.Entry, Ledger});
    Standings.push_back({Live.Entry, membership::memberStateCode(Live.State),
                         RulesVersion(Rules), Ledger});
  }
  Shown.Peers.set(std::move(Standings));
  Outlets.Views(std::move(Seen));
}

} // namespace balsamlatch::daemon
