/// \file
/// The platform's list of hosts, and its orders to hosts. The list lags behind
/// what happens.

#ifndef BALSAMLATCH_PLATFORM_HOSTLIST_H
#define BALSAMLATCH_PLATFORM_HOSTLIST_H

#include "balsamlatch/Base/Address.h"
#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace balsamlatch {

enum class HostRole { Worker, Entry };
enum class HostPresence { Live, Leaving };

/// A host as the platform lists it.
struct ListedHost {
  HostName Host;
  HostRole Role = HostRole::Worker;
  HostPresence Presence = HostPresence::Live;
  Address At;
  RackName Rack;
  DataCentreName DataCentre;
  /// The pool that the platform has it in; empty for an entry host.
  PoolName Pool;

  auto operator<=>(const ListedHost &) const = default;
};

/// The list and when the platform made it, by the platform's own count. A
/// higher generation is newer.
struct HostListing {
  std::uint64_t Generation = 0;
  std::vector<ListedHost> Hosts;

  bool operator==(const HostListing &) const = default;
};

/// What a host can be told to do. Each order is idempotent: repeating it with
/// the same operation identifier has no further effect.
enum class HostOrderKind {
  /// Stop accepting tasks; running ones go on.
  Drain,
  /// Accept tasks again.
  Return,
  /// Reboot now; refused with FailedPrecondition while a task runs.
  Reboot,
  /// Belong to another pool; refused with FailedPrecondition unless drained.
  Assign
};

struct HostOrder {
  HostOrderKind Kind = HostOrderKind::Drain;
  HostName Host;
  /// Identifies the operation for idempotence.
  std::string Operation;
  /// The new pool, for Assign.
  PoolName Pool;

  auto operator<=>(const HostOrder &) const = default;
};

/// The platform's fleet interface. Callbacks run once, on the client's thread.
class HostPlatform {
public:
  using ListCallback = std::function<void(absl::StatusOr<HostListing>)>;
  using OrderCallback = std::function<void(absl::Status)>;

  virtual ~HostPlatform() = default;

  /// Asks for the list if it is newer than \p KnownGeneration; 0 knows none.
  /// A listing of the known generation comes without hosts: nothing changed.
  virtual void list(std::uint64_t KnownGeneration, ListCallback Done) = 0;

  /// Gives an order. DeadlineExceeded means it may have taken effect; it can
  /// be repeated with the same operation identifier.
  virtual void order(HostOrder Order, OrderCallback Done) = 0;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_HOSTLIST_H
