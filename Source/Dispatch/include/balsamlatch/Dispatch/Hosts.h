/// \file
/// The hosts that workers run on, and the operator's maintenance requests.

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

/// A host as the platform lists it.
struct HostRecord {
  HostName Name;
  PoolName Pool;
  HostStatus Status = HostStatus::Up;
  DataCentreName DataCentre;
  std::vector<std::string> Labels;
  jobs::Resources Capacity;
  /// The worker on the host; empty for none.
  std::string WorkerId;

  auto operator<=>(const HostRecord &) const = default;
};

/// An operator's request to maintain a set of hosts.
struct WaveRequest {
  std::uint64_t Number = 0;
  std::vector<HostName> Hosts;
  /// Time limit of the wave, counted from the request.
  Duration TimeLimit{};
  /// Maximum number of hosts of the wave in maintenance at the same time.
  unsigned MaxAway = 1;

  auto operator<=>(const WaveRequest &) const = default;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_HOSTS_H
