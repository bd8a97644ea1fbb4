/// \file
/// Replicates versioned documents to every entry. A few entries of each data
/// centre watch the store, and the first of them pushes new versions to its
/// data centre. Anti-entropy repairs what remains: an entry that learns of a
/// later version from another entry pulls it. Replication between entries
/// continues while the store is down.

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

struct ReplicatorOptions {
  Member Self;
  std::vector<DocumentKey> Keys;
  /// Number of entries in each data centre that watch a document.
  unsigned WatchersPerDataCentre = 2;
  /// The store answers a watch after this time at the latest.
  Duration WatchTimeout = std::chrono::seconds(30);
  /// Pause before a watch is retried: doubled from the first value to the
  /// second with each watch that fails or whose value is not adopted.
  Duration InitialRetryPause = std::chrono::milliseconds(250);
  Duration MaxRetryPause = std::chrono::seconds(4);
  /// Least time between two pulls of the same document.
  Duration MinPullInterval = std::chrono::milliseconds(300);
};

/// A watch to submit to the store. Pass the reply to watched().
struct WatchCall {
  DocumentKey Key;
  StoreWatch Request;

  auto operator<=>(const WatchCall &) const = default;
};

/// Output of a call to Exchange, to be carried out by the caller.
struct ReplicatorOutput {
  std::vector<Outgoing> Messages;
  std::vector<WatchCall> Watches;
  /// Documents to verify. Call adopted() with each document that comes into
  /// force.
  std::vector<Document> Candidates;
};

/// Replication state of one entry. Not thread safe. Deterministic.
class Exchange {
public:
  explicit Exchange(ReplicatorOptions Options);

  /// Replaces the list of live entries, which includes this one, and chooses
  /// the watchers anew.
  ReplicatorOutput view(std::vector<Member> Members, Instant Now);

  /// Handles a DocumentPush or DocumentPull; ignores other messages.
  ReplicatorOutput receive(const EntryName &Sender, const Message &Content,
                           Instant Now);

  /// Handles the versions that another entry sent with a Probe or an Ack, and
  /// pulls the documents that are later there.
  ReplicatorOutput heard(const EntryName &Sender,
                         const Versions &SenderVersions, Instant Now);

  /// Handles the store's reply to a watch.
  ReplicatorOutput watched(const DocumentKey &Key, const StoreReply &Reply,
                           Instant Now);

  /// Records a verified document that is now in force at this entry. Ignored
  /// unless its version is higher than the current one.
  ReplicatorOutput adopted(const Document &AdoptedDocument, Instant Now);

  /// Opens the watches that are due. Call about every 100 ms.
  ReplicatorOutput tick(Instant Now);

  /// Returns the versions in force at this entry.
  Versions inForce() const;

  /// Returns whether this entry watches the document in the store.
  bool isWatcher(const DocumentKey &Key) const;

  /// Number of watches opened since the start.
  std::uint64_t storeCallCount() const { return StoreCallCount; }

private:
  struct DocumentState {
    Document CurrentDocument;
    bool IsWatcher = false;
    /// The first watcher pushes the versions that it adopts from the store to
    /// its data centre.
    bool IsFirstWatcher = false;
    /// Version to push to the data centre once it is adopted.
    std::uint64_t VersionToPush = 0;
    bool IsWatchOpen = false;
    Instant NextWatchAt{};
    Duration RetryPause{};
    Instant NextPullAt{};
  };

  void openWatches(Instant Now, ReplicatorOutput &Result);
  void sendPush(const Member &Receiver, const Document &Content,
                ReplicatorOutput &Result) const;
  const Member *findMember(const EntryName &Entry) const;

  ReplicatorOptions Options;
  std::vector<Member> LiveMembers;
  // Invariant: the keys are those of Options.Keys.
  std::map<DocumentKey, DocumentState> DocumentStates;
  std::uint64_t StoreCallCount = 0;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_EXCHANGE_H
