/// \file
/// Messages between entries for failure detection, gossip and document
/// replication.

#ifndef BALSAMLATCH_MEMBERSHIP_MESSAGES_H
#define BALSAMLATCH_MEMBERSHIP_MESSAGES_H

#include "balsamlatch/Membership/Documents.h"
#include "balsamlatch/Membership/Member.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace balsamlatch::membership {

/// Requests an Ack. Carries the sender's document versions and membership
/// updates.
struct Probe {
  std::uint64_t Sequence = 0;
  Member Sender;
  Versions InForce;
  std::vector<Member> MemberUpdates;

  auto operator<=>(const Probe &) const = default;
};

/// Answers a Probe, with the same piggybacked data.
struct Ack {
  std::uint64_t Sequence = 0;
  Member Sender;
  Versions InForce;
  std::vector<Member> MemberUpdates;

  auto operator<=>(const Ack &) const = default;
};

/// Requests an indirect probe: the receiver probes the subject and relays its
/// Ack to the sender.
struct ProbeRequest {
  std::uint64_t Sequence = 0;
  Member Sender;
  EntryName Subject;

  auto operator<=>(const ProbeRequest &) const = default;
};

/// Sends a document to an entry that may have an older version.
struct DocumentPush {
  Document Content;

  auto operator<=>(const DocumentPush &) const = default;
};

/// Requests a document if the receiver has a version later than
/// AfterVersion.
struct DocumentPull {
  DocumentKey Key;
  std::uint64_t AfterVersion = 0;

  auto operator<=>(const DocumentPull &) const = default;
};

/// Confirms to the fleet controller that the sender acts on this ledger
/// version.
struct LedgerConfirmation {
  std::uint64_t Version = 0;

  auto operator<=>(const LedgerConfirmation &) const = default;
};

using Message = std::variant<Probe, Ack, ProbeRequest, DocumentPush,
                             DocumentPull, LedgerConfirmation>;

/// A message to be sent to one entry.
struct Outgoing {
  EntryName To;
  Address At;
  Message Content;

  auto operator<=>(const Outgoing &) const = default;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_MESSAGES_H
