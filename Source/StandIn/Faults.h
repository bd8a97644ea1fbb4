/// \file
/// The faults that the stand-ins can be told to show, and their JSON form.

#ifndef BALSAMLATCH_STANDIN_FAULTS_H
#define BALSAMLATCH_STANDIN_FAULTS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string_view>

namespace balsamlatch::standin {

/// Faults of one service of the platform: the store, the list or the orders.
struct ServiceFaults {
  /// Refuses each call without acting.
  bool Down = false;
  /// Never answers, and doesn't act.
  bool Hang = false;
  /// Acts and answers only after this time.
  Duration Delay{};
  /// Writes still to come whose answers are lost after taking effect.
  std::uint64_t LoseAnswers = 0;
  /// Share of writes whose answers are lost after taking effect.
  double LoseShare = 0;
};

enum class WorkerMode {
  Healthy,
  /// Refuses every task.
  Refuse,
  /// Starts tasks and never ends them before their leases run out.
  Hang,
  /// Is gone: running tasks stop, connections are refused.
  Die,
  /// Every task fails as soon as it starts.
  Fail,
  /// Answers with less than the whole body.
  Cut,
  /// Answers in the name of another task.
  Cross,
  /// Answers with altered bytes.
  Garble
};

struct WorkerFaults {
  WorkerMode Mode = WorkerMode::Healthy;
  /// Share of the tasks that the mode strikes.
  double Share = 1;
};

/// One order to the stand-ins; what is absent stays as it is.
struct FaultOrder {
  std::optional<ServiceFaults> Store;
  std::optional<ServiceFaults> List;
  std::optional<ServiceFaults> Orders;
  /// The list's lag.
  std::optional<Duration> ListLag;
  std::optional<WorkerFaults> Worker;
  /// The worker meant; empty for every worker.
  HostName Host;
};

/// Reads the body of POST /control/faults. InvalidArgument names the fault.
absl::StatusOr<FaultOrder> parseFaults(std::string_view Body);

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_FAULTS_H
