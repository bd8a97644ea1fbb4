/// \file
/// Lists the items page by page, watches for changes, and retries after errors.

#include "balsamlatch/Control/PrefixMirror.h"

namespace balsamlatch::control {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

PrefixMirror::PrefixMirror(EventLoop &CallbackLoop, RecordStore &Backend,
                           LogSink &Sink, Options MirrorOptions,
                           std::function<void()> OnChange)
    : Loop(CallbackLoop), Store(Backend), Log(Sink),
      Settings(std::move(MirrorOptions)), ChangeCallback(std::move(OnChange)) {}

PrefixMirror::~PrefixMirror() { stop(); }

void PrefixMirror::start() {
  stop();
  listPage();
}

void PrefixMirror::stop() {
  ++*Generation;
  ListedItems.clear();
  CurrentItems.clear();
  Complete = false;
}

void PrefixMirror::refresh() {
  ++*Generation;
  ListedItems.clear();
  listPage();
}

void PrefixMirror::listPage() {
  const std::string AfterKey =
      ListedItems.empty() ? "" : ListedItems.rbegin()->first;
  Store.list(Settings.Prefix, AfterKey,
             [this, CallGeneration = *Generation,
              CurrentGeneration = Generation](PageReply Reply) {
               if (CallGeneration != *CurrentGeneration) {
                 return;
               }
               if (!Reply.Status.ok()) {
                 ListedItems.clear();
                 scheduleRetry(Reply.Status);
                 return;
               }
               if (ListedItems.empty()) {
                 ListingRevision = Reply.Revision;
               }
               for (StoredItem &Item : Reply.Items) {
                 std::string Key = Item.Key;
                 ListedItems.insert_or_assign(std::move(Key), std::move(Item));
               }
               if (Reply.HasMore && !Reply.Items.empty()) {
                 listPage();
                 return;
               }
               CurrentItems = std::exchange(ListedItems, {});
               ChangedKeys.reset();
               Revision = ListingRevision;
               Complete = true;
               if (!std::exchange(StoreReachable, true)) {
                 Log.write(
                     LogLevel::Info, "store-regained",
                     {{"prefix", Settings.Prefix}, {"revision", Revision}});
               }
               ChangeCallback();
               watch();
             });
}

void PrefixMirror::scheduleRetry(const absl::Status &Error) {
  if (std::exchange(StoreReachable, false)) {
    Log.write(
        LogLevel::Warning, "store-lost",
        {{"prefix", Settings.Prefix}, {"why", std::string(Error.message())}});
  }
  Loop.after(RetryDelay, [this, CallGeneration = *Generation,
                          CurrentGeneration = Generation] {
    if (CallGeneration == *CurrentGeneration) {
      listPage();
    }
  });
}

void PrefixMirror::watch() {
  Store.watch(Settings.Prefix, Revision, Settings.WatchTimeout,
              [this, CallGeneration = *Generation,
               CurrentGeneration = Generation](const ChangesReply &Reply) {
                if (CallGeneration != *CurrentGeneration) {
                  return;
                }
                if (!Reply.Status.ok()) {
                  // A new listing covers changes that the failed watch may have
                  // missed.
                  scheduleRetry(Reply.Status);
                  return;
                }
                Revision = std::max(Revision, Reply.Revision);
                if (Reply.Changes.empty()) {
                  watch();
                  return;
                }
                applyChanges(Reply.Changes);
                ChangeCallback();
                Loop.after(Settings.BatchDelay,
                           [this, CallGeneration, CurrentGeneration] {
                             if (CallGeneration == *CurrentGeneration) {
                               watch();
                             }
                           });
              });
}

void PrefixMirror::applyChanges(const std::vector<Change> &Changes) {
  ChangedKeys.emplace();
  for (const Change &ItemChange : Changes) {
    ChangedKeys->push_back(ItemChange.Key);
    if (ItemChange.Item) {
      CurrentItems.insert_or_assign(ItemChange.Key, *ItemChange.Item);
    } else {
      CurrentItems.erase(ItemChange.Key);
    }
  }
}

} // namespace balsamlatch::control
