/// \file
/// Tests of document replication: the choice of watchers, the spread of new
/// versions, backoff, and operation while the store is unavailable to some or
/// all entries.

#include "balsamlatch/Membership/Exchange.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace balsamlatch;
using namespace balsamlatch::membership;
using namespace std::chrono_literals;

namespace {

const DocumentKey Key = "rules/head";
constexpr Duration TickStep = 50ms;

/// Simulates entries in several data centres, one store, and the exchange of
/// versions that probes cause.
class Simulation {
public:
  Simulation(int DataCentres, int EntriesEach) {
    std::vector<Member> Members;
    Members.reserve(static_cast<std::size_t>(DataCentres) *
                    static_cast<std::size_t>(EntriesEach));
    for (int I = 0; I < DataCentres * EntriesEach; ++I) {
      Members.push_back({EntryName("e" + std::to_string(I)),
                         {"127.0.0.1", 7000},
                         DataCentreName("dc" + std::to_string(I / EntriesEach)),
                         1,
                         MemberState::Alive});
    }
    for (const Member &M : Members) {
      ReplicatorOptions Options;
      Options.Self = M;
      Options.Keys = {Key};
      Nodes.push_back({M, std::make_unique<Exchange>(Options)});
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      handleResult(I, Nodes[I].Replica->view(Members, Now));
    }
  }

  void run(Duration Length) {
    const Instant End = Now + Length;
    for (; Now < End; Now += TickStep) {
      answerWatches();
      deliver();
      for (std::size_t I = 0; I < Nodes.size(); ++I) {
        handleResult(I, Nodes[I].Replica->tick(Now));
        gossip(I);
      }
    }
  }

  std::size_t countAtVersion(std::uint64_t Version) const {
    std::size_t Count = 0;
    for (const Node &N : Nodes) {
      Count += N.Replica->inForce().at(Key) == Version ? 1 : 0;
    }
    return Count;
  }

  std::size_t pendingWatchCount() const { return PendingWatches.size(); }

  Exchange &exchange(std::size_t I) { return *Nodes[I].Replica; }

  StoreEntry StoredEntry;
  bool IsStoreDown = false;
  /// Indexes of the entries that can't reach the store.
  std::set<std::size_t> EntriesWithoutStore;
  std::size_t WatchCallCount = 0;
  std::size_t PushCount = 0;
  /// Versions that fail verification.
  std::set<std::uint64_t> InvalidVersions;

private:
  struct Node {
    Member Self;
    std::unique_ptr<Exchange> Replica;
  };
  struct PendingWatch {
    std::size_t NodeIndex = 0;
    WatchCall Call;
    Instant OpenedAt{};
  };

  void handleResult(std::size_t SenderIndex, ReplicatorOutput Result) {
    for (Outgoing &O : Result.Messages) {
      PushCount += std::holds_alternative<DocumentPush>(O.Content) ? 1 : 0;
      MessagesInFlight.push_back({SenderIndex, std::move(O)});
    }
    for (WatchCall &W : Result.Watches) {
      ++WatchCallCount;
      PendingWatches.push_back({SenderIndex, std::move(W), Now});
    }
    for (const Document &D : Result.Candidates) {
      if (!InvalidVersions.contains(D.Version)) {
        handleResult(SenderIndex, Nodes[SenderIndex].Replica->adopted(D, Now));
      }
    }
  }

  void answerWatches() {
    std::deque<PendingWatch> PreviousWatches;
    PreviousWatches.swap(PendingWatches);
    for (const PendingWatch &W : PreviousWatches) {
      if (IsStoreDown || EntriesWithoutStore.contains(W.NodeIndex)) {
        handleResult(W.NodeIndex,
                     Nodes[W.NodeIndex].Replica->watched(
                         Key, {absl::UnavailableError("down"), {}}, Now));
      } else if (StoredEntry.Version > W.Call.Request.AfterVersion ||
                 Now - W.OpenedAt >= W.Call.Request.Wait) {
        handleResult(W.NodeIndex,
                     Nodes[W.NodeIndex].Replica->watched(
                         Key, {absl::OkStatus(), StoredEntry}, Now));
      } else {
        PendingWatches.push_back(W);
      }
    }
  }

  void deliver() {
    std::deque<std::pair<std::size_t, Outgoing>> DueMessages;
    DueMessages.swap(MessagesInFlight);
    for (const auto &[SenderIndex, O] : DueMessages) {
      for (std::size_t I = 0; I < Nodes.size(); ++I) {
        if (Nodes[I].Self.Entry == O.To) {
          handleResult(I, Nodes[I].Replica->receive(
                              Nodes[SenderIndex].Self.Entry, O.Content, Now));
        }
      }
    }
  }

