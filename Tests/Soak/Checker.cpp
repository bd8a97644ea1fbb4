/// \file
/// The rules, each over the runs of one task or over one job.

#include "Checker.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::soak {

namespace {

using RunsByTask = std::map<std::string, std::vector<const RunRecord *>>;

std::string describe(const RunRecord &One) {
  const auto Seconds = [](Stamp At) {
    return At == Never ? std::string("-") : fmt::format("{:.6f}", At / 1e6);
  };
  return fmt::format("run {} on {} life {}: {} to {} {}, noted {}{}", One.Run,
                     One.Worker, One.Life, Seconds(One.Start), Seconds(One.End),
                     One.How.empty() ? "running" : One.How,
                     Seconds(One.Noted.value_or(Never)),
                     One.LapsedBeforeNoted ? " after a lapse" : "");
}

/// \p First started no later than \p Second.
void checkPair(const RunRecord &First, const RunRecord &Second,
               std::vector<Violation> &Found) {
  const auto Add = [&](Rule Broken) {
    Found.push_back({Broken, First.Task,
                     fmt::format("{}; {}", describe(First), describe(Second))});
  };
  if (Second.Start < First.End) {
    Add(Rule::TwiceAtOnce);
  } else if (First.How == "done" && First.Noted && !First.LapsedBeforeNoted) {
    Add(Rule::StartAfterDone);
  }
  if (Second.Run < First.Run) {
    Add(Rule::LowerAfterHigher);
  }
}

void checkTask(const std::vector<const RunRecord *> &Runs,
               std::vector<Violation> &Found) {
  for (std::size_t I = 0; I < Runs.size(); ++I) {
    for (std::size_t J = I + 1; J < Runs.size(); ++J) {
      checkPair(*Runs[I], *Runs[J], Found);
    }
  }
}

bool hasDoneRun(const RunsByTask &Runs, const std::string &Task, Stamp Before) {
  const auto It = Runs.find(Task);
  return It != Runs.end() && std::any_of(It->second.begin(), It->second.end(),
                                         [Before](const RunRecord *One) {
                                           return One->How == "done" &&
                                                  One->End <= Before;
                                         });
}

bool hasFailedOften(const RunsByTask &Runs, const std::string &Task,
                    unsigned MaxAttempts) {
  const auto It = Runs.find(Task);
  return It != Runs.end() && std::count_if(It->second.begin(), It->second.end(),
                                           [](const RunRecord *One) {
                                             return One->How == "failed";
                                           }) >= MaxAttempts;
}

void checkJob(const JobRecord &Job, const RunsByTask &Runs,
              unsigned MaxAttempts, std::vector<Violation> &Found) {
  if (!Job.Accepted) {
    return;
  }
  if (Job.State == "completed") {
    for (const std::string &Task : Job.Tasks) {
      if (!hasDoneRun(Runs, Task, Job.FinalAt)) {
        Found.push_back({Rule::CompletedNotDone, Task, "no run of it is done"});
      }
    }
  } else if (Job.State == "failed") {
    if (std::none_of(Job.Tasks.begin(), Job.Tasks.end(),
                     [&](const std::string &Task) {
                       return hasFailedOften(Runs, Task, MaxAttempts);
                     })) {
      Found.push_back(
          {Rule::FailedWithoutCause, Job.Id, "no task has failed that often"});
    }
  } else if (!Job.CancelSent && !Job.LongRunning) {
    Found.push_back({Rule::NeverEnded, Job.Id, "last shown as " + Job.State});
  }
}

} // namespace

const char *ruleName(Rule Broken) {
  switch (Broken) {
  case Rule::TwiceAtOnce:
    return "twice-at-once";
  case Rule::StartAfterDone:
    return "start-after-done";
  case Rule::LowerAfterHigher:
    return "lower-after-higher";
  case Rule::CompletedNotDone:
    return "completed-not-done";
  case Rule::FailedWithoutCause:
    return "failed-without-cause";
  case Rule::NeverEnded:
    return "never-ended";
  case Rule::EntryEnded:
    return "entry-ended";
  }
  return "";
}

std::vector<Violation> check(const SoakRecord &Record) {
  RunsByTask Runs;
  for (const RunRecord &One : Record.Runs) {
    Runs[One.Task].push_back(&One);
  }
  std::vector<Violation> Found;
  for (auto &[Task, List] : Runs) {
    std::stable_sort(List.begin(), List.end(),
                     [](const RunRecord *Left, const RunRecord *Right) {
                       return Left->Start < Right->Start;
                     });
    checkTask(List, Found);
  }
  for (const JobRecord &Job : Record.Jobs) {
    checkJob(Job, Runs, Record.MaxAttempts, Found);
  }
  for (const std::string &End : Record.EntryEnds) {
    Found.push_back({Rule::EntryEnded, "", End});
  }
  return Found;
}

} // namespace balsamlatch::soak
