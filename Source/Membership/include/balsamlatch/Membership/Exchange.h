/// \file
/// Brings versioned documents to every entry: a few entries of each data
/// centre watch the store, push what is new to the others of their data
/// centre, and any two that meet repair the difference. Works on while the
/// store is down.

#ifndef BALSAMLATCH_MEMBERSHIP_EXCHANGE_H
#define BALSAMLATCH_MEMBERSHIP_EXCHANGE_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Membership/Member.h"
#include "balsamlatch/Membership/Messages.h"
#include "balsamlatch/Platform/Store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::membership {

struct ExchangeOptions {
  Member Self;
  std::vector<DocumentKey> Keys;
  /// Entries of one data centre that watch one document.
  unsigned WatchersPerDataCentre = 2;
  /// Longest wait of one watch call.
  Duration WatchWait = std::chrono::seconds(30);
  /// Least and most pause after a failed watch.
  Duration RetryPause = std::chrono::milliseconds(250);
  Duration MostRetryPause = std::chrono::seconds(4);
  /// Least time between two pulls of one document.
  Duration PullPause = std::chrono::milliseconds(300);
};

/// A watch to submit to the store; its reply comes back by watched().
struct WatchCall {
  DocumentKey Key;
  StoreWatch Request;

  auto operator<=>(const WatchCall &) const = default;
};

/// What a call brought about.
struct ExchangeStep {
  std::vector<Outgoing> Messages;
  std::vector<WatchCall> Watches;
  /// Candidates to verify; the owner of the document calls adopted() with what
  /// it has in force.
  std::vector<Document> Candidates;
};

/// Not thread safe. Deterministic.
class Exchange {
public:
  explicit Exchange(ExchangeOptions Options);

  /// The live entries changed, this one included.
  ExchangeStep view(std::vector<Member> Live, Instant Now);

  /// A DocumentPush or DocumentPull came in; other messages are ignored.
  ExchangeStep receive(const EntryName &From, const Message &Content,
                       Instant Now);

  /// Another entry told its versions with a probe or an answer.
  ExchangeStep heard(const EntryName &From, const Versions &Theirs,
                     Instant Now);

  /// The reply to a watch.
  ExchangeStep watched(const DocumentKey &Key, const StoreReply &Reply,
                       Instant Now);

  /// A document was verified and is in force here. Versions that don't rise
  /// are ignored.
  ExchangeStep adopted(const Document &InForce, Instant Now);

  /// Call every 100 ms or so.
  ExchangeStep tick(Instant Now);

  /// Versions in force here.
  Versions inForce() const;

  /// Whether this entry watches the document in the store.
  bool watches(const DocumentKey &Key) const;

  /// Store calls made since the start, by watches.
  std::uint64_t storeCalls() const { return StoreCalls; }

private:
  struct State {
    Document InForce;
    bool Watcher = false;
    /// The first watcher of the data centre hands on what it adopts.
    bool Pushes = false;
    /// Version that is to be pushed on when it is adopted.
    std::uint64_t PushVersion = 0;
    bool WatchOpen = false;
    Instant NextWatchAt{};
    Duration Pause{};
    Instant NextPullAt{};
  };

  void openWatches(Instant Now, ExchangeStep &Step);
  void pushTo(const Member &To, const Document &Content,
              ExchangeStep &Step) const;
  const Member *member(const EntryName &Entry) const;

  ExchangeOptions Options;
  std::vector<Member> Live;
  // Invariant: one state for each of Options.Keys, never more.
  std::map<DocumentKey, State> States;
  std::uint64_t StoreCalls = 0;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_EXCHANGE_H
