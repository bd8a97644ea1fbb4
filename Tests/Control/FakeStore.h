/// \file
/// In-memory store for tests that injects faults: lost replies, delayed writes,
/// unanswered renewals and outages.

#ifndef BALSAMLATCH_TESTS_CONTROL_FAKESTORE_H
#define BALSAMLATCH_TESTS_CONTROL_FAKESTORE_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Control/RecordStore.h"

#include <map>
#include <set>

namespace balsamlatch::control::test {

class FakeStore final : public RecordStore {
public:
  explicit FakeStore(EventLoop &CallbackLoop) : Loop(CallbackLoop) {}

  void list(const std::string &Prefix, const std::string &AfterKey,
            std::function<void(PageReply)> Callback) override;
  void watch(const std::string &Prefix, std::uint64_t AfterRevision,
             Duration Timeout,
             std::function<void(ChangesReply)> Callback) override;
  void commit(Transaction Request,
              std::function<void(TransactionReply)> Callback) override;
  void grantLease(Duration TimeToLive,
                  std::function<void(LeaseReply)> Callback) override;
  void renewLease(std::uint64_t Lease,
                  std::function<void(LeaseReply)> Callback) override;
  void revokeLease(std::uint64_t Lease) override;

  /// Expires the lease and removes its keys.
  void expire(std::uint64_t Lease);
  void put(const std::string &Key, const std::string &Value);

  std::map<std::string, StoredItem> Items;
  /// Number of coming writes that are applied but time out.
  unsigned RepliesToLose = 0;
  /// Number of coming writes that time out and are applied after a later write.
  unsigned WritesToDelay = 0;
  unsigned Lists = 0;
  /// Number of coming lists of journal records that fail.
  unsigned JournalListsToFail = 0;
  /// Number of coming lease renewals that get no reply.
  unsigned RenewalsToIgnore = 0;
  /// Time after which the replies to lease grants and writes arrive.
  Duration GrantReplyDelay = std::chrono::milliseconds(1);
  Duration CommitReplyDelay = std::chrono::milliseconds(1);
  /// All calls are turned down without an effect.
  bool IsUnavailable = false;
  /// Writes time out without an effect.
  bool LosesWrites = false;
  /// Writes of longer values fail.
  std::size_t MaxValueBytes = 1'048'576;
  /// Items on one page of a list reply.
  std::size_t PageSize = 3;
  unsigned Commits = 0;

private:
  TransactionReply apply(const Transaction &Request);

  EventLoop &Loop;
  std::uint64_t Revision = 1;
  std::uint64_t NextLeaseId = 100;
  std::set<std::uint64_t> ActiveLeases;
  std::vector<Transaction> DelayedTransactions;
};

} // namespace balsamlatch::control::test

#endif // BALSAMLATCH_TESTS_CONTROL_FAKESTORE_H
