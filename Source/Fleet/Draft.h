/// \file
/// A draft of the next ledger. All checks read the draft itself, and it is
/// written only over the ledger version that it was made from.

#ifndef BALSAMLATCH_FLEET_DRAFT_H
#define BALSAMLATCH_FLEET_DRAFT_H

#include "HostLifecycle.h"
#include "balsamlatch/Fleet/Controller.h"

#include <optional>
#include <vector>

namespace balsamlatch::fleet {

/// The next ledger while it is drafted, with the log lines of its changes.
class Draft {
public:
  /// \p SourceLedger must outlive the draft until the draft is first changed.
  Draft(const Ledger &SourceLedger, std::uint64_t Version)
      : BaseLedger(&SourceLedger), BaseVersion(Version) {}

  const Ledger &value() const {
    return ChangedLedger ? *ChangedLedger : *BaseLedger;
  }
  std::uint64_t baseVersion() const { return BaseVersion; }
  bool changed() const { return ChangedLedger.has_value(); }

  /// The host's record, or null if the ledger has no such host.
  const HostRecord *find(const HostName &Host) const;

  /// Changes the host's state, at most once per draft. FailedPrecondition if
  /// the change isn't legal now: nothing is changed. NotFound if there is no
  /// such host.
  absl::Status change(const HostName &Host, HostChange Change);

  /// The record, for changes except of the state. The host must exist.
  HostRecord &edit(const HostName &Host);
  /// The ledger, for changes except of hosts.
  Ledger &editLedger();

  void add(const HostName &Host, HostRecord Record);
  void remove(const HostName &Host);

  /// Adds a log line that is emitted once the draft is written.
  void addLogLine(const HostName &Host, std::string Reason, unsigned RuleLine,
                  boost::json::object Details);
  std::vector<LogFleetDecision> takeLogLines() { return std::move(LogLines); }

private:
  Ledger &mutableLedger();

  const Ledger *BaseLedger;
  // Copied from BaseLedger at the first change, because most drafts stay
  // unchanged.
  std::optional<Ledger> ChangedLedger;
  // The only version that the draft may replace.
  std::uint64_t BaseVersion;
  std::vector<LogFleetDecision> LogLines;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_DRAFT_H
