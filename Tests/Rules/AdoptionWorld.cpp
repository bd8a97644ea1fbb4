/// \file
/// The simulated entries, owners and store.

#include "AdoptionWorld.h"

#include "balsamlatch/Rules/Parser.h"

namespace balsamlatch::test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t EntryCount = 5;
constexpr std::size_t WatcherCount = 2;
constexpr Duration Step = 100ms;
constexpr Duration FaultyTime = 8s;
constexpr Duration WholeTime = 20s;

class World;

/// An owner's calls: they may fail, and another owner may come in between.
class OwnerCaller final : public StoreCaller {
public:
  explicit OwnerCaller(World &Whole) : Parent(Whole) {}
  StoreReply call(const StoreRequest &Request) override;

  /// Runs once before the next write.
  std::function<void()> BeforeWrite;

private:
  World &Parent;
};

struct Node {
  explicit Node(const AdoptionOptions &Options) : Machine(Options) {}

  Adoption Machine;
  unsigned Life = 0;
  HeadInForce Head;
};

class World {
public:
  World(const std::set<WorldFault> &Set, std::uint64_t Seed);
  AdoptionHistory run();

  StoreReply ownerCall(const StoreRequest &Request);

private:
  bool active(WorldFault Fault) {
    return Now < Instant(FaultyTime) && Faults.count(Fault) != 0;
  }
  bool chance(unsigned OneIn) { return Random() % OneIn == 0; }
  StoreReply apply(const StoreRequest &Request);
  StoreReply entryRead(const StoreRead &Read);
  std::string tampered(const std::string &Text);
  void later(Duration Delay, std::function<void()> Do) {
    Queue.emplace(Now + Delay, std::move(Do));
  }
  void give(std::size_t Index, const AdoptionEvent &Event);
  void act(std::size_t Index, const AdoptionAction &Action);
  void readFor(std::size_t Index, const StoreRequest &Request);
  void push(std::size_t From, std::size_t To);
  bool cut(std::size_t Index) {
    return active(WorldFault::PeerCutOff) && Index == EntryCount - 1;
  }
  void restart(std::size_t Index);
  void ownerTurn(bool Anna);
  void step();

  const Owners Keys;
  const AdoptionOptions Options{Keys.keys(), RulesVersion()};
  std::set<WorldFault> Faults;
  std::mt19937_64 Random;
  Instant Now{};
  std::map<std::string, StoreEntry> Store;
  std::vector<std::string> OldHeads;
  std::multimap<Instant, std::function<void()>> Queue;
  std::vector<Node> Nodes;
  AdoptionHistory History;
  unsigned Counter = 0;
};

World::World(const std::set<WorldFault> &Set, std::uint64_t Seed)
    : Faults(Set), Random(Seed), Nodes(EntryCount, Node(Options)) {
  const ChainView First = firstView(Keys);
  Store[std::string(BaseKey)] = {1, printBase(First.Base)};
  Store[std::string(HeadKey)] = {1, printHead(First.Head)};
  OldHeads.push_back(printHead(First.Head));
  History.Landed[First.Latest.version()] = First.Latest.textHash();
  History.Entries = EntryCount;
}

