/// \file
/// Several entries that adopt rules, two owners who change them and a store,
/// all in one thread and on simulated time, with faults by a seed.

#ifndef BALSAMLATCH_TESTS_RULES_ADOPTIONWORLD_H
#define BALSAMLATCH_TESTS_RULES_ADOPTIONWORLD_H

#include "ChainFixture.h"
#include "ChainStore.h"

#include "balsamlatch/Rules/Adoption.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsamlatch::test {

enum class WorldFault {
  StoreDown,
  StoreSlow,
  AnswerLost,
  OwnerRace,
  EntryRestarted,
  PeerCutOff,
  ValueTampered,
  OldReplayed,
};

/// What an entry put in force.
struct Observation {
  std::size_t Entry = 0;
  /// Number of restarts of the entry before.
  unsigned Life = 0;
  RulesVersion Version;
  Digest Text;
};

/// What happened, for the checker.
struct AdoptionHistory {
  /// Text hash of each version that both owners signed and the store took.
  std::map<RulesVersion, Digest> Landed;
  /// Versions at which owners were told that their changes are in force, and
  /// what the change sets.
  std::vector<std::pair<RulesVersion, std::string>> Acknowledged;
  std::vector<Observation> Observed;
  std::string LastText;
  std::size_t Entries = 0;
};

/// What is wrong with the history; empty if nothing is.
std::string checkHistory(const AdoptionHistory &History);

/// Runs for some simulated time with the faults, then for a time without.
AdoptionHistory runWorld(const std::set<WorldFault> &Faults,
                         std::uint64_t Seed);

} // namespace balsamlatch::test

#endif // BALSAMLATCH_TESTS_RULES_ADOPTIONWORLD_H