  /// Every 500 ms each entry receives the versions of one other entry, as with
  /// a probe.
  void gossip(std::size_t I) {
    if ((Now.time_since_epoch() / TickStep + static_cast<long>(I)) % 10 != 0) {
      return;
    }
    const std::size_t OtherIndex = Random() % Nodes.size();
    if (OtherIndex != I) {
      const Versions OtherVersions = Nodes[OtherIndex].Replica->inForce();
      handleResult(I, Nodes[I].Replica->heard(Nodes[OtherIndex].Self.Entry,
                                              OtherVersions, Now));
    }
  }

  Instant Now{};
  std::mt19937_64 Random{7};
  std::vector<Node> Nodes;
  std::deque<PendingWatch> PendingWatches;
  std::deque<std::pair<std::size_t, Outgoing>> MessagesInFlight;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentExchange)

BOOST_AUTO_TEST_CASE(TwoEntriesPerDataCentreWatchTheStore) {
  for (const int EntriesEach : {3, 22}) {
    Simulation Sim(9, EntriesEach);
    Sim.run(1s);
    BOOST_TEST(Sim.pendingWatchCount() == 18u);
  }
}

BOOST_AUTO_TEST_CASE(ChangeReachesAllEntriesWithOneStoreCallPerWatcher) {
  Simulation Sim(9, 22);
  Sim.run(1s);
  const std::size_t CallsBefore = Sim.WatchCallCount;
  Sim.StoredEntry = {1, "one"};
  Sim.run(2s);
  BOOST_TEST(Sim.countAtVersion(1) == 198u);
  // Each of the 18 watchers renews its watch once, independent of the number of
  // entries.
  BOOST_TEST(Sim.WatchCallCount - CallsBefore == 18u);
}

BOOST_AUTO_TEST_CASE(EntriesReplicateFromEachOtherWhileTheStoreIsDown) {
  Simulation Sim(3, 3);
  // Only entry 0 gets version 5; the others must pull it.
  Sim.IsStoreDown = true;
  Sim.run(1s);
  Sim.exchange(0).adopted({Key, 5, "five"}, Instant(1s));
  Sim.run(8s);
  BOOST_TEST(Sim.countAtVersion(5) == 9u);
}

BOOST_AUTO_TEST_CASE(DataCentreWithoutStoreReplicatesFromTheOthers) {
  Simulation Sim(3, 3);
  Sim.EntriesWithoutStore = {0, 1, 2};
  Sim.run(1s);
  Sim.StoredEntry = {3, "three"};
  Sim.run(8s);
  BOOST_TEST(Sim.countAtVersion(3) == 9u);
}

BOOST_AUTO_TEST_CASE(OlderVersionsAreIgnored) {
  Simulation Sim(2, 2);
  Sim.StoredEntry = {4, "four"};
  Sim.run(3s);
  Sim.StoredEntry = {2, "two"};
  Sim.run(70s);
  BOOST_TEST(Sim.countAtVersion(4) == 4u);
  const ReplicatorOutput Result =
      Sim.exchange(0).receive(EntryName("e1"), DocumentPush{{Key, 3, "x"}}, {});
  BOOST_TEST(Result.Candidates.empty());
}

BOOST_AUTO_TEST_CASE(InvalidValueIsFetchedWithBackoff) {
  Simulation Sim(1, 2);
  Sim.InvalidVersions = {6};
  Sim.StoredEntry = {6, "tampered"};
  Sim.run(10s);
  const std::size_t CallsBefore = Sim.WatchCallCount;
  Sim.run(40s);
  // Two watchers, each with one call per 4 s, the longest pause.
  BOOST_TEST(Sim.WatchCallCount - CallsBefore <= 22u);
  BOOST_TEST(Sim.countAtVersion(0) == 2u);
  Sim.StoredEntry = {7, "good"};
  Sim.run(8s);
  BOOST_TEST(Sim.countAtVersion(7) == 2u);
}

BOOST_AUTO_TEST_CASE(FailedWatchesAreRetriedWithBackoff) {
  Simulation Sim(1, 2);
  Sim.IsStoreDown = true;
  Sim.run(10s);
  const std::size_t CallsBefore = Sim.WatchCallCount;
  Sim.run(40s);
  BOOST_TEST(Sim.WatchCallCount - CallsBefore <= 22u);
}

BOOST_AUTO_TEST_SUITE_END()
