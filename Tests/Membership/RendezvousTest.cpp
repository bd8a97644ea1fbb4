/// \file
/// Tests of rendezvous hashing: agreement, balance, and few changes when an
/// entry is removed.

#define BOOST_TEST_MODULE Membership
#include <boost/test/unit_test.hpp>

#include "balsamlatch/Membership/Rendezvous.h"

#include <algorithm>
#include <map>
#include <string>

using namespace balsamlatch;
using namespace balsamlatch::membership;

namespace {

std::vector<EntryName> entries(int Count) {
  std::vector<EntryName> All;
  All.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I) {
    All.emplace_back("entry-" + std::to_string(I));
  }
  return All;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rendezvous)

BOOST_AUTO_TEST_CASE(PicksDoNotDependOnTheOrderOfEntries) {
  std::vector<EntryName> Entries = entries(9);
  const auto Picks = rendezvousPick("pool-1", Entries, 3);
  std::reverse(Entries.begin(), Entries.end());
  BOOST_TEST((rendezvousPick("pool-1", Entries, 3) == Picks));
  BOOST_TEST(rendezvousPick("pool-1", entries(2), 5).size() == 2u);
}

BOOST_AUTO_TEST_CASE(RemovingAnEntryMovesOnlyItsOwnSubjects) {
  constexpr int SubjectCount = 880;
  const std::vector<EntryName> EntriesBefore = entries(9);
  std::vector<EntryName> EntriesAfter = EntriesBefore;
  EntriesAfter.pop_back();
  std::map<EntryName, int> SubjectCounts;
  for (int I = 0; I < SubjectCount; ++I) {
    const std::string Subject = "pool-" + std::to_string(I);
    const EntryName PickBefore =
        rendezvousPick(Subject, EntriesBefore, 1).front();
    const EntryName PickAfter =
        rendezvousPick(Subject, EntriesAfter, 1).front();
    ++SubjectCounts[PickBefore];
    BOOST_TEST((PickBefore == PickAfter || PickBefore == EntriesBefore.back()));
  }
  // An even share is 98. An entry with twice that would be overloaded.
  for (const auto &[Entry, Count] : SubjectCounts) {
    BOOST_TEST(Count < 2 * SubjectCount / 9, Entry.Text);
  }
  BOOST_TEST(SubjectCounts.size() == 9u);
}

BOOST_AUTO_TEST_SUITE_END()
