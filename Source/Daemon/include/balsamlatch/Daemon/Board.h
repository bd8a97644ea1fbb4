/// \file
/// What the threads of the daemon publish about themselves, for the
/// operators' pages. Each part is replaced as a whole.

#ifndef BALSAMLATCH_DAEMON_BOARD_H
#define BALSAMLATCH_DAEMON_BOARD_H

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

/// A value that one thread replaces and others read. Thread safe.
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

/// The decisions thread's part.
struct ServingStanding {
  std::vector<placement::PoolStanding> Pools;
  placement::EngineCounters Counters;
  std::size_t OpenRequests = 0;
  std::size_t OpenAttempts = 0;
};

/// The fleet thread's part.
struct FleetStanding {
  std::shared_ptr<const fleet::Ledger> Ledger;
  std::uint64_t LedgerVersion = 0;
  bool Leads = false;
  std::uint64_t ListingGeneration = 0;
  std::size_t ListedWorkers = 0;
};

/// Another entry, as this one knows it.
struct PeerStanding {
  EntryName Entry;
  std::string State;
  RulesVersion Rules;
  std::uint64_t LedgerVersion = 0;
};

/// Counts of the shell. Never decrease.
struct ShellCounters {
  std::atomic<std::uint64_t> RefusedMalformed = 0;
  std::atomic<std::uint64_t> RefusedFull = 0;
  std::atomic<std::uint64_t> RefusedUnknownJob = 0;
  std::atomic<std::uint64_t> LateAnswers = 0;
  std::atomic<std::uint64_t> CallerGone = 0;
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

struct Board {
  Published<ServingStanding> Serving;
  Published<FleetStanding> Fleet;
  Published<std::vector<PeerStanding>> Peers;
  Published<RuleSetPtr> Rules;
  /// Text of the rules in force, and the base document for peers; null before
  /// the first rules.
  Published<std::shared_ptr<const std::string>> RulesText;
  Published<std::shared_ptr<const std::string>> RulesBase;
  ShellCounters Counters;
  /// Callers may be sent here by the balancer.
  std::atomic<bool> Ready = false;
  std::atomic<bool> Stopping = false;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_BOARD_H
