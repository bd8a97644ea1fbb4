/// \file
/// The latest decisions of this entry, kept in a ring buffer for the explain
/// page.

#ifndef BALSAMLATCH_DAEMON_DECISIONHISTORY_H
#define BALSAMLATCH_DAEMON_DECISIONHISTORY_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"

#include <boost/circular_buffer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::daemon {

/// One decision about a request or a host.
struct Decision {
  WallTime Time{};
  /// Number of the decision within this process, ascending.
  std::uint64_t Sequence = 0;
  /// The request or host.
  std::string Subject;
  /// Stable code with a page in Help/reason.
  std::string Reason;
  /// Line of the rule that caused it; 0 if none.
  unsigned RuleLine = 0;
  RulesVersion Rules;
  std::uint64_t LedgerVersion = 0;
  boost::json::object Details;
};

/// A ring buffer of the latest decisions. Thread safe.
class DecisionHistory {
public:
  explicit DecisionHistory(std::size_t Capacity);

  /// Adds a decision; removes the oldest one if the buffer is full.
  void add(Decision NewDecision);

  /// Returns the latest decisions about a request or host, oldest first. For a
  /// host this includes the latest decisions about requests that name it in
  /// their details.
  std::vector<Decision> decisionsFor(std::string_view Subject) const;

private:
  mutable std::mutex Lock;
  // Invariant: ordered by sequence.
  boost::circular_buffer<Decision> Decisions;
  std::uint64_t NextSequence = 1;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DECISIONHISTORY_H
