/// \file
/// Tests of the JSON messages between entries: round trips, the location of
/// errors, and mutated input, which must not crash the decoder.

#define BOOST_TEST_MODULE Wire
#include <boost/test/unit_test.hpp>

#include "balsamlatch/Wire/PeerCodec.h"

#include <random>

using namespace balsamlatch;
using namespace balsamlatch::membership;
using namespace balsamlatch::placement;
using namespace balsamlatch::wire;
using namespace std::chrono_literals;

namespace {

Member member(const char *Name) {
  return {EntryName(Name),
          {"127.0.0.1", 7001},
          DataCentreName("north"),
          12,
          MemberState::Suspect};
}

std::vector<PeerMessage> oneMessageOfEachKind() {
  const Versions VersionMap = {{"rules/head", 9}, {"ledger/eu", 44}};
  return {
      Message(Probe{1, member("a"), VersionMap, {member("b"), member("c")}}),
      Message(Ack{2, member("b"), VersionMap, {}}),
      Message(ProbeRequest{3, member("a"), EntryName("c")}),
      Message(DocumentPush{{"rules/head", 9, "text \"quoted\"\n"}}),
      Message(DocumentPull{"rules/head", 8}),
      Message(LedgerConfirmation{44}),
      SlotMessage(SlotRequest{PoolName("p"),
                              3,
                              4,
                              250ms,
                              {{HostName("w1"), 2}},
                              PoolName("q"),
                              5,
                              6,
                              1,
                              {HostName("w2")}}),
      SlotMessage(SlotGrant{PoolName("p"), HostName("w1"), 2, 500ms,
                            PoolName("q"), JobClass::Patient, 7, 8}),
      SlotMessage(SlotReturn{PoolName("p"), HostName("w1"), 1}),
  };
}

} // namespace

BOOST_AUTO_TEST_CASE(EachKindRoundTrips) {
  const std::vector<PeerMessage> Batch = oneMessageOfEachKind();
  const auto Decoded = decodeBatch(encodeBatch(Batch));
  BOOST_REQUIRE_MESSAGE(Decoded.ok(), Decoded.status().ToString());
  BOOST_TEST((*Decoded == Batch));
}

BOOST_AUTO_TEST_CASE(UnknownKindsAndMembersAreIgnored) {
  const auto Decoded = decodeBatch(
      R"([{"kind":"later"},{"kind":"ledger-confirm","version":3,"extra":1}])");
  BOOST_REQUIRE(Decoded.ok());
  BOOST_REQUIRE(Decoded->size() == 1u);
  BOOST_TEST((Decoded->front() == PeerMessage(Message(LedgerConfirmation{3}))));
}

BOOST_AUTO_TEST_CASE(ErrorsNameMessageAndMember) {
  const auto Decoded = decodeBatch(
      R"([{"kind":"ledger-confirm","version":1},{"kind":"pull","key":"k","after":-1}])");
  BOOST_TEST(absl::IsInvalidArgument(Decoded.status()));
  BOOST_TEST(Decoded.status().message() ==
             "message 1: 'after' must be a whole number in range");
}

BOOST_AUTO_TEST_CASE(MalformedBatchesAreRefused) {
  for (const char *Text : {"", "{}", "[1]", "[{}]", "[{\"kind\":7}]",
                           R"([{"kind":"slot-ask","pool":"p"}])",
                           R"([{"kind":"pull","key":"k","after":1.5}])"}) {
    BOOST_TEST(!decodeBatch(Text).ok(), Text);
  }
}

BOOST_AUTO_TEST_CASE(OversizedBatchesAreRefused) {
  const std::vector<PeerMessage> Batch(MaxBatchMessages + 1,
                                       Message(LedgerConfirmation{1}));
  BOOST_TEST(!decodeBatch(encodeBatch(Batch)).ok());
}

BOOST_AUTO_TEST_CASE(MutatedBatchesAreRefusedOrRoundTrip) {
  constexpr int RoundCount = 20'000;
  std::mt19937_64 Random(20261);
  const std::string ValidText = encodeBatch(oneMessageOfEachKind());
  int AcceptedCount = 0;
  for (int I = 0; I < RoundCount; ++I) {
    std::string Text = ValidText;
    const std::size_t ChangeCount = 1 + Random() % 4;
    for (std::size_t J = 0; J < ChangeCount; ++J) {
      Text[Random() % Text.size()] = static_cast<char>(Random());
    }
    Text.resize(Random() % 8 == 0 ? Random() % Text.size() : Text.size());
    const auto Decoded = decodeBatch(Text);
    if (!Decoded.ok()) {
      continue;
    }
    ++AcceptedCount;
    const auto DecodedAgain = decodeBatch(encodeBatch(*Decoded));
    BOOST_REQUIRE(DecodedAgain.ok());
    BOOST_TEST((*DecodedAgain == *Decoded));
  }
  BOOST_TEST(AcceptedCount > 0);
  BOOST_TEST(AcceptedCount < RoundCount);
}
