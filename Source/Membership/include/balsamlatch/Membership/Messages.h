/// \file
/// Messages between entries about who is alive and which versions they have.

#ifndef BALSAMLATCH_MEMBERSHIP_MESSAGES_H
#define BALSAMLATCH_MEMBERSHIP_MESSAGES_H

#include "balsamlatch/Membership/Documents.h"
#include "balsamlatch/Membership/Member.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace balsamlatch::membership {

/// Asks for an Ack. Carries the sender's versions and news about members.
struct Probe {
  std::uint64_t Sequence = 0;
  Member Sender;
  Versions InForce;
  std::vector<Member> News;

  auto operator<=>(const Probe &) const = default;
};

/// Answers a Probe.
struct Ack {
  std::uint64_t Sequence = 0;
  Member Sender;
  Versions InForce;
  std::vector<Member> News;

  auto operator<=>(const Ack &) const = default;
};

/// Asks the receiver to probe another entry on the sender's behalf.
struct ProbeRequest {
  std::uint64_t Sequence = 0;
  Member Sender;
  EntryName Subject;

  auto operator<=>(const ProbeRequest &) const = default;
};

/// Hands a document to an entry that may lack it.
struct DocumentPush {
  Document Content;

  auto operator<=>(const DocumentPush &) const = default;
};

/// Asks for a document if the receiver has a later version.
struct DocumentPull {
  DocumentKey Key;
  std::uint64_t AfterVersion = 0;

  auto operator<=>(const DocumentPull &) const = default;
};

/// The sender acts on this ledger version; for the fleet controller.
struct LedgerConfirm {
  std::uint64_t Version = 0;

  auto operator<=>(const LedgerConfirm &) const = default;
};

using Message = std::variant<Probe, Ack, ProbeRequest, DocumentPush,
                             DocumentPull, LedgerConfirm>;

/// A message to one entry.
struct Outgoing {
  EntryName To;
  Address At;
  Message Content;

  auto operator<=>(const Outgoing &) const = default;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_MESSAGES_H
