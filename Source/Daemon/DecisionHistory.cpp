/// \file
/// Bounded memory of decisions.

#include "balsamlatch/Daemon/DecisionHistory.h"

#include <algorithm>

namespace balsamlatch::daemon {

namespace {

/// A long story is cut to its latest decisions.
constexpr std::size_t MaxTold = 500;
/// Latest decisions about requests that a host's story shows.
constexpr std::size_t MaxRequestsTold = 20;

bool namesHost(const Decision &Made, std::string_view Subject) {
  const boost::json::value *Host = Made.Details.if_contains("host");
  return Host != nullptr && Host->is_string() && Host->get_string() == Subject;
}

} // namespace

DecisionHistory::DecisionHistory(std::size_t Capacity) : Kept(Capacity) {}

void DecisionHistory::add(Decision Made) {
  const std::lock_guard Guard(Lock);
  Made.Sequence = NextSequence++;
  Kept.push_back(std::move(Made));
}

std::vector<Decision> DecisionHistory::about(std::string_view Subject) const {
  std::vector<Decision> Found;
  std::size_t Requests = 0;
  const std::lock_guard Guard(Lock);
  for (auto Made = Kept.rbegin(); Made != Kept.rend(); ++Made) {
    if (Found.size() == MaxTold) {
      break;
    }
    if (Made->Subject == Subject ||
        (namesHost(*Made, Subject) && Requests++ < MaxRequestsTold)) {
      Found.push_back(*Made);
    }
  }
  std::reverse(Found.begin(), Found.end());
  return Found;
}

} // namespace balsamlatch::daemon
