/// \file
/// What the operator has configured: queues and the pools that run their jobs;
/// and what the workers say of themselves.

#ifndef BALSAMLATCH_DISPATCH_DEPLOYMENT_H
#define BALSAMLATCH_DISPATCH_DEPLOYMENT_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Jobs/JobEvents.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::dispatch {

using jobs::JobId;
using jobs::QueueName;
using jobs::Resources;
using jobs::TaskRef;
using jobs::WorkerLife;

/// A queue's steps may run on some workers only, which a policy service
/// decides, and what its decisions take.
struct PlacementPolicy {
  Duration DecisionTime{};
  Duration TimePerWorker{};

  auto operator<=>(const PlacementPolicy &) const = default;
};

struct Queue {
  QueueName Name;
  /// Requests whose Host header equals Host and whose path begins with Prefix
  /// belong to the queue; the longest prefix wins.
  std::string Host;
  std::string Prefix;
  PoolName Pool;
  /// Longest time that a caller's request may take.
  Duration Timeout{};
  /// A job is on time within Stretch times its longest chain of work and this.
  Duration LatencyObjective{};
  double Stretch = 1;
  /// 0 comes first.
  unsigned Priority = 0;
  /// Failed runs of one task after which its job has failed.
  unsigned MaxAttempts = 1;
  /// Unset: any worker of the pool will do.
  std::optional<PlacementPolicy> Policy;

  auto operator<=>(const Queue &) const = default;
};

struct Pool {
  PoolName Name;
  /// Hosts of the pool are switched off and cost nothing.
  bool Standby = false;
  /// The pool's workers refuse what doesn't fit.
  bool GuardsCapacity = true;

  auto operator<=>(const Pool &) const = default;
};

/// One version of the operator's configuration. Version 0 is none.
struct Deployment {
  std::uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<Pool> Pools;
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;
  Duration HeaderTimeout{};
  Duration IdleTimeout{};

  /// The queue that a request belongs to, or null.
  const Queue *match(std::string_view Host, std::string_view Path) const;
  const Queue *find(const QueueName &Name) const;
  const Pool *find(const PoolName &Name) const;

  auto operator<=>(const Deployment &) const = default;
};

struct WorkerAddress {
  std::string Ip;
  std::uint16_t Port = 0;
  /// The worker that is meant; another one at the address refuses.
  std::string WorkerId;

  auto operator<=>(const WorkerAddress &) const = default;
};

/// What a worker has registered about itself.
struct WorkerRecord {
  WorkerLife Life;
  PoolName Pool;
  WorkerAddress Address;
  DataCentreName DataCentre;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;

  auto operator<=>(const WorkerRecord &) const = default;
};

} // namespace balsamlatch::dispatch

#endif // BALSAMLATCH_DISPATCH_DEPLOYMENT_H
