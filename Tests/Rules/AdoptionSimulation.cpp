/// \file
/// Implements the simulation of entries, owners and the store, and the checker
/// of its histories.

#include "AdoptionSimulation.h"

#include "balsamlatch/Rules/Parser.h"

namespace balsamlatch::test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t EntryCount = 5;
constexpr std::size_t WatcherCount = 2;
constexpr Duration Step = 100ms;
constexpr Duration FaultDuration = 8s;
constexpr Duration TotalDuration = 20s;

class Simulation;

/// Makes the store calls of an owner. Calls may fail, and another owner may
/// write between a read and a write.
class OwnerCaller final : public StoreCaller {
public:
  explicit OwnerCaller(Simulation &Simulated) : Environment(Simulated) {}
  StoreReply call(const StoreRequest &Request) override;

  /// Called once, before the next write.
  std::function<void()> BeforeWrite;

private:
  Simulation &Environment;
};

struct Node {
  explicit Node(const AdoptionOptions &Options) : StateMachine(Options) {}

  Adoption StateMachine;
  unsigned Incarnation = 0;
  HeadInForce Head;
};

class Simulation {
public:
  Simulation(const std::set<SimulatedFault> &ActiveFaults, std::uint64_t Seed);
  AdoptionHistory run();

  StoreReply ownerCall(const StoreRequest &Request);

private:
  bool isActive(SimulatedFault Fault) {
    return Now < Instant(FaultDuration) && Faults.count(Fault) != 0;
  }
  bool oneIn(unsigned Count) { return Random() % Count == 0; }
  StoreReply apply(const StoreRequest &Request);
  StoreReply entryRead(const StoreRead &Read);
  std::string tamperWith(const std::string &Text);
  void schedule(Duration Delay, std::function<void()> Callback) {
    Queue.emplace(Now + Delay, std::move(Callback));
  }
  void deliver(std::size_t Index, const AdoptionEvent &Event);
  void execute(std::size_t Index, const AdoptionAction &Action);
  void scheduleRead(std::size_t Index, const StoreRequest &Request);
  void pushHead(std::size_t From, std::size_t To);
  bool isIsolated(std::size_t Index) {
    return isActive(SimulatedFault::PeerIsolated) && Index == EntryCount - 1;
  }
  void restart(std::size_t Index);
  void proposeAndLand(bool AnnaLands);
  void step();

  const Owners Keys;
  const AdoptionOptions Options{Keys.keys(), RulesVersion()};
  std::set<SimulatedFault> Faults;
  std::mt19937_64 Random;
  Instant Now{};
  std::map<std::string, StoreEntry> Store;
  std::vector<std::string> OldHeads;
  std::multimap<Instant, std::function<void()>> Queue;
  std::vector<Node> Nodes;
  AdoptionHistory History;
  unsigned ChangeCount = 0;
};

Simulation::Simulation(const std::set<SimulatedFault> &ActiveFaults,
                       std::uint64_t Seed)
    : Faults(ActiveFaults), Random(Seed), Nodes(EntryCount, Node(Options)) {
  const ChainView First = initialView(Keys);
  Store[std::string(BaseKey)] = {1, printBase(First.Base)};
  Store[std::string(HeadKey)] = {1, printHead(First.Head)};
  OldHeads.push_back(printHead(First.Head));
  History.Landed[First.Latest.version()] = First.Latest.textHash();
  History.Entries = EntryCount;
}

StoreReply Simulation::apply(const StoreRequest &Request) {
  if (const auto *Read = std::get_if<StoreRead>(&Request)) {
    return {absl::OkStatus(), Store[Read->Key]};
  }
  const auto &Swap = std::get<StoreSwap>(Request);
  StoreEntry &Entry = Store[Swap.Key];
  if (Entry.Version != Swap.ExpectedVersion) {
    return {absl::AbortedError("changed"), Entry};
  }
  Entry = {Entry.Version + 1, Swap.Value};
  if (Swap.Key == HeadKey) {
    const LandedChange Last = parseHead(Swap.Value)->Changes.back();
    History.Landed[Last.Version] = Last.TextHash;
    OldHeads.push_back(Swap.Value);
  }
  return {absl::OkStatus(), Entry};
}

StoreReply Simulation::ownerCall(const StoreRequest &Request) {
  if (isActive(SimulatedFault::StoreDown) && oneIn(3)) {
    return {absl::UnavailableError("down"), {}};
  }
  const bool IsReplyLost = isActive(SimulatedFault::ReplyLost) && oneIn(3);
  const bool IsApplied = !IsReplyLost || oneIn(2);
  StoreReply Reply = IsApplied ? apply(Request) : StoreReply();
  return IsReplyLost ? StoreReply{absl::DeadlineExceededError("lost"), {}}
                     : Reply;
}

