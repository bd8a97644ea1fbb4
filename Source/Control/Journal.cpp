/// \file
/// Loads the journal, and appends records with retries.

#include "balsamlatch/Control/Journal.h"

#include "balsamlatch/Jobs/JournalCodec.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace {

constexpr std::string_view KeyPrefix = "journal/";
constexpr int HexBase = 16;
constexpr Duration RetryDelay = std::chrono::milliseconds(40);
/// An attempt without a reply is repeated after this many times the usual time
/// of a reply, within the bounds, and twice as long after each further one.
constexpr int PatienceFactor = 4;
constexpr Duration MinPatience = std::chrono::milliseconds(40);
constexpr Duration MaxPatience = std::chrono::milliseconds(900);
constexpr unsigned MaxPatienceDoublings = 5;
/// Weight of a new reply in the moving average is one in this many.
constexpr int ReplyTimeWeight = 8;
/// Minimum age of an attempt that is repeated because the store answers again.
constexpr Duration MinAttemptTime = std::chrono::milliseconds(200);
/// Leaves room in MaxTransactionEntries for the two conditions and the record.
constexpr std::size_t MaxRemovalsPerAppend = MaxTransactionEntries - 4;

std::string recordKey(std::uint64_t Number) {
  return fmt::format("{}{:012x}", KeyPrefix, Number);
}

/// The number of a record; unset if the key isn't one of a record.
std::optional<std::uint64_t> recordNumber(const std::string &Key) {
  std::uint64_t Number = 0;
  const char *End = Key.data() + Key.size();
  const auto [Rest, Error] =
      std::from_chars(Key.data() + KeyPrefix.size(), End, Number, HexBase);
  return Error == std::errc() && Rest == End && recordKey(Number) == Key
             ? std::optional(Number)
             : std::nullopt;
}

} // namespace

struct Journal::PendingAppend {
  Transaction Request;
  std::uint64_t Number = 0;
  std::function<void(AppendResult)> Callback;
  unsigned Attempts = 0;
  /// An attempt got no reply, so the store may have written the record.
  bool MayBeWritten = false;
};

Journal::Journal(EventLoop &CallbackLoop, const Clock &TimeSource,
                 RecordStore &Backend, LogSink &Sink)
    : Loop(CallbackLoop), Time(TimeSource), Store(Backend), Log(Sink) {}

Journal::~Journal() { stop(); }

void Journal::stop() {
  ++*Generation;
  InFlight.reset();
}

void Journal::load(jobs::JobTable &Table,
                   std::function<void(absl::Status)> Callback) {
  stop();
  NextNumber = 1;
  OldestNumber = 0;
  OldestNeeded = 1;
  loadPage(Table, "", std::move(Callback));
}

void Journal::loadPage(jobs::JobTable &Table, const std::string &AfterKey,
                       std::function<void(absl::Status)> Callback) {
  Store.list(std::string(KeyPrefix), AfterKey,
             [this, &Table, Callback = std::move(Callback),
              CallGeneration = *Generation,
              CurrentGeneration = Generation](const PageReply &Reply) {
               if (CallGeneration != *CurrentGeneration) {
                 return;
               }
               if (!Reply.Status.ok()) {
                 Callback(Reply.Status);
                 return;
               }
               for (const StoredItem &Item : Reply.Items) {
                 const auto Number = recordNumber(Item.Key);
                 if (!Number) {
                   Log.write(LogLevel::Warning, "journal-key-unreadable",
                             {{"key", Item.Key},
                              {"why", "it does not end with a number"}});
                   continue;
                 }
                 const auto Events = jobs::decodeEvents(Item.Value);
                 if (!Events.ok()) {
                   Callback(Events.status());
                   return;
                 }
                 for (const jobs::JobEvent &Event : *Events) {
                   Table.apply(Event, *Number);
                 }
                 OldestNumber = OldestNumber == 0 ? *Number : OldestNumber;
                 NextNumber = *Number + 1;
               }
               if (Reply.HasMore && !Reply.Items.empty()) {
                 loadPage(Table, Reply.Items.back().Key, Callback);
                 return;
               }
               OldestNumber = OldestNumber == 0 ? NextNumber : OldestNumber;
               Callback(absl::OkStatus());
             });
}

