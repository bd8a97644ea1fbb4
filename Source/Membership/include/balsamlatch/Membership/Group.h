/// \file
/// SWIM-style failure detector and gossip: each entry probes one other entry
/// per period, requests indirect probes when no answer comes, and piggybacks
/// membership updates on the messages. The load of an entry doesn't grow with
/// the number of entries.

#ifndef BALSAMLATCH_MEMBERSHIP_GROUP_H
#define BALSAMLATCH_MEMBERSHIP_GROUP_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Membership/Member.h"
#include "balsamlatch/Membership/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace balsamlatch::membership {

struct FailureDetectorOptions {
  /// This entry. Its incarnation must be higher than at any earlier start, for
  /// example the time of the start in microseconds since the epoch.
  Member Self;
  std::uint64_t Seed = 1;
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Wait for an Ack before indirect probes are requested.
  Duration AckTimeout = std::chrono::milliseconds(300);
  /// Time that a suspect member has to refute the suspicion.
  Duration SuspicionTimeout = std::chrono::seconds(2);
  /// Number of entries that are asked for an indirect probe.
  unsigned IndirectProbeCount = 2;
  /// One dead member is probed each time this many periods pass. After a
  /// network partition each side considers the other dead and must find it
  /// again.
  unsigned PeriodsPerDeadProbe = 4;
  /// Most queued membership updates that one message carries.
  unsigned UpdatesPerMessage = 6;
  /// Time that the record of a dead or left member is kept, so that a stale
  /// update doesn't bring the member back.
  Duration DepartedRetention = std::chrono::minutes(10);
};

/// Output of a call to Group, to be carried out by the caller.
struct FailureDetectorOutput {
  std::vector<Outgoing> Messages;
  /// Whether the set of live members or the address of a member changed.
  bool LiveMembersChanged = false;
};

/// Membership list and failure detector of one entry. Not thread safe.
/// Deterministic for a given seed.
class Group {
public:
  explicit Group(FailureDetectorOptions Options);

  /// Adds the members that are not yet known, in the state that they are given
  /// with. They come from the platform's host list or the settings.
  FailureDetectorOutput seed(const std::vector<Member> &Members, Instant Now);

  /// Handles a Probe, Ack or ProbeRequest; ignores other messages.
  FailureDetectorOutput receive(const EntryName &Sender, const Message &Content,
                                const Versions &LocalVersions, Instant Now);

  /// Sends the probes that are due and checks the timeouts. The period of
  /// the calls should be well below AckTimeout.
  FailureDetectorOutput tick(const Versions &LocalVersions, Instant Now);

  /// Announces to some live members that this entry stops. Later messages are
  /// ignored.
  FailureDetectorOutput leave(Instant Now);

  /// Returns the alive and suspect members, including this entry, sorted by
  /// name.
  std::vector<Member> live() const;

  /// Returns all known members, including this entry, sorted by name.
  std::vector<Member> allMembers() const;

  /// Document versions that an entry reported last, and the time of the
  /// report.
  struct Report {
    Versions InForce;
    Instant At{};
  };
  /// Returns null if the entry has reported no versions.
  const Report *report(const EntryName &Entry) const;

private:
  struct Peer {
    Member Record;
    /// When the record was last replaced. Suspicion timeout and retention run
    /// from here.
    Instant UpdatedAt{};
  };
  struct PendingProbe {
    EntryName Subject;
    Instant SentAt{};
    /// Indirect probes were requested, or never are for this probe.
    bool IndirectProbesDone = false;
    /// The entry that requested this indirect probe; empty for own probes.
    EntryName Requester;
    /// Sequence of the requester's own probe.
    std::uint64_t RequesterSequence = 0;
  };
  /// An entry whose record is to be piggybacked on the next messages.
  struct QueuedUpdate {
    EntryName Entry;
    unsigned SendsLeft = 0;
  };

  void applyUpdate(const Member &Update, Instant Now,
                   FailureDetectorOutput &Result);
  void applyUpdates(const std::vector<Member> &Updates, Instant Now,
                    FailureDetectorOutput &Result);
  /// Raises the incarnation if the update says that this entry isn't alive.
  void refute(const Member &Update);
  void queueUpdate(const EntryName &Entry);
  /// Returns the updates for the next message and requeues those with sends
  /// left.
  std::vector<Member> takeUpdates();
  const Peer *findPeer(const EntryName &Entry) const;
  void send(const EntryName &Receiver, Message Content,
            FailureDetectorOutput &Result) const;
  void sendProbe(const EntryName &Receiver, const Versions &LocalVersions,
                 PendingProbe Pending, FailureDetectorOutput &Result);
  void probeNext(const Versions &LocalVersions, Instant Now,
                 FailureDetectorOutput &Result);
  void probeDead(const Versions &LocalVersions, Instant Now,
                 FailureDetectorOutput &Result);
  /// Requests indirect probes after the ack timeout and suspects the subject
  /// after the probe period.
  void checkPendingProbes(Instant Now, FailureDetectorOutput &Result);
  void requestIndirectProbes(std::uint64_t Sequence,
                             const PendingProbe &Pending,
                             FailureDetectorOutput &Result);
  /// Marks an alive member as suspect.
  void markSuspect(const EntryName &Entry, Instant Now,
                   FailureDetectorOutput &Result);
  /// Declares suspect members dead after the suspicion timeout and forgets dead
  /// and left ones after the retention time.
  void checkTimeouts(Instant Now, FailureDetectorOutput &Result);
  void onProbe(const Probe &Content, const Versions &LocalVersions, Instant Now,
               FailureDetectorOutput &Result);
  void onAck(const Ack &Content, Instant Now, FailureDetectorOutput &Result);
  void onProbeRequest(const ProbeRequest &Content,
                      const Versions &LocalVersions, Instant Now,
                      FailureDetectorOutput &Result);

  FailureDetectorOptions Options;
  Member Self;
  std::mt19937_64 Random;
  // Invariant: doesn't contain this entry.
  std::map<EntryName, Peer> Peers;
  std::map<EntryName, Report> Reports;
  std::map<std::uint64_t, PendingProbe> PendingProbes;
  // Invariant: contains each entry at most once.
  std::deque<QueuedUpdate> UpdateQueue;
  // Live peers in random order that are still to be probed in this round; each
  // is probed once per round.
  std::vector<EntryName> ProbeOrder;
  std::uint64_t NextSequence = 1;
  Instant NextProbeAt{};
  std::uint64_t PeriodCount = 0;
  bool HasLeft = false;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_GROUP_H
