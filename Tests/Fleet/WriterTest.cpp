/// \file
/// Tests of the ledger's writer and of the lease holder.

#include <boost/test/unit_test.hpp>

#include "LeaseHolder.h"
#include "LedgerWriter.h"

using namespace balsamlatch;
using namespace balsamlatch::fleet;
using namespace std::chrono_literals;

namespace {

using Outcome = LedgerWriter::Outcome;

constexpr Instant Start = Instant(1h);

StoreReply failed(absl::Status Status) { return {std::move(Status), {}}; }

} // namespace

BOOST_AUTO_TEST_CASE(ALostAnswerIsSettledByReadingBack) {
  LedgerWriter Writer("k", "me");
  const StoreSwap Swap = Writer.swap({}, 4, Start);
  BOOST_TEST(Swap.ExpectedVersion == 4u);
  BOOST_TEST(!Writer.ready(Start));
  BOOST_TEST((Writer.swapReplied(failed(absl::DeadlineExceededError("")),
                                 Start) == Outcome::Unsettled));
  BOOST_TEST(!Writer.ready(Start));
  const Instant Later = Start + LedgerWriter::LongestPause;
  BOOST_TEST(Writer.ready(Later));
  Writer.read(Later);
  BOOST_TEST((Writer.readReplied({absl::OkStatus(), {5, Swap.Value}}, Later) ==
              Outcome::Written));
  BOOST_TEST(!Writer.unsettled());
}

BOOST_AUTO_TEST_CASE(AnotherWritersTokenIsAConflict) {
  LedgerWriter Writer("k", "me");
  LedgerWriter Other("k", "other");
  const StoreSwap Theirs = Other.swap({}, 4, Start);
  Writer.swap({}, 4, Start);
  Writer.swapReplied(failed(absl::DeadlineExceededError("")), Start);
  Writer.read(Start + 5s);
  BOOST_TEST((Writer.readReplied({absl::OkStatus(), {5, Theirs.Value}},
                                 Start + 5s) == Outcome::Conflict));
}

BOOST_AUTO_TEST_CASE(FaultsOfTheStoreAreToldApart) {
  LedgerWriter Writer("k", "me");
  Writer.swap({}, 4, Start);
  BOOST_TEST((Writer.swapReplied(failed(absl::UnavailableError("")), Start) ==
              Outcome::NotWritten));
  BOOST_TEST(!Writer.unsettled());
  BOOST_TEST(!Writer.ready(Start));
  Writer.swap({}, 4, Start + 5s);
  BOOST_TEST((Writer.swapReplied({absl::AbortedError(""), {6, ""}},
                                 Start + 5s) == Outcome::Conflict));
  // No reply at all.
  Writer.swap({}, 6, Start + 10s);
  BOOST_TEST(!Writer.expire(Start + 11s));
  BOOST_TEST(Writer.expire(Start + 10s + LedgerWriter::ReplyWait));
  BOOST_TEST(Writer.unsettled());
}

BOOST_AUTO_TEST_CASE(APausedHolderFindsItsLeaseOver) {
  LeaseHolder Holder("l", "me");
  BOOST_TEST(Holder.due(Start, true).has_value());
  BOOST_TEST(!Holder.due(Start, true).has_value());
  Holder.replied({absl::OkStatus(), {1, "me"}});
  BOOST_TEST(Holder.holds(Start + LeaseHolder::TimeToLive - 1us));
  BOOST_TEST(!Holder.holds(Start + LeaseHolder::TimeToLive));
  // Another holder is learned at once.
  BOOST_TEST(Holder.due(Start + 3s, true).has_value());
  Holder.replied({absl::AbortedError(""), {2, "other"}});
  BOOST_TEST(!Holder.holds(Start + 3s));
}
