/// \file
/// Simulation of several entries that adopt rules, two owners who change them,
/// and a store. Runs in one thread on simulated time; a seed determines the
/// faults.

#ifndef BALSAMLATCH_TESTS_RULES_ADOPTIONSIMULATION_H
#define BALSAMLATCH_TESTS_RULES_ADOPTIONSIMULATION_H

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

enum class SimulatedFault {
  StoreDown,
  StoreSlow,
  ReplyLost,
  OwnersRace,
  EntryRestarted,
  PeerIsolated,
  ValueTampered,
  OldHeadReplayed,
};

/// A version that an entry put in force.
struct Observation {
  std::size_t Entry = 0;
  /// Number of restarts of the entry before.
  unsigned Incarnation = 0;
  RulesVersion Version;
  Digest Text;
};

/// The events of a simulation, as input of checkHistory().
struct AdoptionHistory {
  /// Text hash of each version that both owners signed and the store accepted.
  std::map<RulesVersion, Digest> Landed;
  /// The version and the new line of each change whose landing was confirmed to
  /// its owner.
  std::vector<std::pair<RulesVersion, std::string>> Acknowledged;
  std::vector<Observation> Observed;
  std::string LastText;
  std::size_t Entries = 0;
};

/// Describes the first violation in the history; empty if there is none.
std::string checkHistory(const AdoptionHistory &History);

/// Runs for some simulated time with the faults, then for some time without.
AdoptionHistory runSimulation(const std::set<SimulatedFault> &Faults,
                              std::uint64_t Seed);

} // namespace balsamlatch::test

#endif // BALSAMLATCH_TESTS_RULES_ADOPTIONSIMULATION_H
