/// \file
/// Tests of failure detection on a simulated network with a virtual clock:
/// crashes, partitions, message loss, pauses, restarts and graceful stops.

#include "balsamlatch/Membership/Group.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>

using namespace balsamlatch;
using namespace balsamlatch::membership;
using namespace std::chrono_literals;

namespace {

constexpr Duration TickStep = 20ms;
constexpr Duration Latency = 1500us;

/// Simulates a network of groups. Messages arrive in the order in which they
/// were sent.
class Network {
public:
  explicit Network(int Count, std::uint64_t Seed = 1) : Random(Seed) {
    for (int I = 0; I < Count; ++I) {
      add("e" + std::to_string(I), 1);
    }
  }

  void add(const std::string &Name, std::uint64_t Incarnation) {
    FailureDetectorOptions Options;
    Options.Self = member(Name, Incarnation);
    Options.Seed = Random();
    Groups[EntryName(Name)] = std::make_unique<Group>(Options);
    std::vector<Member> Members;
    for (const auto &[Entry, G] : Groups) {
      Members.push_back(member(Entry.Text, 0));
    }
    for (const auto &[Entry, G] : Groups) {
      handleResult(Entry, G->seed(Members, Now));
    }
  }

  void run(Duration Length) {
    const Instant End = Now + Length;
    while (Now < End) {
      deliver();
      for (const auto &[Entry, G] : Groups) {
        if (!DownEntries.contains(Entry)) {
          handleResult(Entry, G->tick({}, Now));
        }
      }
      Now += TickStep;
    }
  }

  std::size_t liveCountAt(const char *Name) {
    return Groups.at(EntryName(Name))->live().size();
  }

  bool considersLive(const char *Viewer, const char *Other) {
    for (const Member &M : Groups.at(EntryName(Viewer))->live()) {
      if (M.Entry == EntryName(Other)) {
        return true;
      }
    }
    return false;
  }

  bool allHaveLiveCount(std::size_t Count) {
    for (const auto &[Entry, G] : Groups) {
      if (!DownEntries.contains(Entry) && G->live().size() != Count) {
        return false;
      }
    }
    return true;
  }

  /// Runs until the condition holds. Returns the time that it took, or nullopt
  /// after the timeout.
  std::optional<Duration> runUntil(const std::function<bool()> &Condition,
                                   Duration Timeout) {
    const Instant Start = Now;
    while (!Condition()) {
      if (Now - Start > Timeout) {
        return std::nullopt;
      }
      run(TickStep);
    }
    return Now - Start;
  }

  void leave(const char *Name) {
    const EntryName Entry(Name);
    handleResult(Entry, Groups.at(Entry)->leave(Now));
    deliverAll();
    DownEntries.insert(Entry);
  }

  std::set<EntryName> DownEntries;
  /// Returns whether a message from the first to the second entry is lost.
  std::function<bool(const EntryName &, const EntryName &)> DropsMessage =
      [](const EntryName &, const EntryName &) { return false; };
  std::size_t MessagesSent = 0;

private:
  struct QueuedMessage {
    Instant DeliverAt;
    EntryName Sender;
    Outgoing Content;
  };

  static Member member(const std::string &Name, std::uint64_t Incarnation) {
    return {EntryName(Name),
            {"127.0.0.1", 7000},
            DataCentreName("north"),
            Incarnation,
            MemberState::Alive};
  }

  void handleResult(const EntryName &Sender, FailureDetectorOutput Result) {
    for (Outgoing &O : Result.Messages) {
      ++MessagesSent;
      MessageQueue.push_back({Now + Latency, Sender, std::move(O)});
    }
  }

  void deliver() {
    std::deque<QueuedMessage> DueMessages;
    while (!MessageQueue.empty() && MessageQueue.front().DeliverAt <= Now) {
      DueMessages.push_back(std::move(MessageQueue.front()));
      MessageQueue.pop_front();
    }
    for (QueuedMessage &M : DueMessages) {
      const bool IsLost = DownEntries.contains(M.Content.To) ||
                          DownEntries.contains(M.Sender) ||
                          DropsMessage(M.Sender, M.Content.To) ||
                          !Groups.contains(M.Content.To);
      if (!IsLost) {
        handleResult(M.Content.To,
                     Groups.at(M.Content.To)
                         ->receive(M.Sender, M.Content.Content, {}, Now));
      }
    }
  }

  void deliverAll() {
    Now += Latency;
    deliver();
  }

