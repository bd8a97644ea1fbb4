/// \file
/// Who stands for the controllers' lease, and how often.

#include "balsamlatch/Fleet/Controller.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::fleet;

namespace {

constexpr int Entries = 200;

EntryName entry(int Number) { return EntryName(fmt::format("e{:03}", Number)); }

/// Lease requests of one entry among all in ten minutes, the lease being held
/// by another.
int leaseRequests(int Number) {
  Controller Machine({entry(Number), "region", 1});
  EntriesSeen Seen;
  for (int I = 0; I < Entries; ++I) {
    Seen.Live.push_back({entry(I), 1});
  }
  Instant Now{};
  Machine.handle(Seen, Now, WallTime());
  int Requests = 0;
  for (; Now < Instant(std::chrono::minutes(10)); Now += FleetTickPeriod) {
    for (const FleetAction &Wanted :
         Machine.handle(FleetTick{}, Now, WallTime())) {
      const auto *Submit = std::get_if<SubmitToStore>(&Wanted);
      if (Submit == nullptr ||
          !std::holds_alternative<LeaseAcquire>(Submit->Request)) {
        continue;
      }
      ++Requests;
      const StoreReply Held{absl::AbortedError("held"), {1, "another"}};
      Machine.handle(StoreReplied{Submit->Of, Held}, Now, WallTime());
    }
  }
  return Requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Lease)

BOOST_AUTO_TEST_CASE(AFewEntriesStandForItAndTheOthersSeldom) {
  // Every 2 s, and every 30 s.
  BOOST_TEST(leaseRequests(0) == 300);
  BOOST_TEST(leaseRequests(2) == 300);
  BOOST_TEST(leaseRequests(3) == 20);
  BOOST_TEST(leaseRequests(199) == 20);
}

BOOST_AUTO_TEST_SUITE_END()