std::size_t Journal::append(const Condition &LeaderCondition,
                            std::span<const jobs::JobEvent> Events,
                            std::function<void(AppendResult)> Callback) {
  jobs::EncodedEvents Record = jobs::encodeEvents(Events, MaxRecordBytes);
  auto Pending = std::make_shared<PendingAppend>();
  Pending->Number = NextNumber;
  Pending->Callback = std::move(Callback);
  const std::string Key = recordKey(NextNumber);
  Pending->Request.Conditions = {LeaderCondition, {Key, 0}};
  Pending->Request.Writes = {{Key, std::move(Record.Text), 0}};
  const std::uint64_t RemovalEnd =
      std::min({OldestNeeded, NextNumber, OldestNumber + MaxRemovalsPerAppend});
  for (std::uint64_t Number = OldestNumber; Number < RemovalEnd; ++Number) {
    Pending->Request.Removals.push_back(recordKey(Number));
  }
  InFlight = Pending;
  AppendStartedAt = Time.now();
  sendAppend(Pending);
  return Record.Count;
}

void Journal::sendAppend(const std::shared_ptr<PendingAppend> &Pending) {
  const unsigned Attempt = ++Pending->Attempts;
  LastSentAt = Time.now();
  Store.commit(Pending->Request, [this, Pending, Attempt, SentAt = LastSentAt,
                                  CallGeneration = *Generation,
                                  CurrentGeneration = Generation](
                                     const TransactionReply &Reply) {
    // Another attempt may have settled the append.
    if (CallGeneration == *CurrentGeneration && InFlight == Pending) {
      handleReply(Pending, Attempt, SentAt, Reply);
    }
  });
  // The reply may be lost. A repeated record is written once.
  const Duration Patience = std::min<Duration>(
      MaxPatience,
      std::max<Duration>(MinPatience, UsualReplyTime * PatienceFactor) *
          (1U << std::min(Attempt - 1, MaxPatienceDoublings)));
  scheduleResend(Pending, Patience);
}

void Journal::scheduleResend(const std::shared_ptr<PendingAppend> &Pending,
                             Duration Delay) {
  Loop.after(Delay,
             [this, Pending, Attempts = Pending->Attempts,
              CallGeneration = *Generation, CurrentGeneration = Generation] {
               // A newer attempt has a timer of its own.
               if (CallGeneration == *CurrentGeneration &&
                   InFlight == Pending && Pending->Attempts == Attempts) {
                 Pending->MayBeWritten = true;
                 sendAppend(Pending);
               }
             });
}

void Journal::retryUnanswered() {
  if (InFlight && Time.now() - LastSentAt >= MinAttemptTime) {
    InFlight->MayBeWritten = true;
    sendAppend(InFlight);
  }
}

void Journal::handleReply(const std::shared_ptr<PendingAppend> &Pending,
                          unsigned Attempt, Instant SentAt,
                          const TransactionReply &Reply) {
  bool IsWritten = Reply.Status.ok();
  if (IsWritten || absl::IsAborted(Reply.Status)) {
    UsualReplyTime += (Time.now() - SentAt - UsualReplyTime) / ReplyTimeWeight;
  }
  if (absl::IsAborted(Reply.Status)) {
    // An earlier attempt whose reply was lost may have written the record: it
    // has the same value then. Writes of other leaders fail their conditions.
    const std::string &Key = Pending->Request.Writes.front().Key;
    IsWritten = std::any_of(
        Reply.Found.begin(), Reply.Found.end(), [&](const StoredItem &Item) {
          return Item.Key == Key &&
                 Item.Value == Pending->Request.Writes.front().Value;
        });
    if (!IsWritten) {
      InFlight.reset();
      Pending->Callback(AppendResult::LeadershipLost);
      return;
    }
  }
  if (IsWritten) {
    InFlight.reset();
    NextNumber = Pending->Number + 1;
    OldestNumber += Pending->Request.Removals.size();
    Pending->Callback(AppendResult::Written);
    return;
  }
  Pending->MayBeWritten =
      Pending->MayBeWritten || !absl::IsUnavailable(Reply.Status);
  if (!Pending->MayBeWritten) {
    InFlight.reset();
    Pending->Callback(AppendResult::NotWritten);
    return;
  }
  if (Attempt == 1) {
    Log.write(LogLevel::Warning, "journal-delayed",
              {{"record", Pending->Number},
               {"why", std::string(Reply.Status.message())}});
  }
  if (Attempt == Pending->Attempts) {
    scheduleResend(Pending, RetryDelay);
  }
}

} // namespace balsamlatch::control
