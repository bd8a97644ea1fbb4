/// \file
/// The promise checker is shown a history for each rule that breaks it, and
/// one that breaks none.

#define BOOST_TEST_MODULE Replay
#include <boost/test/unit_test.hpp>

#include "balsamlatch/Replay/History.h"

using namespace balsamlatch;
using namespace balsamlatch::replay;
using namespace std::chrono_literals;
using placement::Outcome;

namespace {

const RequestId A("a");
const RequestId B("b");
const HostName Host("h");

Instant at(Duration Time) { return Instant(Time); }

HistoryLine asked(const RequestId &Id, const std::string &Identity = "",
                  bool Idempotent = false) {
  return {at(0s),
          Asked{Id, Identity.empty() ? Id.Text : Identity, Idempotent, 1s}};
}

HistoryLine ran(const RequestId &Id, Duration Time = 1s) {
  return {at(Time), Ordered{Id, Host, true}};
}

HistoryLine ended(const RequestId &Id, Outcome End,
                  const RequestId &AnswerOf = {}) {
  return {at(2s), Ended{Id, End, AnswerOf, true}};
}

std::vector<Promise> broken(const History &Lines) {
  std::vector<Promise> Which;
  for (const Breach &Found : checkPromises(Lines)) {
    Which.push_back(Found.Which);
  }
  return Which;
}

bool breaks(const History &Lines, Promise Which) {
  return broken(Lines) == std::vector<Promise>{Which};
}

} // namespace

BOOST_AUTO_TEST_CASE(ASoundHistoryBreaksNothing) {
  const History Lines{asked(A, "same"), ran(A), asked(B, "same"),
                      ended(A, Outcome::Answered, A),
                      ended(B, Outcome::Answered, A)};
  BOOST_TEST(broken(Lines).empty());
}

BOOST_AUTO_TEST_CASE(ASecondRunIsCaught) {
  BOOST_TEST(breaks({asked(A), ran(A), ran(A), ended(A, Outcome::Unknown)},
                    Promise::AtMostOnce));
  BOOST_TEST(breaks({asked(A, "same"), asked(B, "same"), ran(A), ran(B),
                     ended(A, Outcome::Unknown), ended(B, Outcome::Unknown)},
                    Promise::AtMostOnce));
  BOOST_TEST(broken({asked(A, "", true), ran(A), ran(A),
                     ended(A, Outcome::Answered, A)})
                 .empty());
}

BOOST_AUTO_TEST_CASE(ARunOfWhatWasRefusedIsCaught) {
  BOOST_TEST(breaks({asked(A), ran(A), ended(A, Outcome::NotRun)},
                    Promise::TruthOfNotRun));
  BOOST_TEST(breaks({asked(A), ended(A, Outcome::NotRun), ran(A, 9s)},
                    Promise::TruthOfNotRun));
}

BOOST_AUTO_TEST_CASE(AnotherOnesAnswerIsCaught) {
  const HistoryLine EndOfB = ended(B, Outcome::Unknown);
  BOOST_TEST(breaks({asked(A), asked(B), ran(A), ran(B),
                     ended(A, Outcome::Answered, B), EndOfB},
                    Promise::OwnAnswer));
  BOOST_TEST(
      breaks({asked(A), ended(A, Outcome::Answered, A)}, Promise::OwnAnswer));
  BOOST_TEST(breaks(
      {asked(A), ran(A), {at(2s), Ended{A, Outcome::Answered, A, false}}},
      Promise::OwnAnswer));
}

BOOST_AUTO_TEST_CASE(AnOrderToALeavingHostIsCaught) {
  const HistoryLine Leaves{at(1s), Leaving{Host, true}};
  const HistoryLine Returns{at(2s), Leaving{Host, false}};
  const HistoryLine End = ended(A, Outcome::Unknown);
  BOOST_TEST(breaks({asked(A), Leaves, ran(A, 5s), End}, Promise::LeavingHost));
  BOOST_TEST(broken({asked(A), Leaves, ran(A, 3s), End}).empty());
  BOOST_TEST(broken({asked(A), Leaves, Returns, ran(A, 9s), End}).empty());
}

BOOST_AUTO_TEST_CASE(AMissingOrASecondEndIsCaught) {
  BOOST_TEST(breaks({asked(A)}, Promise::OneEnd));
  BOOST_TEST(
      breaks({asked(A), ended(A, Outcome::NotRun), ended(A, Outcome::NotRun)},
             Promise::OneEnd));
  BOOST_TEST(
      breaks({asked(A), ended(A, Outcome::NotRun), ended(B, Outcome::NotRun)},
             Promise::OneEnd));
}
