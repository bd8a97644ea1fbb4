/// \file
/// Journal of job events in the store, from which a new leader rebuilds the
/// jobs. Each record is written under two conditions: the leader's key is
/// unchanged and the record doesn't exist yet. A write that the store carries
/// out late, or that an earlier leader sends, therefore has no effect.

#ifndef BALSAMLATCH_CONTROL_JOURNAL_H
#define BALSAMLATCH_CONTROL_JOURNAL_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/RecordStore.h"
#include "balsamlatch/Jobs/JobTable.h"

#include <memory>

namespace balsamlatch::control {

class Journal {
public:
  enum class AppendResult {
    Written,
    /// The leader's key has changed; the record may or may not have been
    /// written before that.
    LeadershipLost,
  };

  Journal(EventLoop &CallbackLoop, const Clock &TimeSource,
          RecordStore &Backend, LogSink &Sink);
  ~Journal();

  /// Applies all records to \p Table, then calls \p Callback.
  void load(jobs::JobTable &Table, std::function<void(absl::Status)> Callback);

  /// Appends one record if \p LeaderCondition holds. Only one append may be in
  /// flight. Retries until the outcome is known or stop() is called.
  void append(const Condition &LeaderCondition,
              const std::vector<jobs::JobEvent> &Events,
              std::function<void(AppendResult)> Callback);

  /// Marks the records before \p Number as removable; each append removes some
  /// of them.
  void truncateBefore(std::uint64_t Number) { OldestNeeded = Number; }

  /// Abandons a load or an append in progress; its callback isn't called.
  void stop();

  bool appendInFlight() const { return AppendInFlight; }
  /// When the append in flight was started.
  Instant appendStartedAt() const { return AppendStartedAt; }
  /// When the last attempt of an append was sent.
  Instant lastSentAt() const { return LastSentAt; }
  /// The number of the next record.
  std::uint64_t nextNumber() const { return NextNumber; }
  std::uint64_t oldestNumber() const { return OldestNumber; }

private:
  struct PendingAppend;

  void loadPage(jobs::JobTable &Table, const std::string &AfterKey,
                std::function<void(absl::Status)> Callback);
  void sendAppend(const std::shared_ptr<PendingAppend> &Pending);
  void handleReply(const std::shared_ptr<PendingAppend> &Pending,
                   const TransactionReply &Reply);

  EventLoop &Loop;
  const Clock &Time;
  RecordStore &Store;
  LogSink &Log;
  bool AppendInFlight = false;
  Instant AppendStartedAt{};
  Instant LastSentAt{};
  std::uint64_t NextNumber = 1;
  /// Records with lower numbers have been removed.
  std::uint64_t OldestNumber = 1;
  std::uint64_t OldestNeeded = 1;
  std::shared_ptr<std::uint64_t> Generation = std::make_shared<std::uint64_t>();
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOURNAL_H
