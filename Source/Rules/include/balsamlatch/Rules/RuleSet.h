/// \file
/// Rules as immutable values. The parser creates them from the operators' text;
/// placement and fleet decisions read them.

#ifndef BALSAMLATCH_RULES_RULESET_H
#define BALSAMLATCH_RULES_RULESET_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamlatch {

/// The place of a rule in the text, and who requested it.
struct RuleOrigin {
  /// Line in the rules text, from 1.
  unsigned Line = 0;
  /// The comment of the line, which names who requested the rule.
  std::string AskedBy;

  auto operator<=>(const RuleOrigin &) const = default;
};

/// How many hosts may be away at once: a share of the hosts, or a number.
struct AwayBudget {
  enum class Kind { Hosts, Percent };
  Kind Measure = Kind::Hosts;
  std::uint32_t Amount = 0;

  /// Number of hosts that may be away among \p Members, rounded down.
  std::uint32_t allowed(std::uint32_t Members) const;

  auto operator<=>(const AwayBudget &) const = default;
};

/// The resources of a worker that a task occupies while it runs.
struct TaskSize {
  std::uint32_t MilliCores = 0;
  std::uint32_t MemoryMiB = 0;
  std::uint32_t Accelerators = 0;

  auto operator<=>(const TaskSize &) const = default;
};

/// A group of hosts that runs certain jobs. Each host belongs to one pool.
struct PoolRule {
  PoolName Pool;
  /// Whether this is the spare pool, which lends capacity to other pools.
  bool Spare = false;
  AwayBudget Away;
  /// Number of hosts the pool should have; the spare pool returns to it.
  std::uint32_t Hosts = 0;
  /// The total resources of one worker of the pool.
  TaskSize WorkerSize;
  RuleOrigin Origin;

  auto operator<=>(const PoolRule &) const = default;
};

enum class JobClass { Prompt, Patient };

/// A kind of work that callers request.
struct JobRule {
  JobName Job;
  PoolName Pool;
  JobClass Class = JobClass::Prompt;
  /// Maximum time from the arrival of a request to its complete answer.
  Duration Deadline{};
  /// Whether it may run more than once.
  bool Idempotent = false;
  /// Declared size and run time; the actual values may differ widely.
  TaskSize Size;
  Duration RunTime{};
  /// Whether bursts of this job may run on the spare pool's workers.
  bool MaySpill = false;
  RuleOrigin Origin;

  auto operator<=>(const JobRule &) const = default;
};

/// The share of a pool that a team may use while others wait.
struct QuotaRule {
  TeamName Team;
  PoolName Pool;
  /// Slots that the team may hold at once while another team waits.
  std::uint32_t Slots = 0;
  RuleOrigin Origin;

  auto operator<=>(const QuotaRule &) const = default;
};

enum class DomainKind { Rack, DataCentre };

/// How many hosts of one failure domain may be away at once, planned.
struct DomainRule {
  DomainKind Kind = DomainKind::Rack;
  AwayBudget Away;
  RuleOrigin Origin;

  auto operator<=>(const DomainRule &) const = default;
};

/// A daily window, as offsets from midnight UTC. It may pass midnight.
struct DailyWindow {
  Duration From{};
  Duration To{};

  auto operator<=>(const DailyWindow &) const = default;
};

/// How often each host is maintained, and when.
struct MaintenanceRule {
  Duration Period{};
  /// Empty: at any time.
  std::vector<DailyWindow> Windows;
  /// A wave stops when more than this share of its hosts fails to come back.
  std::uint32_t StopPercent = 0;
  RuleOrigin Origin;

  auto operator<=>(const MaintenanceRule &) const = default;
};

/// The relative cost of one move and of one idle host hour.
struct WeightRule {
  std::uint32_t Moves = 1;
  std::uint32_t Buffer = 1;
  RuleOrigin Origin;

  auto operator<=>(const WeightRule &) const = default;
};

/// One of the two co-owners, who must both sign each change.
struct OwnerRule {
  OwnerName Owner;
  /// Raw Ed25519 public key, as 64 hexadecimal digits.
  std::string PublicKey;
  RuleOrigin Origin;

  auto operator<=>(const OwnerRule &) const = default;
};

/// All rules of one version. Immutable after construction; shared between
/// threads.
struct RuleSet {
  RulesVersion Version;
  std::map<PoolName, PoolRule> Pools;
  std::map<JobName, JobRule> Jobs;
  std::vector<QuotaRule> Quotas;
  std::vector<DomainRule> Domains;
  MaintenanceRule Maintenance;
  WeightRule Weights;
  // Invariant of a checked set: exactly two owners with different keys.
  std::vector<OwnerRule> Owners;

  /// The job's rule, or null.
  const JobRule *job(const JobName &Job) const;
  /// The pool's rule, or null.
  const PoolRule *pool(const PoolName &Pool) const;
  /// The team's quota in the pool, or null when it has none.
  const QuotaRule *quota(const TeamName &Team, const PoolName &Pool) const;

  bool operator==(const RuleSet &) const = default;
};

using RuleSetPtr = std::shared_ptr<const RuleSet>;

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_RULESET_H
