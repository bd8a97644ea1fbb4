/// \file
/// The operator's configuration of queues and of the pools that run their jobs,
/// and the registrations of the workers.

#ifndef BALSAMLATCH_DISPATCH_DEPLOYMENT_H
#define BALSAMLATCH_DISPATCH_DEPLOYMENT_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Jobs/JobEvents.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamlatch::dispatch {

using jobs::JobId;
using jobs::PlacementPolicy;
using jobs::QueueName;
using jobs::Resources;
using jobs::SchedulingTerms;
using jobs::TaskRef;
using jobs::WorkerInstance;

/// A queue: which requests it takes, and how their jobs are scheduled.
struct Queue {
  QueueName Name;
  /// The queue takes requests whose Host header equals Host and whose path
  /// begins with Prefix; the longest prefix wins.
  std::string Host;
  std::string Prefix;
  PoolName Pool;
  /// Timeout of a caller's request.
  Duration Timeout{};
  SchedulingTerms Terms;

  auto operator<=>(const Queue &) const = default;
};

/// A pool of hosts.
struct Pool {
  PoolName Name;
  /// Hosts in the pool are switched off and cost nothing.
  bool Standby = false;
  /// The pool's workers refuse runs that exceed their capacity.
  bool EnforcesCapacity = true;

  auto operator<=>(const Pool &) const = default;
};

/// Where a job runs, and on which terms. Refers to the configuration or to the
/// job.
struct JobPlacement {
  const PoolName &Pool;
  const SchedulingTerms &Terms;
};

/// A version of the operator's configuration. Version 0 means that there is
/// none.
struct Deployment {
  std::uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Pool> Pools;
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;
  Duration HeaderTimeout{};
  Duration IdleTimeout{};

  /// Returns the queue for a request, or null.
  const Queue *match(std::string_view Host, std::string_view Path) const;
  const Queue *find(const QueueName &Name) const;
  const Pool *find(const PoolName &Name) const;
  /// Returns the pool and the terms of the job's queue, or those recorded with
  /// the job if the queue was removed.
  JobPlacement placementOf(const jobs::JobAccepted &Job) const;

  auto operator<=>(const Deployment &) const = default;
};

/// Finds the placements of many jobs in one configuration, each queue once: a
/// configuration may have thousands of queues.
class PlacementLookup {
public:
  /// \p Configuration must outlive the lookup and not change.
  explicit PlacementLookup(const Deployment &Configuration)
      : Config(Configuration) {}

  JobPlacement placementOf(const jobs::JobAccepted &Job);

private:
  const Deployment &Config;
  // Null for a removed queue.
  std::unordered_map<QueueName, const Queue *> QueuesByName;
};

/// Bounds of the time allowed for a worker's reply to an order.
inline constexpr Duration MinReplyTimeout = std::chrono::milliseconds(400);
inline constexpr Duration MaxReplyTimeout = std::chrono::milliseconds(1600);

/// Where a worker takes orders.
struct WorkerAddress {
  std::string Ip;
  std::uint16_t Port = 0;
  /// The intended worker; another worker at the address refuses the order.
  std::string WorkerId;
  /// An order without a reply within this time counts as unanswered; that of a
  /// long poll is added.
  Duration ReplyTimeout = MinReplyTimeout;

  auto operator<=>(const WorkerAddress &) const = default;
};

/// The registration of a worker.
struct WorkerRecord {
  WorkerInstance Instance;
  PoolName Pool;
  WorkerAddress Address;
  DataCentreName DataCentre;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;

  auto operator<=>(const WorkerRecord &) const = default;
};

/// A change of a worker's registration.
struct WorkerChange {
  std::string WorkerId;
  /// Unset if the worker is no longer registered.
  std::optional<WorkerRecord> Record;

  auto operator<=>(const WorkerChange &) const = default;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_DEPLOYMENT_H
