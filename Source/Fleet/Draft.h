/// \file
/// The next value of the ledger while it is being made. All checks read the
/// draft itself, which is written only over the version it was made from.

#ifndef BALSAMLATCH_FLEET_DRAFT_H
#define BALSAMLATCH_FLEET_DRAFT_H

#include "HostLifecycle.h"
#include "balsamlatch/Fleet/Controller.h"

#include <optional>
#include <vector>

namespace balsamlatch::fleet {

class Draft {
public:
  /// \p From must outlive the draft until the draft is changed.
  Draft(const Ledger &From, std::uint64_t Version)
      : Base(&From), BaseVersion(Version) {}

  const Ledger &value() const { return Own ? *Own : *Base; }
  std::uint64_t baseVersion() const { return BaseVersion; }
  bool changed() const { return Own.has_value(); }

  /// The host's record, or null.
  const HostRecord *find(const HostName &Host) const;

  /// Changes the host's state, once in a draft. FailedPrecondition: not legal
  /// now, nothing is changed. NotFound: no such host.
  absl::Status change(const HostName &Host, HostChange Change);

  /// The record for changes other than of its state. The host must be there.
  HostRecord &edit(const HostName &Host);
  /// The whole for changes other than to hosts.
  Ledger &editWhole();

  void add(const HostName &Host, HostRecord Record);
  void remove(const HostName &Host);

  /// A line for the log once the draft is written.
  void note(const HostName &Host, std::string Reason, unsigned RuleLine,
            boost::json::object Details);
  std::vector<LogFleetDecision> takeNotes() { return std::move(Notes); }

private:
  Ledger &own();

  const Ledger *Base;
  // Copied from Base by the first change: most drafts stay unchanged.
  std::optional<Ledger> Own;
  // Invariant: the draft is written only over this version.
  std::uint64_t BaseVersion;
  std::vector<LogFleetDecision> Notes;
};

} // namespace balsamlatch::fleet

#endif // BALSAMLATCH_FLEET_DRAFT_H
