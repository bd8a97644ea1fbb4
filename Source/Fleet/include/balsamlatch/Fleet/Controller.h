/// \file
/// The fleet controller: maintenance waves, drains, moves and recovery, as a
/// state machine without I/O. Several controllers may run at once: the ledger's
/// compare-and-swap guarantees the budgets, and the lease only avoids duplicate
/// work.

#ifndef BALSAMLATCH_FLEET_CONTROLLER_H
#define BALSAMLATCH_FLEET_CONTROLLER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Fleet/Budget.h"
#include "balsamlatch/Fleet/Ledger.h"
#include "balsamlatch/Platform/HostList.h"
#include "balsamlatch/Platform/Store.h"
#include "balsamlatch/Platform/Worker.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace balsamlatch::fleet {

/// Correlates a reply with the action that requested it.
using Ticket = Number<struct TicketTag>;

/// Key of the ledger in the store.
std::string ledgerKey(std::string_view Region);

/// \name Events
/// @{
/// A ledger version was received from a store watch or from a peer.
struct LedgerReceived {
  std::uint64_t Version = 0;
  std::string Text;
};
struct StoreReplied {
  Ticket Of;
  StoreReply Reply;
};
struct HostOrderReplyReceived {
  Ticket Of;
  absl::Status Status;
};
struct HostListingReceived {
  HostListing Listing;
};
struct WorkerReportReceived {
  HostName Host;
  /// OK if Report is set; otherwise why the worker couldn't be asked.
  absl::Status Status;
  WorkerReport Report;
};
/// The ledger version that each live entry acts on, as its heartbeats report
/// it.
struct EntryVersionsReported {
  struct View {
    EntryName Entry;
    std::uint64_t LedgerVersion = 0;

    auto operator<=>(const View &) const = default;
  };
  std::vector<View> Live;
};
struct RulesReceived {
  RuleSetPtr Rules;
};
/// Slots in use and queued in each pool, summed over the entries.
struct DemandReported {
  struct PoolDemand {
    PoolName Pool;
    std::uint32_t SlotsInUse = 0;
    std::uint32_t SlotsQueued = 0;

    auto operator<=>(const PoolDemand &) const = default;
  };
  std::vector<PoolDemand> Pools;
};

enum class OwnerOrderKind { Drain, Return, Move, Halt, Resume };

/// An order that an owner gives on the command line.
struct OwnerOrderReceived {
  std::uint64_t Question = 0;
  OwnerOrderKind Verb = OwnerOrderKind::Drain;
  HostName Host;
  PoolName Pool;
  OwnerName By;
  /// For Drain: the host stays drained until Return. Otherwise it is rebooted
  /// and returns to service by itself.
  bool StayDrained = false;
};
struct FleetTick {};

using FleetEvent =
    std::variant<LedgerReceived, StoreReplied, HostOrderReplyReceived,
                 HostListingReceived, WorkerReportReceived,
                 EntryVersionsReported, RulesReceived, DemandReported,
                 OwnerOrderReceived, FleetTick>;
/// @}

/// \name Actions
/// @{
struct SendStoreRequest {
  Ticket Of;
  StoreRequest Request;
};
struct SendHostOrder {
  Ticket Of;
  HostOrder Order;
};
struct RequestWorkerReport {
  HostName Host;
};
/// The result of an OwnerOrderReceived event. FailedPrecondition says why the
/// order can't be carried out now.
struct AnswerOwnerOrder {
  std::uint64_t Question = 0;
  absl::Status Status;
};
/// One decision, for the log and for explain.
struct LogFleetDecision {
  HostName Host;
  /// Stable reason code, documented in Help/reason, for example "budget-pool".
  std::string Reason;
  unsigned RuleLine = 0;
  boost::json::object Details;
};

using FleetAction =
    std::variant<SendStoreRequest, SendHostOrder, RequestWorkerReport,
                 AnswerOwnerOrder, LogFleetDecision>;
/// @}

struct ControllerOptions {
  EntryName Self;
  std::string Region;
  std::uint64_t Seed = 1;
};

/// Period of FleetTick.
inline constexpr Duration FleetTickPeriod = std::chrono::milliseconds(250);

/// Not thread safe: one thread owns it. Deterministic.
class Controller {
public:
  explicit Controller(const ControllerOptions &Options);
  ~Controller();
  Controller(Controller &&) noexcept;
  Controller &operator=(Controller &&) noexcept;

  /// Handles one event and returns the resulting actions. \p Now is monotonic
  /// and used for leases and timeouts; \p Wall is used for timestamps and
  /// maintenance periods.
  std::vector<FleetAction> handle(const FleetEvent &Event, Instant Now,
                                  WallTime Wall);

  /// The latest ledger received and its version; version 0 if none.
  const Ledger &ledger() const;
  std::uint64_t ledgerVersion() const;

  /// Why each host's operation is blocked; the empty name holds the blocker of
  /// recovery. Empty unless this controller holds the lease.
  const HostBlockers &blockers() const;

  /// Hosts that each pool needs for its lasting demand, for the plan.
  const RequiredHostCounts &requiredHosts() const;

  /// Whether this controller holds the lease as far as it knows.
  bool leads() const;

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_CONTROLLER_H
