/// \file
/// The chain of rules in the store, as commands read and extend it. Each write
/// is a compare-and-swap; an answer that was lost is settled by reading back
/// whether the change, which no other can equal, is there.

#ifndef BALSAMLATCH_TOOL_CHAINSTORE_H
#define BALSAMLATCH_TOOL_CHAINSTORE_H

#include "StoreCaller.h"

#include "balsamlatch/Rules/Landing.h"
#include "balsamlatch/Rules/Proposals.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch {

/// Statuses besides those of planLanding: Unavailable, nothing was written;
/// DeadlineExceeded, it isn't known whether something was written.
class ChainStore {
public:
  /// Without trusted keys, the owners that the store names are taken at their
  /// word.
  ChainStore(StoreCaller &StoreToCall, std::optional<OwnerKeys> TrustedKeys);

  /// NotFound if no chain was started.
  absl::StatusOr<ChainView> view();

  /// Writes the first version. AlreadyExists if there is a chain and
  /// \p Replace is false.
  absl::StatusOr<RulesVersion>
  start(bool Replace,
        const std::function<absl::StatusOr<ChainView>(RulesVersion)> &Make);

  /// Lands the change, or finds that it has landed.
  absl::StatusOr<RulesVersion> land(const SignedChange &Subject,
                                    const PrivateKey &Lander);

  absl::StatusOr<Proposals> proposals();

  /// Changes the list of proposals. \p Edit may be called again and again, and
  /// must do nothing to a list that it has changed already.
  absl::StatusOr<Proposals>
  editProposals(const std::function<absl::Status(Proposals &)> &Edit);

  /// The text of an earlier version. NotFound if the log doesn't reach back.
  absl::StatusOr<std::string> textOf(const ChainView &View, RulesVersion At);

  /// The last changes, oldest first.
  absl::StatusOr<std::vector<LandedChange>> history(const ChainView &View,
                                                    std::size_t Most);

private:
  struct Loaded {
    ChainView View;
    std::uint64_t HeadVersion = 0;
    std::uint64_t BaseVersion = 0;
  };

  absl::StatusOr<StoreEntry> read(std::string_view Key);
  /// True: written. False: look again, the key has changed or no answer came.
  absl::StatusOr<bool> swap(std::string_view Key, std::uint64_t Expected,
                            const std::string &Value);
  absl::StatusOr<Loaded> load();
  absl::StatusOr<bool> tryLanding(const Loaded &Present,
                                  const LandingPlan &Plan);
  absl::Status writeRetired(const std::vector<RetiredChange> &Retired);
  absl::Status addToLog(const RetiredChange &Entry);
  absl::StatusOr<RetiredChange> logEntry(RulesVersion Version);

  StoreCaller &Caller;
  std::optional<OwnerKeys> Trusted;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_CHAINSTORE_H
