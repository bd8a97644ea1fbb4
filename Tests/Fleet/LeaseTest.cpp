/// \file
/// Which entries request the controller lease, and how often.

#include "balsamlatch/Fleet/Controller.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::fleet;

namespace {

constexpr int Entries = 200;

EntryName entry(int Index) { return EntryName(fmt::format("e{:03}", Index)); }

/// Returns the number of lease requests of one entry in ten minutes while
/// another entry holds the lease.
int leaseRequests(int Index) {
  Controller FleetController({entry(Index), "region", 1});
  EntryVersionsReported Views;
  for (int I = 0; I < Entries; ++I) {
    Views.Live.push_back({entry(I), 1});
  }
  Instant Now{};
  FleetController.handle(Views, Now, WallTime());
  int RequestCount = 0;
  for (; Now < Instant(std::chrono::minutes(10)); Now += FleetTickPeriod) {
    for (const FleetAction &Action :
         FleetController.handle(FleetTick{}, Now, WallTime())) {
      const auto *Submit = std::get_if<SendStoreRequest>(&Action);
      if (Submit == nullptr ||
          !std::holds_alternative<LeaseAcquire>(Submit->Request)) {
        continue;
      }
      ++RequestCount;
      const StoreReply DeniedReply{absl::AbortedError("held"), {1, "another"}};
      FleetController.handle(StoreReplied{Submit->Of, DeniedReply}, Now,
                             WallTime());
    }
  }
  return RequestCount;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Lease)

BOOST_AUTO_TEST_CASE(OnlyCandidatesRequestTheLeaseOften) {
  // Candidates request it every 2 s, other entries every 30 s.
  BOOST_TEST(leaseRequests(0) == 300);
  BOOST_TEST(leaseRequests(2) == 300);
  BOOST_TEST(leaseRequests(3) == 20);
  BOOST_TEST(leaseRequests(199) == 20);
}

BOOST_AUTO_TEST_SUITE_END()
