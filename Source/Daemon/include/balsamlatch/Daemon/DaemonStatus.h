/// \file
/// Status that the threads of the daemon publish for the status and metrics
/// pages. Each part is replaced as a whole.

#ifndef BALSAMLATCH_DAEMON_DAEMONSTATUS_H
#define BALSAMLATCH_DAEMON_DAEMONSTATUS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Placement/Engine.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace balsamlatch::daemon {

/// A value that one thread writes and others read as a copy. Thread safe.
template <typename T> class Published {
public:
  void set(T Value) {
    const std::lock_guard Guard(Lock);
    Current = std::move(Value);
  }

  T get() const {
    const std::lock_guard Guard(Lock);
    return Current;
  }

private:
  mutable std::mutex Lock;
  T Current{};
};

/// Published by the decision thread.
struct EngineStatus {
  std::vector<placement::PoolStatus> Pools;
  placement::EngineCounters Counters;
  std::size_t OpenRequests = 0;
  std::size_t OpenAttempts = 0;
};

/// Published by the fleet thread.
struct FleetStatus {
  std::shared_ptr<const fleet::Ledger> Ledger;
  std::uint64_t LedgerVersion = 0;
  bool IsLeader = false;
  std::uint64_t ListingGeneration = 0;
  std::size_t UsableWorkers = 0;
};

/// A live entry as seen by this one, which is itself among them.
struct PeerStatus {
  EntryName Entry;
  std::string State;
  RulesVersion Rules;
  std::uint64_t LedgerVersion = 0;
};

/// Event counters of the daemon outside the placement engine. They never
/// decrease.
struct DaemonCounters {
  std::atomic<std::uint64_t> RefusedMalformed = 0;
  std::atomic<std::uint64_t> RefusedQueueFull = 0;
  std::atomic<std::uint64_t> RefusedUnknownJob = 0;
  std::atomic<std::uint64_t> LateAnswers = 0;
  std::atomic<std::uint64_t> AbandonedRequests = 0;
  std::atomic<std::uint64_t> StoreCalls = 0;
  std::atomic<std::uint64_t> StoreFaults = 0;
  std::atomic<std::uint64_t> HostOrders = 0;
  std::atomic<std::uint64_t> PeerBytesSent = 0;
  std::atomic<std::uint64_t> PeerBytesReceived = 0;
  std::atomic<std::uint64_t> PeerBatchesRefused = 0;
  std::atomic<std::uint64_t> ClaimsWon = 0;
  std::atomic<std::uint64_t> ClaimsTaken = 0;
  std::atomic<std::uint64_t> ClaimsUnavailable = 0;
};

/// Everything that the threads publish. Thread safe.
struct DaemonStatus {
  Published<EngineStatus> Engine;
  Published<FleetStatus> Fleet;
  Published<std::vector<PeerStatus>> Peers;
  Published<RuleSetPtr> Rules;
  /// Text of the active rules, and the base document that peers may request.
  /// Null before the first rules are loaded.
  Published<std::shared_ptr<const std::string>> RulesText;
  Published<std::shared_ptr<const std::string>> RulesBase;
  DaemonCounters Counters;
  /// Whether the load balancer may route callers to this entry.
  std::atomic<bool> IsReady = false;
  std::atomic<bool> IsStopping = false;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DAEMONSTATUS_H
