/// \file
/// A store in memory for tests, with lost, late and refused writes.

#ifndef BALSAMLATCH_TESTS_CONTROL_FAKESTORE_H
#define BALSAMLATCH_TESTS_CONTROL_FAKESTORE_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Control/RecordStore.h"

#include <map>
#include <set>

namespace balsamlatch::control::test {

class FakeStore final : public RecordStore {
public:
  explicit FakeStore(EventLoop &Runner) : Loop(Runner) {}

  void list(const std::string &Prefix, const std::string &After,
            std::function<void(PageReply)> Done) override;
  void watch(const std::string &Prefix, std::uint64_t After, Duration Wait,
             std::function<void(ChangesReply)> Done) override;
  void commit(Transaction What,
              std::function<void(TransactionReply)> Done) override;
  void grantLease(Duration TimeToLive,
                  std::function<void(LeaseReply)> Done) override;
  void keepLease(std::uint64_t Lease,
                 std::function<void(LeaseReply)> Done) override;
  void endLease(std::uint64_t Lease) override;

  /// Removes the lease and its keys, as when it runs out.
  void expire(std::uint64_t Lease);
  void put(const std::string &Key, const std::string &Value);

  std::map<std::string, StoredItem> Items;
  /// Answers of so many writes to come get lost after the write.
  unsigned LoseAnswers = 0;
  /// So many writes to come are lost and carried out after the next ones.
  unsigned DelayWrites = 0;
  /// So many renewals to come are never answered.
  unsigned SilentRenewals = 0;
  bool Away = false;
  /// Items on one page of a listing.
  std::size_t PageItems = 3;
  unsigned Commits = 0;

private:
  TransactionReply apply(const Transaction &What);

  EventLoop &Loop;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 100;
  std::set<std::uint64_t> Leases;
  std::vector<Transaction> Delayed;
};

} // namespace balsamlatch::control::test

#endif // BALSAMLATCH_TESTS_CONTROL_FAKESTORE_H
