/// \file
/// Measures what membership and document exchange cost one entry, at several
/// numbers of entries: bytes, messages and processor time a second, store
/// calls, and the time until a change is in force everywhere. The entries are
/// the product's own state machines, codec and seals, joined in one process
/// under a virtual clock; only sockets are left out.

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Membership/Exchange.h"
#include "balsamlatch/Membership/Group.h"
#include "balsamlatch/Wire/PeerCodec.h"
#include "balsamlatch/Wire/PeerSeal.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace balsamlatch;
using namespace balsamlatch::membership;
using namespace std::chrono_literals;

namespace {

constexpr int DataCentres = 9;
constexpr Duration TickStep = 50ms;
constexpr Duration WithinDataCentre = 250us;
constexpr Duration BetweenDataCentres = 1500us;
/// Request line, host, length and content type of a request, and the whole
/// head of its empty answer.
constexpr std::size_t HttpOverheadBytes = 190;
constexpr Duration WarmUp = 20s;
constexpr Duration Measured = 60s;
const std::string Secret(wire::MinSecretBytes, 'k');
const DocumentKey Rules = "rules/head";

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// One entry: the machines that its peer thread would own.
struct Entry {
  Member Self;
  Group Members;
  Exchange Documents;
  wire::Sealer Sealer;
  wire::SealChecker Checker;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesTaken = 0;

  Entry(const Member &M, const FailureDetectorOptions &G,
        const ReplicatorOptions &E)
      : Self(M), Members(G), Documents(E),
        Sealer(M.Entry, M.Incarnation, Secret), Checker(M.Entry, Secret) {}
};

/// A sealed batch on its way.
struct Packet {
  Instant At{};
  std::uint64_t Order = 0;
  std::size_t To = 0;
  wire::Seal Seal;
  std::string Body;

  bool operator>(const Packet &Other) const {
    return At != Other.At ? At > Other.At : Order > Other.Order;
  }
};

struct Figures {
  double BytesSentPerSecond = 0;
  double BytesTakenPerSecond = 0;
  double ProcessorPercent = 0;
  double StoreCallsPerSecond = 0;
  Duration Median{};
  Duration Slowest{};
};

/// All entries, the store's watches and the network between them.
class Model {
public:
  Model(int Count, std::size_t DocumentBytes, Duration ChangePeriod)
      : TextBytes(DocumentBytes), Period(ChangePeriod) {
    std::vector<Member> Listed;
    for (int I = 0; I < Count; ++I) {
      Listed.push_back({EntryName(fmt::format("entry-{}", I)),
                        {"10.0.0.1", 7001},
                        DataCentreName(fmt::format("dc-{}", I % DataCentres)),
                        1'000'000'000'000'000,
                        MemberState::Alive});
      Index[Listed.back().Entry] = static_cast<std::size_t>(I);
    }
    for (const Member &M : Listed) {
      FailureDetectorOptions G;
      G.Self = M;
      G.Seed = Random();
      ReplicatorOptions E;
      E.Self = M;
      E.Keys = {Rules};
      Entries.push_back(std::make_unique<Entry>(M, G, E));
    }
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      takeGroup(I, Entries[I]->Members.seed(Listed, Now));
    }
  }

  void run(Duration Time) {
    const Instant End = Now + Time;
    while (Now < End) {
      const Instant Next = Now + TickStep;
      while (!InFlight.empty() && InFlight.top().At <= Next) {
        Packet P = InFlight.top();
        InFlight.pop();
        Now = std::max(Now, P.At);
        arrive(P);
      }
      Now = Next;
      changeRules();
      answerWatches();
      for (std::size_t I = 0; I < Entries.size(); ++I) {
        const Versions InForce = Entries[I]->Documents.inForce();
        takeGroup(I, Entries[I]->Members.tick(InForce, Now));
        takeExchange(I, Entries[I]->Documents.tick(Now));
      }
    }
  }

  Figures measure() {
    run(WarmUp);
    std::uint64_t SentBefore = 0;
    std::uint64_t TakenBefore = 0;
    totals(SentBefore, TakenBefore);
    const std::uint64_t CallsBefore = StoreCalls;
    Delays.clear();
    const double Processor = processorSeconds();
    run(Measured);
    const double Used = processorSeconds() - Processor;
    std::uint64_t Sent = 0;
    std::uint64_t Taken = 0;
    totals(Sent, Taken);
    const double Seconds = std::chrono::duration<double>(Measured).count();
    const double Nodes = static_cast<double>(Entries.size());
    Figures F;
    F.BytesSentPerSecond =
        static_cast<double>(Sent - SentBefore) / Seconds / Nodes;
    F.BytesTakenPerSecond =
        static_cast<double>(Taken - TakenBefore) / Seconds / Nodes;
    F.ProcessorPercent = Used / Seconds / Nodes * 100;
    F.StoreCallsPerSecond =
        static_cast<double>(StoreCalls - CallsBefore) / Seconds;
    std::sort(Delays.begin(), Delays.end());
    if (!Delays.empty()) {
      F.Median = Delays[Delays.size() / 2];
      F.Slowest = Delays.back();
    }
    return F;
  }

  std::size_t adoptions() const { return Delays.size(); }

private:
  struct OpenWatch {
    std::size_t Of = 0;
    WatchCall Call;
    Instant Since{};
  };