StoreReply OwnerCaller::call(const StoreRequest &Request) {
  if (std::holds_alternative<StoreSwap>(Request) && BeforeWrite) {
    std::exchange(BeforeWrite, nullptr)();
  }
  return Environment.ownerCall(Request);
}

/// Changes a value as a hostile store or a single owner could.
std::string Simulation::tamperWith(const std::string &Text) {
  absl::StatusOr<HeadDocument> Head = parseHead(Text);
  if (!Head.ok() || Head->Changes.empty() || oneIn(3)) {
    std::string Modified = Text;
    const std::size_t Digit =
        Modified.find("hosts", Random() % Modified.size());
    if (Digit != std::string::npos) {
      Modified[Digit - 2] = '9';
    }
    return Modified;
  }
  // Beat appends a change that only he and Carl, who is no owner, signed.
  LandedChange Forged = Head->Changes.back();
  Forged.Version.Value += 1;
  Forged.Subject.Content.Nonce += "x";
  Forged.Subject.Approvals = {approve(Forged.Subject.Content, Keys.Beat),
                              approve(Forged.Subject.Content, Keys.Carl)};
  Head->Changes.push_back(Forged);
  return printHead(*Head);
}

StoreReply Simulation::entryRead(const StoreRead &Read) {
  if (isActive(SimulatedFault::StoreDown)) {
    return {absl::UnavailableError("down"), {}};
  }
  if (isActive(SimulatedFault::ReplyLost) && oneIn(2)) {
    return {absl::DeadlineExceededError("lost"), {}};
  }
  StoreReply Reply{absl::OkStatus(), Store[Read.Key]};
  if (isActive(SimulatedFault::ValueTampered) && oneIn(2)) {
    Reply.Entry.Value = tamperWith(Reply.Entry.Value);
  }
  if (isActive(SimulatedFault::OldHeadReplayed) && Read.Key == HeadKey &&
      oneIn(2)) {
    Reply.Entry = {Reply.Entry.Version + 1,
                   OldHeads[Random() % OldHeads.size()]};
  }
  return Reply;
}

void Simulation::scheduleRead(std::size_t Index, const StoreRequest &Request) {
  const StoreReply Reply = entryRead(std::get<StoreRead>(Request));
  const Duration Delay = isActive(SimulatedFault::StoreSlow)
                             ? Duration(Random() % 3'000'000)
                             : 2ms;
  const unsigned Incarnation = Nodes[Index].Incarnation;
  schedule(Delay, [this, Index, Incarnation, Request, Reply] {
    if (Nodes[Index].Incarnation == Incarnation) {
      deliver(Index, StoreReplied{Request, Reply});
    }
  });
}

void Simulation::deliver(std::size_t Index, const AdoptionEvent &Event) {
  for (const AdoptionAction &Action :
       Nodes[Index].StateMachine.handle(Event, Now)) {
    execute(Index, Action);
  }
}

void Simulation::execute(std::size_t Index, const AdoptionAction &Action) {
  if (const auto *Call = std::get_if<CallStore>(&Action)) {
    scheduleRead(Index, Call->Request);
  } else if (std::holds_alternative<RequestBase>(Action)) {
    const std::size_t Peer = Random() % EntryCount;
    const std::string Text = Nodes[Peer].StateMachine.baseDocument();
    if (!Text.empty() && !isIsolated(Index) && !isIsolated(Peer)) {
      schedule(3ms, [this, Index, Text] {
        deliver(Index, BaseReceived{"peer", Text});
      });
    }
  } else if (const auto *InForce = std::get_if<RulesInForce>(&Action)) {
    History.Observed.push_back({Index, Nodes[Index].Incarnation,
                                InForce->Rules->Version,
                                Nodes[Index].StateMachine.state()->textHash()});
  } else if (const auto *Head = std::get_if<HeadInForce>(&Action)) {
    Nodes[Index].Head = *Head;
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer) {
      pushHead(Index, Peer);
    }
  }
}

void Simulation::pushHead(std::size_t From, std::size_t To) {
  const HeadInForce Head = Nodes[From].Head;
  if (From == To || Head.Text.empty() || isIsolated(From) || isIsolated(To)) {
    return;
  }
  schedule(3ms, [this, From, To, Head] {
    deliver(To, HeadReceived{fmt::format("entry {}", From), Head.StoreVersion,
                             Head.Text});
  });
}

void Simulation::restart(std::size_t Index) {
  const unsigned Incarnation = Nodes[Index].Incarnation + 1;
  Nodes[Index] = Node(Options);
  Nodes[Index].Incarnation = Incarnation;
  for (const AdoptionAction &Action : Nodes[Index].StateMachine.start(Now)) {
    execute(Index, Action);
  }
}

