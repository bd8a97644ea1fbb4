/// \file
/// The latest decisions of this entry, kept in bounded memory so that
/// operators can ask why something happened.

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
  WallTime At{};
  /// Order of the decisions of this process.
  std::uint64_t Sequence = 0;
  /// The request or host.
  std::string Subject;
  /// Stable code with a page in Help/reason.
  std::string Reason;
  /// Line of the rule that drove it; 0: none.
  unsigned RuleLine = 0;
  RulesVersion Rules;
  std::uint64_t LedgerVersion = 0;
  boost::json::object Details;
};

/// Thread safe.
class DecisionHistory {
public:
  explicit DecisionHistory(std::size_t Capacity);

  /// Keeps a decision; the oldest one goes when the memory is full.
  void add(Decision Made);

  /// Decisions about the subject, oldest first. A host's story has the latest
  /// decisions about requests whose details name it, too.
  std::vector<Decision> about(std::string_view Subject) const;

private:
  mutable std::mutex Lock;
  // Invariant: in the order of their sequence.
  boost::circular_buffer<Decision> Kept;
  std::uint64_t NextSequence = 1;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DECISIONHISTORY_H
