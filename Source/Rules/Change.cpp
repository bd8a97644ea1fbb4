/// \file
/// Digests of changes, and signing and verifying their approvals.

#include "balsamlatch/Rules/Change.h"

#include "CanonicalEncoder.h"

#include <algorithm>

namespace balsamlatch {

namespace {

/// The bytes that an owner signs to approve the change.
std::string approvalMessage(const Change &Proposal) {
  CanonicalEncoder Encoder("balsamlatch change approval 1");
  Encoder.add(changeDigest(Proposal));
  return Encoder.bytes();
}

} // namespace

Digest changeDigest(const Change &Proposal) {
  CanonicalEncoder Encoder("balsamlatch change 1");
  Encoder.add(Proposal.Base.Value);
  Encoder.add(Proposal.BaseChain);
  Encoder.add(Proposal.Proposer.Text);
  Encoder.add(Proposal.Reason);
  Encoder.add(Proposal.ProposedAt);
  Encoder.add(Proposal.Nonce);
  Encoder.add(static_cast<std::uint64_t>(Proposal.Edits.size()));
  for (const LineEdit &Edit : Proposal.Edits) {
    Encoder.add(static_cast<std::uint64_t>(Edit.Line));
    Encoder.add(Edit.Above);
    Encoder.add(Edit.Old);
    Encoder.add(Edit.New);
  }
  Encoder.add(static_cast<std::uint64_t>(Proposal.NewOwners.size()));
  for (const PublicKey &Key : Proposal.NewOwners) {
    Encoder.add(Key);
  }
  return Encoder.digest();
}

Approval approve(const Change &Proposal, const PrivateKey &Key) {
  return {Key.publicKey(), Key.sign(approvalMessage(Proposal))};
}

bool isApprovedBy(const SignedChange &Proposal, const PublicKey &Key) {
  const auto Match =
      std::find_if(Proposal.Approvals.begin(), Proposal.Approvals.end(),
                   [&](const Approval &Entry) { return Entry.Key == Key; });
  return Match != Proposal.Approvals.end() &&
         verifySignature(Key, approvalMessage(Proposal.Content), Match->Signed);
}

} // namespace balsamlatch
