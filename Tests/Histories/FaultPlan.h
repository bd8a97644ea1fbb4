/// \file
/// The faults of one run, drawn from a seed.

#ifndef BALSAMLATCH_TESTS_HISTORIES_FAULTPLAN_H
#define BALSAMLATCH_TESTS_HISTORIES_FAULTPLAN_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::histories {

enum class FaultKind {
  KillEntry,
  PauseEntry,
  StopEntry,
  StoreDown,
  StoreSlow,
  StoreLosesAnswers,
  WorkerHangs,
  WorkerDies,
  WorkerFails,
  WorkerCutsAnswers,
  WorkerCrossesAnswers,
  WorkerRefuses,
  HostLeaves
};

struct Fault {
  FaultKind Kind = FaultKind::KillEntry;
  /// From the start of the load.
  Duration Start{};
  Duration Length{};
  /// Picks the entry or worker, by its remainder.
  std::uint64_t Target = 0;

  auto operator<=>(const Fault &) const = default;
};

std::string_view faultName(FaultKind Kind);

/// Two faults that overlap or follow each other within the load.
std::vector<Fault> pairOfFaults(std::uint64_t Seed, Duration LoadLength);

/// One fault for each of the comma-separated names, in the places that
/// pairOfFaults would give them. InvalidArgument lists the names.
absl::StatusOr<std::vector<Fault>>
namedFaults(std::string_view Names, std::uint64_t Seed, Duration LoadLength);

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_FAULTPLAN_H
