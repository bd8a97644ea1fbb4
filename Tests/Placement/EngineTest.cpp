/// \file
/// A request from its arrival to its end in one engine.

#define BOOST_TEST_MODULE Placement
#include <boost/test/unit_test.hpp>

#include "Harness.h"

using namespace balsamlatch;
using namespace balsamlatch::placement;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(AnAnswerReachesItsRequest) {
  Harness H;
  H.sendRequest("r1", "count");
  const StartAttempt Start = H.onlyAction<StartAttempt>();
  BOOST_TEST(Start.Id.Text == "r1");
  BOOST_TEST((Start.Lease == 1s));
  H.send(AttemptEnded{Start.Attempt, TaskEnd::Answered});
  const FinishRequest End = H.onlyAction<FinishRequest>();
  BOOST_TEST((End.End == Outcome::Answered));
  BOOST_TEST((End.Attempt == Start.Attempt));
  BOOST_TEST(H.TestEngine.openAttempts() == 0u);
}

BOOST_AUTO_TEST_CASE(InadmissibleRequestsAreRefusedOnArrival) {
  Harness H;
  H.sendRequest("r1", "no-such-job");
  BOOST_TEST((H.onlyAction<FinishRequest>().Why == Reason::UnknownJob));
  H.sendRequest("r2", "too-big");
  BOOST_TEST((H.onlyAction<FinishRequest>().Why == Reason::NeverFits));
  H.send(StopRequested{});
  H.sendRequest("r3", "count");
  BOOST_TEST((H.onlyAction<FinishRequest>().Why == Reason::Stopping));
  BOOST_TEST(H.TestEngine.counters().NotRun == 3u);
}

BOOST_AUTO_TEST_CASE(ALostAttemptOfANonIdempotentJobIsNeverTriedAgain) {
  Harness H;
  H.sendRequest("r1", "deposit");
  H.send(AttemptEnded{H.onlyAction<StartAttempt>().Attempt, TaskEnd::Lost});
  BOOST_TEST((H.onlyAction<FinishRequest>().End == Outcome::Unknown));
  BOOST_TEST(H.actionsOf<StartAttempt>().empty());
}

BOOST_AUTO_TEST_CASE(ARefusedAttemptIsTriedElsewhere) {
  Harness H;
  H.sendRequest("r1", "deposit");
  const StartAttempt First = H.onlyAction<StartAttempt>();
  H.send(AttemptEnded{First.Attempt, TaskEnd::Refused});
  const StartAttempt Second = H.onlyAction<StartAttempt>();
  BOOST_TEST(Second.Host.Text != First.Host.Text);
}

BOOST_AUTO_TEST_CASE(ACancelledAttemptHoldsItsSlotUntilConfirmed) {
  Harness H;
  H.sendRequest("r1", "deposit");
  const StartAttempt Start = H.onlyAction<StartAttempt>();
  H.send(RequestCancelled{RequestId("r1")});
  BOOST_TEST((H.onlyAction<FinishRequest>().End == Outcome::Unknown));
  BOOST_TEST((H.onlyAction<CancelAttempt>().Attempt == Start.Attempt));
  BOOST_TEST(H.TestEngine.openAttempts() == 1u);
  H.send(CancelConfirmed{Start.Attempt});
  BOOST_TEST(H.TestEngine.openAttempts() == 0u);
}

BOOST_AUTO_TEST_CASE(TheDeadlineEndsWaitingWorkAsNotRunAndRunningAsUnknown) {
  Harness H(1, 1);
  H.sendRequest("r1", "deposit");
  H.sendRequest("r2", "deposit");
  H.advance(2s);
  const std::vector<FinishRequest> Ends = H.actionsOf<FinishRequest>();
  BOOST_REQUIRE(Ends.size() == 2u);
  BOOST_TEST((Ends[0].End == Outcome::Unknown));
  BOOST_TEST((Ends[1].End == Outcome::NotRun));
}
