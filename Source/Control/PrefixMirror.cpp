/// \file
/// The loop of listings and watches.

#include "balsamlatch/Control/PrefixMirror.h"

namespace balsamlatch::control {

namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(100);

} // namespace

PrefixMirror::PrefixMirror(EventLoop &Runner, RecordStore &Source,
                           LogSink &Sink, Options Wanted,
                           std::function<void()> OnChange)
    : Loop(Runner), Store(Source), Log(Sink), Settings(std::move(Wanted)),
      Changed(std::move(OnChange)) {}

PrefixMirror::~PrefixMirror() { stop(); }

void PrefixMirror::start() {
  stop();
  list();
}

void PrefixMirror::stop() {
  ++*Generation;
  Listing.clear();
  Current.clear();
  Complete = false;
}

void PrefixMirror::refresh() {
  ++*Generation;
  Listing.clear();
  list();
}

void PrefixMirror::list() {
  const std::string After = Listing.empty() ? "" : Listing.rbegin()->first;
  Store.list(Settings.Prefix, After,
             [this, Mine = *Generation, Now = Generation](PageReply Reply) {
               if (Mine != *Now) {
                 return;
               }
               if (!Reply.Status.ok()) {
                 Listing.clear();
                 retry(Reply.Status);
                 return;
               }
               if (Listing.empty()) {
                 ListingRevision = Reply.Revision;
               }
               for (StoredItem &Item : Reply.Items) {
                 std::string Key = Item.Key;
                 Listing.insert_or_assign(std::move(Key), std::move(Item));
               }
               if (Reply.HasMore && !Reply.Items.empty()) {
                 list();
                 return;
               }
               Current = std::exchange(Listing, {});
               Revision = ListingRevision;
               Complete = true;
               if (!std::exchange(Reachable, true)) {
                 Log.write(
                     LogLevel::Info, "store-regained",
                     {{"prefix", Settings.Prefix}, {"revision", Revision}});
               }
               Changed();
               watch();
             });
}

void PrefixMirror::retry(const absl::Status &Why) {
  if (std::exchange(Reachable, false)) {
    Log.write(
        LogLevel::Warning, "store-lost",
        {{"prefix", Settings.Prefix}, {"why", std::string(Why.message())}});
  }
  Loop.after(RetryPause, [this, Mine = *Generation, Now = Generation] {
    if (Mine == *Now) {
      list();
    }
  });
}

void PrefixMirror::watch() {
  Store.watch(
      Settings.Prefix, Revision, Settings.Wait,
      [this, Mine = *Generation, Now = Generation](const ChangesReply &Reply) {
        if (Mine != *Now) {
          return;
        }
        if (!Reply.Status.ok()) {
          // The listing tells what a lost watch may have missed.
          retry(Reply.Status);
          return;
        }
        Revision = std::max(Revision, Reply.Revision);
        if (Reply.Changes.empty()) {
          watch();
          return;
        }
        apply(Reply.Changes);
        Changed();
        Loop.after(Settings.Gap, [this, Mine, Now] {
          if (Mine == *Now) {
            watch();
          }
        });
      });
}

void PrefixMirror::apply(const std::vector<Change> &Changes) {
  for (const Change &Each : Changes) {
    if (Each.Item) {
      Current.insert_or_assign(Each.Key, *Each.Item);
    } else {
      Current.erase(Each.Key);
    }
  }
}

} // namespace balsamlatch::control
