/// \file
/// Tests of the seals between entries: forgeries and replays are refused.

#include "balsamlatch/Wire/PeerSeal.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::wire;
using namespace std::chrono_literals;

namespace {

const std::string Secret(LeastSecretBytes, 's');
const EntryName A("a"), B("b"), C("c");
const WallTime Start{std::chrono::hours(500'000)};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerSeal)

BOOST_AUTO_TEST_CASE(TextRoundTrips) {
  Sealer Sender(A, 7, Secret);
  const Seal Value = Sender.seal(B, "[]", Start);
  const absl::StatusOr<Seal> Read = parseSeal(formatSeal(Value));
  BOOST_REQUIRE(Read.ok());
  BOOST_TEST((*Read == Value));
}

BOOST_AUTO_TEST_CASE(BadTextIsRefused) {
  for (const char *Text :
       {"", "from=a", "to=a from=b incarnation=1 sequence=1 sent=1 digest=x",
        "from=a to=b incarnation=x sequence=1 sent=1 digest=x",
        "from=a to=b incarnation=1 sequence=1 sent=1 digest=x more"}) {
    BOOST_TEST(!parseSeal(Text).ok(), Text);
  }
}

BOOST_AUTO_TEST_CASE(ForgeriesAreRefused) {
  Sealer Sender(A, 7, Secret);
  SealChecker Receiver(B, Secret);
  const Seal Good = Sender.seal(B, "[1]", Start);
  Seal OtherSender = Good;
  OtherSender.From = C;
  Seal OtherSequence = Good;
  OtherSequence.Sequence += 1;
  Seal Later = Good;
  Later.SentAt += 1s;
  BOOST_TEST(absl::IsUnauthenticated(Receiver.check(Good, "[2]", Start)));
  BOOST_TEST(
      absl::IsUnauthenticated(Receiver.check(OtherSender, "[1]", Start)));
  BOOST_TEST(
      absl::IsUnauthenticated(Receiver.check(OtherSequence, "[1]", Start)));
  BOOST_TEST(absl::IsUnauthenticated(Receiver.check(Later, "[1]", Start)));
  SealChecker OtherSecret(B, std::string(LeastSecretBytes, 'x'));
  BOOST_TEST(absl::IsUnauthenticated(OtherSecret.check(Good, "[1]", Start)));
  SealChecker OtherEntry(C, Secret);
  BOOST_TEST(absl::IsUnauthenticated(OtherEntry.check(Good, "[1]", Start)));
  BOOST_TEST(Receiver.check(Good, "[1]", Start).ok());
}

BOOST_AUTO_TEST_CASE(ReplaysAreRefusedAndReorderingIsNot) {
  Sealer Sender(A, 7, Secret);
  SealChecker Receiver(B, Secret);
  const Seal First = Sender.seal(B, "1", Start);
  const Seal Second = Sender.seal(B, "2", Start);
  BOOST_TEST(Receiver.check(Second, "2", Start).ok());
  BOOST_TEST(Receiver.check(First, "1", Start).ok());
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(First, "1", Start)));
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(Second, "2", Start)));
  for (int I = 0; I < 64; ++I) {
    BOOST_TEST(Receiver.check(Sender.seal(B, "x", Start), "x", Start).ok());
  }
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(First, "1", Start)));
}

BOOST_AUTO_TEST_CASE(ARestartedSenderStartsAgainAndItsPastIsRefused) {
  Sealer Before(A, 7, Secret), After(A, 8, Secret);
  SealChecker Receiver(B, Secret);
  const Seal Old = Before.seal(B, "1", Start);
  BOOST_TEST(Receiver.check(After.seal(B, "2", Start), "2", Start).ok());
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(Old, "1", Start)));
}

BOOST_AUTO_TEST_CASE(OldSealsAreRefusedByTime) {
  Sealer Sender(A, 7, Secret);
  SealChecker Receiver(B, Secret);
  const Seal Value = Sender.seal(B, "1", Start);
  const WallTime Late = Start + SealChecker::MostSkew + 1us;
  BOOST_TEST(absl::IsUnauthenticated(Receiver.check(Value, "1", Late)));
  BOOST_TEST(Receiver.check(Value, "1", Start + SealChecker::MostSkew).ok());
}

BOOST_AUTO_TEST_SUITE_END()
