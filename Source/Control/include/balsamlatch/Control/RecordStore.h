/// \file
/// The store that keeps what must last: ordered keys, transactions under
/// conditions, leases and watches. An adapter carries the calls out.

#ifndef BALSAMLATCH_CONTROL_RECORDSTORE_H
#define BALSAMLATCH_CONTROL_RECORDSTORE_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::control {

struct StoredItem {
  std::string Key;
  std::string Value;
  /// Of its last change; rises with each change in the store.
  std::uint64_t Revision = 0;
  /// The lease that it goes with; 0 for none.
  std::uint64_t Lease = 0;

  auto operator<=>(const StoredItem &) const = default;
};

/// The key was last changed at the revision; 0: it doesn't exist.
struct Condition {
  std::string Key;
  std::uint64_t Revision = 0;

  auto operator<=>(const Condition &) const = default;
};

struct Write {
  std::string Key;
  std::string Value;
  std::uint64_t Lease = 0;

  auto operator<=>(const Write &) const = default;
};

/// All of it happens if all conditions hold, otherwise nothing.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
  std::vector<std::string> Removals;

  auto operator<=>(const Transaction &) const = default;
};

/// Most conditions, writes and removals of one transaction together.
inline constexpr std::size_t MaxTransactionEntries = 32;

/// Replies carry a status:
/// - OK;
/// - Aborted: a condition didn't hold; nothing was written;
/// - NotFound: no such lease;
/// - OutOfRange: the changes after the revision are no longer known;
/// - Unavailable: certainly nothing was done;
/// - DeadlineExceeded: no answer; a write may have been, or may yet be, done.
struct TransactionReply {
  absl::Status Status;
  /// Of the write; all its keys have it.
  std::uint64_t Revision = 0;
  /// After Aborted: the keys of the conditions that exist, as they are.
  std::vector<StoredItem> Found;
};

struct PageReply {
  absl::Status Status;
  std::vector<StoredItem> Items;
  bool HasMore = false;
  /// The store's revision when the page was read.
  std::uint64_t Revision = 0;
};

struct Change {
  std::string Key;
  /// Unset when the key was removed.
  std::optional<StoredItem> Item;
};

struct ChangesReply {
  absl::Status Status;
  std::vector<Change> Changes;
  /// Where the next watch continues.
  std::uint64_t Revision = 0;
};

struct LeaseReply {
  absl::Status Status;
  std::uint64_t Lease = 0;
  Duration TimeToLive{};
};

/// Callbacks run once, on the caller's event loop.
class RecordStore {
public:
  virtual ~RecordStore() = default;

  /// Keys with the prefix, in order, after \p After if it isn't empty.
  virtual void list(const std::string &Prefix, const std::string &After,
                    std::function<void(PageReply)> Done) = 0;
  /// Changes after the revision; waits up to \p Wait for the first.
  virtual void watch(const std::string &Prefix, std::uint64_t After,
                     Duration Wait, std::function<void(ChangesReply)> Done) = 0;
  virtual void commit(Transaction What,
                      std::function<void(TransactionReply)> Done) = 0;
  virtual void grantLease(Duration TimeToLive,
                          std::function<void(LeaseReply)> Done) = 0;
  virtual void keepLease(std::uint64_t Lease,
                         std::function<void(LeaseReply)> Done) = 0;
  virtual void endLease(std::uint64_t Lease) = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_RECORDSTORE_H
