/// \file
/// Stores decisions in a ring buffer and searches them.

#include "balsamlatch/Daemon/DecisionHistory.h"

#include <algorithm>

namespace balsamlatch::daemon {

namespace {

/// Limit on the decisions returned for one subject.
constexpr std::size_t MaxResults = 500;
/// Limit on decisions about requests among those returned for a host.
constexpr std::size_t MaxRequestResults = 20;

bool namesHost(const Decision &Candidate, std::string_view Subject) {
  const boost::json::value *Host = Candidate.Details.if_contains("host");
  return Host != nullptr && Host->is_string() && Host->get_string() == Subject;
}

} // namespace

DecisionHistory::DecisionHistory(std::size_t Capacity) : Decisions(Capacity) {}

void DecisionHistory::add(Decision NewDecision) {
  const std::lock_guard Guard(Lock);
  NewDecision.Sequence = NextSequence++;
  Decisions.push_back(std::move(NewDecision));
}

std::vector<Decision>
DecisionHistory::decisionsFor(std::string_view Subject) const {
  std::vector<Decision> Results;
  std::size_t RequestResults = 0;
  const std::lock_guard Guard(Lock);
  for (auto It = Decisions.rbegin(); It != Decisions.rend(); ++It) {
    if (Results.size() == MaxResults) {
      break;
    }
    if (It->Subject == Subject ||
        (namesHost(*It, Subject) && RequestResults++ < MaxRequestResults)) {
      Results.push_back(*It);
    }
  }
  std::reverse(Results.begin(), Results.end());
  return Results;
}

} // namespace balsamlatch::daemon
