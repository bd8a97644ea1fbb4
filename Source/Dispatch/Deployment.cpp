/// \file
/// Look-ups in a configuration.

#include "balsamlatch/Dispatch/Deployment.h"

#include <algorithm>

namespace balsamlatch::dispatch {

const Queue *Deployment::match(std::string_view Host,
                               std::string_view Path) const {
  const Queue *Best = nullptr;
  for (const Queue &Each : Queues) {
    if (Each.Host == Host && Path.starts_with(Each.Prefix) &&
        (Best == nullptr || Each.Prefix.size() > Best->Prefix.size())) {
      Best = &Each;
    }
  }
  return Best;
}

const Queue *Deployment::find(const QueueName &Name) const {
  const auto Found =
      std::find_if(Queues.begin(), Queues.end(),
                   [&](const Queue &Each) { return Each.Name == Name; });
  return Found == Queues.end() ? nullptr : &*Found;
}

const Pool *Deployment::find(const PoolName &Name) const {
  const auto Found =
      std::find_if(Pools.begin(), Pools.end(),
                   [&](const Pool &Each) { return Each.Name == Name; });
  return Found == Pools.end() ? nullptr : &*Found;
}

} // namespace balsamlatch::dispatch
