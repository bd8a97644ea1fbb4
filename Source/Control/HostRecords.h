/// \file
/// What a leader keeps in the store about hosts for the next one: the hosts
/// that it ordered recently and the progress of waves.

#ifndef BALSAMLATCH_CONTROL_HOSTRECORDS_H
#define BALSAMLATCH_CONTROL_HOSTRECORDS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <absl/status/statusor.h>
#include <set>
#include <string>
#include <vector>

namespace balsamlatch::control {

/// State of a wave that is handed over to the next leader.
struct WaveProgress {
  WallTime FirstSeen{};
  std::vector<HostName> CompletedHosts;
  std::vector<HostName> UnconfirmedHosts;

  auto operator<=>(const WaveProgress &) const = default;
};

std::string encodeOrders(const std::set<HostName> &Hosts);
/// Hosts with recent orders of the previous leader; none if \p Text is empty,
/// as when the key was never written. DataLoss if the text is malformed.
absl::StatusOr<std::set<HostName>> decodeOrders(const std::string &Text);

std::string encodeProgress(const WaveProgress &Progress);
/// DataLoss if the text is malformed.
absl::StatusOr<WaveProgress> decodeProgress(const std::string &Text);

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_HOSTRECORDS_H
