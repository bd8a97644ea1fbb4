/// \file
/// Look-ups in the rules in force.

#include "balsamlatch/Rules/RuleSet.h"

#include <algorithm>

namespace balsamlatch {

namespace {

constexpr std::uint64_t PercentOfAll = 100;

} // namespace

std::uint32_t AwayBudget::allowed(std::uint32_t Members) const {
  if (Measure == Kind::Hosts) {
    return std::min(Amount, Members);
  }
  return static_cast<std::uint32_t>(std::uint64_t(Members) * Amount /
                                    PercentOfAll);
}

const JobRule *RuleSet::job(const JobName &Job) const {
  const auto Found = Jobs.find(Job);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const PoolRule *RuleSet::pool(const PoolName &Pool) const {
  const auto Found = Pools.find(Pool);
  return Found == Pools.end() ? nullptr : &Found->second;
}

const QuotaRule *RuleSet::quota(const TeamName &Team,
                                const PoolName &Pool) const {
  const auto Found =
      std::find_if(Quotas.begin(), Quotas.end(), [&](const QuotaRule &Q) {
        return Q.Team == Team && Q.Pool == Pool;
      });
  return Found == Quotas.end() ? nullptr : &*Found;
}

} // namespace balsamlatch
