/// \file
/// Access of the commands to the chain of rules in the store. Each write is a
/// compare-and-swap. After a write whose reply was lost, the key is read again
/// to find out whether the write was applied; nonces make each change unique.

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

/// Reads and extends the chain of rules. Besides the statuses of planLanding,
/// Unavailable means that the store can't be read or refused a write, and
/// DeadlineExceeded that a write may have been applied.
class ChainStore {
public:
  /// Without trusted keys, the owner keys in the store are trusted.
  ChainStore(StoreCaller &StoreToCall, std::optional<OwnerKeys> TrustedKeys);

  /// The verified chain. NotFound if the store has none.
  absl::StatusOr<ChainView> view();

  /// Writes a new chain and returns its first version: 1, or the next version
  /// after the chain that it replaces. AlreadyExists if there is a chain and
  /// \p Replace is false. \p MakeChain may be called more than once.
  absl::StatusOr<RulesVersion> start(
      bool Replace,
      const std::function<absl::StatusOr<ChainView>(RulesVersion)> &MakeChain);

  /// Adds the fully signed change to the chain and returns its version. Does
  /// nothing if the head holds the change already.
  absl::StatusOr<RulesVersion> land(const SignedChange &Proposal,
                                    const PrivateKey &SigningKey);

  /// The open and closed proposals.
  absl::StatusOr<Proposals> proposals();

  /// Changes the list of proposals and returns the new list. \p Edit is called
  /// once for each attempt and must be idempotent.
  absl::StatusOr<Proposals>
  editProposals(const std::function<absl::Status(Proposals &)> &Edit);

  /// The text of a version. Undoes logged changes for versions before the base;
  /// NotFound if the log doesn't reach back that far.
  absl::StatusOr<std::string> textAtVersion(const ChainView &View,
                                            RulesVersion Version);

  /// The last changes, oldest first: at most \p MaxCount, and no more than the
  /// log holds.
  absl::StatusOr<std::vector<LandedChange>> history(const ChainView &View,
                                                    std::size_t MaxCount);

private:
  /// A verified chain with the store versions of its two documents, which
  /// compare-and-swap expects.
  struct StoredChain {
    ChainView View;
    std::uint64_t HeadVersion = 0;
    std::uint64_t BaseVersion = 0;
  };

  absl::StatusOr<StoreEntry> read(std::string_view Key);
  /// Returns true if the value was written, false if the key has changed or the
  /// reply was lost; the caller then reads again.
  absl::StatusOr<bool> compareAndSwap(std::string_view Key,
                                      std::uint64_t ExpectedVersion,
                                      const std::string &Value);
  /// Reads and verifies head and base. Retries if they were read from different
  /// versions of the chain.
  absl::StatusOr<StoredChain> load();
  /// Writes the plan's documents. Returns false on a conflict.
  absl::StatusOr<bool> tryLanding(const StoredChain &Chain,
                                  const LandingPlan &Plan);
  absl::Status logRetiredChanges(const std::vector<RetiredChange> &Retired);
  absl::Status appendToLog(const RetiredChange &Entry);
  absl::StatusOr<RetiredChange> readLogEntry(RulesVersion Version);

  StoreCaller &Caller;
  std::optional<OwnerKeys> TrustedOwners;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_CHAINSTORE_H
