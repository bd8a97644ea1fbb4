/// \file
/// The hosts that workers run on, and what the operator wants done with them.

#ifndef BALSAMLATCH_DISPATCH_HOSTS_H
#define BALSAMLATCH_DISPATCH_HOSTS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Jobs/JobSpec.h"

#include <compare>
#include <string>
#include <vector>

namespace balsamlatch::dispatch {

enum class HostStatus { Up, Moving, Maintenance, Down };

struct HostRecord {
  HostName Name;
  PoolName Pool;
  HostStatus Status = HostStatus::Up;
  DataCentreName DataCentre;
  std::vector<std::string> Labels;
  jobs::Resources Capacity;
  /// The worker that runs on it; empty for none.
  std::string WorkerId;

  auto operator<=>(const HostRecord &) const = default;
};

/// Hosts that the operator wants maintained.
struct WaveRequest {
  std::uint64_t Number = 0;
  std::vector<HostName> Hosts;
  /// Counts from the request.
  Duration TimeAllowed{};
  /// Most hosts of the wave that may be away for it at once.
  unsigned MaxAway = 1;

  auto operator<=>(const WaveRequest &) const = default;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTS_H
