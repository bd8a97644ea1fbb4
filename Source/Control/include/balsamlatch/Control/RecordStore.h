/// \file
/// Interface of the durable key-value store: ordered keys, conditional
/// transactions, leases and watches. An adapter implements the calls.

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
  /// The store's revision at the item's last change; it increases with each
  /// change in the store.
  std::uint64_t Revision = 0;
  /// The lease whose end removes the item; 0 for none.
  std::uint64_t Lease = 0;

  auto operator<=>(const StoredItem &) const = default;
};

/// Holds if the key's last change was at the revision; 0 requires that the key
/// doesn't exist.
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

/// Atomic: all writes and removals are applied if all conditions hold,
/// otherwise none.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
  std::vector<std::string> Removals;

  auto operator<=>(const Transaction &) const = default;
};

/// Limit of conditions, writes and removals of one transaction in total.
inline constexpr std::size_t MaxTransactionEntries = 32;

/// Replies carry a status:
/// - OK;
/// - Aborted: a condition didn't hold; nothing was written;
/// - NotFound: the lease doesn't exist;
/// - OutOfRange: the history after the revision is no longer available;
/// - Unavailable: the call certainly had no effect;
/// - DeadlineExceeded: no reply; a write may have been or may yet be applied.
struct TransactionReply {
  absl::Status Status;
  /// Revision of the transaction, shared by all keys that it wrote.
  std::uint64_t Revision = 0;
  /// After Aborted: the current items of the conditions' keys that exist.
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
  /// Revision from which the next watch continues.
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

  /// Lists a page of items with the prefix in key order, after \p AfterKey
  /// unless it is empty.
  virtual void list(const std::string &Prefix, const std::string &AfterKey,
                    std::function<void(PageReply)> Callback) = 0;
  /// Returns changes after the revision; waits up to \p Timeout for the first
  /// one.
  virtual void watch(const std::string &Prefix, std::uint64_t AfterRevision,
                     Duration Timeout,
                     std::function<void(ChangesReply)> Callback) = 0;
  virtual void commit(Transaction Request,
                      std::function<void(TransactionReply)> Callback) = 0;
  virtual void grantLease(Duration TimeToLive,
                          std::function<void(LeaseReply)> Callback) = 0;
  virtual void renewLease(std::uint64_t Lease,
                          std::function<void(LeaseReply)> Callback) = 0;
  virtual void revokeLease(std::uint64_t Lease) = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_RECORDSTORE_H
