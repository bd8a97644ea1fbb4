/// \file
/// Permits of a queue's placement policy: which workers may run a step. A
/// policy service decides, and start orders carry its permits. A decision takes
/// time for each worker in the query, so a query names only as many workers as
/// the step may need, and decisions are cached.

#ifndef BALSAMLATCH_DISPATCH_PERMITS_H
#define BALSAMLATCH_DISPATCH_PERMITS_H

#include "balsamlatch/Dispatch/Deployment.h"

#include <map>

namespace balsamlatch::dispatch {

/// Identifies a step of a job occurrence.
struct StepRef {
  JobId Job;
  unsigned Occurrence = 0;
  unsigned Step = 0;

  auto operator<=>(const StepRef &) const = default;
};

inline StepRef stepOf(const TaskRef &Task) {
  return {Task.Job, Task.Occurrence, Task.Step};
}

/// Asks the policy service which of the workers may run the step.
struct PermitQuery {
  StepRef Step;
  std::vector<WorkerInstance> Workers;
  /// Expected time of the decision by the queue's configuration.
  Duration Expected{};

  auto operator<=>(const PermitQuery &) const = default;
};

/// Allows a worker to run the tasks of a step.
struct Permit {
  std::string WorkerId;
  std::string Ticket;

  auto operator<=>(const Permit &) const = default;
};

struct PermitReply {
  std::vector<Permit> Allowed;
  Duration Validity{};

  auto operator<=>(const PermitReply &) const = default;
};

/// Caches the decisions of the placement policies, by step and worker.
class PermitCache {
public:
  void clear() { DecisionsByStep.clear(); }
  /// Returns the ticket of a permit that is valid until after \p Until, or
  /// null.
  const std::string *findTicket(const StepRef &Step,
                                const WorkerInstance &Worker,
                                Instant Until) const;
  /// Whether a query for the worker may give a permit that is not cached or no
  /// longer valid.
  bool needsQuery(const StepRef &Step, const WorkerInstance &Worker,
                  Instant Until) const;
  /// Stores a reply; workers of the query without a permit may not run the
  /// step.
  void store(const PermitQuery &Query, const PermitReply &Reply,
             Instant AskedAt);
  /// Removes a permit that the worker has refused.
  void remove(const StepRef &Step, const std::string &WorkerId);
  void removeJob(const JobId &Job);

private:
  struct Decision {
    std::int64_t Incarnation = 0;
    // Empty if the worker may not run the step, in any incarnation.
    std::string Ticket;
    Instant ValidUntil{};
  };

  using Decisions = std::map<std::string, Decision>;
  std::map<StepRef, Decisions> DecisionsByStep;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_PERMITS_H
