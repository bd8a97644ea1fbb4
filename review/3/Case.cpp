/// \file
/// A route is removed while a job of it fails. The job must not be started more
/// often than max_attempts allows.

#include "Bench.h"

using namespace review;

namespace {

json::object makeRoute(const std::string &Name) {
  return {{"name", Name},
          {"host", "jobs.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", "non_idempotent"},
          {"timeout_ms", 3000},
          {"latency_target_ms", 600},
          {"priority", 0},
          {"service", "svc"},
          {"max_attempts", 2},
          {"stretch", 1.6}};
}

} // namespace

int main() {
  Bench Platform(3, "BUDGET: a failing job whose route was removed");
  const std::string Id = "00000000000000c1";
  const json::array Services{
      json::object{{"name", "svc"}, {"rejects_overload", true}}};
  for (const char *Name : {"1", "2", "3"}) {
    Worker::Options Values;
    Values.Id = std::string("i-") + Name;
    Values.Machine = std::string("m-") + Name;
    Values.Service = "svc";
    Platform.addWorker(Values);
  }
  Platform.putConfig(1, {makeRoute("stays"), makeRoute("goes")}, Services);
  Platform.startEntries(3);
  Bench::sleepMs(2000);

  JobInfo Job;
  Job.Spec = "ms=1500 fails=1";
  Job.Steps = {step(1, 2000, 1024, 1500)};
  if (!Platform.submit(0, "/goes/", Id, Job)) {
    Platform.cannotRun("the job was not accepted");
  }
  if (!Platform.waitFor(3000, [&] {
        return !Platform.on([&] { return Platform.Runs.empty(); });
      })) {
    Platform.cannotRun("the task was not started within 3 s");
  }
  json::object Changed = makeRoute("stays");
  Changed["timeout_ms"] = 2900;
  json::array Routes{Changed};
  if (!Platform.trouble()) {
    Routes.push_back(makeRoute("goes"));
  }
  Platform.putConfig(4, Routes, Services);
  Bench::sleepMs(15'000);
  if (!Platform.trouble()) {
    Platform.record().line("state: " + Platform.state(1, "/goes/", Id));
  }
  const std::vector<Run> Runs = Platform.on([&] { return Platform.Runs; });
  const std::vector<std::string> Found = findExcessRuns(Runs, 2);
  for (const std::string &Line : Found) {
    Platform.record().line("BUDGET: " + Line);
  }
  Platform.finish(!Found.empty(), std::to_string(Runs.size()) +
                                      " starts of a task that may fail twice");
}
