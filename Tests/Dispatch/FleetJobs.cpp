/// \file
/// The jobs of a history of a fleet.

#include "FleetHistory.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::dispatch::test {

void FleetHistory::submitPersistentJobs() {
  for (unsigned Left = Fleet.draw(2, 6); Left > 0; --Left) {
    const std::size_t Pool = drawPool();
    const auto Workers =
        static_cast<unsigned>(Fleet.Hosts.size() / Fleet.Pools.size());
    // Tasks that need nearly every worker of the pool show each one left out.
    jobs::JobSpec Spec = simpleJob(
        Fleet.chance(50) ? Fleet.draw(1, std::clamp(Workers, 1U, 8U))
                         : Fleet.draw(std::max(Workers, 2U) - 1, Workers + 2));
    jobs::StepSpec &Step = Spec.Steps.front();
    Step.LongRunning = true;
    Step.MaxPerWorker = Fleet.chance(80) ? 1 : Fleet.draw(0, 2);
    Step.MaxUnavailable =
        !MayInterruptAll && Fleet.chance(70) ? Fleet.draw(1, 2) : 0;
    Step.BestEffort = Fleet.chance(15);
    Step.RequestedResources = {std::int64_t{Fleet.draw(2, 15)} * 100,
                               Fleet.chance(20) ? 2500 : 200, 0};
    if (Fleet.chance(10)) {
      Step.RequiredLabel = Fleet.Racks[Fleet.draw(
          0, static_cast<unsigned>(Fleet.Racks.size()) - 1)];
    }
    Fleet.submit(fmt::format("s{}", PersistentJobs++), Spec, Pool);
  }
}

void FleetHistory::submitBatchJobs() {
  const bool IsBurst = Fleet.chance(BurstPercent);
  const auto Workers =
      static_cast<unsigned>(Fleet.Hosts.size() / Fleet.Pools.size() + 1);
  for (unsigned Left = IsBurst ? 3 : Fleet.draw(0, 1); Left > 0; --Left) {
    const std::size_t Pool = drawPool();
    const unsigned Steps = Fleet.draw(1, 2);
    jobs::JobSpec Spec = simpleJob(
        IsBurst ? Fleet.draw(Workers, 3 * Workers) : Fleet.draw(1, 6), Steps);
    for (jobs::StepSpec &Step : Spec.Steps) {
      Step.RequestedResources = {std::int64_t{Fleet.draw(2, 20)} * 100,
                                 Fleet.chance(20) ? 2000 : 100, 0};
      Step.Checkpoints = Fleet.chance(30);
      Step.BestEffort = Fleet.chance(10);
    }
    Fleet.submit(fmt::format("b{}", BatchJobs++), Spec, Pool);
  }
}

} // namespace balsamlatch::dispatch::test
