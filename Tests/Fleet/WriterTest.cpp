/// \file
/// Tests of the ledger writer and of the lease holder.

#include <boost/test/unit_test.hpp>

#include "LeaseHolder.h"
#include "LedgerWriter.h"

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace std::chrono_literals;

namespace {

using Outcome = LedgerWriter::Outcome;

constexpr Instant Start = Instant(1h);

StoreReply errorReply(absl::Status Status) { return {std::move(Status), {}}; }

} // namespace

BOOST_AUTO_TEST_CASE(LostReplyIsSettledByReading) {
  LedgerWriter Writer("k", "me");
  const StoreSwap Swap = Writer.makeSwap({}, 4, Start);
  BOOST_TEST(Swap.ExpectedVersion == 4u);
  BOOST_TEST(!Writer.ready(Start));
  BOOST_TEST(
      (Writer.handleSwapReply(errorReply(absl::DeadlineExceededError("")),
                              Start) == Outcome::Unknown));
  BOOST_TEST(!Writer.ready(Start));
  const Instant RetryTime = Start + LedgerWriter::MaxRetryDelay;
  BOOST_TEST(Writer.ready(RetryTime));
  Writer.makeRead(RetryTime);
  BOOST_TEST((Writer.handleReadReply({absl::OkStatus(), {5, Swap.Value}},
                                     RetryTime) == Outcome::Written));
  BOOST_TEST(!Writer.outcomeUnknown());
}

BOOST_AUTO_TEST_CASE(OtherWritersTokenIsAConflict) {
  LedgerWriter Writer("k", "me");
  LedgerWriter OtherWriter("k", "other");
  const StoreSwap OtherSwap = OtherWriter.makeSwap({}, 4, Start);
  Writer.makeSwap({}, 4, Start);
  Writer.handleSwapReply(errorReply(absl::DeadlineExceededError("")), Start);
  Writer.makeRead(Start + 5s);
  BOOST_TEST((Writer.handleReadReply({absl::OkStatus(), {5, OtherSwap.Value}},
                                     Start + 5s) == Outcome::Conflict));
}

BOOST_AUTO_TEST_CASE(StoreErrorsAreDistinguished) {
  LedgerWriter Writer("k", "me");
  Writer.makeSwap({}, 4, Start);
  BOOST_TEST((Writer.handleSwapReply(errorReply(absl::UnavailableError("")),
                                     Start) == Outcome::NotWritten));
  BOOST_TEST(!Writer.outcomeUnknown());
  BOOST_TEST(!Writer.ready(Start));
  Writer.makeSwap({}, 4, Start + 5s);
  BOOST_TEST((Writer.handleSwapReply({absl::AbortedError(""), {6, ""}},
                                     Start + 5s) == Outcome::Conflict));
  // No reply arrives.
  Writer.makeSwap({}, 6, Start + 10s);
  BOOST_TEST(!Writer.expire(Start + 11s));
  BOOST_TEST(Writer.expire(Start + 10s + LedgerWriter::ReplyTimeout));
  BOOST_TEST(Writer.outcomeUnknown());
}

BOOST_AUTO_TEST_CASE(PausedHolderLosesItsLease) {
  LeaseHolder Holder("l", "me");
  BOOST_TEST(Holder.nextRequest(Start, true).has_value());
  BOOST_TEST(!Holder.nextRequest(Start, true).has_value());
  Holder.handleReply({absl::OkStatus(), {1, "me"}});
  BOOST_TEST(Holder.holds(Start + LeaseHolder::TimeToLive - 1us));
  BOOST_TEST(!Holder.holds(Start + LeaseHolder::TimeToLive));
  // A reply that names another holder ends the lease at once.
  BOOST_TEST(Holder.nextRequest(Start + 3s, true).has_value());
  Holder.handleReply({absl::AbortedError(""), {2, "other"}});
  BOOST_TEST(!Holder.holds(Start + 3s));
}
