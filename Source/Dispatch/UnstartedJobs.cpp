/// \file
/// Counts jobs that the journal has as begun although nothing of them may have
/// been started.

#include "balsamlatch/Dispatch/Dispatcher.h"

#include <algorithm>

namespace balsamlatch::dispatch {

using jobs::TaskPhase;
using jobs::TaskRecord;

namespace {

/// Whether the run is the first one of its task, and is kept as only a later
/// incarnation of its worker may start it.
bool isUnstarted(const RunState &Run) {
  return Run.Number == 1 && Run.Phase == RunPhase::Uncertain &&
         Run.ReportedBy == 0 && Run.OutcomeIfMissing;
}

/// Whether no task of the job has had a run, but for \p UnstartedRuns.
bool isUnstarted(const jobs::Job &Job, unsigned UnstartedRuns) {
  const auto HasNotRun = [](const TaskRecord &Task) {
    return Task.Phase == TaskPhase::Placed || Task.Run == 0;
  };
  const auto &Occurrences = Job.Record.Occurrences;
  return Job.isOpen() && Job.spec().RunSchedule.Repeats == 0 &&
         Job.PlacedTasks == UnstartedRuns &&
         std::all_of(
             Occurrences.begin(), Occurrences.end(), [&](const auto &Entry) {
               return std::all_of(Entry.second.begin(), Entry.second.end(),
                                  [&](const jobs::StepRecord &Step) {
                                    return std::all_of(Step.begin(), Step.end(),
                                                       HasNotRun);
                                  });
             });
}

} // namespace

unsigned Dispatcher::countUnstartedJobs(const QueueName &Queue) const {
  std::map<JobId, unsigned> UnstartedRuns;
  if (Table == nullptr) {
    return 0;
  }
  for (const auto &[Id, Worker] : Workers) {
    for (const auto &[Task, Run] : Worker.Runs) {
      if (isUnstarted(Run)) {
        ++UnstartedRuns[Task.Job];
      }
    }
  }
  return static_cast<unsigned>(std::count_if(
      UnstartedRuns.begin(), UnstartedRuns.end(), [&](const auto &Entry) {
        const jobs::Job *Job = Table->find(Entry.first);
        return Job != nullptr && Job->Record.Accepted.Queue == Queue &&
               isUnstarted(*Job, Entry.second);
      }));
}

} // namespace balsamlatch::dispatch