StoreReply World::apply(const StoreRequest &Request) {
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

StoreReply World::ownerCall(const StoreRequest &Request) {
  if (active(WorldFault::StoreDown) && chance(3)) {
    return {absl::UnavailableError("down"), {}};
  }
  const bool Lost = active(WorldFault::AnswerLost) && chance(3);
  const bool Acts = !Lost || chance(2);
  StoreReply Reply = Acts ? apply(Request) : StoreReply();
  return Lost ? StoreReply{absl::DeadlineExceededError("lost"), {}} : Reply;
}

StoreReply OwnerCaller::call(const StoreRequest &Request) {
  if (std::holds_alternative<StoreSwap>(Request) && BeforeWrite) {
    std::exchange(BeforeWrite, nullptr)();
  }
  return Parent.ownerCall(Request);
}

/// A value as a hostile store or a single owner may make it.
std::string World::tampered(const std::string &Text) {
  absl::StatusOr<HeadDocument> Head = parseHead(Text);
  if (!Head.ok() || Head->Changes.empty() || chance(3)) {
    std::string Other = Text;
    const std::size_t Digit = Other.find("hosts", Random() % Other.size());
    if (Digit != std::string::npos) {
      Other[Digit - 2] = '9';
    }
    return Other;
  }
  // Beat alone lands a change on top, signed by himself and by Carl.
  LandedChange Forged = Head->Changes.back();
  Forged.Version.Value += 1;
  Forged.Subject.Content.Nonce += "x";
  Forged.Subject.Approvals = {approve(Forged.Subject.Content, Keys.Beat),
                              approve(Forged.Subject.Content, Keys.Carl)};
  Head->Changes.push_back(Forged);
  return printHead(*Head);
}

StoreReply World::entryRead(const StoreRead &Read) {
  if (active(WorldFault::StoreDown)) {
    return {absl::UnavailableError("down"), {}};
  }
  if (active(WorldFault::AnswerLost) && chance(2)) {
    return {absl::DeadlineExceededError("lost"), {}};
  }
  StoreReply Reply{absl::OkStatus(), Store[Read.Key]};
  if (active(WorldFault::ValueTampered) && chance(2)) {
    Reply.Entry.Value = tampered(Reply.Entry.Value);
  }
  if (active(WorldFault::OldReplayed) && Read.Key == HeadKey && chance(2)) {
    Reply.Entry = {Reply.Entry.Version + 1,
                   OldHeads[Random() % OldHeads.size()]};
  }
  return Reply;
}

void World::readFor(std::size_t Index, const StoreRequest &Request) {
  const StoreReply Reply = entryRead(std::get<StoreRead>(Request));
  const Duration Delay =
      active(WorldFault::StoreSlow) ? Duration(Random() % 3'000'000) : 2ms;
  const unsigned Life = Nodes[Index].Life;
  later(Delay, [this, Index, Life, Request, Reply] {
    if (Nodes[Index].Life == Life) {
      give(Index, StoreReplied{Request, Reply});
    }
  });
}

void World::give(std::size_t Index, const AdoptionEvent &Event) {
  for (const AdoptionAction &Action : Nodes[Index].Machine.handle(Event, Now)) {
    act(Index, Action);
  }
}

void World::act(std::size_t Index, const AdoptionAction &Action) {
  if (const auto *Call = std::get_if<CallStore>(&Action)) {
    readFor(Index, Call->Request);
  } else if (std::holds_alternative<PullBase>(Action)) {
    const std::size_t Peer = Random() % EntryCount;
    const std::string Text = Nodes[Peer].Machine.baseDocument();
    if (!Text.empty() && !cut(Index) && !cut(Peer)) {
      later(3ms, [this, Index, Text] { give(Index, BaseSeen{"peer", Text}); });
    }
  } else if (const auto *InForce = std::get_if<RulesInForce>(&Action)) {
    History.Observed.push_back({Index, Nodes[Index].Life,
                                InForce->Rules->Version,
                                Nodes[Index].Machine.state()->textHash()});
  } else if (const auto *Head = std::get_if<HeadInForce>(&Action)) {
    Nodes[Index].Head = *Head;
    for (std::size_t Peer = 0; Peer < EntryCount; ++Peer) {
      push(Index, Peer);
    }
  }
}

void World::push(std::size_t From, std::size_t To) {
  const HeadInForce Head = Nodes[From].Head;
  if (From == To || Head.Text.empty() || cut(From) || cut(To)) {
    return;
  }
  later(3ms, [this, From, To, Head] {
    give(To,
         HeadSeen{fmt::format("entry {}", From), Head.StoreVersion, Head.Text});
  });
}

void World::restart(std::size_t Index) {
  const unsigned Life = Nodes[Index].Life + 1;
  Nodes[Index] = Node(Options);
  Nodes[Index].Life = Life;
  for (const AdoptionAction &Action : Nodes[Index].Machine.start(Now)) {
    act(Index, Action);
  }
}

/// One owner proposes a change of a team's quota, the other signs and lands.
void World::ownerTurn(bool Anna) {
  OwnerCaller Caller(*this);
  ChainStore Chain(Caller, Keys.keys());
  const absl::StatusOr<ChainView> View = Chain.view();
  if (!View.ok()) {
    return;
  }
  const std::string Line =
      fmt::format("quota team-{} 5 slots in counting # Beat, change {}",
                  Counter % 4, Counter);
  ++Counter;
  std::string Text = View->Latest.text();
  const std::size_t Old = Text.find(Line.substr(0, Line.find(' ', 6)));
  if (Old == std::string::npos) {
    Text += Line + "\n";
  } else {
    Text.replace(Old, Text.find('\n', Old) - Old, Line);
  }
  const SignedChange Subject = signedChange(
      *View, Text, {&Keys.Anna, &Keys.Beat}, std::to_string(Counter));
  if (active(WorldFault::OwnerRace) && chance(2)) {
    Caller.BeforeWrite = [this, Anna] { ownerTurn(!Anna); };
  }
  const absl::StatusOr<RulesVersion> Landed =
      Chain.land(Subject, Anna ? Keys.Anna : Keys.Beat);
  if (Landed.ok()) {
    History.Acknowledged.emplace_back(*Landed, Line);
  }
}

void World::step() {
  Now += Step;
  while (!Queue.empty() && Queue.begin()->first <= Now) {
    const std::function<void()> Do = Queue.begin()->second;
    Queue.erase(Queue.begin());
    Do();
  }
  for (std::size_t I = 0; I < EntryCount; ++I) {
    give(I, AdoptionTick{});
    if (I < WatcherCount && chance(3)) {
      readFor(I, StoreRead{std::string(HeadKey)});
    }
    if (chance(10)) {
      push(I, Random() % EntryCount);
    }
    if (active(WorldFault::EntryRestarted) && chance(40)) {
      restart(I);
    }
  }
  if (chance(4) && Now < Instant(FaultyTime + 2s)) {
    ownerTurn(chance(2));
  }
}

AdoptionHistory World::run() {
  for (std::size_t I = 0; I < EntryCount; ++I) {
    restart(I);
  }
  while (Now < Instant(WholeTime)) {
    step();
  }
  OwnerCaller Caller(*this);
  const absl::StatusOr<ChainView> View = ChainStore(Caller, Keys.keys()).view();
  History.LastText = View.ok() ? View->Latest.text() : "";
  return std::move(History);
}

} // namespace

