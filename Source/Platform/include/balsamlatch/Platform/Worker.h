/// \file
/// The workers' protocol: tasks run under leases, usage reports lag.

#ifndef BALSAMLATCH_PLATFORM_WORKER_H
#define BALSAMLATCH_PLATFORM_WORKER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Platform/HostList.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace balsamlatch {

/// A task as a worker is asked to run it.
struct TaskOrder {
  /// "<request>/<attempt>", echoed by the worker in its answer.
  std::string Task;
  JobName Job;
  /// The worker stops the task when its lease runs out.
  Duration Lease{};
  std::string Body;

  auto operator<=>(const TaskOrder &) const = default;
};

/// How a try of a request on a worker ended.
enum class TaskEnd {
  /// Whole answer, checked against its identifier and length.
  Answered,
  /// The worker says that it did not start the task.
  Refused,
  /// No byte of the order left this host: it certainly did not run.
  NotSent,
  /// The worker says that the task ran and failed.
  Failed,
  /// No answer, a cut answer, or one of another task: it may have run.
  Lost
};

struct TaskResult {
  TaskEnd End = TaskEnd::Lost;
  /// The answer, when Answered; the worker's reason otherwise.
  std::string Body;

  auto operator<=>(const TaskResult &) const = default;
};

/// Use of one running task, as a worker reports it with a lag.
struct TaskUsage {
  std::string Task;
  JobName Job;
  std::uint32_t MilliCores = 0;
  std::uint32_t MemoryMiB = 0;

  auto operator<=>(const TaskUsage &) const = default;
};

struct WorkerReport {
  bool Draining = false;
  std::uint32_t SlotsInUse = 0;
  std::uint32_t SlotsTotal = 0;
  /// Rises each time that the worker starts.
  std::uint64_t BootCount = 0;
  std::vector<TaskUsage> Running;

  bool operator==(const WorkerReport &) const = default;
};

/// Carries out calls to workers. Callbacks run once, on the client's thread.
class WorkerClient {
public:
  using TaskCallback = std::function<void(TaskResult)>;
  using ReportCallback = std::function<void(absl::StatusOr<WorkerReport>)>;
  using CancelCallback = std::function<void(absl::Status)>;

  virtual ~WorkerClient() = default;

  /// Runs a task; \p Timeout bounds the wait for the whole answer.
  virtual void run(const Address &Worker, TaskOrder Order, Duration Timeout,
                   TaskCallback Done) = 0;

  /// Asks a worker to stop a task. OK: the task no longer runs.
  virtual void cancel(const Address &Worker, const std::string &Task,
                      CancelCallback Done) = 0;

  virtual void report(const Address &Worker, ReportCallback Done) = 0;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_WORKER_H
