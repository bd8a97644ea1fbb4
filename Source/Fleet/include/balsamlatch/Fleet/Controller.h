/// \file
/// The fleet controller: maintenance waves, drains, moves and recovery, as a
/// state machine without I/O. Any number may run at once; the ledger's
/// compare-and-swap keeps the promises, the lease only saves work.

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

/// Matches a reply to the action that asked for it.
using Ticket = Number<struct TicketTag>;

/// Key of the ledger in the store.
std::string ledgerKey(std::string_view Region);

/// \name Events
/// @{
/// A ledger version became known, by a watch or from a peer.
struct LedgerSeen {
  std::uint64_t Version = 0;
  std::string Text;
};
struct StoreReplied {
  Ticket Of;
  StoreReply Reply;
};
struct OrderReplied {
  Ticket Of;
  absl::Status Status;
};
struct ListingSeen {
  HostListing Listing;
};
struct WorkerSeen {
  HostName Host;
  /// Empty status OK with a report, or the fault of asking for one.
  absl::Status Status;
  WorkerReport Report;
};
/// Which ledger version each live entry acts on, by its own heartbeats.
struct EntriesSeen {
  struct View {
    EntryName Entry;
    std::uint64_t LedgerVersion = 0;

    auto operator<=>(const View &) const = default;
  };
  std::vector<View> Live;
};
struct RulesSeen {
  RuleSetPtr Rules;
};
/// Slots that the pools need, by the entries' counts.
struct DemandSeen {
  struct Need {
    PoolName Pool;
    std::uint32_t SlotsInUse = 0;
    std::uint32_t SlotsQueued = 0;

    auto operator<=>(const Need &) const = default;
  };
  std::vector<Need> Pools;
};

enum class OperatorVerb { Drain, Return, Move, Halt, Resume };

/// An owner's order from the command line.
struct OperatorAsked {
  std::uint64_t Question = 0;
  OperatorVerb Verb = OperatorVerb::Drain;
  HostName Host;
  PoolName Pool;
  OwnerName By;
  /// For Drain: stay drained until Return. Else the host is rebooted and comes
  /// back by itself.
  bool StayDrained = false;
};
struct FleetTick {};

using FleetEvent = std::variant<LedgerSeen, StoreReplied, OrderReplied,
                                ListingSeen, WorkerSeen, EntriesSeen, RulesSeen,
                                DemandSeen, OperatorAsked, FleetTick>;
/// @}

/// \name Actions
/// @{
struct SubmitToStore {
  Ticket Of;
  StoreRequest Request;
};
struct GiveOrder {
  Ticket Of;
  HostOrder Order;
};
struct AskWorker {
  HostName Host;
};
/// The answer to OperatorAsked. FailedPrecondition says why not now.
struct AnswerOperator {
  std::uint64_t Question = 0;
  absl::Status Status;
};
/// One line for the log and for explain.
struct LogFleetDecision {
  HostName Host;
  /// Stable code with a page in Help/reason, for example "budget-full".
  std::string Reason;
  unsigned RuleLine = 0;
  boost::json::object Details;
};

using FleetAction = std::variant<SubmitToStore, GiveOrder, AskWorker,
                                 AnswerOperator, LogFleetDecision>;
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

  /// Takes one event and returns what to do. \p Now is monotonic and decides
  /// about leases and waits; \p Wall dates records and maintenance periods.
  std::vector<FleetAction> handle(const FleetEvent &Happened, Instant Now,
                                  WallTime Wall);

  /// The latest ledger known here and its version; 0: none yet.
  const Ledger &ledger() const;
  std::uint64_t ledgerVersion() const;

  /// What each host that is under way waits for, and under the empty name what
  /// recovery waits for. Empty unless this controller leads.
  const HostWaits &waits() const;

  /// Hosts that each pool's lasting demand takes, for the plan.
  const HostsNeeded &needed() const;

  /// Whether this controller believes that it holds the lease.
  bool leads() const;

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_CONTROLLER_H