/// Changes the quota of a team by a change that both owners sign and one lands.
void Simulation::proposeAndLand(bool AnnaLands) {
  OwnerCaller Caller(*this);
  ChainStore Chain(Caller, Keys.keys());
  const absl::StatusOr<ChainView> View = Chain.view();
  if (!View.ok()) {
    return;
  }
  const std::string Line =
      fmt::format("quota team-{} 5 slots in counting # Beat, change {}",
                  ChangeCount % 4, ChangeCount);
  ++ChangeCount;
  std::string Text = View->Latest.text();
  const std::size_t OldLineStart = Text.find(Line.substr(0, Line.find(' ', 6)));
  if (OldLineStart == std::string::npos) {
    Text += Line + "\n";
  } else {
    Text.replace(OldLineStart, Text.find('\n', OldLineStart) - OldLineStart,
                 Line);
  }
  const SignedChange Subject = signedChange(
      *View, Text, {&Keys.Anna, &Keys.Beat}, std::to_string(ChangeCount));
  if (isActive(SimulatedFault::OwnersRace) && oneIn(2)) {
    Caller.BeforeWrite = [this, AnnaLands] { proposeAndLand(!AnnaLands); };
  }
  const absl::StatusOr<RulesVersion> LandedVersion =
      Chain.land(Subject, AnnaLands ? Keys.Anna : Keys.Beat);
  if (LandedVersion.ok()) {
    History.Acknowledged.emplace_back(*LandedVersion, Line);
  }
}

void Simulation::step() {
  Now += Step;
  while (!Queue.empty() && Queue.begin()->first <= Now) {
    const std::function<void()> Callback = Queue.begin()->second;
    Queue.erase(Queue.begin());
    Callback();
  }
  for (std::size_t I = 0; I < EntryCount; ++I) {
    deliver(I, AdoptionTick{});
    if (I < WatcherCount && oneIn(3)) {
      scheduleRead(I, StoreRead{std::string(HeadKey)});
    }
    if (oneIn(10)) {
      pushHead(I, Random() % EntryCount);
    }
    if (isActive(SimulatedFault::EntryRestarted) && oneIn(40)) {
      restart(I);
    }
  }
  if (oneIn(4) && Now < Instant(FaultDuration + 2s)) {
    proposeAndLand(oneIn(2));
  }
}

AdoptionHistory Simulation::run() {
  for (std::size_t I = 0; I < EntryCount; ++I) {
    restart(I);
  }
  while (Now < Instant(TotalDuration)) {
    step();
  }
  OwnerCaller Caller(*this);
  const absl::StatusOr<ChainView> View = ChainStore(Caller, Keys.keys()).view();
  History.LastText = View.ok() ? View->Latest.text() : "";
  return std::move(History);
}

} // namespace

AdoptionHistory runSimulation(const std::set<SimulatedFault> &Faults,
                              std::uint64_t Seed) {
  return Simulation(Faults, Seed).run();
}

std::string checkHistory(const AdoptionHistory &History) {
  std::map<std::pair<std::size_t, unsigned>, RulesVersion> HighestVersions;
  std::map<std::size_t, RulesVersion> FinalVersions;
  for (const Observation &Item : History.Observed) {
    const auto LandedVersion = History.Landed.find(Item.Version);
    if (LandedVersion == History.Landed.end()) {
      return fmt::format("entry {} has version {} that never landed",
                         Item.Entry, Item.Version.Value);
    }
    if (LandedVersion->second != Item.Text) {
      return fmt::format("entry {} has another text of version {}", Item.Entry,
                         Item.Version.Value);
    }
    RulesVersion &Previous = HighestVersions[{Item.Entry, Item.Incarnation}];
    if (Item.Version <= Previous) {
      return fmt::format("entry {} went from version {} to {}", Item.Entry,
                         Previous.Value, Item.Version.Value);
    }
    Previous = Item.Version;
    FinalVersions[Item.Entry] = Item.Version;
  }
  const RulesVersion Last = History.Landed.rbegin()->first;
  for (std::size_t I = 0; I < History.Entries; ++I) {
    if (FinalVersions[I] != Last) {
      return fmt::format("entry {} ended with version {} of {}", I,
                         FinalVersions[I].Value, Last.Value);
    }
  }
  std::map<std::string, std::pair<RulesVersion, std::string>> LatestLines;
  std::set<RulesVersion> Versions;
  for (const auto &[Version, Line] : History.Acknowledged) {
    if (!Versions.insert(Version).second) {
      return fmt::format("two changes were told of version {}", Version.Value);
    }
    auto &LatestChange = LatestLines[Line.substr(0, Line.find(' ', 6))];
    LatestChange = std::max(LatestChange, {Version, Line});
  }
  for (const auto &[Team, LatestChange] : LatestLines) {
    if (History.LastText.find(LatestChange.second) == std::string::npos) {
      return fmt::format("version {} was told of and lost: {}",
                         LatestChange.first.Value, LatestChange.second);
    }
  }
  return "";
}

} // namespace balsamlatch::test
