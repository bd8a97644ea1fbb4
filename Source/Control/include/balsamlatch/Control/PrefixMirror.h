/// \file
/// Follows all keys with one prefix: lists them once, then watches. A watch
/// that goes silent or has lost its history is replaced.

#ifndef BALSAMLATCH_CONTROL_PREFIXMIRROR_H
#define BALSAMLATCH_CONTROL_PREFIXMIRROR_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/RecordStore.h"

#include <map>
#include <memory>

namespace balsamlatch::control {

class PrefixMirror {
public:
  using Items = std::map<std::string, StoredItem>;

  struct Options {
    std::string Prefix;
    /// How long one watch waits; bounds how old a silent mirror gets.
    Duration Wait = std::chrono::milliseconds(1500);
    /// Pause after changes, so that many of them come in one answer.
    Duration Gap = std::chrono::milliseconds(1);
  };

  /// \p OnChange runs after each change, and after the first listing. All
  /// references must outlive the event loop's run.
  PrefixMirror(EventLoop &Runner, RecordStore &Source, LogSink &Sink,
               Options Wanted, std::function<void()> OnChange);
  ~PrefixMirror();

  void start();
  void stop();
  /// Lists again now, without waiting for a watch.
  void refresh();

  const Items &items() const { return Current; }
  /// Whether a listing has succeeded since start().
  bool complete() const { return Complete; }
  /// Whether the store answered the last call.
  bool reachable() const { return Complete && Reachable; }

private:
  struct Life;

  void list();
  void watch();
  void retry(const absl::Status &Why);
  void apply(const std::vector<Change> &Changes);

  EventLoop &Loop;
  RecordStore &Store;
  LogSink &Log;
  const Options Settings;
  std::function<void()> Changed;
  Items Current;
  Items Listing;
  std::uint64_t ListingRevision = 0;
  std::uint64_t Revision = 0;
  bool Complete = false;
  bool Reachable = true;
  // Answers to calls of an earlier start or refresh are dropped.
  std::shared_ptr<std::uint64_t> Generation = std::make_shared<std::uint64_t>();
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_PREFIXMIRROR_H
