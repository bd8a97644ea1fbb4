/// \file
/// Tests of message authentication between entries: forged, replayed and late
/// batches are refused.

#include "balsamlatch/Wire/PeerSeal.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::wire;
using namespace std::chrono_literals;

namespace {

const std::string Secret(MinSecretBytes, 's');
const EntryName A("a"), B("b"), C("c");
const WallTime Start{std::chrono::hours(500'000)};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerSeal)

BOOST_AUTO_TEST_CASE(TextRoundTrips) {
  Sealer Sender(A, 7, Secret);
  const Seal Header = Sender.seal(B, "[]", Start);
  const absl::StatusOr<Seal> Parsed = parseSeal(formatSeal(Header));
  BOOST_REQUIRE(Parsed.ok());
  BOOST_TEST((*Parsed == Header));
}

BOOST_AUTO_TEST_CASE(MalformedTextIsRefused) {
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
  const Seal ValidSeal = Sender.seal(B, "[1]", Start);
  Seal OtherSender = ValidSeal;
  OtherSender.From = C;
  Seal OtherSequence = ValidSeal;
  OtherSequence.Sequence += 1;
  Seal OtherTime = ValidSeal;
  OtherTime.SentAt += 1s;
  BOOST_TEST(absl::IsUnauthenticated(Receiver.check(ValidSeal, "[2]", Start)));
  BOOST_TEST(
      absl::IsUnauthenticated(Receiver.check(OtherSender, "[1]", Start)));
  BOOST_TEST(
      absl::IsUnauthenticated(Receiver.check(OtherSequence, "[1]", Start)));
  BOOST_TEST(absl::IsUnauthenticated(Receiver.check(OtherTime, "[1]", Start)));
  SealChecker OtherSecretChecker(B, std::string(MinSecretBytes, 'x'));
  BOOST_TEST(absl::IsUnauthenticated(
      OtherSecretChecker.check(ValidSeal, "[1]", Start)));
  SealChecker OtherEntryChecker(C, Secret);
  BOOST_TEST(absl::IsUnauthenticated(
      OtherEntryChecker.check(ValidSeal, "[1]", Start)));
  BOOST_TEST(Receiver.check(ValidSeal, "[1]", Start).ok());
}

BOOST_AUTO_TEST_CASE(ReplaysAreRefusedAndReorderedBatchesAreAccepted) {
  Sealer Sender(A, 7, Secret);
  SealChecker Receiver(B, Secret);
  const Seal FirstSeal = Sender.seal(B, "1", Start);
  const Seal SecondSeal = Sender.seal(B, "2", Start);
  BOOST_TEST(Receiver.check(SecondSeal, "2", Start).ok());
  BOOST_TEST(Receiver.check(FirstSeal, "1", Start).ok());
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(FirstSeal, "1", Start)));
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(SecondSeal, "2", Start)));
  for (int I = 0; I < 64; ++I) {
    BOOST_TEST(Receiver.check(Sender.seal(B, "x", Start), "x", Start).ok());
  }
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(FirstSeal, "1", Start)));
}

BOOST_AUTO_TEST_CASE(BatchesFromBeforeARestartAreRefused) {
  Sealer SenderBeforeRestart(A, 7, Secret), SenderAfterRestart(A, 8, Secret);
  SealChecker Receiver(B, Secret);
  const Seal OldSeal = SenderBeforeRestart.seal(B, "1", Start);
  BOOST_TEST(
      Receiver.check(SenderAfterRestart.seal(B, "2", Start), "2", Start).ok());
  BOOST_TEST(absl::IsAlreadyExists(Receiver.check(OldSeal, "1", Start)));
}

BOOST_AUTO_TEST_CASE(SealsBeyondTheMaximumClockSkewAreRefused) {
  Sealer Sender(A, 7, Secret);
  SealChecker Receiver(B, Secret);
  const Seal Header = Sender.seal(B, "1", Start);
  const WallTime LateTime = Start + SealChecker::MaxClockSkew + 1us;
  BOOST_TEST(absl::IsUnauthenticated(Receiver.check(Header, "1", LateTime)));
  BOOST_TEST(
      Receiver.check(Header, "1", Start + SealChecker::MaxClockSkew).ok());
}

BOOST_AUTO_TEST_SUITE_END()
