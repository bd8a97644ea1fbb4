/// \file
/// The sequence of records in the store that the jobs are rebuilt from. One
/// holder writes at a time: each record is written under the condition that
/// the holder's key is unchanged and that the record doesn't exist yet, so a
/// write that is carried out late does nothing.

#ifndef BALSAMLATCH_CONTROL_JOURNAL_H
#define BALSAMLATCH_CONTROL_JOURNAL_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/RecordStore.h"
#include "balsamlatch/Jobs/JobBook.h"

#include <memory>

namespace balsamlatch::control {

class Journal {
public:
  enum class Result {
    Written,
    /// Another holder has taken over; whether the record was written before
    /// that isn't known.
    Deposed,
  };

  Journal(EventLoop &Runner, const Clock &TimeSource, RecordStore &Target,
          LogSink &Sink);
  ~Journal();

  /// Reads all records into \p Into, then calls \p Done.
  void load(jobs::JobBook &Into, std::function<void(absl::Status)> Done);

  /// Appends under the holder's key at its revision. One append at a time.
  /// Tries until the outcome is known or stop() is called.
  void append(const Condition &Holder,
              const std::vector<jobs::JobEvent> &Events,
              std::function<void(Result)> Done);

  /// Removes records before \p Number, a few with each append.
  void dropBefore(std::uint64_t Number) { Needed = Number; }

  /// Forgets an append that is under way, and what was read.
  void stop();

  bool busy() const { return Busy; }
  /// When the append that is under way began.
  Instant begunAt() const { return BegunAt; }
  /// When the last try of an append was sent.
  Instant lastSentAt() const { return LastSentAt; }
  /// The number of the next record.
  std::uint64_t next() const { return Next; }
  std::uint64_t oldest() const { return Oldest; }

private:
  struct Append;

  void loadPage(jobs::JobBook &Into, const std::string &After,
                std::function<void(absl::Status)> Done);
  void send(const std::shared_ptr<Append> &What);
  void answered(const std::shared_ptr<Append> &What,
                const TransactionReply &Reply);

  EventLoop &Loop;
  const Clock &Time;
  RecordStore &Store;
  LogSink &Log;
  bool Busy = false;
  Instant BegunAt{};
  Instant LastSentAt{};
  std::uint64_t Next = 1;
  /// Records before this are removed.
  std::uint64_t Oldest = 1;
  std::uint64_t Needed = 1;
  std::shared_ptr<std::uint64_t> Generation = std::make_shared<std::uint64_t>();
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOURNAL_H
