/// \file
/// Failure detection among the entries: each probes one other a period, asks
/// others to probe in its stead when no answer comes, and passes news on with
/// the probes. The cost for one entry doesn't grow with the number of entries.

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

struct GroupOptions {
  /// This entry; its incarnation must be higher than at any earlier start
  /// (the start's calendar time in microseconds serves).
  Member Self;
  std::uint64_t Seed = 1;
  Duration ProbePeriod = std::chrono::seconds(1);
  /// Wait for a direct answer before others are asked to probe.
  Duration AckTimeout = std::chrono::milliseconds(300);
  /// Time to refute a suspicion.
  Duration SuspicionTime = std::chrono::seconds(2);
  /// Entries asked to probe in this entry's stead.
  unsigned IndirectProbes = 2;
  /// Each so many periods one dead member is probed too: after a cut between
  /// data centres each side takes the other as dead, and must find it again.
  unsigned DeadProbeEvery = 4;
  /// News about members in one message.
  unsigned NewsPerMessage = 6;
  /// How long a dead or left member is remembered, so that old news doesn't
  /// bring it back.
  Duration Remember = std::chrono::minutes(10);
};

/// What a call brought about.
struct GroupStep {
  std::vector<Outgoing> Messages;
  /// Whether the set of live members changed.
  bool ViewChanged = false;
};

/// Not thread safe. Deterministic for a seed.
class Group {
public:
  explicit Group(GroupOptions Options);

  /// Entries by the platform's list or the settings: those not yet known are
  /// taken as alive until a probe says otherwise.
  GroupStep seed(const std::vector<Member> &Listed, Instant Now);

  /// A Probe, Ack or ProbeRequest came in; other messages are ignored.
  GroupStep receive(const EntryName &From, const Message &Content,
                    const Versions &InForce, Instant Now);

  /// Call every TickPeriod or so.
  GroupStep tick(const Versions &InForce, Instant Now);

  /// Says to some others that this entry stops. No probe is answered after.
  GroupStep leave(Instant Now);

  /// Alive and suspect members, this entry included, by name.
  std::vector<Member> live() const;

  /// Everything that is remembered, this entry included.
  std::vector<Member> all() const;

  /// The versions that an entry last reported, with when. Null: never.
  struct Report {
    Versions InForce;
    Instant At{};
  };
  const Report *report(const EntryName &Entry) const;

private:
  struct Peer {
    Member Known;
    /// When a suspicion, death or leave began.
    Instant Since{};
  };
  struct PendingProbe {
    EntryName Subject;
    Instant SentAt{};
    bool AskedOthers = false;
    /// Set when the probe is made for another entry.
    EntryName OnBehalfOf;
    std::uint64_t AskersSequence = 0;
  };
  struct NewsItem {
    EntryName Entry;
    unsigned SendsLeft = 0;
  };

  void learn(const Member &About, Instant Now, GroupStep &Step);
  void learnAll(const std::vector<Member> &NewsItems, Instant Now,
                GroupStep &Step);
  void refute(const Member &About);
  void spread(const EntryName &Entry);
  std::vector<Member> takeNews();
  const Peer *find(const EntryName &Entry) const;
  void send(const EntryName &To, Message Content, GroupStep &Step) const;
  void sendProbe(const EntryName &To, const Versions &InForce,
                 PendingProbe Pending, GroupStep &Step);
  void probeNext(const Versions &InForce, Instant Now, GroupStep &Step);
  void probeDead(const Versions &InForce, Instant Now, GroupStep &Step);
  void checkPending(Instant Now, GroupStep &Step);
  void askOthers(std::uint64_t Sequence, const PendingProbe &Pending,
                 GroupStep &Step);
  void suspect(const EntryName &Entry, Instant Now, GroupStep &Step);
  void expire(Instant Now, GroupStep &Step);
  void onProbe(const Probe &Content, const Versions &InForce, Instant Now,
               GroupStep &Step);
  void onAck(const Ack &Content, Instant Now, GroupStep &Step);
  void onProbeRequest(const ProbeRequest &Content, const Versions &InForce,
                      Instant Now, GroupStep &Step);

  GroupOptions Options;
  Member Self;
  std::mt19937_64 Random;
  // Invariant: never holds this entry itself.
  std::map<EntryName, Peer> Peers;
  std::map<EntryName, Report> Reports;
  std::map<std::uint64_t, PendingProbe> Pending;
  // Invariant: each entry at most once.
  std::deque<NewsItem> News;
  // A shuffled round over all live peers: each is probed once a round.
  std::vector<EntryName> Round;
  std::uint64_t NextSequence = 1;
  Instant NextProbeAt{};
  std::uint64_t ProbeCount = 0;
  bool Leaving = false;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_GROUP_H
