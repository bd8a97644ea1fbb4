/// \file
/// Reading and appending journal records.

#include "balsamlatch/Control/Journal.h"

#include "balsamlatch/Jobs/JournalCodec.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace {

constexpr std::string_view Prefix = "journal/";
constexpr int HexBase = 16;
constexpr Duration RetryPause = std::chrono::milliseconds(40);
/// With the holder's and the record's condition and the record itself, a
/// transaction stays within MaxTransactionEntries.
constexpr std::size_t RemovalsPerAppend = MaxTransactionEntries - 4;

std::string keyOf(std::uint64_t Number) {
  return fmt::format("{}{:012x}", Prefix, Number);
}

} // namespace

struct Journal::Append {
  Transaction What;
  std::uint64_t Number = 0;
  std::function<void(Result)> Done;
  unsigned Tries = 0;
};

Journal::Journal(EventLoop &Runner, const Clock &TimeSource,
                 RecordStore &Target, LogSink &Sink)
    : Loop(Runner), Time(TimeSource), Store(Target), Log(Sink) {}

Journal::~Journal() { stop(); }

void Journal::stop() {
  ++*Generation;
  Busy = false;
}

void Journal::load(jobs::JobBook &Into,
                   std::function<void(absl::Status)> Done) {
  stop();
  Next = 1;
  Oldest = 0;
  Needed = 1;
  loadPage(Into, "", std::move(Done));
}

void Journal::loadPage(jobs::JobBook &Into, const std::string &After,
                       std::function<void(absl::Status)> Done) {
  Store.list(std::string(Prefix), After,
             [this, &Into, Done = std::move(Done), Mine = *Generation,
              Now = Generation](const PageReply &Reply) {
               if (Mine != *Now) {
                 return;
               }
               if (!Reply.Status.ok()) {
                 Done(Reply.Status);
                 return;
               }
               for (const StoredItem &Item : Reply.Items) {
                 const std::uint64_t Number = std::stoull(
                     Item.Key.substr(Prefix.size()), nullptr, HexBase);
                 const auto Events = jobs::decodeEvents(Item.Value);
                 if (!Events.ok()) {
                   Done(Events.status());
                   return;
                 }
                 for (const jobs::JobEvent &Event : *Events) {
                   Into.apply(Event, Number);
                 }
                 Oldest = Oldest == 0 ? Number : Oldest;
                 Next = Number + 1;
               }
               if (Reply.HasMore && !Reply.Items.empty()) {
                 loadPage(Into, Reply.Items.back().Key, Done);
                 return;
               }
               Oldest = Oldest == 0 ? Next : Oldest;
               Done(absl::OkStatus());
             });
}

void Journal::append(const Condition &Holder,
                     const std::vector<jobs::JobEvent> &Events,
                     std::function<void(Result)> Done) {
  auto What = std::make_shared<Append>();
  What->Number = Next;
  What->Done = std::move(Done);
  const std::string Key = keyOf(Next);
  What->What.Conditions = {Holder, {Key, 0}};
  What->What.Writes = {{Key, jobs::encodeEvents(Events), 0}};
  const std::uint64_t Until =
      std::min({Needed, Next, Oldest + RemovalsPerAppend});
  for (std::uint64_t Number = Oldest; Number < Until; ++Number) {
    What->What.Removals.push_back(keyOf(Number));
  }
  Busy = true;
  BegunAt = Time.now();
  send(What);
}

void Journal::send(const std::shared_ptr<Append> &What) {
  ++What->Tries;
  LastSentAt = Time.now();
  Store.commit(What->What, [this, What, Mine = *Generation,
                            Now = Generation](const TransactionReply &Reply) {
    if (Mine == *Now) {
      answered(What, Reply);
    }
  });
}

void Journal::answered(const std::shared_ptr<Append> &What,
                       const TransactionReply &Reply) {
  bool Written = Reply.Status.ok();
  if (absl::IsAborted(Reply.Status)) {
    // An earlier try may have been carried out without an answer. Only the
    // holder of the present key could write the record.
    const std::string &Key = What->What.Writes.front().Key;
    Written = std::any_of(
        Reply.Found.begin(), Reply.Found.end(), [&](const StoredItem &Item) {
          return Item.Key == Key &&
                 Item.Value == What->What.Writes.front().Value;
        });
    if (!Written) {
      Busy = false;
      What->Done(Result::Deposed);
      return;
    }
  }
  if (Written) {
    Busy = false;
    Next = What->Number + 1;
    Oldest += What->What.Removals.size();
    What->Done(Result::Written);
    return;
  }
  if (What->Tries == 1) {
    Log.write(LogLevel::Warning, "journal-delayed",
              {{"record", What->Number},
               {"why", std::string(Reply.Status.message())}});
  }
  Loop.after(RetryPause, [this, What, Mine = *Generation, Now = Generation] {
    if (Mine == *Now) {
      send(What);
    }
  });
}

} // namespace balsamlatch::control
