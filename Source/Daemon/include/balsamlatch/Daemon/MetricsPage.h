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

/// Fill level and rejected items of one ring buffer between two threads.
struct RingStatus {
  std::string_view Name;
  std::size_t Fill = 0;
  std::uint64_t Refusals = 0;
};
using RingStatuses = std::vector<RingStatus>;

/// Returns the body of /metrics in the Prometheus text format. Label
/// values are pool names, ring names and fixed codes only.
std::string metricsPage(const DaemonStatus &Status, const RingStatuses &Rings);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_METRICSPAGE_H
