/// \file
/// Which workers a queue's placement policy allows for a step. A policy
/// service decides; its permits go with the starts. Asking takes time for each
/// worker named, so only as many are asked about as the step may need, and
/// what was decided is kept.

#ifndef BALSAMLATCH_DISPATCH_PERMITS_H
#define BALSAMLATCH_DISPATCH_PERMITS_H

#include "balsamlatch/Dispatch/Deployment.h"

#include <map>

namespace balsamlatch::dispatch {

/// One step of one occurrence of a job.
struct StepRef {
  JobId Job;
  unsigned Occurrence = 0;
  unsigned Step = 0;

  auto operator<=>(const StepRef &) const = default;
};

inline StepRef stepOf(const TaskRef &Task) {
  return {Task.Job, Task.Occurrence, Task.Step};
}

/// Asks which of the workers may run the step.
struct PermitQuery {
  StepRef Step;
  std::vector<WorkerLife> Workers;
  /// What the decision takes by the queue's configuration.
  Duration Expected{};

  auto operator<=>(const PermitQuery &) const = default;
};

/// Allows one worker to run the tasks of a step.
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

class PermitBook {
public:
  void clear() { Steps.clear(); }
  /// The ticket of a permit that is still good at \p Until; null if there is
  /// none.
  const std::string *find(const StepRef &Step, const WorkerLife &Worker,
                          Instant Until) const;
  /// Whether asking about the worker may give a permit that isn't there.
  bool worthAsking(const StepRef &Step, const WorkerLife &Worker,
                   Instant Until) const;
  void answered(const PermitQuery &Query, const PermitReply &Reply,
                Instant AskedAt);
  /// The worker refused the permit.
  void drop(const StepRef &Step, const std::string &WorkerId);
  void forget(const JobId &Job);

private:
  struct Decision {
    std::int64_t Born = 0;
    // Empty: the worker may not run the step, in any life.
    std::string Ticket;
    Instant ValidUntil{};
  };

  using Decisions = std::map<std::string, Decision>;
  std::map<StepRef, Decisions> Steps;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_PERMITS_H
