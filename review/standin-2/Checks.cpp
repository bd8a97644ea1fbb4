/// \file
/// Compares the runs of each task with one another.

#include "Checks.h"

#include <fmt/format.h>

namespace balsamlatch::review {

bool hasRunTwice(Site &Play) {
  std::map<std::string, std::vector<const RunSeen *>> ByTask;
  for (const RunSeen &Run : Play.Runs) {
    ByTask[Run.Task].push_back(&Run);
  }
  bool IsBroken = false;
  for (const auto &[Task, Runs] : ByTask) {
    for (const RunSeen *Earlier : Runs) {
      for (const RunSeen *Later : Runs) {
        if (Earlier == Later || Later->StartMs < Earlier->StartMs ||
            (Later->StartMs == Earlier->StartMs && Later->Run < Earlier->Run)) {
          continue;
        }
        const bool IsAfterDone = Earlier->How == "done" && Earlier->IsNoted &&
                                 !Earlier->HasLapsedSince &&
                                 Later->StartMs >= Earlier->EndMs;
        const bool IsAtOnce =
            Earlier->EndMs < 0 || Later->StartMs < Earlier->EndMs;
        if (!IsAfterDone && !IsAtOnce) {
          continue;
        }
        IsBroken = true;
        Play.note(
            "BROKEN",
            {{"rule", "TWICE"},
             {"task", Task},
             {"text",
              fmt::format(
                  "run {} on {} (born {}) {}; run {} was started on {} "
                  "at {} ms",
                  Earlier->Run, Earlier->Worker, Earlier->Born,
                  IsAfterDone
                      ? fmt::format("ended as done at {} ms, which was "
                                    "noted",
                                    Earlier->EndMs)
                      : fmt::format("was running until {} ms", Earlier->EndMs),
                  Later->Run, Later->Worker, Later->StartMs)}});
      }
    }
  }
  return IsBroken;
}

} // namespace balsamlatch::review
