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
#include <span>

namespace balsamlatch::control {

/// Maximum size of a record. The store limits a value to a megabyte.
inline constexpr std::size_t MaxRecordBytes = 500'000;

class Journal {
public:
  enum class AppendResult {
    Written,
    /// The leader's key has changed; the record may or may not have been
    /// written before that.
    LeadershipLost,
    /// The store turned every attempt down, so nothing was or will be written.
    NotWritten,
  };

  Journal(EventLoop &CallbackLoop, const Clock &TimeSource,
          RecordStore &Backend, LogSink &Sink);
  ~Journal();

  /// Applies all records to \p Table, then calls \p Callback.
  void load(jobs::JobTable &Table, std::function<void(absl::Status)> Callback);

  /// Appends one record with the first of the events if \p LeaderCondition
  /// holds, and returns their number: as many as a record can hold. Only one
  /// append may be in flight. Retries until the outcome is known or stop() is
  /// called.
  std::size_t append(const Condition &LeaderCondition,
                     std::span<const jobs::JobEvent> Events,
                     std::function<void(AppendResult)> Callback);

  /// Marks the records before \p Number as removable; each append removes some
  /// of them.
  void truncateBefore(std::uint64_t Number) { OldestNeeded = Number; }

  /// Sends the append in flight once more if its last attempt has had no reply
  /// for a while, for when the store is seen to answer again.
  void retryUnanswered();

  /// Abandons a load or an append in progress; its callback isn't called.
  void stop();

  bool appendInFlight() const { return InFlight != nullptr; }
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
  /// Sends another attempt after the delay unless one was sent in between.
  void scheduleResend(const std::shared_ptr<PendingAppend> &Pending,
                      Duration Delay);
  void handleReply(const std::shared_ptr<PendingAppend> &Pending,
                   unsigned Attempt, Instant SentAt,
                   const TransactionReply &Reply);

  EventLoop &Loop;
  const Clock &Time;
  RecordStore &Store;
  LogSink &Log;
  /// The append in flight; null if there is none.
  std::shared_ptr<PendingAppend> InFlight;
  Instant AppendStartedAt{};
  Instant LastSentAt{};
  /// Moving average of the time of the store's replies to appends.
  Duration UsualReplyTime = std::chrono::milliseconds(10);
  std::uint64_t NextNumber = 1;
  /// Records with lower numbers have been removed.
  std::uint64_t OldestNumber = 1;
  std::uint64_t OldestNeeded = 1;
  std::shared_ptr<std::uint64_t> Generation = std::make_shared<std::uint64_t>();
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOURNAL_H
