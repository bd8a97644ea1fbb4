/// \file
/// The path of a request through one engine.

#define BOOST_TEST_MODULE Placement
#include <boost/test/unit_test.hpp>

#include "Harness.h"

using namespace balsamlatch;
using namespace balsamlatch::placement;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(AnAnswerReachesItsRequest) {
  Harness H;
  H.arrive("r1", "count");
  const StartAttempt Start = H.only<StartAttempt>();
  BOOST_TEST(Start.Id.Text == "r1");
  BOOST_TEST((Start.Lease == 1s));
  H.send(AttemptEnded{Start.Attempt, TaskEnd::Answered});
  const FinishRequest End = H.only<FinishRequest>();
  BOOST_TEST((End.End == Outcome::Answered));
  BOOST_TEST((End.Attempt == Start.Attempt));
  BOOST_TEST(H.Core.openAttempts() == 0u);
}

BOOST_AUTO_TEST_CASE(WhatCannotRunIsRefusedAtOnce) {
  Harness H;
  H.arrive("r1", "no-such-job");
  BOOST_TEST((H.only<FinishRequest>().Why == Reason::UnknownJob));
  H.arrive("r2", "too-big");
  BOOST_TEST((H.only<FinishRequest>().Why == Reason::NeverFits));
  H.send(StopRequested{});
  H.arrive("r3", "count");
  BOOST_TEST((H.only<FinishRequest>().Why == Reason::Stopping));
  BOOST_TEST(H.Core.counters().NotRun == 3u);
}

BOOST_AUTO_TEST_CASE(ALostAttemptOfANonIdempotentJobIsNeverTriedAgain) {
  Harness H;
  H.arrive("r1", "deposit");
  H.send(AttemptEnded{H.only<StartAttempt>().Attempt, TaskEnd::Lost});
  BOOST_TEST((H.only<FinishRequest>().End == Outcome::Unknown));
  BOOST_TEST(H.all<StartAttempt>().empty());
}

BOOST_AUTO_TEST_CASE(ARefusedAttemptIsTriedElsewhere) {
  Harness H;
  H.arrive("r1", "deposit");
  const StartAttempt First = H.only<StartAttempt>();
  H.send(AttemptEnded{First.Attempt, TaskEnd::Refused});
  const StartAttempt Second = H.only<StartAttempt>();
  BOOST_TEST(Second.Host.Text != First.Host.Text);
}

BOOST_AUTO_TEST_CASE(ACancelledAttemptHoldsItsSlotUntilConfirmed) {
  Harness H;
  H.arrive("r1", "deposit");
  const StartAttempt Start = H.only<StartAttempt>();
  H.send(RequestCancelled{RequestId("r1")});
  BOOST_TEST((H.only<FinishRequest>().End == Outcome::Unknown));
  BOOST_TEST((H.only<CancelAttempt>().Attempt == Start.Attempt));
  BOOST_TEST(H.Core.openAttempts() == 1u);
  H.send(CancelConfirmed{Start.Attempt});
  BOOST_TEST(H.Core.openAttempts() == 0u);
}

BOOST_AUTO_TEST_CASE(TheDeadlineEndsWaitingWorkAsNotRunAndRunningAsUnknown) {
  Harness H(1, 1);
  H.arrive("r1", "deposit");
  H.arrive("r2", "deposit");
  H.pass(2s);
  const std::vector<FinishRequest> Ends = H.all<FinishRequest>();
  BOOST_REQUIRE(Ends.size() == 2u);
  BOOST_TEST((Ends[0].End == Outcome::Unknown));
  BOOST_TEST((Ends[1].End == Outcome::NotRun));
}
