/// \file
/// The host list as it was some time ago.

#ifndef BALSAMLATCH_STANDIN_LISTINGLOG_H
#define BALSAMLATCH_STANDIN_LISTINGLOG_H

#include "balsamlatch/Platform/HostList.h"

#include <deque>
#include <utility>

namespace balsamlatch::standin {

/// Keeps past listings, so that the list can be given with a lag.
class ListingLog {
public:
  /// Records the hosts as they now are, if they have changed.
  void record(Instant Now, std::vector<ListedHost> Hosts) {
    if (!Past.empty() && Past.back().second.Hosts == Hosts) {
      return;
    }
    Past.emplace_back(Now, HostListing{++Generation, std::move(Hosts)});
  }

  /// The newest listing that is at least \p Lag old, or the first one.
  const HostListing &at(Instant Now, Duration Lag) {
    while (Past.size() > 1 && Past[1].first + Lag <= Now) {
      Past.pop_front();
    }
    return Past.front().second;
  }

private:
  std::uint64_t Generation = 0;
  // Invariant: sorted by time; not empty after the first record().
  std::deque<std::pair<Instant, HostListing>> Past;
};

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_LISTINGLOG_H
