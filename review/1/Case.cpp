/// \file
/// More than 500 tasks end on one worker while the store is down. The ends
/// that the worker cannot list yet must not be taken for lost runs.

#include "Bench.h"

using namespace review;

int main() {
  Bench Platform(1, "TWICE: ends beyond the 500 that a worker lists");
  constexpr unsigned TaskCount = 600;
  constexpr int StoreDownMs = 4500;
  const std::string Id = "00000000000000a1";
  const json::array Services{
      json::object{{"name", "svc"}, {"rejects_overload", true}}};
  const json::array Routes{json::object{{"name", "queue"},
                                        {"host", "jobs.example"},
                                        {"prefix", "/queue/"},
                                        {"kind", "non_idempotent"},
                                        {"timeout_ms", 3000},
                                        {"latency_target_ms", 600},
                                        {"priority", 0},
                                        {"service", "svc"},
                                        {"max_attempts", 2},
                                        {"stretch", 1.6}}};
  for (const char *Name : {"1", "2", "3"}) {
    Worker::Options Values;
    Values.Id = std::string("i-") + Name;
    Values.Machine = std::string("m-") + Name;
    Values.Service = "svc";
    Platform.addWorker(Values);
  }
  Platform.putConfig(1, Routes, Services);
  Platform.startEntries(3);
  Bench::sleepMs(2000);

  JobInfo Job;
  // The tasks end one after the other, from 4.0 to 6.4 s after their start.
  Job.Spec = "ms=4000 apart=4";
  Job.Steps = {step(TaskCount, 100, 64, 5000)};
  if (!Platform.submit(0, "/queue/", Id, Job)) {
    Platform.cannotRun("the job was not accepted");
  }
  if (!Platform.waitFor(4000, [&] {
        return Platform.on([&] { return Platform.Runs.size(); }) >= TaskCount;
      })) {
    Platform.cannotRun("the tasks were not all started within 4 s");
  }
  Platform.record().line("all tasks are started");
  if (Platform.trouble()) {
    // Down while the tasks end.
    const std::int64_t FirstStart =
        Platform.on([&] { return Platform.Runs.front().StartedAt; });
    Bench::sleepMs(static_cast<int>(
        std::max<std::int64_t>(0, FirstStart + 3000 - nowMs())));
    Platform.on([&] { Platform.Meta->setDown(true); });
    Bench::sleepMs(StoreDownMs);
    Platform.on([&] { Platform.Meta->setDown(false); });
  }
  Platform.waitFor(
      30'000, [&] { return Platform.state(1, "/queue/", Id) == "completed"; });
  Bench::sleepMs(8000);
  const std::vector<Run> Runs = Platform.on([&] { return Platform.Runs; });
  const std::vector<std::string> Found = findDoubleRuns(Runs);
  for (const std::string &Line : Found) {
    Platform.record().line("TWICE: " + Line);
  }
  Platform.finish(!Found.empty(), std::to_string(Found.size()) + " tasks of " +
                                      std::to_string(TaskCount) + " ran twice");
}