  void totals(std::uint64_t &Sent, std::uint64_t &Taken) const {
    for (const auto &E : Entries) {
      Sent += E->BytesSent;
      Taken += E->BytesTaken;
    }
  }

  void changeRules() {
    if (Now < NextChange) {
      return;
    }
    NextChange = Now + Period;
    ++Stored.Version;
    Stored.Value = std::string(TextBytes, 'r');
    ChangedAt = Now;
  }

  void takeGroup(std::size_t From, const FailureDetectorOutput &Step) {
    for (const Outgoing &O : Step.Messages) {
      send(From, O);
    }
    if (Step.LiveMembersChanged) {
      takeExchange(From, Entries[From]->Documents.view(
                             Entries[From]->Members.live(), Now));
    }
  }

  void takeExchange(std::size_t From, ReplicatorOutput Step) {
    for (const Outgoing &O : Step.Messages) {
      send(From, O);
    }
    for (WatchCall &W : Step.Watches) {
      ++StoreCalls;
      Watches.push_back({From, std::move(W), Now});
    }
    for (const Document &D : Step.Candidates) {
      if (D.Version > Entries[From]->Documents.inForce().at(Rules)) {
        Delays.push_back(Now - ChangedAt);
        takeExchange(From, Entries[From]->Documents.adopted(D, Now));
      }
    }
  }

  void send(std::size_t From, const Outgoing &O) {
    Entry &Sender = *Entries[From];
    const std::size_t To = Index.at(O.To);
    Packet P;
    P.Body = wire::encodeBatch({O.Content});
    P.Seal = Sender.Sealer.seal(O.To, P.Body, wall());
    const bool Near = Sender.Self.DataCentre == Entries[To]->Self.DataCentre;
    P.At = Now + (Near ? WithinDataCentre : BetweenDataCentres);
    P.Order = ++Packets;
    P.To = To;
    Sender.BytesSent +=
        HttpOverheadBytes + wire::formatSeal(P.Seal).size() + P.Body.size();
    InFlight.push(std::move(P));
  }

  void arrive(const Packet &P) {
    Entry &Receiver = *Entries[P.To];
    Receiver.BytesTaken +=
        HttpOverheadBytes + wire::formatSeal(P.Seal).size() + P.Body.size();
    if (!Receiver.Checker.check(P.Seal, P.Body, wall()).ok()) {
      return;
    }
    const auto Batch = wire::decodeBatch(P.Body);
    for (const wire::PeerMessage &M : *Batch) {
      const auto &Content = std::get<Message>(M);
      hear(P.To, P.Seal.From, Content);
      const Versions InForce = Receiver.Documents.inForce();
      takeGroup(P.To,
                Receiver.Members.receive(P.Seal.From, Content, InForce, Now));
      takeExchange(P.To, Receiver.Documents.receive(P.Seal.From, Content, Now));
    }
  }

  void hear(std::size_t At, const EntryName &From, const Message &Content) {
    Exchange &Documents = Entries[At]->Documents;
    if (const auto *P = std::get_if<Probe>(&Content)) {
      takeExchange(At, Documents.heard(From, P->InForce, Now));
    } else if (const auto *A = std::get_if<Ack>(&Content)) {
      takeExchange(At, Documents.heard(A->Sender.Entry, A->InForce, Now));
    }
  }

  void answerWatches() {
    std::deque<OpenWatch> Open;
    Open.swap(Watches);
    for (const OpenWatch &W : Open) {
      const bool Changed = Stored.Version > W.Call.Request.AfterVersion;
      if (Changed || Now - W.Since >= W.Call.Request.Wait) {
        takeExchange(W.Of, Entries[W.Of]->Documents.watched(
                               Rules, {absl::OkStatus(), Stored}, Now));
      } else {
        Watches.push_back(W);
      }
    }
  }

  WallTime wall() const { return WallTime(Now.time_since_epoch() + 400'000h); }

  std::size_t TextBytes;
  Duration Period;
  Instant Now{};
  Instant NextChange{};
  Instant ChangedAt{};
  std::mt19937_64 Random{11};
  std::vector<std::unique_ptr<Entry>> Entries;
  std::map<EntryName, std::size_t> Index;
  std::priority_queue<Packet, std::vector<Packet>, std::greater<>> InFlight;
  std::deque<OpenWatch> Watches;
  StoreEntry Stored;
  std::uint64_t StoreCalls = 0;
  std::uint64_t Packets = 0;
  std::vector<Duration> Delays;
};

} // namespace

int main() {
  constexpr std::size_t HeadBytes = 4'000;
  // 4,800 changes a day.
  constexpr Duration ChangePeriod = 18s;
  fmt::print("| entries | sent B/s | taken B/s | processor % of a core | store "
             "calls/s, "
             "all entries | in force, median | in force, slowest |\n");
  fmt::print("|---|---|---|---|---|---|---|\n");
  for (const int Count : {9, 27, 50, 100, 200}) {
    Model M(Count, HeadBytes, ChangePeriod);
    const Figures F = M.measure();
    fmt::print("| {} | {:.0f} | {:.0f} | {:.3f} | {:.2f} | {} | {} |\n", Count,
               F.BytesSentPerSecond, F.BytesTakenPerSecond, F.ProcessorPercent,
               F.StoreCallsPerSecond, formatDuration(F.Median),
               formatDuration(F.Slowest));
  }
  return 0;
}
