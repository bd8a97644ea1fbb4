/// \file
/// Tests of failure detection over a small in-memory network with a virtual
/// clock: crashes, cuts, pauses, restarts and graceful stops.

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

/// Groups joined by queues; messages arrive in the order they were sent.
class Network {
public:
  explicit Network(int Count, std::uint64_t Seed = 1) : Random(Seed) {
    for (int I = 0; I < Count; ++I) {
      add("e" + std::to_string(I), 1);
    }
  }

  void add(const std::string &Name, std::uint64_t Incarnation) {
    GroupOptions Options;
    Options.Self = member(Name, Incarnation);
    Options.Seed = Random();
    Groups[EntryName(Name)] = std::make_unique<Group>(Options);
    std::vector<Member> Listed;
    for (const auto &[Entry, G] : Groups) {
      Listed.push_back(member(Entry.Text, 0));
    }
    for (const auto &[Entry, G] : Groups) {
      take(Entry, G->seed(Listed, Now));
    }
  }

  void run(Duration Time) {
    const Instant End = Now + Time;
    while (Now < End) {
      deliver();
      for (const auto &[Entry, G] : Groups) {
        if (!Down.contains(Entry)) {
          take(Entry, G->tick({}, Now));
        }
      }
      Now += TickStep;
    }
  }

  std::size_t liveSeenBy(const char *Name) {
    return Groups.at(EntryName(Name))->live().size();
  }

  bool sees(const char *Viewer, const char *Other) {
    for (const Member &M : Groups.at(EntryName(Viewer))->live()) {
      if (M.Entry == EntryName(Other)) {
        return true;
      }
    }
    return false;
  }

  bool allSee(std::size_t Count) {
    for (const auto &[Entry, G] : Groups) {
      if (!Down.contains(Entry) && G->live().size() != Count) {
        return false;
      }
    }
    return true;
  }

  /// Runs until the condition holds and returns how long it took, or nothing.
  std::optional<Duration> until(const std::function<bool()> &Holds,
                                Duration Most) {
    const Instant Start = Now;
    while (!Holds()) {
      if (Now - Start > Most) {
        return std::nullopt;
      }
      run(TickStep);
    }
    return Now - Start;
  }

  void leave(const char *Name) {
    const EntryName Entry(Name);
    take(Entry, Groups.at(Entry)->leave(Now));
    deliverAll();
    Down.insert(Entry);
  }

  std::set<EntryName> Down;
  /// Whether a message between two entries is lost.
  std::function<bool(const EntryName &, const EntryName &)> Cut =
      [](const EntryName &, const EntryName &) { return false; };
  std::size_t MessagesSent = 0;

private:
  struct InFlight {
    Instant At;
    EntryName From;
    Outgoing Content;
  };

  static Member member(const std::string &Name, std::uint64_t Incarnation) {
    return {EntryName(Name),
            {"127.0.0.1", 7000},
            DataCentreName("north"),
            Incarnation,
            MemberState::Alive};
  }

  void take(const EntryName &From, GroupStep Step) {
    for (Outgoing &O : Step.Messages) {
      ++MessagesSent;
      Wire.push_back({Now + Latency, From, std::move(O)});
    }
  }

