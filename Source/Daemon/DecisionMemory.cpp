/// \file
/// Bounded memory of decisions.

#include "balsamlatch/Daemon/DecisionMemory.h"

namespace balsamlatch::daemon {

namespace {

/// A long story is cut to its latest decisions.
constexpr std::size_t MaxTold = 500;

bool concerns(const Decision &Made, std::string_view Subject) {
  if (Made.Subject == Subject) {
    return true;
  }
  const boost::json::value *Host = Made.Details.if_contains("host");
  return Host != nullptr && Host->is_string() && Host->get_string() == Subject;
}

} // namespace

DecisionMemory::DecisionMemory(std::size_t Capacity) : Kept(Capacity) {}

void DecisionMemory::add(Decision Made) {
  const std::lock_guard Guard(Lock);
  Made.Sequence = NextSequence++;
  Kept.push_back(std::move(Made));
}

std::vector<Decision> DecisionMemory::about(std::string_view Subject) const {
  std::vector<Decision> Found;
  const std::lock_guard Guard(Lock);
  for (const Decision &Made : Kept) {
    if (concerns(Made, Subject)) {
      Found.push_back(Made);
    }
  }
  if (Found.size() > MaxTold) {
    Found.erase(Found.begin(), Found.end() - MaxTold);
  }
  return Found;
}

} // namespace balsamlatch::daemon
