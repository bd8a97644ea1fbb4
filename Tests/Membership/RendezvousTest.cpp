/// \file
/// Tests of rendezvous hashing.

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

BOOST_AUTO_TEST_CASE(TheOrderOfTheViewDoesNotMatter) {
  std::vector<EntryName> View = entries(9);
  const auto First = rendezvousPick("pool-1", View, 3);
  std::reverse(View.begin(), View.end());
  BOOST_TEST((rendezvousPick("pool-1", View, 3) == First));
  BOOST_TEST(rendezvousPick("pool-1", entries(2), 5).size() == 2u);
}

BOOST_AUTO_TEST_CASE(LosingAnEntryMovesOnlyItsOwnSubjects) {
  constexpr int Subjects = 880;
  const std::vector<EntryName> Before = entries(9);
  std::vector<EntryName> After = Before;
  After.pop_back();
  std::map<EntryName, int> Load;
  for (int I = 0; I < Subjects; ++I) {
    const std::string Subject = "pool-" + std::to_string(I);
    const EntryName Old = rendezvousPick(Subject, Before, 1).front();
    const EntryName New = rendezvousPick(Subject, After, 1).front();
    ++Load[Old];
    BOOST_TEST((Old == New || Old == Before.back()));
  }
  // An even share is 98; twice it would be a hot entry.
  for (const auto &[Entry, Count] : Load) {
    BOOST_TEST(Count < 2 * Subjects / 9, Entry.Text);
  }
  BOOST_TEST(Load.size() == 9u);
}

BOOST_AUTO_TEST_SUITE_END()
