/// \file
/// The metrics page. Help/metric lists each metric with its unit.

#ifndef BALSAMLATCH_DAEMON_METRICSPAGE_H
#define BALSAMLATCH_DAEMON_METRICSPAGE_H

#include "balsamlatch/Daemon/DaemonStatus.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::daemon {

/// Fill and refusals of one ring that joins two threads.
struct RingStatus {
  std::string_view Name;
  std::size_t Fill = 0;
  std::uint64_t Refusals = 0;
};
using RingStatuses = std::vector<RingStatus>;

/// The body of /metrics, in the text format of Prometheus. Labels are pools,
/// outcomes, entries and ring names only.
std::string metricsPage(const DaemonStatus &Status, const RingStatuses &Rings);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_METRICSPAGE_H
