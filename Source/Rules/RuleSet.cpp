/// \file
/// Implements the look-ups in a rule set and the arithmetic of away budgets.

#include "balsamlatch/Rules/RuleSet.h"

#include <algorithm>

namespace balsamlatch {

namespace {

constexpr std::uint64_t PercentScale = 100;

} // namespace

std::uint32_t AwayBudget::allowed(std::uint32_t Members) const {
  if (Measure == Kind::Hosts) {
    return std::min(Amount, Members);
  }
  return static_cast<std::uint32_t>(std::uint64_t(Members) * Amount /
                                    PercentScale);
}

const JobRule *RuleSet::job(const JobName &Job) const {
  const auto Match = Jobs.find(Job);
  return Match == Jobs.end() ? nullptr : &Match->second;
}

const PoolRule *RuleSet::pool(const PoolName &Pool) const {
  const auto Match = Pools.find(Pool);
  return Match == Pools.end() ? nullptr : &Match->second;
}

const QuotaRule *RuleSet::quota(const TeamName &Team,
                                const PoolName &Pool) const {
  const auto Match =
      std::find_if(Quotas.begin(), Quotas.end(), [&](const QuotaRule &Q) {
        return Q.Team == Team && Q.Pool == Pool;
      });
  return Match == Quotas.end() ? nullptr : &*Match;
}

} // namespace balsamlatch