  Instant Now{};
  std::mt19937_64 Random;
  std::map<EntryName, std::unique_ptr<Group>> Groups;
  std::deque<QueuedMessage> MessageQueue;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupFailureDetection)

BOOST_AUTO_TEST_CASE(HealthyGroupHasNoFalsePositives) {
  Network Net(9);
  Net.run(60s);
  BOOST_TEST(Net.allHaveLiveCount(9));
}

BOOST_AUTO_TEST_CASE(CrashIsDetectedByAllWithinSeconds) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Network Net(9, Seed);
    Net.run(5s);
    Net.DownEntries.insert(EntryName("e3"));
    const auto Elapsed =
        Net.runUntil([&] { return Net.allHaveLiveCount(8); }, 8s);
    BOOST_TEST(Elapsed.has_value(), "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(IndirectProbesTolerateOneBrokenLink) {
  Network Net(9);
  Net.DropsMessage = [](const EntryName &A, const EntryName &B) {
    return (A.Text == "e1" && B.Text == "e2") ||
           (A.Text == "e2" && B.Text == "e1");
  };
  Net.run(60s);
  BOOST_TEST(Net.allHaveLiveCount(9));
}

BOOST_AUTO_TEST_CASE(PartitionedDataCentreIsRemovedAndRejoins) {
  Network Net(9);
  bool IsPartitioned = true;
  const auto IsIsolated = [](const EntryName &E) { return E.Text < "e3"; };
  Net.DropsMessage = [&](const EntryName &A, const EntryName &B) {
    return IsPartitioned && IsIsolated(A) != IsIsolated(B);
  };
  Net.run(30s);
  BOOST_TEST(Net.liveCountAt("e0") == 3u);
  BOOST_TEST(Net.liveCountAt("e5") == 6u);
  IsPartitioned = false;
  const auto Elapsed =
      Net.runUntil([&] { return Net.allHaveLiveCount(9); }, 30s);
  BOOST_TEST(Elapsed.has_value());
}

BOOST_AUTO_TEST_CASE(PausedEntryIsRemovedAndRejoins) {
  Network Net(9);
  Net.run(5s);
  Net.DownEntries.insert(EntryName("e4"));
  Net.run(20s);
  BOOST_TEST(!Net.considersLive("e0", "e4"));
  Net.DownEntries.clear();
  const auto Elapsed =
      Net.runUntil([&] { return Net.allHaveLiveCount(9); }, 10s);
  BOOST_TEST(Elapsed.has_value());
}

BOOST_AUTO_TEST_CASE(StoppingEntryLeavesAndStaleUpdatesDoNotRestoreIt) {
  Network Net(9);
  Net.run(5s);
  Net.leave("e2");
  const auto Elapsed =
      Net.runUntil([&] { return Net.allHaveLiveCount(8); }, 4s);
  BOOST_TEST(Elapsed.has_value());
  Net.run(30s);
  BOOST_TEST(Net.allHaveLiveCount(8));
}

BOOST_AUTO_TEST_CASE(RestartedEntryRejoinsWithItsNewIncarnation) {
  Network Net(5);
  Net.run(5s);
  Net.DownEntries.insert(EntryName("e1"));
  Net.run(10s);
  Net.DownEntries.clear();
  Net.add("e1", 2);
  const auto Elapsed =
      Net.runUntil([&] { return Net.allHaveLiveCount(5); }, 10s);
  BOOST_TEST(Elapsed.has_value());
}

BOOST_AUTO_TEST_CASE(GroupRecoversAfterLosingHalfOfTheMessages) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    Network Net(9, Seed);
    std::mt19937_64 LossRandom(Seed);
    bool IsLossy = true;
    Net.DropsMessage = [&](const EntryName &, const EntryName &) {
      return IsLossy && LossRandom() % 2 == 0;
    };
    Net.run(30s);
    IsLossy = false;
    const auto Elapsed =
        Net.runUntil([&] { return Net.allHaveLiveCount(9); }, 15s);
    BOOST_TEST(Elapsed.has_value(), "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(MessagesPerEntryDoNotGrowWithTheGroup) {
  constexpr Duration Window = 10s;
  // A Probe and an Ack per period of one second, each sent and received once,
  // make 4 messages per second.
  constexpr std::size_t MaxMessagesPerEntrySecond = 5;
  for (const int Count : {9, 50, 200}) {
    Network Net(Count);
    Net.run(30s);
    const std::size_t SentBefore = Net.MessagesSent;
    Net.run(Window);
    const std::size_t Sent = Net.MessagesSent - SentBefore;
    BOOST_TEST(Sent <= MaxMessagesPerEntrySecond * 10 *
                           static_cast<std::size_t>(Count));
    BOOST_TEST(Net.allHaveLiveCount(static_cast<std::size_t>(Count)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
