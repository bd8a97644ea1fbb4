/// \file
/// Local mirror of all store items whose keys have one prefix. It lists the
/// items and then watches for changes; after a failed watch it lists them
/// again.

#ifndef BALSAMLATCH_CONTROL_PREFIXMIRROR_H
#define BALSAMLATCH_CONTROL_PREFIXMIRROR_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/RecordStore.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace balsamlatch::control {

class PrefixMirror {
public:
  using Items = std::map<std::string, StoredItem>;

  struct Options {
    std::string Prefix;
    /// Longest wait of one watch call for changes; bounds how stale the mirror
    /// gets if the store goes silent.
    Duration WatchTimeout = std::chrono::milliseconds(1500);
    /// Pause after changes before the next watch, so that several changes
    /// arrive in one reply.
    Duration BatchDelay = std::chrono::milliseconds(1);
  };

  /// \p OnChange runs after each listing and after each batch of changes. All
  /// references must outlive the event loop's run.
  PrefixMirror(EventLoop &CallbackLoop, RecordStore &Backend, LogSink &Sink,
               Options MirrorOptions, std::function<void()> OnChange);
  ~PrefixMirror();

  void start();
  void stop();
  /// Abandons the watch in flight and lists the items again at once.
  void refresh();

  const Items &items() const { return CurrentItems; }
  /// While OnChange runs for a batch of changes, their keys; unset while it
  /// runs for a listing.
  const std::optional<std::vector<std::string>> &changedKeys() const {
    return ChangedKeys;
  }
  /// Whether a listing has succeeded since start().
  bool isComplete() const { return Complete; }
  /// Whether a listing has succeeded since start() and no call has failed after
  /// it.
  bool isStoreReachable() const { return Complete && StoreReachable; }

private:
  struct Instance;

  void listPage();
  void watch();
  void scheduleRetry(const absl::Status &Error);
  void applyChanges(const std::vector<Change> &Changes);

  EventLoop &Loop;
  RecordStore &Store;
  LogSink &Log;
  const Options Settings;
  std::function<void()> ChangeCallback;
  Items CurrentItems;
  std::optional<std::vector<std::string>> ChangedKeys;
  Items ListedItems;
  std::uint64_t ListingRevision = 0;
  std::uint64_t Revision = 0;
  bool Complete = false;
  bool StoreReachable = true;
  // Incremented by start, stop and refresh; replies to calls of an earlier
  // generation are ignored.
  std::shared_ptr<std::uint64_t> Generation = std::make_shared<std::uint64_t>();
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_PREFIXMIRROR_H
