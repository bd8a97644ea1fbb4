/// \file
/// Claims on idempotency keys while the store loses replies, is down, or is
/// written by other entries.

#include "balsamlatch/Placement/ClaimManager.h"

#include "FakeStore.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace balsamlatch;
using namespace balsamlatch::placement;
using namespace std::chrono_literals;

namespace {

/// One entry: its claim manager, the pending store calls and the settled
/// claims.
struct Entry {
  explicit Entry(FakeStore &Store) : Keeper({}), Backend(Store) {}

  void process(const std::vector<ClaimAction> &Actions) {
    for (const ClaimAction &A : Actions) {
      if (const auto *Call = std::get_if<ClaimStoreCall>(&A)) {
        Calls.push_back(*Call);
      } else {
        const auto &Settlement = std::get<ClaimSettled>(A);
        Results[Settlement.Id.Text] = Settlement;
      }
    }
  }

  void claim(const std::string &Id, const std::string &Key,
             const std::string &Body = "b") {
    process(Keeper.claim({RequestId(Id), Key, Body, 2s}, Time));
  }

  /// Makes the pending store calls, with the given fault.
  void runCalls(StoreFault Fault = StoreFault::None) {
    std::vector<ClaimStoreCall> Batch;
    Batch.swap(Calls);
    for (const ClaimStoreCall &Call : Batch) {
      process(Keeper.replied(Call.Ticket, Backend.submit(Call.Request, Fault),
                             Time));
    }
  }

  void runUntilSettled(StoreFault Fault = StoreFault::None) {
    for (int I = 0; I < 20; ++I) {
      runCalls(Fault);
      advance(20ms);
    }
  }

  void advance(Duration Step) {
    Time.Now += Step;
    Time.Wall += Step;
    process(Keeper.tick(Time));
  }

  ClaimResult result(const std::string &Id) {
    BOOST_REQUIRE(Results.contains(Id));
    return Results.at(Id).Result;
  }

  ClaimManager Keeper;
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
    A.runCalls();
    B.runCalls();
  }
  BOOST_TEST((A.result("a1") == ClaimResult::Won));
  BOOST_TEST((B.result("b1") == ClaimResult::Taken));
  B.claim("b2", "key", "another body");
  B.runUntilSettled();
  BOOST_TEST((B.result("b2") == ClaimResult::BodyMismatch));
}

BOOST_AUTO_TEST_CASE(AClaimWithALostReplyIsSettledByReadingTheShard) {
  FakeStore Backend;
  Entry A(Backend);
  A.claim("a1", "key");
  A.runCalls();
  A.runCalls(StoreFault::AnswerLost);
  A.runUntilSettled();
  BOOST_TEST((A.result("a1") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(AStoreThatIsDownSettlesAsUnavailableAtTheDeadline) {
  FakeStore Backend;
  Entry A(Backend);
  A.claim("a1", "key");
  A.runUntilSettled(StoreFault::Down);
  BOOST_TEST(!A.Results.contains("a1"));
  A.advance(2s);
  BOOST_TEST((A.result("a1") == ClaimResult::Unavailable));
}

BOOST_AUTO_TEST_CASE(AnExpiredClaimWithALostReplyReleasesItsKey) {
  FakeStore Backend;
  Entry A(Backend);
  Entry B(Backend);
  A.claim("a1", "key");
  A.runCalls();
  A.runCalls(StoreFault::AnswerLost);
  A.advance(3s);
  BOOST_TEST((A.result("a1") == ClaimResult::Unavailable));
  A.advance(3s);
  A.runUntilSettled();
  B.claim("b1", "key");
  B.runUntilSettled();
  BOOST_TEST((B.result("b1") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(ARefusedSecondWriteDoesNotHideALateFirstOne) {
  FakeStore Backend;
  Entry A(Backend);
  A.claim("a1", "key");
  A.runCalls();
  // The first write gets no reply and takes effect later.
  BOOST_REQUIRE(A.Calls.size() == 1U);
  const ClaimStoreCall LateCall = A.Calls.front();
  A.Calls.clear();
  A.process(A.Keeper.replied(
      LateCall.Ticket, {absl::DeadlineExceededError("no answer"), {}}, A.Time));
  // The second write certainly has no effect.
  bool IsSecondWrite = false;
  for (int I = 0; I < 20 && !IsSecondWrite; ++I) {
    IsSecondWrite = !A.Calls.empty() &&
                    std::holds_alternative<StoreSwap>(A.Calls.front().Request);
    A.runCalls(IsSecondWrite ? StoreFault::Down : StoreFault::None);
    A.advance(20ms);
  }
  BOOST_REQUIRE(IsSecondWrite);
  Backend.submit(LateCall.Request, StoreFault::None);
  A.advance(2s);
  BOOST_TEST((A.result("a1") == ClaimResult::Unavailable));
  for (int I = 0; I < 5; ++I) {
    A.advance(1s);
    A.runUntilSettled();
  }
  Entry B(Backend);
  B.claim("b1", "key");
  B.runUntilSettled();
  BOOST_TEST((B.result("b1") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(ARepeatGetsTheOutcomeOfTheFirstRequest) {
  FakeStore Backend;
  Entry A(Backend);
  Entry B(Backend);
  A.claim("a1", "answered");
  A.claim("a2", "not-run");
  A.runUntilSettled();
  A.process(A.Keeper.ended(RequestId("a1"), Outcome::Answered, A.Time));
  A.process(A.Keeper.ended(RequestId("a2"), Outcome::NotRun, A.Time));
  A.advance(3s);
  A.runUntilSettled();
  B.claim("b1", "answered");
  B.claim("b2", "not-run");
  B.runUntilSettled();
  BOOST_TEST((B.result("b1") == ClaimResult::Taken));
  BOOST_TEST((B.Results.at("b1").PriorOutcome == Outcome::Answered));
  BOOST_TEST((B.result("b2") == ClaimResult::Won));
}

BOOST_AUTO_TEST_CASE(ClaimsOfAShardShareOneWrite) {
  FakeStore Backend;
  Entry A(Backend);
  for (int I = 0; I < 1000; ++I) {
    A.claim(fmt::format("a{}", I), fmt::format("key{}", I));
  }
  A.runUntilSettled();
  A.runUntilSettled();
  BOOST_TEST(A.Results.size() == 1000u);
  BOOST_TEST(A.Keeper.callCount() < 80u);
}

BOOST_AUTO_TEST_CASE(NoKeyIsWonTwiceWhateverTheStoreDoes) {
  BOOST_TEST(rc::check("one winner", [] {
    FakeStore Backend;
    std::vector<Entry> Entries(3, Entry(Backend));
    const auto Steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    int LastRequest = 0;
    for (const int Step : Steps) {
      Entry &E = Entries[Step % 3];
      const int Operation = Step / 3 % 8;
      if (Operation < 2) {
        E.claim(fmt::format("r{}", ++LastRequest),
                fmt::format("key{}", Step % 2));
      } else if (Operation == 2) {
        E.advance(100ms);
      } else {
        E.runCalls(
            static_cast<StoreFault>(Operation - 3 < 3 ? Operation - 3 : 0));
      }
    }
    std::map<std::string, int> Winners;
    for (Entry &E : Entries) {
      E.runUntilSettled();
      for (const auto &[Id, Settlement] : E.Results) {
        const auto Digest = Backend.claimDigestOf(Id);
        RC_ASSERT(Settlement.Result != ClaimResult::Won || Digest.has_value());
        if (Settlement.Result == ClaimResult::Won) {
          RC_ASSERT(++Winners[*Digest] == 1);
        }
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
