/// \file
/// Claims on idempotency keys against a store that loses answers, is down, or
/// is written to by another entry.

#include "balsamlatch/Placement/ClaimKeeper.h"

#include "FakeStore.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace balsamlatch;
using namespace balsamlatch::placement;
using namespace std::chrono_literals;

namespace {

/// A keeper with its calls and what it settled.
struct Entry {
  explicit Entry(FakeStore &Store) : Keeper({}), Backend(Store) {}

  void take(const std::vector<ClaimAction> &Actions) {
    for (const ClaimAction &A : Actions) {
      if (const auto *Call = std::get_if<ClaimStoreCall>(&A)) {
        Calls.push_back(*Call);
      } else {
        const auto &Settled = std::get<ClaimSettled>(A);
        Results[Settled.Id.Text] = Settled;
      }
    }
  }

  void claim(const std::string &Id, const std::string &Key,
             const std::string &Body = "b") {
    take(Keeper.claim({RequestId(Id), Key, Body, 2s}, Time));
  }

  /// Carries out the calls that wait, with the given fault.
  void serve(StoreFault Fault = StoreFault::None) {
    std::vector<ClaimStoreCall> Now;
    Now.swap(Calls);
    for (const ClaimStoreCall &Call : Now) {
      take(Keeper.replied(Call.Ticket, Backend.submit(Call.Request, Fault),
                          Time));
    }
  }

  void settleAll(StoreFault Fault = StoreFault::None) {
    for (int I = 0; I < 20; ++I) {
      serve(Fault);
      pass(20ms);
    }
  }

  void pass(Duration Step) {
    Time.Now += Step;
    Time.Wall += Step;
    take(Keeper.tick(Time));
  }

  ClaimResult result(const std::string &Id) {
    BOOST_REQUIRE(Results.contains(Id));
    return Results.at(Id).Result;
  }

  ClaimKeeper Keeper;
  FakeStore &Backend;
  ClaimTime Time;
  std::vector<ClaimStoreCall> Calls;
  std::map<std::string, ClaimSettled> Results;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Claims)

BOOST_AUTO_TEST_CASE(OneOfTwoEntriesWinsAKey) {
  FakeStore Backend;
  Entry A(Backend);
  Entry B(Backend);
  A.claim("a1", "key");
  B.claim("b1", "key");
  for (int I = 0; I < 6; ++I) {
    A.serve();
    B.serve();
  }
  BOOST_TEST((A.result("a1") == ClaimResult::Won));
  BOOST_TEST((B.result("b1") == ClaimResult::Taken));
  B.claim("b2", "key", "another body");
  B.settleAll();
  BOOST_TEST((B.result("b2") == ClaimResult::OtherBody));
}

BOOST_AUTO_TEST_CASE(ALostAnswerIsSettledByReadingTheHolderBack) {
  FakeStore Backend;
  Entry A(Backend);
  A.claim("a1", "key");
  A.serve();
  A.serve(StoreFault::AnswerLost);
  A.settleAll();
  BOOST_TEST((A.result("a1") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(AStoreThatIsDownSettlesAsUnavailableAtTheDeadline) {
  FakeStore Backend;
  Entry A(Backend);
  A.claim("a1", "key");
  A.settleAll(StoreFault::Down);
  BOOST_TEST(!A.Results.contains("a1"));
  A.pass(2s);
  BOOST_TEST((A.result("a1") == ClaimResult::Unavailable));
}

BOOST_AUTO_TEST_CASE(AKeyGivenUpWithALostAnswerIsFreeAgainLater) {
  FakeStore Backend;
  Entry A(Backend);
  Entry B(Backend);
  A.claim("a1", "key");
  A.serve();
  A.serve(StoreFault::AnswerLost);
  A.pass(3s);
  BOOST_TEST((A.result("a1") == ClaimResult::Unavailable));
  A.pass(3s);
  A.settleAll();
  B.claim("b1", "key");
  B.settleAll();
  BOOST_TEST((B.result("b1") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(ARefusedSecondWriteDoesNotHideALateFirstOne) {
  FakeStore Backend;
  Entry A(Backend);
  A.claim("a1", "key");
  A.serve();
  // The first write gets no answer and is carried out later.
  BOOST_REQUIRE(A.Calls.size() == 1U);
  const ClaimStoreCall Late = A.Calls.front();
  A.Calls.clear();
  A.take(A.Keeper.replied(
      Late.Ticket, {absl::DeadlineExceededError("no answer"), {}}, A.Time));
  // The second one is surely not carried out.
  bool Refused = false;
  for (int I = 0; I < 20 && !Refused; ++I) {
    Refused = !A.Calls.empty() &&
              std::holds_alternative<StoreSwap>(A.Calls.front().Request);
    A.serve(Refused ? StoreFault::Down : StoreFault::None);
    A.pass(20ms);
  }
  BOOST_REQUIRE(Refused);
  Backend.submit(Late.Request, StoreFault::None);
  A.pass(2s);
  BOOST_TEST((A.result("a1") == ClaimResult::Unavailable));
  for (int I = 0; I < 5; ++I) {
    A.pass(1s);
    A.settleAll();
  }
  Entry B(Backend);
  B.claim("b1", "key");
  B.settleAll();
  BOOST_TEST((B.result("b1") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(ARepeatIsToldHowTheFirstEnded) {
  FakeStore Backend;
  Entry A(Backend);
  Entry B(Backend);
  A.claim("a1", "answered");
  A.claim("a2", "not-run");
  A.settleAll();
  A.take(A.Keeper.ended(RequestId("a1"), Outcome::Answered, A.Time));
  A.take(A.Keeper.ended(RequestId("a2"), Outcome::NotRun, A.Time));
  A.pass(3s);
  A.settleAll();
  B.claim("b1", "answered");
  B.claim("b2", "not-run");
  B.settleAll();
  BOOST_TEST((B.result("b1") == ClaimResult::Taken));
  BOOST_TEST((B.Results.at("b1").First == Outcome::Answered));
  BOOST_TEST((B.result("b2") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(ClaimsOfAShardShareOneWrite) {
  FakeStore Backend;
  Entry A(Backend);
  for (int I = 0; I < 1000; ++I) {
    A.claim(fmt::format("a{}", I), fmt::format("key{}", I));
  }
  A.settleAll();
  A.settleAll();
  BOOST_TEST(A.Results.size() == 1000u);
  BOOST_TEST(A.Keeper.calls() < 80u);
}

BOOST_AUTO_TEST_CASE(NoKeyIsWonTwiceWhateverTheStoreDoes) {
  BOOST_TEST(rc::check("one winner", [] {
    FakeStore Backend;
    std::vector<Entry> Entries(3, Entry(Backend));
    const auto Steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    int Next = 0;
    for (const int Step : Steps) {
      Entry &E = Entries[Step % 3];
      const int What = Step / 3 % 8;
      if (What < 2) {
        E.claim(fmt::format("r{}", ++Next), fmt::format("key{}", Step % 2));
      } else if (What == 2) {
        E.pass(100ms);
      } else {
        E.serve(static_cast<StoreFault>(What - 3 < 3 ? What - 3 : 0));
      }
    }
    std::map<std::string, int> Winners;
    for (Entry &E : Entries) {
      E.settleAll();
      for (const auto &[Id, Settled] : E.Results) {
        const auto Line = Backend.holderOf(Id);
        RC_ASSERT(Settled.Result != ClaimResult::Won || Line.has_value());
        if (Settled.Result == ClaimResult::Won) {
          RC_ASSERT(++Winners[*Line] == 1);
        }
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