AdoptionHistory runWorld(const std::set<WorldFault> &Faults,
                         std::uint64_t Seed) {
  return World(Faults, Seed).run();
}

std::string checkHistory(const AdoptionHistory &History) {
  std::map<std::pair<std::size_t, unsigned>, RulesVersion> Highest;
  std::map<std::size_t, RulesVersion> Final;
  for (const Observation &Seen : History.Observed) {
    const auto Landed = History.Landed.find(Seen.Version);
    if (Landed == History.Landed.end()) {
      return fmt::format("entry {} has version {} that never landed",
                         Seen.Entry, Seen.Version.Value);
    }
    if (Landed->second != Seen.Text) {
      return fmt::format("entry {} has another text of version {}", Seen.Entry,
                         Seen.Version.Value);
    }
    RulesVersion &Before = Highest[{Seen.Entry, Seen.Life}];
    if (Seen.Version <= Before) {
      return fmt::format("entry {} went from version {} to {}", Seen.Entry,
                         Before.Value, Seen.Version.Value);
    }
    Before = Seen.Version;
    Final[Seen.Entry] = Seen.Version;
  }
  const RulesVersion Last = History.Landed.rbegin()->first;
  for (std::size_t I = 0; I < History.Entries; ++I) {
    if (Final[I] != Last) {
      return fmt::format("entry {} ended with version {} of {}", I,
                         Final[I].Value, Last.Value);
    }
  }
  std::map<std::string, std::pair<RulesVersion, std::string>> Newest;
  std::set<RulesVersion> Versions;
  for (const auto &[Version, Line] : History.Acknowledged) {
    if (!Versions.insert(Version).second) {
      return fmt::format("two changes were told of version {}", Version.Value);
    }
    auto &Kept = Newest[Line.substr(0, Line.find(' ', 6))];
    Kept = std::max(Kept, {Version, Line});
  }
  for (const auto &[Team, Kept] : Newest) {
    if (History.LastText.find(Kept.second) == std::string::npos) {
      return fmt::format("version {} was told of and lost: {}",
                         Kept.first.Value, Kept.second);
    }
  }
  return "";
}

} // namespace balsamlatch::test