  void deliver() {
    std::deque<InFlight> Due;
    while (!Wire.empty() && Wire.front().At <= Now) {
      Due.push_back(std::move(Wire.front()));
      Wire.pop_front();
    }
    for (InFlight &M : Due) {
      const bool Lost = Down.contains(M.Content.To) || Down.contains(M.From) ||
                        Cut(M.From, M.Content.To) ||
                        !Groups.contains(M.Content.To);
      if (!Lost) {
        take(M.Content.To, Groups.at(M.Content.To)
                               ->receive(M.From, M.Content.Content, {}, Now));
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
  std::deque<InFlight> Wire;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupFailureDetection)

BOOST_AUTO_TEST_CASE(AHealthyGroupStaysWhole) {
  Network Net(9);
  Net.run(60s);
  BOOST_TEST(Net.allSee(9));
}

BOOST_AUTO_TEST_CASE(ACrashIsSeenByAllWithinSeconds) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Network Net(9, Seed);
    Net.run(5s);
    Net.Down.insert(EntryName("e3"));
    const auto Took = Net.until([&] { return Net.allSee(8); }, 8s);
    BOOST_TEST(Took.has_value(), "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(OneCutLinkDoesNotTakeAnEntryOut) {
  Network Net(9);
  Net.Cut = [](const EntryName &A, const EntryName &B) {
    return (A.Text == "e1" && B.Text == "e2") ||
           (A.Text == "e2" && B.Text == "e1");
  };
  Net.run(60s);
  BOOST_TEST(Net.allSee(9));
}

BOOST_AUTO_TEST_CASE(ACutDataCentreIsTakenOutAndComesBack) {
  Network Net(9);
  bool IsCut = true;
  const auto Inner = [](const EntryName &E) { return E.Text < "e3"; };
  Net.Cut = [&](const EntryName &A, const EntryName &B) {
    return IsCut && Inner(A) != Inner(B);
  };
  Net.run(30s);
  BOOST_TEST(Net.liveSeenBy("e0") == 3u);
  BOOST_TEST(Net.liveSeenBy("e5") == 6u);
  IsCut = false;
  const auto Took = Net.until([&] { return Net.allSee(9); }, 30s);
  BOOST_TEST(Took.has_value());
}

BOOST_AUTO_TEST_CASE(APausedEntryIsTakenOutAndComesBack) {
  Network Net(9);
  Net.run(5s);
  Net.Down.insert(EntryName("e4"));
  Net.run(20s);
  BOOST_TEST(!Net.sees("e0", "e4"));
  Net.Down.clear();
  const auto Took = Net.until([&] { return Net.allSee(9); }, 10s);
  BOOST_TEST(Took.has_value());
}

BOOST_AUTO_TEST_CASE(AStoppingEntryLeavesAtOnceAndOldNewsDoesNotBringItBack) {
  Network Net(9);
  Net.run(5s);
  Net.leave("e2");
  const auto Took = Net.until([&] { return Net.allSee(8); }, 4s);
  BOOST_TEST(Took.has_value());
  Net.run(30s);
  BOOST_TEST(Net.allSee(8));
}

BOOST_AUTO_TEST_CASE(ARestartedEntryIsBackWithItsNewIncarnation) {
  Network Net(5);
  Net.run(5s);
  Net.Down.insert(EntryName("e1"));
  Net.run(10s);
  Net.Down.clear();
  Net.add("e1", 2);
  const auto Took = Net.until([&] { return Net.allSee(5); }, 10s);
  BOOST_TEST(Took.has_value());
}

BOOST_AUTO_TEST_CASE(EveryOtherMessageLostTakesNobodyOutForGood) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    Network Net(9, Seed);
    std::mt19937_64 Loss(Seed);
    bool Lossy = true;
    Net.Cut = [&](const EntryName &, const EntryName &) {
      return Lossy && Loss() % 2 == 0;
    };
    Net.run(30s);
    Lossy = false;
    const auto Took = Net.until([&] { return Net.allSee(9); }, 15s);
    BOOST_TEST(Took.has_value(), "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(TheCostOfOneEntryDoesNotGrowWithTheGroup) {
  constexpr Duration Window = 10s;
  // One probe and one answer a period, each sent once: 4 messages a second.
  constexpr std::size_t MostPerEntrySecond = 5;
  for (const int Count : {9, 50, 200}) {
    Network Net(Count);
    Net.run(30s);
    const std::size_t Before = Net.MessagesSent;
    Net.run(Window);
    const std::size_t Sent = Net.MessagesSent - Before;
    BOOST_TEST(Sent <=
               MostPerEntrySecond * 10 * static_cast<std::size_t>(Count));
    BOOST_TEST(Net.allSee(static_cast<std::size_t>(Count)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
